// Package settings is the organisation's tree of settings: its checks, the
// signed changes to it, and how a node follows them.
//
// # Usage
//
// The tree is made of one YAML file for the root branch and one per team:
//
//	tree, err := settings.Parse(root, branches...)
//	service, ok := tree.Service("orders")
//	route, ok := service.Route(http.MethodPost, "/book")
//
// Changes are published on the log service's stream [Stream]. A [History]
// replays them, and a [Follower] feeds it from the log and from other nodes:
//
//	follower := settings.NewFollower(log, settings.NewHistory(rootKey))
//	go follower.Run(ctx)
//	tree := follower.Tree()
package settings

import (
	"crypto/ed25519"
	"maps"
	"path"
	"slices"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/call"
)

// Stream is the log service's stream of changes and snapshots.
const Stream = "settings"

// RootBranch is the name of the branch that holds defaults and teams. No team
// may have this name.
const RootBranch = "root"

// Tree is a consistent set of settings. It is immutable and safe for concurrent
// use.
type Tree struct {
	root     rootBranch
	services map[string]Service
}

// Service is a service of a team.
type Service struct {
	// Name is the first path segment of calls to the service.
	Name string
	// Team owns the service.
	Team string
	// Slots is the largest number of calls that run at once at one backend
	// server.
	Slots int
	// Connections is the largest number of connections to one backend server.
	Connections int
	// Floor is the lowest concurrency limit that adaptation may choose.
	Floor int
	// QueueLength is the largest number of calls that wait at one sidecar.
	QueueLength int
	// WarmUp is the time over which a new backend server's limit rises.
	WarmUp time.Duration
	// Routes is in the order of the branch file.
	Routes []Route
}

// Route says how calls to some paths of a service are treated.
type Route struct {
	// Path is matched as a whole, or as a prefix if it ends in a slash.
	Path string
	// Methods is empty if the route is for all methods.
	Methods []string
	// Importance is that of customer requests to this route.
	Importance call.Importance
	// Repeat says when an attempt may be sent again.
	Repeat call.RepeatPolicy
	// Timeout is the deadline of customer requests that state none.
	Timeout time.Duration
	// Retries is the number of retry tokens granted to a customer request.
	Retries int
	// KeyRequired refuses bookings without a key. It is false on other routes.
	KeyRequired bool
	// MaxBody is the largest request body, in bytes.
	MaxBody int64
}

// Booking reports whether calls to the route must not be repeated.
func (r Route) Booking() bool { return r.Repeat == call.Never }

// Service returns the service of the name.
func (t *Tree) Service(name string) (s Service, ok bool) {
	s, ok = t.services[name]
	return s, ok
}

// Services returns all services, sorted by name.
func (t *Tree) Services() []Service {
	services := make([]Service, 0, len(t.services))
	for _, name := range slices.Sorted(maps.Keys(t.services)) {
		services = append(services, t.services[name])
	}
	return services
}

// Teams returns the names of all teams, sorted.
func (t *Tree) Teams() []string { return slices.Sorted(maps.Keys(t.root.teams)) }

// PublicKey returns the key that signs changes to the team's branch.
func (t *Tree) PublicKey(team string) (key ed25519.PublicKey, ok bool) {
	entry, ok := t.root.teams[team]
	return entry.publicKey, ok
}

// KeyValidity is the age beyond which an issued booking key never runs.
func (t *Tree) KeyValidity() time.Duration { return t.root.keyValidity }

// CallerKeyValidity is the age beyond which a caller-chosen key is refused.
func (t *Tree) CallerKeyValidity() time.Duration { return t.root.callerKeyValidity }

// Route returns the route for a method and a decoded path, which begins with a
// slash and does not include the service. A route for the whole path goes before
// one for a prefix, and a longer prefix before a shorter one. A path with empty,
// "." or ".." segments has no route: the backend server might resolve it to the
// path of a booking while another route's rules are applied to it.
func (s Service) Route(method, requestPath string) (r Route, ok bool) {
	if !isClean(requestPath) {
		return Route{}, false
	}
	best := -1
	for i, route := range s.Routes {
		if !route.matches(method, requestPath) {
			continue
		}
		if best < 0 || len(route.Path) > len(s.Routes[best].Path) {
			best = i
		}
	}
	if best < 0 {
		return Route{}, false
	}
	return s.Routes[best], true
}

func (r Route) matches(method, requestPath string) bool {
	if len(r.Methods) > 0 && !slices.Contains(r.Methods, method) {
		return false
	}
	if strings.HasSuffix(r.Path, "/") {
		return strings.HasPrefix(requestPath, r.Path)
	}
	return requestPath == r.Path
}

// isClean reports whether the path is in its shortest form, apart from a slash
// at its end.
func isClean(requestPath string) bool {
	if requestPath == "/" {
		return true
	}
	return strings.HasPrefix(requestPath, "/") && path.Clean(requestPath) == strings.TrimSuffix(requestPath, "/")
}

func newTree(root rootBranch, branches map[string][]Service) *Tree {
	t := &Tree{root: root, services: make(map[string]Service)}
	for _, services := range branches {
		for _, service := range services {
			t.services[service.Name] = service
		}
	}
	return t
}
