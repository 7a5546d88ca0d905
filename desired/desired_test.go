package desired_test

import (
	"fmt"
	"math/rand/v2"
	"strconv"
	"testing"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/desired"
)

func route(name, host, prefix string) *desired.Route {
	return desired.NewRoute(name, host, prefix, []desired.Target{{Service: name, Weight: 1}})
}

func TestLongestPrefixWins(t *testing.T) {
	state := desired.New(1, []*desired.Route{
		route("short", "a.example", "/x/"), route("long", "A.example", "/x/y/"), route("other", "b.example", "/"),
	}, nil, desired.Limits{})
	for name, c := range map[string]struct{ host, path, want string }{
		"short":         {"a.example", "/x/1", "short"},
		"long":          {"a.example", "/x/y/1", "long"},
		"port ignored":  {"a.example:8080", "/x/y/1", "long"},
		"no prefix":     {"a.example", "/xy/1", ""},
		"root":          {"b.example", "/anything", "other"},
		"unknown host":  {"c.example", "/x/1", ""},
		"without slash": {"a.example", "/x", ""},
	} {
		t.Run(name, func(t *testing.T) {
			found, ok := state.Match(c.host, c.path)
			must.Eq(t, c.want != "", ok)
			if ok {
				must.Eq(t, c.want, found.Name())
			}
		})
	}
}

// The shares must hold over few requests, because a release that receives a tenth of
// the traffic is evaluated after a few hundred requests.
func TestSplitterKeepsShares(t *testing.T) {
	split := desired.NewRoute("r", "a", "/", []desired.Target{{"x", 90}, {"y", 10}, {"none", 0}})
	splitter := desired.NewSplitter()
	counts := make(map[string]int)
	for range 100 {
		counts[splitter.Next(split)]++
	}
	must.Between(t, 89, counts["x"], 91)
	must.Between(t, 9, counts["y"], 11)
	must.Eq(t, 0, counts["none"])
}

func TestSplitterAppliesNewWeights(t *testing.T) {
	splitter := desired.NewSplitter()
	splitter.Next(desired.NewRoute("r", "a", "/", []desired.Target{{"x", 90}, {"y", 10}}))
	moved := desired.NewRoute("r", "a", "/", []desired.Target{{"x", 0}, {"y", 10}, {"z", 0}})
	for range 10 {
		must.Eq(t, "y", splitter.Next(moved))
	}
}

// The lookup must not depend on the number of keys, since each request of a customer needs
// one.
func BenchmarkWorkspaceOf(b *testing.B) {
	for _, keys := range []int{76, 50_000} {
		b.Run(strconv.Itoa(keys), func(b *testing.B) {
			const keysPerWorkspace = 10
			var workspaces []*desired.Workspace
			var all []string
			for n := 0; len(all) < keys; n++ {
				var own []string
				for range min(keysPerWorkspace, keys-len(all)) {
					own = append(own, fmt.Sprintf("%032x", rand.Uint64()))
				}
				all = append(all, own...)
				workspaces = append(workspaces, desired.NewWorkspace(strconv.Itoa(n), desired.WithKeys(own...)))
			}
			state := desired.New(1, nil, nil, desired.Limits{}, desired.WithWorkspaces(workspaces...))
			rand.Shuffle(len(all), func(i, j int) { all[i], all[j] = all[j], all[i] })
			b.ReportAllocs()
			for n := 0; b.Loop(); n++ {
				if _, ok := state.WorkspaceOf(all[n%len(all)]); !ok {
					b.Fatal("the key is unknown")
				}
			}
		})
	}
}
