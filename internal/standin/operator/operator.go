// Package operator is a stand-in for the platform around a node. It produces desired
// states as the operator writes them, the settings file of a process, announcements of a
// backend server and requests of a caller, all in the formats of the platform.
//
// # Usage
//
//	log.Put(operator.DesiredStateTopic, operator.DesiredStateKey, operator.EncodeDesiredState(1, routes, "orders"))
//	text := operator.Settings(nodeConfig)
//	status, err := operator.Announce(ctx, nodeConfig.Listen.Announce, announcement)
package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/lacewingslip/lacewingslip/nodeconfig"
)

const (
	// DesiredStateTopic is the log topic to which the operator writes the desired state.
	DesiredStateTopic = "keyed.op"
	// DesiredStateKey is the key of the desired state in the topic.
	DesiredStateKey = "config"
	// SettingsVariable is the environment variable with the path of the settings file
	// of a process.
	SettingsVariable = "LACEWINGSLIP_CONFIG"
	// HealthPath is the path for health checks of all services.
	HealthPath = "/health"
	// Host is the host name of all routes.
	Host = "example"

	announcePath  = "/lacewingslip/rpc"
	readinessPath = "/lacewingslip/readiness"
)

// Route is a route of a desired state. Its path prefix is its name between slashes.
type Route struct {
	Name, Service string
	// AtMostOnce is true if each request of the route may run at most once.
	AtMostOnce bool
	Timeout    time.Duration
	Attempts   int
	Priority   int
	// Anonymous is true if requests need no key.
	Anonymous bool
}

// Workspace is a workspace of a desired state.
type Workspace struct {
	Name string
	Keys []string
	// Priority is the priority of the workspace, or nil if that of the route applies.
	Priority *int
	// Rate and Burst are the cap. They are left out if they are zero.
	Rate, Burst float64
}

// Option adds optional parts to a desired state.
type Option func(resources *[]string)

// WithWorkspaces adds workspaces.
func WithWorkspaces(workspaces ...Workspace) Option {
	return func(resources *[]string) {
		for _, w := range workspaces {
			spec := map[string]any{"ApiKeys": w.Keys}
			if w.Priority != nil {
				spec["Priority"] = *w.Priority
			}
			if w.Rate > 0 {
				spec["RatePerS"], spec["Burst"] = w.Rate, w.Burst
			}
			// Strings and numbers can always be encoded.
			text, _ := json.Marshal(spec)
			*resources = append(*resources, fmt.Sprintf(`{"ResourceType":"Tenants","Metadata":{"Name":%q},"Spec":%s}`, w.Name, text))
		}
	}
}

// Limits are the limits of a desired state. Those that are zero are left out.
type Limits struct {
	// IdleTimeout is how long a node keeps an idle connection of a caller.
	IdleTimeout time.Duration
	// HeaderBytes and BodyBytes bound the head and the body of a request.
	HeaderBytes, BodyBytes int
	// HeaderTimeout is how long a caller may take to send the head of a request.
	HeaderTimeout time.Duration
}

// EncodeDesiredState returns the JSON document of a desired state without limits.
func EncodeDesiredState(version int, routes []Route, services ...string) (text []byte) {
	return EncodeDesiredStateWithLimits(version, Limits{}, routes, services...)
}

// EncodeDesiredStateWithLimits returns the JSON document of a desired state.
func EncodeDesiredStateWithLimits(version int, limits Limits, routes []Route, services ...string) (text []byte) {
	return EncodeDesiredStateWith(version, limits, routes, services)
}

// EncodeDesiredStateWith returns the JSON document of a desired state with optional parts.
func EncodeDesiredStateWith(version int, limits Limits, routes []Route, services []string, opts ...Option) (text []byte) {
	var resources, limitFields []string
	for _, limit := range []struct {
		name  string
		value int64
	}{
		{"IdleTimeoutMs", limits.IdleTimeout.Milliseconds()},
		{"MaxHeaderBytes", int64(limits.HeaderBytes)},
		{"MaxBodyBytes", int64(limits.BodyBytes)},
		{"HeaderTimeoutMs", limits.HeaderTimeout.Milliseconds()},
	} {
		if limit.value > 0 {
			limitFields = append(limitFields, fmt.Sprintf("%q:%d", limit.name, limit.value))
		}
	}
	if len(limitFields) > 0 {
		resources = append(resources, fmt.Sprintf(`{"ResourceType":"Limits","Metadata":{},"Spec":{%s}}`, strings.Join(limitFields, ",")))
	}
	for _, r := range routes {
		kind := "safe"
		if r.AtMostOnce {
			kind = "unsafe"
		}
		anonymous := ""
		if r.Anonymous {
			anonymous = `,"AllowAnonymous":true`
		}
		resources = append(resources, fmt.Sprintf(`{"ResourceType":"Routes","Metadata":{"Name":%q},"Spec":{"Host":%q,"PathPrefix":"/%s/","Kind":%q,"TimeoutMs":%d,"TargetLatencyMs":%d,"Priority":%d,"Service":%q,"MaxAttempts":%d%s}}`,
			r.Name, Host, r.Name, kind, r.Timeout.Milliseconds(), r.Timeout.Milliseconds()/2, r.Priority, r.Service, r.Attempts, anonymous))
	}
	for _, s := range services {
		resources = append(resources, fmt.Sprintf(`{"ResourceType":"Services","Metadata":{"Name":%q},"Spec":{"HealthPath":%q,"MaxConnections":100}}`, s, HealthPath))
	}
	for _, opt := range opts {
		opt(&resources)
	}
	return fmt.Appendf(nil, `{"Version":%d,"Resources":[%s]}`, version, strings.Join(resources, ","))
}

// Settings returns the settings file of a process.
func Settings(s nodeconfig.Config) (text []byte) {
	b := s.Bounds
	lines := []string{
		"Node=" + s.Node, "Ip=" + s.IP, "Zone=" + s.Zone, "Region=" + s.Region, "Service=" + s.Service, "AppAddr=" + s.Backend,
		"Listen.Outbound=" + s.Listen.Caller, "Listen.Inbound=" + s.Listen.Peer,
		"Listen.Ready=" + s.Listen.Ready, "Listen.Control=" + s.Listen.Announce,
		fmt.Sprintf("PortRange=%d,%d", s.FirstPort, s.LastPort), "Provider.Address=" + s.Log,
		fmt.Sprintf("Bounds=DrainMs=%d,GraceS=%g,ConfigApplyMs=%d,RetryBudgetRatio=%g,BudgetWindowS=%g,BudgetSlack=%g",
			b.Drain.Milliseconds(), b.Grace.Seconds(), b.ConfigApply.Milliseconds(), b.RetryRatio, b.RetryWindow.Seconds(), b.RetrySlack) + keyBounds(b),
	}
	if s.MemoryBytes > 0 {
		lines = append(lines, fmt.Sprintf("Limits.MemoryMb=%d", s.MemoryBytes>>20))
	}
	if s.Descriptors > 0 {
		lines = append(lines, fmt.Sprintf("Limits.MaxFds=%d", s.Descriptors))
	}
	for zone, region := range s.RegionOf {
		lines = append(lines, "Zones."+zone+"="+region)
	}
	slices.Sort(lines)
	return []byte(strings.Join(lines, "\n") + "\n")
}

// keyBounds returns the bounds on keys and caps, or "" if there are none.
func keyBounds(b nodeconfig.Bounds) string {
	if !b.FailClosed && b.CapWindow == 0 {
		return ""
	}
	return fmt.Sprintf(",FailClosed=%t,RevokeMs=%d,QuotaWindowS=%g,QuotaOver=%g,QuotaSlack=%g",
		b.FailClosed, b.Revoke.Milliseconds(), b.CapWindow.Seconds(), b.CapOver, b.CapSlack)
}

// AddKey adds a key of a caller to the request.
func AddKey(r *http.Request, key string) { r.Header.Add("X-Key", key) }

// ClaimWorkspace sets the header with the name of a workspace, as a caller may do.
func ClaimWorkspace(h http.Header, name string) { h.Set("X-Tenant", name) }

// ReceivedKeys returns the keys in the headers that a backend server received.
func ReceivedKeys(h http.Header) []string { return h.Values("X-Key") }

// ReceivedWorkspace returns the names of workspaces in the headers that a backend server
// received.
func ReceivedWorkspace(h http.Header) []string { return h.Values("X-Tenant") }

// Announcement is an announcement by a backend server. An empty state deregisters the
// instance.
type Announcement struct {
	Instance, Service, Address, Zone, State string
	StartMs, Sequence                       int64
	Slots                                   int
}

// Announce sends an announcement to the node at the address, and returns the status of
// its response.
func Announce(ctx context.Context, address string, a Announcement) (status int, err error) {
	call, body := "instances.heartbeat", map[string]any{
		"Address": a.Address, "born": a.StartMs,
		"Info":   map[string]any{"Service": a.Service, "Zone": a.Zone, "Slots": a.Slots},
		"Status": map[string]any{"State": a.State, "Sequence": a.Sequence},
	}
	if a.State == "" {
		call, body = "instances.deregister", map[string]any{"born": a.StartMs}
	}
	data, err := json.Marshal(body)
	if err != nil {
		return 0, err
	}
	url := fmt.Sprintf("http://%s%s?call=%s&of=%s", address, announcePath, call, a.Instance)
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, url, bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/json")
	request.Close = true
	return fetchStatus(request)
}

// Ready sends a readiness probe to the address. ok is true if the node is ready for callers.
func Ready(ctx context.Context, address string) (ok bool) {
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+readinessPath, http.NoBody)
	if err != nil {
		return false
	}
	request.Close = true
	status, err := fetchStatus(request)
	return err == nil && status == http.StatusOK
}

func fetchStatus(request *http.Request) (status int, err error) {
	response, err := http.DefaultClient.Do(request)
	if err != nil {
		return 0, err
	}
	defer response.Body.Close()
	return response.StatusCode, nil
}

// Request returns the request of a caller that waits up to the time for a response.
func Request(address, method, path, id string, wait time.Duration) (request *http.Request, err error) {
	request, err = http.NewRequest(method, "http://"+address+path, http.NoBody)
	if err != nil {
		return nil, err
	}
	request.Host = Host
	request.Header.Set("X-Request-Id", id)
	request.Header.Set("X-Deadline-Ms", strconv.FormatInt(wait.Milliseconds(), 10))
	return request, nil
}

// HeadLines returns the header lines of a request of a caller, for clients that write the bytes
// of their requests themselves.
func HeadLines(id string, wait time.Duration) (lines string) {
	return fmt.Sprintf("Host: %s\r\nX-Request-Id: %s\r\nX-Deadline-Ms: %d\r\n", Host, id, wait.Milliseconds())
}

// ReceivedRequest holds the values that a backend server reads from the headers of a
// request.
type ReceivedRequest struct {
	ID, Caller string
	TimeLeft   time.Duration
}

// ParseRequest reads the headers of a request that a backend server has received.
func ParseRequest(r *http.Request) (s ReceivedRequest) {
	// A node always sends the remaining time. Without it, the remaining time is 0.
	left, _ := strconv.ParseInt(r.Header.Get("X-Deadline-Ms"), 10, 64)
	return ReceivedRequest{
		ID: r.Header.Get("X-Request-Id"), Caller: r.Header.Get("X-Caller-Service"), TimeLeft: time.Duration(left) * time.Millisecond,
	}
}

// Signed reports whether a response has the signature of a backend server.
func Signed(h http.Header) bool { return h.Get("X-Server-Signature") != "" }

// AnsweredRequestID returns the ID of the request that a response belongs to.
func AnsweredRequestID(h http.Header) string { return h.Get("X-Request-Id") }
