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

// contestant carries calls between callers and backend servers. Those of a run
// see the same load and the same backend servers.
type contestant interface {
	// start brings the contestant up for backend servers that listen already.
	start(ctx context.Context, w *world) error
	// entry is the base URL to which a caller in the region sends a request to
	// the service.
	entry(region, service string) string
	// egress is the base URL to which the backend server sends a child call.
	egress(b *backend, service string) string
	stop()
}

var contestants = map[string]func() contestant{
	"none":         func() contestant { return &noLayer{} },
	"relay":        func() contestant { return &relays{} },
	"lacewingslip": func() contestant { return &lacewing{} },
}

// Contestants returns the names of all contestants.
func Contestants() []string { return slices.Sorted(maps.Keys(contestants)) }

// world is the surroundings of one run: its backend servers and meter.
type world struct {
	file     *File
	backends []*backend
	meter    *meter
	client   *http.Client
	// next holds the turn of each service. A counter for all would let chains of
	// even length meet the same backend server again and again.
	next map[string]*atomic.Uint64
}

// newWorld starts the backend servers of the file.
func newWorld(ctx context.Context, f *File) (w *world, err error) {
	w = &world{file: f, meter: &meter{work: make(map[string]time.Duration), reasons: make(map[string]int)}, next: make(map[string]*atomic.Uint64)}
	w.client = &http.Client{Transport: &http.Transport{MaxIdleConnsPerHost: 512, IdleConnTimeout: 10 * time.Second}}
	for _, service := range slices.Sorted(maps.Keys(f.Services)) {
		w.next[service] = new(atomic.Uint64)
		for _, region := range f.Regions {
			for _, zone := range []string{region + "-a", region + "-b"} {
				for range f.Services[service].PerZone {
					b := &backend{Backends: f.Services[service], service: service, region: region, zone: zone, meter: w.meter, repeats: f.BackendRetries}
					b.random = rand.New(rand.NewPCG(f.Seed, uint64(len(w.backends))))
					if err := b.listen(); err != nil {
						w.stop()
						return nil, err
					}
					go b.watchLoad(ctx)
					w.backends = append(w.backends, b)
				}
			}
		}
	}
	return w, nil
}

// connect lets the backend servers send child calls through the contestant.
func (w *world) connect(c contestant) {
	for _, b := range w.backends {
		b.child = func(ctx context.Context, b *backend, service string, header http.Header) reply {
			return send(ctx, w.client, http.MethodGet, c.egress(b, service)+"/"+service+"/child", header)
		}
	}
}

// turn returns the addresses of the service's backend servers, beginning with
// the next in turn.
func (w *world) turn(service string) []string {
	var addresses []string
	for _, b := range w.backends {
		if b.service == service {
			addresses = append(addresses, b.address)
		}
	}
	first := int(w.next[service].Add(1) % uint64(len(addresses)))
	return append(addresses[first:], addresses[:first]...)
}

func (w *world) slow(factors map[string]float64) {
	for _, b := range w.backends {
		percent := int64(100)
		if factor, ok := factors[b.service]; ok {
			percent = int64(100 * factor)
		}
		b.slow.Store(percent)
	}
}

func (w *world) stop() {
	for _, b := range w.backends {
		_ = b.server.Close()
	}
	w.client.CloseIdleConnections()
}

// noLayer lets everyone call backend servers directly, in turn.
type noLayer struct{ w *world }

func (n *noLayer) start(_ context.Context, w *world) error {
	n.w = w
	return nil
}

func (n *noLayer) entry(_, service string) string           { return "http://" + n.w.turn(service)[0] }
func (n *noLayer) egress(_ *backend, service string) string { return n.entry("", service) }
func (n *noLayer) stop()                                    {}

// relayAttempts is how often a relay sends a call before it gives up.
const relayAttempts = 3

// relays is one plain relay per region. It takes backend servers in turn and
// sends a failed call to the next one.
type relays struct {
	w       *world
	servers map[string]*http.Server
	address map[string]string
}

func (p *relays) start(_ context.Context, w *world) error {
	p.w, p.servers, p.address = w, make(map[string]*http.Server), make(map[string]string)
	for _, region := range w.file.Regions {
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
	addresses := p.w.turn(service)
	var last reply
	for i := range relayAttempts {
		if i > 0 {
			p.w.meter.retries.Add(1)
		}
		last = send(r.Context(), p.w.client, r.Method, "http://"+addresses[i%len(addresses)]+r.URL.Path, r.Header)
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

func (p *relays) entry(region, _ string) string      { return "http://" + p.address[region] }
func (p *relays) egress(b *backend, _ string) string { return "http://" + p.address[b.region] }

func (p *relays) stop() {
	for _, server := range p.servers {
		_ = server.Close()
	}
}
