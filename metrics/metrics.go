package metrics

import (
	"context"
	"fmt"
	"net/http"
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

	// maxLabelSets bounds the label sets of one instrument. With 39 services, an
	// ingress needs about 39*4 label sets for answered calls, and as many for each
	// common reason.
	maxLabelSets = 4096
)

// durationBucketBounds are in seconds. The buckets are narrowest around the latency
// that the overload control layer may add (1.3 ms) and around common deadlines.
var durationBucketBounds = []float64{.0005, .001, .002, .005, .01, .02, .05, .1, .2, .5, 1, 2, 5, 10}

// Hop is the position in the call path at which a measurement was made.
type Hop string

const (
	// Ingress is the node to which a caller is connected.
	Ingress Hop = "ingress"
	// Sidecar is the node beside the backend server that ran the call.
	Sidecar Hop = "sidecar"
	// Egress is the node beside the backend server that made the child call.
	Egress Hop = "egress"
)

// Call has the attributes by which calls are counted.
type Call struct {
	Hop        Hop
	Service    string
	Importance call.Importance
	Outcome    call.Outcome
	Reason     call.Reason
}

// CapVerdict is the decision on a request of a workspace with a cap.
type CapVerdict string

const (
	// CapAdmitted requests are within the cap.
	CapAdmitted CapVerdict = "admitted"
	// CapExceeded requests are over the cap.
	CapExceeded CapVerdict = "overCap"
	// CapUnavailable requests are refused because no keeper of the cap could be asked.
	CapUnavailable CapVerdict = "noKeeper"
)

// Load is the state of the admission control of a sidecar.
type Load struct {
	Running, Limit, Queued int
}

// Capacity is what a backend server that states its pace is expected to handle.
type Capacity struct {
	// Pace is 0 if the server does not state it.
	Pace       float64
	MeanRun    time.Duration
	Elasticity float64
	Abandoned  int
}

// CallSuccess is how many calls of a service succeed.
type CallSuccess struct {
	SucceededPerS, SustainablePerS float64
	RejectedShare, Level           float64
}

// Metrics holds the instruments of one process. It is safe for concurrent use.
type Metrics struct {
	handler  http.Handler
	provider *sdk.MeterProvider

	calls                                           metric.Int64Counter
	callDuration                                    metric.Float64Histogram
	retries                                         metric.Int64Counter
	queueLength                                     metric.Int64Gauge
	running                                         metric.Int64Gauge
	limit                                           metric.Int64Gauge
	bookings                                        metric.Int64Counter
	crossRegionBytes                                metric.Int64Counter
	members                                         metric.Int64Gauge
	settingsOffset                                  metric.Int64Gauge
	pressure                                        metric.Float64Gauge
	desiredVersion                                  metric.Int64Gauge
	proofAge                                        metric.Float64Gauge
	blockedRequests                                 metric.Int64Gauge
	capRequests                                     metric.Int64Counter
	capMessages, levelQuestions                     metric.Int64Counter
	shareRequests                                   metric.Int64Counter
	retryAfter                                      metric.Float64Histogram
	clientMemory                                    metric.Int64Gauge
	clientMemoryLimit, connections, connectionLimit metric.Int64Gauge
	clientRefusals                                  metric.Int64Counter
	capAccounts                                     metric.Int64Gauge
	pace                                            metric.Float64Gauge
	expectedRun                                     metric.Float64Gauge
	elasticity                                      metric.Float64Gauge
	abandoned                                       metric.Int64Gauge
	callsSucceeding                                 metric.Float64Gauge
	callsSustainable                                metric.Float64Gauge
	callsRejected                                   metric.Float64Gauge
	callPressure                                    metric.Float64Gauge

	// Label sets are cached per combination of values, because creating one sorts and
	// allocates.
	callSets    labelSets[Call]
	hopSets     labelSets[hopKey]
	serviceSets labelSets[string]
	pairSets    labelSets[pairKey]
}

// New returns instruments with their own registry.
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

// Handler returns the handler of the scrape endpoint.
func (m *Metrics) Handler() http.Handler { return m.handler }

// Shutdown shuts the meter provider down.
func (m *Metrics) Shutdown(ctx context.Context) error { return m.provider.Shutdown(ctx) }

// CallEnded counts a call and records its latency at this hop.
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

// Retried counts a retry, which is any attempt after the first.
func (m *Metrics) Retried(hop Hop, service string) {
	m.retries.Add(context.Background(), 1, m.hop(hop, service).add...)
}

// SetLoad records the load of the sidecar of the service.
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

// SetMembers records the number of known nodes with the health.
func (m *Metrics) SetMembers(health string, nodes int) {
	m.members.Record(context.Background(), int64(nodes), m.pair(labelHealth, health, "", "").record...)
}

// SetSettingsOffset records the offset of the last settings record that was read.
func (m *Metrics) SetSettingsOffset(offset int64) {
	m.settingsOffset.Record(context.Background(), offset)
}

// SetPressure records the level at which requests for the service are refused.
func (m *Metrics) SetPressure(service string, level float64) {
	set := m.serviceSets.get(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelService, service)}
	})
	m.pressure.Record(context.Background(), level, set.record...)
}

// SetCapacity records what the backend server of the service is expected to handle.
func (m *Metrics) SetCapacity(service string, c Capacity) {
	if c.Pace == 0 {
		return
	}
	set := m.serviceSets.get(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelService, service)}
	})
	ctx := context.Background()
	m.pace.Record(ctx, c.Pace, set.record...)
	m.expectedRun.Record(ctx, c.MeanRun.Seconds(), set.record...)
	m.elasticity.Record(ctx, c.Elasticity, set.record...)
	m.abandoned.Record(ctx, int64(c.Abandoned), set.record...)
}

// SetCallSuccess records how many calls of the service succeed.
func (m *Metrics) SetCallSuccess(service string, s CallSuccess) {
	set := m.serviceSets.get(service, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelService, service)}
	})
	ctx := context.Background()
	m.callsSucceeding.Record(ctx, s.SucceededPerS, set.record...)
	m.callsSustainable.Record(ctx, s.SustainablePerS, set.record...)
	m.callsRejected.Record(ctx, s.RejectedShare, set.record...)
	m.callPressure.Record(ctx, s.Level, set.record...)
}

// SetBlockedRequests records the number of different calls that are refused because they
// crash backend servers.
func (m *Metrics) SetBlockedRequests(requests int) {
	m.blockedRequests.Record(context.Background(), int64(requests))
}

// CapDecided counts a request of a workspace with a cap.
func (m *Metrics) CapDecided(verdict CapVerdict) {
	m.capRequests.Add(context.Background(), 1, m.pair(labelVerdict, string(verdict), "", "").add...)
}

// ShareDecided counts a request of a workspace of whose rank only a part is admitted.
func (m *Metrics) ShareDecided(verdict string) {
	m.shareRequests.Add(context.Background(), 1, m.pair(labelVerdict, verdict, "", "").add...)
}

// ReturnPlanned records after which time the caller of a refused request is to return.
func (m *Metrics) ReturnPlanned(after time.Duration) {
	m.retryAfter.Record(context.Background(), after.Seconds())
}

// ClientContent is what is held in memory for clients.
type ClientContent string

const (
	// ClientHeads are the heads of requests.
	ClientHeads ClientContent = "heads"
	// ClientBodies are the bodies of requests.
	ClientBodies ClientContent = "bodies"
	// ClientAnswers are responses until their clients have read them.
	ClientAnswers ClientContent = "answers"
)

// SetClientMemory sets how much memory clients take, and how much they may take. A limit of 0
// means that there is none.
func (m *Metrics) SetClientMemory(content ClientContent, bytes, limit int64) {
	labels := m.pair(labelContent, string(content), "", "").record
	m.clientMemory.Record(context.Background(), bytes, labels...)
	m.clientMemoryLimit.Record(context.Background(), limit, labels...)
}

// ConnectionSide says which side has opened connections.
type ConnectionSide string

const (
	// AcceptedConnections counts the connections that clients have opened.
	AcceptedConnections ConnectionSide = "accepted"
	// OwnConnections counts the connections that this node has opened for requests, to the backend
	// server and other nodes.
	OwnConnections ConnectionSide = "own"
)

// SetConnections sets how many connections are open, and how many may be.
func (m *Metrics) SetConnections(side ConnectionSide, open, limit int) {
	labels := m.pair(labelSide, string(side), "", "").record
	m.connections.Record(context.Background(), int64(open), labels...)
	m.connectionLimit.Record(context.Background(), int64(limit), labels...)
}

// ClientRefusal is why clients were turned away.
type ClientRefusal string

const (
	// HeadTooLarge are heads beyond the limit of their length.
	HeadTooLarge ClientRefusal = "headTooLarge"
	// HeadTooSlow are heads beyond the limit of their time.
	HeadTooSlow ClientRefusal = "headTooSlow"
	// HeadRefused are heads for which there was no memory.
	HeadRefused ClientRefusal = "headMemory"
	// BodyRefused are bodies for which there was no memory.
	BodyRefused ClientRefusal = "bodyMemory"
	// AnswerRefused are requests refused because held responses took all the memory.
	AnswerRefused ClientRefusal = "answerMemory"
	// AnswerCut are responses that were not read and cut in favour of others.
	AnswerCut ClientRefusal = "answerCut"
	// ConnectionRefused are new connections for which there was no room.
	ConnectionRefused ClientRefusal = "connectionRefused"
	// ConnectionEnded are connections chosen to end in favour of new ones.
	ConnectionEnded ClientRefusal = "connectionEnded"
	// OwnConnectionRefused are requests for which this node had no connection left.
	OwnConnectionRefused ClientRefusal = "ownConnection"
)

// ClientRefusals has all reasons.
var ClientRefusals = []ClientRefusal{
	HeadTooLarge, HeadTooSlow, HeadRefused, BodyRefused, AnswerRefused, AnswerCut, ConnectionRefused, ConnectionEnded, OwnConnectionRefused,
}

// ClientsRefused counts clients that were turned away.
func (m *Metrics) ClientsRefused(reason ClientRefusal, count int64) {
	m.clientRefusals.Add(context.Background(), count, m.pair(labelReason, string(reason), "", "").add...)
}

// CapMessageSent counts a message to a keeper of caps.
func (m *Metrics) CapMessageSent(answered bool) {
	result := "failed"
	if answered {
		result = "answered"
	}
	m.capMessages.Add(context.Background(), 1, m.pair(labelResult, result, "", "").add...)
}

// LevelResult is the result of a question for a pressure level.
type LevelResult string

const (
	// LevelKnown means that the answer states a level.
	LevelKnown LevelResult = "known"
	// LevelUnknown means that the node that was asked does not know it.
	LevelUnknown LevelResult = "unknown"
	// LevelFailed means that there is no answer, as from a node of an earlier version.
	LevelFailed LevelResult = "failed"
)

// LevelAsked counts a question for a pressure level.
func (m *Metrics) LevelAsked(result LevelResult) {
	m.levelQuestions.Add(context.Background(), 1, m.pair(labelResult, string(result), "", "").add...)
}

// SetCapAccounts records the number of workspaces whose cap this node keeps.
func (m *Metrics) SetCapAccounts(workspaces int) {
	m.capAccounts.Record(context.Background(), int64(workspaces))
}

// SetDesiredVersion records the version of the desired state that is in effect.
func (m *Metrics) SetDesiredVersion(version int64) {
	m.desiredVersion.Record(context.Background(), version)
}

// SetProofAge records the age of the proof that the desired state is the newest.
func (m *Metrics) SetProofAge(age time.Duration) {
	m.proofAge.Record(context.Background(), age.Seconds())
}

func (m *Metrics) createInstruments() error {
	c := instrumentCreator{meter: m.provider.Meter(meterName)}
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
	m.pressure = c.floatGauge(pressure)
	m.desiredVersion = c.gauge(desiredVersion)
	m.proofAge = c.floatGauge(proofAge)
	m.blockedRequests = c.gauge(blockedRequests)
	m.capRequests = c.counter(capRequests)
	m.capMessages = c.counter(capMessages)
	m.levelQuestions = c.counter(levelQuestions)
	m.shareRequests = c.counter(shareRequests)
	m.retryAfter = c.histogram(retryAfter)
	m.clientMemory = c.gauge(clientMemory)
	m.clientMemoryLimit = c.gauge(clientMemoryLimit)
	m.connections = c.gauge(connections)
	m.connectionLimit = c.gauge(connectionLimit)
	m.clientRefusals = c.counter(clientRefusals)
	m.capAccounts = c.gauge(capAccounts)
	m.pace = c.floatGauge(pace)
	m.expectedRun = c.floatGauge(expectedRun)
	m.elasticity = c.floatGauge(elasticity)
	m.abandoned = c.gauge(abandoned)
	m.callsSucceeding = c.floatGauge(callsSucceeding)
	m.callsSustainable = c.floatGauge(callsSustainable)
	m.callsRejected = c.floatGauge(callsRejected)
	m.callPressure = c.floatGauge(callPressure)
	return c.err
}

func (m *Metrics) hop(hop Hop, service string) labelSet {
	return m.hopSets.get(hopKey{hop, service}, func() []attribute.KeyValue {
		return []attribute.KeyValue{attribute.String(labelHop, string(hop)), attribute.String(labelService, service)}
	})
}

// pair returns the label set of one or two labels. The second label is omitted if its
// name is empty.
func (m *Metrics) pair(firstName, first, secondName, second string) labelSet {
	return m.pairSets.get(pairKey{firstName, first, secondName, second}, func() []attribute.KeyValue {
		labels := []attribute.KeyValue{attribute.String(firstName, first)}
		if secondName != "" {
			labels = append(labels, attribute.String(secondName, second))
		}
		return labels
	})
}
