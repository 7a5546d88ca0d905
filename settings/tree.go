// Package settings implements the organisation's settings tree: parsing and
// validation, signed changes, and the replication of changes to the nodes.
//
// # Usage
//
// The tree consists of one YAML file for the root branch and one per team:
//
//	tree, err := settings.Parse(root, branches...)
//	service, ok := tree.Service("orders")
//	route, ok := service.Route(http.MethodPost, "/book")
//
// Changes are published on the stream [Stream] of the log service. A [History]
// replays them, and a [Follower] keeps it up to date from the log and from other
// nodes:
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

// Stream is the log service's stream of settings changes, snapshots and skips.
const Stream = "settings"

// RootBranch is the name of the branch that contains the defaults and the list of
// teams. No team may have this name.
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
	// Slots is the maximum number of calls that run concurrently at one backend
	// server.
	Slots int
	// Connections is the maximum number of connections to one backend server.
	Connections int
	// Floor is the lower bound of the adaptive concurrency limit.
	Floor int
	// QueueLength is the maximum number of calls queued at one sidecar.
	QueueLength int
	// WarmUp is the time over which the limit of a new backend server is raised.
	WarmUp time.Duration
	// Routes has the order of the branch file.
	Routes []Route
}

// Route defines how calls to a path, or to the paths with a prefix, are handled.
type Route struct {
	// Path matches only itself or, if it ends in a slash, every path of which it is
	// a prefix.
	Path string
	// Methods lists the matching HTTP methods. If it is empty, all methods match.
	Methods []string
	// Importance is the importance of customer requests to this route.
	Importance call.Importance
	// Repeat defines when a call may be retried.
	Repeat call.RepeatPolicy
	// Timeout is the timeout of customer requests that don't specify one.
	Timeout time.Duration
	// Retries is the number of retry tokens granted to a customer request.
	Retries int
	// KeyRequired means that bookings without an idempotency key are refused. It is
	// false on routes that are not for bookings.
	KeyRequired bool
	// MaxBody is the maximum size of a request body in bytes.
	MaxBody int64
}

// Booking reports whether calls to the route must not be repeated.
func (r Route) Booking() bool { return r.Repeat == call.Never }

// Service returns the service with the given name.
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

// PublicKey returns the public key that verifies changes to the team's branch.
func (t *Tree) PublicKey(team string) (key ed25519.PublicKey, ok bool) {
	entry, ok := t.root.teams[team]
	return entry.publicKey, ok
}

// KeyValidity returns the age beyond which an issued booking key never runs.
func (t *Tree) KeyValidity() time.Duration { return t.root.keyValidity }

// CallerKeyValidity returns the age beyond which a caller-chosen key is refused.
func (t *Tree) CallerKeyValidity() time.Duration { return t.root.callerKeyValidity }

// Route returns the route for a method and a decoded path, which begins with a
// slash and does not include the service. A route for the whole path takes
// precedence over one for a prefix, and a longer prefix over a shorter one. A path
// with empty, "." or ".." segments has no route: the backend server might resolve
// it to the path of a booking, although the rules of another route were applied.
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

// isClean reports whether the path is absolute and has no empty, "." or ".."
// segments. A trailing slash is allowed.
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
