package mesh

import (
	"fmt"
	"log/slog"
	"net/http"
	"runtime/debug"

	"github.com/lacewingslip/lacewingslip/event"
	"github.com/lacewingslip/lacewingslip/platform"
)

// answerCrash records the panic of a handler and answers the request, which may have run. If
// the answer has been started, it aborts the connection. It must be deferred.
func (s *connections) answerCrash(c *serverConn, w *startedWriter, id string) {
	cause := recover()
	if cause == nil {
		return
	}
	if cause == http.ErrAbortHandler { //nolint:errorlint // The value is compared as net/http does.
		panic(http.ErrAbortHandler)
	}
	if cause != errStartedCrash { //nolint:errorlint // Only this value means that it has been recorded.
		s.recordCrash(id, cause)
	}
	c.dropStarted()
	if w.started {
		panic(http.ErrAbortHandler)
	}
	clear(w.Header())
	w.Header().Set("Connection", "close")
	w.Header().Set("Content-Length", "0")
	if id != "" {
		platform.SetRequestID(w.Header(), id)
	}
	w.WriteHeader(http.StatusBadGateway)
	c.endHandler()
}

// recordCrash records the panic of a handler. It must be called while the goroutine panics.
func (s *connections) recordCrash(id string, cause any) {
	s.record(event.CallCrashed, attrRequest(id), attrDetail(fmt.Sprint(cause)), slog.String("stack", string(debug.Stack())))
}

// startedWriter records whether an answer has been started.
type startedWriter struct {
	http.ResponseWriter
	started bool
	// onStart is called with the header of the answer before that is started.
	onStart func(h http.Header)
}

func (w *startedWriter) start() {
	if !w.started {
		w.started = true
		w.onStart(w.Header())
	}
}

// WriteHeader implements http.ResponseWriter.
func (w *startedWriter) WriteHeader(status int) {
	if status >= http.StatusOK {
		w.start()
	}
	w.ResponseWriter.WriteHeader(status)
}

// Write implements http.ResponseWriter.
func (w *startedWriter) Write(b []byte) (n int, err error) {
	w.start()
	return w.ResponseWriter.Write(b)
}

// Unwrap returns the writer for [http.ResponseController].
func (w *startedWriter) Unwrap() http.ResponseWriter { return w.ResponseWriter }
