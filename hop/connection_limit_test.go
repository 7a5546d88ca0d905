package hop_test

import (
	"context"
	"errors"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// Guards against connections beyond a limit that pools share, against a refusal that does not say
// that the request has not run, and against connections that are lost to the limit when they end.
func TestConnectionLimit(t *testing.T) {
	refused := 0
	limit := hop.NewConnectionLimit(2, func() { refused++ })
	var pools []*hop.Pool
	var servers []*server.Server
	for range 2 {
		s, _ := startServer(t)
		servers = append(servers, s)
		pools = append(pools, hop.New(s.Address(), hop.WithConnectionLimit(limit)))
	}
	received, proceed := make(chan struct{}), make(chan struct{})
	servers[0].SetRunHook(func(*http.Request) bool {
		received <- struct{}{}
		<-proceed
		return true
	})
	ended := make(chan error, 2)
	for _, id := range []string{"a", "b"} {
		go func() {
			_, err := send(t.Context(), pools[0], http.MethodGet, id)
			ended <- err
		}()
		<-received
	}
	_, err := send(t.Context(), pools[1], http.MethodGet, "c")
	must.True(t, errors.Is(err, hop.ErrNoConnection))
	must.False(t, hop.MayHaveRun(err))
	must.Zero(t, servers[1].Runs("c"))
	must.Eq(t, 1, refused)
	close(proceed)
	must.NoError(t, <-ended)
	must.NoError(t, <-ended)
	must.Eq(t, 2, limit.Used())

	// An unused connection of the other pool makes room.
	_, err = send(t.Context(), pools[1], http.MethodGet, "d")
	must.NoError(t, err)
	must.Eq(t, 2, limit.Used())
	servers[1].SetRunHook(func(*http.Request) bool {
		time.Sleep(time.Second)
		return true
	})
	ctx, cancel := context.WithTimeout(t.Context(), time.Millisecond)
	defer cancel()
	_, err = send(ctx, pools[1], http.MethodGet, "e")
	must.Error(t, err)
	servers[0].Close()
	_, err = send(t.Context(), hop.New(servers[0].Address(), hop.WithConnectionLimit(limit)), http.MethodGet, "f")
	must.Error(t, err)
	for _, pool := range pools {
		pool.Close()
	}
	must.Zero(t, limit.Used())
}
