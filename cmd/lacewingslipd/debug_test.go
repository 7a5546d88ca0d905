package main

import (
	"net/http"
	"testing"

	"github.com/shoenig/test/must"
)

// Guards against profiles that other machines can read, and against a debug server that
// nobody has asked for.
func TestDebugServer(t *testing.T) {
	for name, c := range map[string]struct {
		address        string
		valid, listens bool
	}{
		"off":                 {"", true, false},
		"loopback":            {"127.0.0.1:0", true, true},
		"all addresses":       {":0", false, false},
		"unspecified address": {"0.0.0.0:0", false, false},
		"host name":           {"localhost:0", false, false},
		"no port":             {"127.0.0.1", false, false},
	} {
		t.Run(name, func(t *testing.T) {
			server, err := startDebugServer(c.address)
			must.Eq(t, c.valid, err == nil)
			if err != nil {
				return
			}
			defer server.Close()
			must.Eq(t, c.listens, server.Addr != "")
			if c.listens {
				response, err := http.Get("http://" + server.Addr + "/debug/pprof/heap")
				must.NoError(t, err)
				defer response.Body.Close()
				must.Eq(t, http.StatusOK, response.StatusCode)
			}
		})
	}
}
