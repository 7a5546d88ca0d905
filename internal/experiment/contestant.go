package experiment

import (
	"context"
	"io"
	"maps"
	"math/rand/v2"
	"net"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"time"
)

// contestant is one of the systems that an experiment compares. It forwards calls
// between callers and backend servers. All contestants of an experiment get the same
// load and equal backend servers.
type contestant interface {
	// start starts the contestant. The backend servers already listen.
	start(ctx context.Context, env *environment) error
	// callerURL returns the base URL for requests of a caller in the region to the
	// service.
	callerURL(region, service string) string
	// childURL returns the base URL for child calls of the backend server to the
	// service.
	childURL(b *backend, service string) string
	stop()
}

var contestants = map[string]func() contestant{
	"none":         func() contestant { return &noLayer{} },
	"relay":        func() contestant { return &relays{} },
	"lacewingslip": func() contestant { return &nodeLayer{} },
}

// Contestants returns the names of all contestants.
func Contestants() []string { return slices.Sorted(maps.Keys(contestants)) }

// environment holds the backend servers, the meter and the HTTP client of one run.
type environment struct {
	file     *File
	backends []*backend
	meter    *meter
	client   *http.Client
	// nextIndex holds the round-robin counter of each service. With a single counter
	// for all services, the calls of a chain of even length would always reach the
	// same backend servers.
	nextIndex map[string]*atomic.Uint64
}

// newEnvironment starts the backend servers that the file describes.
func newEnvironment(ctx context.Context, f *File) (env *environment, err error) {
	env = &environment{file: f, meter: &meter{timeByAttempt: make(map[string]time.Duration), reasons: make(map[string]int)}, nextIndex: make(map[string]*atomic.Uint64)}
	env.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}}
	for _, service := range slices.Sorted(maps.Keys(f.Services)) {
		env.nextIndex[service] = new(atomic.Uint64)
		for _, region := range f.Regions {
			for _, zone := range []string{region + "-a", region + "-b"} {
				for range f.Services[service].PerZone {
					b := &backend{ServiceSpec: f.Services[service], service: service, region: region, zone: zone, meter: env.meter, maxRetries: f.BackendRetries}
					b.random = rand.New(rand.NewPCG(f.Seed, uint64(len(env.backends))))
					if err := b.listen(); err != nil {
						env.stop()
						return nil, err
					}
					go b.updateReportedLoad(ctx)
					env.backends = append(env.backends, b)
				}
			}
		}
	}
	return env, nil
}

// connectBackends makes the backend servers send child calls through the contestant.
func (env *environment) connectBackends(c contestant) {
	for _, b := range env.backends {
		b.sendChild = func(ctx context.Context, b *backend, service string, header http.Header) response {
			return send(ctx, env.client, http.MethodGet, c.childURL(b, service)+"/"+service+"/child", header)
		}
	}
}

// rotatedAddresses returns the addresses of the service's backend servers, beginning
// with the next one in round-robin order.
func (env *environment) rotatedAddresses(service string) []string {
	var addresses []string
	for _, b := range env.backends {
		if b.service == service {
			addresses = append(addresses, b.address)
		}
	}
	first := int(env.nextIndex[service].Add(1) % uint64(len(addresses)))
	return append(addresses[first:], addresses[:first]...)
}

// setServiceTimeFactors multiplies the configured service time of the given services
// and resets that of all others.
func (env *environment) setServiceTimeFactors(factors map[string]float64) {
	for _, b := range env.backends {
		percent := int64(100)
		if factor, ok := factors[b.service]; ok {
			percent = int64(100 * factor)
		}
		b.serviceTimePercent.Store(percent)
	}
}

func (env *environment) stop() {
	for _, b := range env.backends {
		_ = b.server.Close()
	}
	env.client.CloseIdleConnections()
}

// noLayer is the contestant without a layer: callers and backend servers call backend
// servers directly, in round-robin order.
type noLayer struct{ env *environment }

func (n *noLayer) start(_ context.Context, env *environment) error {
	n.env = env
	return nil
}

func (n *noLayer) callerURL(_, service string) string {
	return "http://" + n.env.rotatedAddresses(service)[0]
}
func (n *noLayer) childURL(_ *backend, service string) string { return n.callerURL("", service) }
func (n *noLayer) stop()                                      {}

// relayAttempts is the maximum number of attempts of a relay for each call.
const relayAttempts = 3

// relays is the contestant with one HTTP relay per region. A relay selects backend
// servers in round-robin order and retries a failed call at the next one.
type relays struct {
	env     *environment
	servers map[string]*http.Server
	address map[string]string
}

func (p *relays) start(_ context.Context, env *environment) error {
	p.env, p.servers, p.address = env, make(map[string]*http.Server), make(map[string]string)
	for _, region := range env.file.Regions {
		listener, err := net.Listen("tcp", "127.0.0.1:0")
		if err != nil {
			return err
		}
		server := &http.Server{Handler: http.HandlerFunc(p.serve), ReadHeaderTimeout: time.Minute}
		go func() { _ = server.Serve(listener) }()
		p.servers[region], p.address[region] = server, listener.Addr().String()
	}
	return nil
}

func (p *relays) serve(w http.ResponseWriter, r *http.Request) {
	service, _, _ := strings.Cut(strings.TrimPrefix(r.URL.Path, "/"), "/")
	addresses := p.env.rotatedAddresses(service)
	var last response
	for i := range relayAttempts {
		if i > 0 {
			p.env.meter.retries.Add(1)
		}
		last = send(r.Context(), p.env.client, r.Method, "http://"+addresses[i%len(addresses)]+r.URL.Path, r.Header)
		if last.status != 0 && last.status < 500 || r.Context().Err() != nil {
			break
		}
	}
	if last.status == 0 {
		last.status = http.StatusBadGateway
	}
	w.WriteHeader(last.status)
	_, _ = io.WriteString(w, last.body)
}

func (p *relays) callerURL(region, _ string) string    { return "http://" + p.address[region] }
func (p *relays) childURL(b *backend, _ string) string { return "http://" + p.address[b.region] }

func (p *relays) stop() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}
