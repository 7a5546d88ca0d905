// Package config holds the desired state that the operator publishes: which
// requests go to which service, and how long and how often they may be tried.
//
// # Usage
//
//	state := config.New(7, routes, services, limits)
//	route, ok := state.Match("orders.example", "/orders/2f")
//	service := splitter.Next(route)
//
// A [State] never changes; a newer version replaces it as a whole.
package config

import (
	"net"
	"slices"
	"strings"
	"time"
)

// Kind says how often a request may run.
type Kind uint8

const (
	// AtMostOnce requests are sent again only if they certainly did not run.
	AtMostOnce Kind = iota
	// Idempotent requests may run more than once.
	Idempotent
)

// Target is a service that receives a share of a route's requests.
type Target struct {
	Service string
	// Weight is relative to the weights of the route's other targets.
	Weight float64
}

// Route says how requests with a host and a path prefix are carried.
type Route struct {
	name, host, prefix string
	targets            []Target
	kind               Kind
	timeout, target    time.Duration
	attempts, priority int
}

// RouteOption changes a new route.
type RouteOption func(*Route)

// WithKind sets how often a request may run. The default is [AtMostOnce].
func WithKind(kind Kind) RouteOption { return func(r *Route) { r.kind = kind } }

// WithTimeout sets the longest time until the final answer.
func WithTimeout(d time.Duration) RouteOption { return func(r *Route) { r.timeout = d } }

// WithTargetLatency sets the time within which an answer has its full worth.
func WithTargetLatency(d time.Duration) RouteOption { return func(r *Route) { r.target = d } }

// WithAttempts sets the largest number of backend servers that may run one
// request.
func WithAttempts(n int) RouteOption { return func(r *Route) { r.attempts = max(n, 1) } }

// WithPriority sets the rank of the route's requests; 0 is the highest.
func WithPriority(rank int) RouteOption { return func(r *Route) { r.priority = rank } }

// NewRoute returns the route of a host and path prefix to its targets.
func NewRoute(name, host, prefix string, targets []Target, opts ...RouteOption) *Route {
	r := &Route{name: name, host: canonicalHost(host), prefix: prefix, targets: targets, attempts: 1}
	for _, opt := range opts {
		opt(r)
	}
	return r
}

// Name returns the operator's name of the route.
func (r *Route) Name() string { return r.name }

// Kind returns how often a request may run.
func (r *Route) Kind() Kind { return r.kind }

// Timeout returns the longest time until the final answer, or 0 for none.
func (r *Route) Timeout() time.Duration { return r.timeout }

// TargetLatency returns the time within which an answer has its full worth.
func (r *Route) TargetLatency() time.Duration { return r.target }

// Attempts returns how many backend servers may run one request.
func (r *Route) Attempts() int { return r.attempts }

// Priority returns the rank of the route's requests; 0 is the highest.
func (r *Route) Priority() int { return r.priority }

// Targets returns the services of the route with their weights.
func (r *Route) Targets() []Target { return r.targets }

// Service is what the operator states about a service.
type Service struct {
	// HealthPath is the path of a backend server's health endpoint.
	HealthPath string
	// MaxConnections is what one backend server accepts from all callers.
	MaxConnections int
}

// Limits bound what a caller may send.
type Limits struct {
	HeaderBytes int
	BodyBytes   int64
	// HeaderTimeout is how long a caller may take to send a header.
	HeaderTimeout time.Duration
	// IdleTimeout is how long a caller's connection may stay idle.
	IdleTimeout time.Duration
}

// State is one version of the desired state.
type State struct {
	version  int64
	byHost   map[string][]*Route
	services map[string]Service
	limits   Limits
	ranks    []int
}

// New returns the desired state of the version.
func New(version int64, routes []*Route, services map[string]Service, limits Limits) *State {
	s := &State{version: version, byHost: make(map[string][]*Route), services: services, limits: limits}
	for _, r := range routes {
		s.byHost[r.host] = append(s.byHost[r.host], r)
		if !slices.Contains(s.ranks, r.priority) {
			s.ranks = append(s.ranks, r.priority)
		}
	}
	slices.Sort(s.ranks)
	for _, list := range s.byHost {
		// The longest prefix comes first, so that the first match is the one.
		slices.SortStableFunc(list, func(a, b *Route) int { return len(b.prefix) - len(a.prefix) })
	}
	return s
}

// Version returns the operator's number of the desired state.
func (s *State) Version() int64 { return s.version }

// Limits returns what callers may send.
func (s *State) Limits() Limits { return s.limits }

// Service returns what the operator states about the service.
func (s *State) Service(name string) (service Service, ok bool) {
	service, ok = s.services[name]
	return service, ok
}

// Ranks returns the priorities that occur, the highest (lowest number) first.
func (s *State) Ranks() []int { return s.ranks }

// Match returns the route of a request: the longest prefix of the host that
// begins the path.
func (s *State) Match(host, path string) (route *Route, ok bool) {
	for _, r := range s.byHost[canonicalHost(host)] {
		if strings.HasPrefix(path, r.prefix) {
			return r, true
		}
	}
	return nil, false
}

func canonicalHost(host string) string {
	if name, _, err := net.SplitHostPort(host); err == nil {
		host = name
	}
	return strings.ToLower(host)
}
