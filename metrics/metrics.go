package metrics

import (
	"context"
	"fmt"
	"net/http"
	"sync"
	"time"

	"github.com/prometheus/client_golang/prometheus"
	"github.com/prometheus/client_golang/prometheus/collectors"
	"github.com/prometheus/client_golang/prometheus/promhttp"
	"go.opentelemetry.io/otel/attribute"
	exporter "go.opentelemetry.io/otel/exporters/prometheus"
	"go.opentelemetry.io/otel/metric"
	sdk "go.opentelemetry.io/otel/sdk/metric"

	"github.com/lacewingslip/lacewingslip/call"
)

const (
	meterName = "github.com/lacewingslip/lacewingslip"

	// maxLabelSets bounds the label sets of one instrument. At 39 services an
	// ingress needs about 39*4 answered ones and as many per common reason.
	maxLabelSets = 4096
)

// durationBounds are in seconds. The finest steps lie around the latency that
// the layer may add (1.3 ms) and around usual deadlines.
var durationBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Hop is the part of the call path that measured.
type Hop string

const (
	// Ingress is the node that a caller connected to.
	Ingress Hop = "ingress"
	// Sidecar is the node beside the backend server that ran the call.
	Sidecar Hop = "sidecar"
	// Egress is the node beside the backend server that made the child call.
	Egress Hop = "egress"
)

// Call is what a call is counted by.
type Call struct {
	Hop        Hop
	Service    string
	Importance call.Importance
	Outcome    call.Outcome
	Reason     call.Reason
}

// Load is the state of a sidecar's admission control.
type Load struct {
	Running, Limit, Queued int
}

// Metrics holds the instruments of one process. It is safe for concurrent use.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	calls            metric.Int64Counter
	callDuration     metric.Float64Histogram
	retries          metric.Int64Counter
	queueLength      metric.Int64Gauge
	running          metric.Int64Gauge
	limit            metric.Int64Gauge
	bookings         metric.Int64Counter
	crossRegionBytes metric.Int64Counter
	members          metric.Int64Gauge
	settingsOffset   metric.Int64Gauge
	pressure         metric.Float64Gauge
	desiredVersion   metric.Int64Gauge

	// Label sets are made once per combination, since making one sorts and
	// allocates.
	callSets    labelSets[Call]
	hopSets     labelSets[hopKey]
	serviceSets labelSets[string]
	pairSets    labelSets[pairKey]
}

// New returns the instruments with a registry of their own.
func New() (m *Metrics, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("create metrics: %w", err)
		}
	}()
	registry := prometheus.NewRegistry()
	registry.MustRegister(collectors.NewGoCollector(), collectors.NewProcessCollector(collectors.ProcessCollectorOpts{}))
	reader, err := exporter.New(exporter.WithRegisterer(registry), exporter.WithoutScopeInfo(), exporter.WithoutTargetInfo())
	if err != nil {
		return nil, err
	}
	m = &Metrics{
		handler:  promhttp.HandlerFor(registry, promhttp.HandlerOpts{}),
		provider: sdk.NewMeterProvider(sdk.WithReader(reader), sdk.WithCardinalityLimit(maxLabelSets)),
	}
	if err := m.createInstruments(); err != nil {
		return nil, err
	}
	return m, nil
}

// Handler serves the scrape endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown ends the meter provider.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// CallEnded counts a call and the time it took at this hop.
func (m *Metrics) CallEnded(c Call, latency time.Duration) {
	set := m.callSets.get(c, func() []attribute.KeyValue {
		return []attribute.KeyValue{
			attribute.String(labelHop, string(c.Hop)),
			attribute.String(labelService, c.Service),
			attribute.String(labelImportance, c.Importance.String()),
			attribute.String(labelOutcome, c.Outcome.String()),
			attribute.String(labelReason, string(c.Reason)),
		}
	})
	ctx := context.Background()
	m.calls.Add(ctx, 1, set.add...)
	m.callDuration.Record(ctx, latency.Seconds(), m.hop(c.Hop, c.Service).record...)
}

// Retried counts an attempt after the first.
func (m *Metrics) Retried(hop Hop, service string) {
	m.retries.Add(context.Background(), 1, m.hop(hop, service).add...)
}

// SetLoad states the load of the sidecar of the service.
func (m *Metrics) SetLoad(service string, load Load) {
	set := m.serviceSets.get(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelService, service)}
	})
	ctx := context.Background()
	m.queueLength.Record(ctx, int64(load.Queued), set.record...)
	m.running.Record(ctx, int64(load.Running), set.record...)
	m.limit.Record(ctx, int64(load.Limit), set.record...)
}

// BookingDecided counts a booking by the verdict on its key.
func (m *Metrics) BookingDecided(service, verdict string) {
	m.bookings.Add(context.Background(), 1, m.pair(labelService, service, labelVerdict, verdict).add...)
}

// CrossRegion counts bytes exchanged with another region for the service.
func (m *Metrics) CrossRegion(service, region string, bytes int64) {
	m.crossRegionBytes.Add(context.Background(), bytes, m.pair(labelService, service, labelRegion, region).add...)
}

// SetMembers states how many nodes of the health are known.
func (m *Metrics) SetMembers(health string, nodes int) {
	m.members.Record(context.Background(), int64(nodes), m.pair(labelHealth, health, "", "").record...)
}

// SetSettingsOffset states the offset of the last settings record that was
// read.
func (m *Metrics) SetSettingsOffset(offset int64) {
	m.settingsOffset.Record(context.Background(), offset)
}

// SetPressure states the level at which requests for the service are refused.
func (m *Metrics) SetPressure(service string, level float64) {
	set := m.serviceSets.get(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelService, service)}
	})
	m.pressure.Record(context.Background(), level, set.record...)
}

// SetDesiredVersion states the version of the desired state in force.
func (m *Metrics) SetDesiredVersion(version int64) {
	m.desiredVersion.Record(context.Background(), version)
}

func (m *Metrics) createInstruments() error {
	c := creator{meter: m.provider.Meter(meterName)}
	m.calls = c.counter(calls)
	m.callDuration = c.histogram(callDuration)
	m.retries = c.counter(retries)
	m.queueLength = c.gauge(queueLength)
	m.running = c.gauge(running)
	m.limit = c.gauge(limit)
	m.bookings = c.counter(bookings)
	m.crossRegionBytes = c.counter(crossRegionBytes)
	m.members = c.gauge(members)
	m.settingsOffset = c.gauge(settingsOffset)
	m.pressure = c.level(pressure)
	m.desiredVersion = c.gauge(desiredVersion)
	return c.err
}

func (m *Metrics) hop(hop Hop, service string) labelSet {
	return m.hopSets.get(hopKey{hop, service}, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelHop, string(hop)), attribute.String(labelService, service)}
	})
}

// pair returns the set of one or two labels. An empty second name leaves it
// out.
func (m *Metrics) pair(firstName, first, secondName, second string) labelSet {
	return m.pairSets.get(pairKey{firstName, first, secondName, second}, func() []attribute.KeyValue {
		labels := []attribute.KeyValue{attribute.String(firstName, first)}
		if secondName != "" {
			labels = append(labels, attribute.String(secondName, second))
		}
		return labels
	})
}

// creator keeps the first error, so that instruments are made one per line.
type creator struct {
	meter metric.Meter
	err   error
}

func (c *creator) counter(i Instrument) metric.Int64Counter {
	made, err := c.meter.Int64Counter(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.note(i, err)
	return made
}

func (c *creator) gauge(i Instrument) metric.Int64Gauge {
	made, err := c.meter.Int64Gauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.note(i, err)
	return made
}

func (c *creator) level(i Instrument) metric.Float64Gauge {
	made, err := c.meter.Float64Gauge(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning))
	c.note(i, err)
	return made
}

func (c *creator) histogram(i Instrument) metric.Float64Histogram {
	made, err := c.meter.Float64Histogram(i.Name, metric.WithUnit(i.Unit), metric.WithDescription(i.Meaning),
		metric.WithExplicitBucketBoundaries(durationBounds...))
	c.note(i, err)
	return made
}

func (c *creator) note(i Instrument, err error) {
	if err != nil && c.err == nil {
		c.err = fmt.Errorf("instrument %s: %w", i.Name, err)
	}
}

type hopKey struct {
	hop     Hop
	service string
}

type pairKey struct {
	firstName, first, secondName, second string
}

// labelSet is a set of labels in the forms that counters and other instruments
// take. Passing the slices on avoids an allocation per measurement.
type labelSet struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

// labelSets holds the label sets made so far.
type labelSets[K comparable] struct {
	mu   sync.RWMutex
	made map[K]labelSet
}

func (s *labelSets[K]) get(key K, labels func() []attribute.KeyValue) labelSet {
	s.mu.RLock()
	set, found := s.made[key]
	s.mu.RUnlock()
	if found {
		return set
	}
	option := metric.WithAttributeSet(attribute.NewSet(labels()...))
	set = labelSet{add: []metric.AddOption{option}, record: []metric.RecordOption{option}}

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.made == nil {
		s.made = make(map[K]labelSet)
	}
	if len(s.made) < maxLabelSets {
		s.made[key] = set
	}
	return set
}
