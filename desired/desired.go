// Package desired holds the desired state that the operator publishes: which service
// receives which requests, their time-outs, and how often they may be retried.
//
// # Usage
//
//	state := desired.New(7, routes, services, limits)
//	route, ok := state.Match("orders.example", "/orders/2f")
//	service := splitter.Next(route)
//
// A [State] is immutable; a newer version replaces it as a whole.
package desired

import (
	"net"
	"slices"
	"strings"
	"time"
)

// StatePath is the path at which a node serves the desired state in force on its operator
// address, with digests in place of keys.
const StatePath = "/lacewingslip/v1/desired-state"

// Kind specifies whether a request may run more than once.
type Kind uint8

const (
	// AtMostOnce requests are retried only if they are known not to have run.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Target is a service that receives a share of the requests of a route.
type Target struct {
	Service string
	// Weight is relative to the weights of the other targets of the route.
	Weight float64
}

// Route specifies how requests for a host and a path prefix are forwarded.
type Route struct {
	name, host, prefix string
	targets            []Target
	kind               Kind
	timeout, target    time.Duration
	attempts, priority int
	anonymous          bool
}

// RouteOption configures a new route.
type RouteOption func(*Route)

// WithKind sets whether a request may run more than once. The default is
// [AtMostOnce].
func WithKind(kind Kind) RouteOption { return func(r *Route) { r.kind = kind } }

// WithTimeout sets the time-out of a request, retries included.
func WithTimeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// WithTargetLatency sets the latency up to which an answer is of full value to the
// caller.
func WithTargetLatency(d time.Duration) RouteOption { return func(r *Route) { r.target = d } }

// WithAttempts sets the maximum number of backend servers that may run a request.
func WithAttempts(n int) RouteOption { return func(r *Route) { r.attempts = max(n, 1) } }

// WithPriority sets the priority of the route's requests. 0 is the highest.
func WithPriority(priority int) RouteOption { return func(r *Route) { r.priority = priority } }

// WithAnonymous sets whether requests of the route need no key.
func WithAnonymous(anonymous bool) RouteOption { return func(r *Route) { r.anonymous = anonymous } }

// NewRoute returns a route from a host and path prefix to the targets.
func NewRoute(name, host, prefix string, targets []Target, opts ...RouteOption) *Route {
	r := &Route{name: name, host: CanonicalHost(host), prefix: prefix, targets: targets, attempts: 1}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Name returns the name that the operator has given to the route.
func (r *Route) Name() string { return r.name }

// Host returns the host whose requests the route receives, in the form of [CanonicalHost].
func (r *Route) Host() string { return r.host }

// Prefix returns the path prefix of the requests that the route receives.
func (r *Route) Prefix() string { return r.prefix }

// Kind returns whether a request may run more than once.
func (r *Route) Kind() Kind { return r.kind }

// Timeout returns the time-out of a request, retries included, or 0 for none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the latency up to which an answer is of full value to the
// caller.
func (r *Route) TargetLatency() time.Duration { return r.target }

// Attempts returns the maximum number of backend servers that may run a request.
func (r *Route) Attempts() int { return r.attempts }

// Priority returns the priority of the route's requests. 0 is the highest.
func (r *Route) Priority() int { return r.priority }

// Anonymous reports whether requests of the route need no key.
func (r *Route) Anonymous() bool { return r.anonymous }

// Targets returns the services of the route with their weights.
func (r *Route) Targets() []Target { return r.targets }

// Service is the operator's configuration of a service.
type Service struct {
	// HealthPath is the path of the health endpoint of the backend servers.
	HealthPath string
	// MaxConnections is the number of connections that a backend server accepts, from
	// all callers together.
	MaxConnections int
}

// Limits bound the requests and connections of a caller.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is the maximum time for a caller to send the request header.
	HeaderTimeout time.Duration
	// IdleTimeout is the maximum idle time of a caller's connection.
	IdleTimeout time.Duration
}

// State is one version of the desired state.
type State struct {
	version    int64
	byHost     map[string][]*Route
	services   map[string]Service
	limits     Limits
	priorities []int
	workspaces []*Workspace
	// meanRate is the mean cap of the workspaces that have one.
	meanRate float64
	// byKey has the workspace of each key.
	byKey map[KeyDigest]*Workspace
}

// StateOption configures a new desired state.
type StateOption func(*State)

// New returns the desired state with the version number.
func New(version int64, routes []*Route, services map[string]Service, limits Limits, opts ...StateOption) *State {
	s := &State{version: version, byHost: make(map[string][]*Route), services: services, limits: limits}
	for _, r := range routes {
		s.byHost[r.host] = append(s.byHost[r.host], r)
		if !slices.Contains(s.priorities, r.priority) {
			s.priorities = append(s.priorities, r.priority)
		}
	}
	slices.Sort(s.priorities)
	for _, hostRoutes := range s.byHost {
		// The longest prefix comes first, so that the first match is the longest.
		slices.SortStableFunc(hostRoutes, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// Version returns the version number that the operator has given to the desired
// state.
func (s *State) Version() int64 { return s.version }

// Limits returns the limits for callers.
func (s *State) Limits() Limits { return s.limits }

// Service returns the operator's configuration of the service.
func (s *State) Service(name string) (service Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// Priorities returns the distinct priorities of all routes, the highest priority
// (lowest number) first.
func (s *State) Priorities() []int { return s.priorities }

// Match returns the route of a request: among the routes of the host, the one with
// the longest prefix of the path.
func (s *State) Match(host, path string) (route *Route, ok bool) {
	for _, r := range s.byHost[CanonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

// CanonicalHost returns the form of a host in which routes are matched: in lower case and
// without port.
func CanonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
