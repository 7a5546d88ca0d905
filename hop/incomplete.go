package hop

import (
	"context"
	"net"
	"net/http"
)

type connKey struct{}

// ConnContext stores a TCP connection for [ResetIncomplete]. It is used by
// http.Server.ConnContext.
func ConnContext(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// ResetIncomplete returns a handler that resets the connection of an HTTP/1.0 client unless
// next returns. The body of a response to such a client may end with the connection, so an
// orderly close would make it look complete.
func ResetIncomplete(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		c, ok := r.Context().Value(connKey{}).(*net.TCPConn)
		if !ok || r.ProtoAtLeast(1, 1) {
			next.ServeHTTP(w, r)
			return
		}
		// The kernel resets the connection also if the server is closed or the process is
		// killed. Errors mean that the connection has been closed already.
		_ = c.SetLinger(0)
		complete := false
		defer func() {
			if !complete {
				c.Close()
			}
		}()
		next.ServeHTTP(w, r)
		if http.NewResponseController(w).Flush() == nil {
			_ = c.SetLinger(-1)
			complete = true
		}
	})
}
