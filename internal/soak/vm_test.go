package soak

import (
	"net/http"
	"net/http/httptest"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against reports of requests that reach a draining server because the goroutine that
// announces it periodically has announced it as ready after it began to drain.
func TestDrainingServerIsNotAnnouncedAsReady(t *testing.T) {
	node := httptest.NewServer(http.HandlerFunc(func(http.ResponseWriter, *http.Request) {}))
	defer node.Close()
	v := &vm{}
	v.settings.Listen.Announce = node.Listener.Addr().String()
	v.announcement.State = readyState
	must.True(t, v.announce(readyState))
	must.True(t, v.announce("draining"))
	must.False(t, v.announce(readyState))
	must.Eq(t, 2, v.announcement.Sequence)
}
