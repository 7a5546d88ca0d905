package hop_test

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/hop"
	"github.com/lacewingslip/lacewingslip/internal/standin/server"
)

// Guards against a receiver in trouble that fills the memory of the node: it sends
// header lines or informational responses without end.
func TestEndlessHeads(t *testing.T) {
	for name, behaviour := range map[string]server.Behaviour{
		"headers": server.EndlessHead, "informational responses": server.EndlessInformational,
	} {
		t.Run(name, func(t *testing.T) {
			s, pool := startServer(t, behaviour)
			ctx, cancel := context.WithTimeout(t.Context(), time.Minute)
			defer cancel()
			_, err := send(ctx, pool, http.MethodGet, "a")
			must.Error(t, err)
			must.NoError(t, ctx.Err())
			must.True(t, hop.MayHaveRun(err))
			body, err := send(t.Context(), pool, http.MethodGet, "b")
			must.NoError(t, err)
			must.Eq(t, "answer of b", body)
			must.Eq(t, 2, s.Connections())
		})
	}
}

// A request that is sent again must not read a late second copy of the answer to its
// earlier attempt, which bears the same ID.
func TestRepeatedRequestUsesAnotherConnection(t *testing.T) {
	s, pool := startServer(t)
	for range 2 {
		request, err := http.NewRequestWithContext(t.Context(), http.MethodGet, "http://example/x", http.NoBody)
		must.NoError(t, err)
		request.Header.Set(idHeader, "a")
		answer, err := pool.Do(t.Context(), request, "a", func(_ int, h http.Header) bool { return h.Get(idHeader) == "a" })
		must.NoError(t, err)
		_, _, err = answer.ReadAll(1 << 20)
		must.NoError(t, err)
		answer.Close()
	}
	must.Eq(t, 2, s.Connections())
}

// BenchmarkEndlessHead reports the memory that one receiver in trouble costs.
func BenchmarkEndlessHead(b *testing.B) {
	s, err := server.Start("127.0.0.1:0", "i-1")
	must.NoError(b, err)
	defer s.Close()
	s.SetBehaviour(func(*http.Request) server.Behaviour { return server.EndlessHead })
	pool := hop.New(s.Address())
	b.ReportAllocs()
	for b.Loop() {
		_, err := send(b.Context(), pool, http.MethodGet, "a")
		must.Error(b, err)
	}
}
