// Package metrics holds the OpenTelemetry instruments of a node and exports them to
// Prometheus.
//
// # Usage
//
//	m, err := metrics.New()
//	router.Handle("/metrics", m.Handler())
//	m.CallEnded(metrics.Call{Hop: metrics.Ingress, Service: "orders", Importance: call.Critical, Outcome: call.Answered}, latency)
//
// Service names must come from the settings, not from callers, because each value of a
// label takes memory in the node and in Prometheus. Calls to unknown services are
// counted with an empty service.
package metrics

// Kind is the type of an instrument.
type Kind uint8

const (
	// Counter never decreases while the process runs.
	Counter Kind = iota
	// Gauge has the current value.
	Gauge
	// Histogram counts observations in buckets.
	Histogram
)

var kindNames = [...]string{Counter: "counter", Gauge: "gauge", Histogram: "histogram"}

// String returns the name of the type in Prometheus.
func (k Kind) String() string { return kindNames[k] }

// Instrument describes one instrument in the catalogue.
type Instrument struct {
	// Name is the name in OpenTelemetry.
	Name string
	// Exported is the name on the scrape endpoint.
	Exported string
	Kind     Kind
	// Unit is in UCUM notation.
	Unit string
	// Labels are the names of the attributes, in order.
	Labels []string
	// Meaning explains to an operator what is measured.
	Meaning string
}

// Label names of the instruments.
const (
	labelHop        = "hop"
	labelService    = "service"
	labelImportance = "importance"
	labelOutcome    = "outcome"
	labelReason     = "reason"
	labelVerdict    = "verdict"
	labelRegion     = "region"
	labelHealth     = "health"
	labelResult     = "result"
	labelContent    = "content"
	labelSide       = "side"
)

var (
	calls = Instrument{
		Name: "lacewingslip.calls", Exported: "lacewingslip_calls_total", Kind: Counter, Unit: "{call}",
		Labels:  []string{labelHop, labelService, labelImportance, labelOutcome, labelReason},
		Meaning: "Calls that ended. The reason is empty for answered calls.",
	}
	callDuration = Instrument{
		Name: "lacewingslip.call.duration", Exported: "lacewingslip_call_duration_seconds", Kind: Histogram, Unit: "s",
		Labels:  []string{labelHop, labelService},
		Meaning: "Time from the arrival of a call at this hop to the end of its answer.",
	}
	retries = Instrument{
		Name: "lacewingslip.retries", Exported: "lacewingslip_retries_total", Kind: Counter, Unit: "{retry}",
		Labels:  []string{labelHop, labelService},
		Meaning: "Attempts after the first, each at the cost of one retry token.",
	}
	queueLength = Instrument{
		Name: "lacewingslip.queue.length", Exported: "lacewingslip_queue_length", Kind: Gauge, Unit: "{call}",
		Labels:  []string{labelService},
		Meaning: "Calls that wait in the sidecar for a slot.",
	}
	running = Instrument{
		Name: "lacewingslip.running", Exported: "lacewingslip_running", Kind: Gauge, Unit: "{call}",
		Labels:  []string{labelService},
		Meaning: "Calls that run at the backend server.",
	}
	limit = Instrument{
		Name: "lacewingslip.limit", Exported: "lacewingslip_limit", Kind: Gauge, Unit: "{call}",
		Labels:  []string{labelService},
		Meaning: "Calls that may run at once. It adapts between floor and slots.",
	}
	bookings = Instrument{
		Name: "lacewingslip.bookings", Exported: "lacewingslip_bookings_total", Kind: Counter, Unit: "{booking}",
		Labels:  []string{labelService, labelVerdict},
		Meaning: "Bookings by what the key's owner decided, such as run or replay.",
	}
	crossRegionBytes = Instrument{
		Name: "lacewingslip.cross.region.bytes", Exported: "lacewingslip_cross_region_bytes_total", Kind: Counter, Unit: "By",
		Labels:  []string{labelService, labelRegion},
		Meaning: "Bytes of requests and answers exchanged with the other region.",
	}
	members = Instrument{
		Name: "lacewingslip.members", Exported: "lacewingslip_members", Kind: Gauge, Unit: "{node}",
		Labels:  []string{labelHealth},
		Meaning: "Nodes that this node knows, by health.",
	}
	settingsOffset = Instrument{
		Name: "lacewingslip.settings.offset", Exported: "lacewingslip_settings_offset", Kind: Gauge, Unit: "{record}",
		Meaning: "Offset of the last settings record that was read. It is equal on all nodes when a change is in effect everywhere.",
	}
	pressure = Instrument{
		Name: "lacewingslip.pressure", Exported: "lacewingslip_pressure", Kind: Gauge, Unit: "{level}",
		Labels:  []string{labelService},
		Meaning: "Level at which customer requests for the service beside this node are refused: 0 none, 1 those of the lowest priority, 2 those of the next one as well.",
	}
	desiredVersion = Instrument{
		Name: "lacewingslip.desired.version", Exported: "lacewingslip_desired_version", Kind: Gauge, Unit: "{version}",
		Meaning: "Version of the desired state in force at this node.",
	}
	proofAge = Instrument{
		Name: "lacewingslip.proof.age", Exported: "lacewingslip_proof_age_seconds", Kind: Gauge, Unit: "s",
		Meaning: "Age of the proof that the desired state in force is the newest. Requests with a key are refused from nine tenths of the revocation time on.",
	}
	blockedRequests = Instrument{
		Name: "lacewingslip.blocked.requests", Exported: "lacewingslip_blocked_requests", Kind: Gauge, Unit: "{request}",
		Meaning: "Number of different calls that this node refuses because they crash backend servers.",
	}
	capRequests = Instrument{
		Name: "lacewingslip.cap.requests", Exported: "lacewingslip_cap_requests_total", Kind: Counter, Unit: "{request}",
		Labels:  []string{labelVerdict},
		Meaning: "Requests of workspaces with a cap by verdict: admitted, overCap, or noKeeper if no keeper of the cap could be asked.",
	}
	shareRequests = Instrument{
		Name: "lacewingslip.share.requests", Exported: "lacewingslip_share_requests_total", Kind: Counter, Unit: "{request}",
		Labels:  []string{labelVerdict},
		Meaning: "Requests of workspaces on routes under pressure by verdict: withinShare if the workspace asks for less than its share, beyondShare if it is admitted although it asks for more, returned if it is admitted before new ones because its caller has waited, or refused, also if another region accepts it then.",
	}
	retryAfter = Instrument{
		Name: "lacewingslip.retry.after", Exported: "lacewingslip_retry_after_seconds", Kind: Histogram, Unit: "s",
		Meaning: "Times after which callers that are refused under pressure are told to return.",
	}
	clientMemory = Instrument{
		Name: "lacewingslip.client.memory", Exported: "lacewingslip_client_memory_bytes", Kind: Gauge, Unit: "By",
		Labels:  []string{labelContent},
		Meaning: "Memory that clients take, by content: heads or bodies of requests, or answers that they have not read yet. Clients beyond the limits in operate/limits.md are turned away.",
	}
	clientMemoryLimit = Instrument{
		Name: "lacewingslip.client.memory.limit", Exported: "lacewingslip_client_memory_limit_bytes", Kind: Gauge, Unit: "By",
		Labels:  []string{labelContent},
		Meaning: "Memory that clients may take, by content as for lacewingslip_client_memory_bytes. 0 means that there is no limit.",
	}
	connections = Instrument{
		Name: "lacewingslip.connections", Exported: "lacewingslip_connections", Kind: Gauge, Unit: "{connection}",
		Labels:  []string{labelSide},
		Meaning: "Open connections by side: accepted from clients, or own for calls to the backend server and other nodes. Present only if the settings limit the descriptors.",
	}
	connectionLimit = Instrument{
		Name: "lacewingslip.connection.limit", Exported: "lacewingslip_connection_limit", Kind: Gauge, Unit: "{connection}",
		Labels:  []string{labelSide},
		Meaning: "Connections that may be open, by side as for lacewingslip_connections.",
	}
	clientRefusals = Instrument{
		Name: "lacewingslip.client.refusals", Exported: "lacewingslip_client_refusals_total", Kind: Counter, Unit: "{refusal}",
		Labels:  []string{labelReason},
		Meaning: "Clients turned away by the limits in operate/limits.md, by reason: headTooLarge, headTooSlow, headMemory, bodyMemory, answerMemory (a call refused because answers take all the memory), answerCut (an answer whose client did not read it), connectionRefused, connectionEnded (chosen to end in favour of a new one, also if it stays because bytes arrive) or ownConnection (no connection left for the call).",
	}
	capMessages = Instrument{
		Name: "lacewingslip.cap.messages", Exported: "lacewingslip_cap_messages_total", Kind: Counter, Unit: "{message}",
		Labels:  []string{labelResult},
		Meaning: "Messages by which this node has asked keepers of caps for credit, by result: answered or failed.",
	}
	levelQuestions = Instrument{
		Name: "lacewingslip.level.questions", Exported: "lacewingslip_level_questions_total", Kind: Counter, Unit: "{message}",
		Labels:  []string{labelResult},
		Meaning: "Questions by which this node has asked other nodes for the pressure level of a route, by result: known, unknown or failed. There are none while all levels are 0.",
	}
	capAccounts = Instrument{
		Name: "lacewingslip.cap.accounts", Exported: "lacewingslip_cap_accounts", Kind: Gauge, Unit: "{workspace}",
		Meaning: "Workspaces for which this node is a keeper of the cap and has been asked for credit.",
	}
	pace = Instrument{
		Name: "lacewingslip.pace", Exported: "lacewingslip_pace", Kind: Gauge, Unit: "{ratio}",
		Labels:  []string{labelService},
		Meaning: "How long work takes at the backend server, as a multiple of the usual time and without noise. Present only if the server states it.",
	}
	expectedRun = Instrument{
		Name: "lacewingslip.expected.run", Exported: "lacewingslip_expected_run_seconds", Kind: Gauge, Unit: "s",
		Labels:  []string{labelService},
		Meaning: "Expected run time of a call at the backend server, from the pace and the work of earlier calls.",
	}
	elasticity = Instrument{
		Name: "lacewingslip.elasticity", Exported: "lacewingslip_elasticity", Kind: Gauge, Unit: "{ratio}",
		Labels:  []string{labelService},
		Meaning: "By how many percent calls take longer if one percent more of them run. The limit may fall above 0.3.",
	}
	abandoned = Instrument{
		Name: "lacewingslip.abandoned", Exported: "lacewingslip_abandoned", Kind: Gauge, Unit: "{call}",
		Labels:  []string{labelService},
		Meaning: "Calls that the backend server may still run although nobody waits for the answer. They count against the limit.",
	}
	callsSucceeding = Instrument{
		Name: "lacewingslip.calls.succeeding", Exported: "lacewingslip_calls_succeeding_per_second", Kind: Gauge, Unit: "{call}/s",
		Labels:  []string{labelService},
		Meaning: "Calls of the service per second that this node sends and that the service does not reject.",
	}
	callsSustainable = Instrument{
		Name: "lacewingslip.calls.sustainable", Exported: "lacewingslip_calls_sustainable_per_second", Kind: Gauge, Unit: "{call}/s",
		Labels:  []string{labelService},
		Meaning: "Calls of the service per second that can all succeed, by the share that it rejects and the retries that the budget of this node still allows, at most 1000000.",
	}
	callsRejected = Instrument{
		Name: "lacewingslip.calls.rejected", Exported: "lacewingslip_calls_rejected", Kind: Gauge, Unit: "{ratio}",
		Labels:  []string{labelService},
		Meaning: "Share of the recent attempts of this node that the service has rejected.",
	}
	callPressure = Instrument{
		Name: "lacewingslip.call.pressure", Exported: "lacewingslip_call_pressure", Kind: Gauge, Unit: "{level}",
		Labels:  []string{labelService},
		Meaning: "Level at which customer requests are refused because more calls of the service fail than can be retried, with the meaning of lacewingslip_pressure.",
	}
)

// Catalogue returns all instruments in the order of docs/operate/metrics.md.
func Catalogue() []Instrument {
	return []Instrument{
		calls, callDuration, retries, queueLength, running, limit,
		bookings, crossRegionBytes, members, settingsOffset, pressure, desiredVersion, proofAge, blockedRequests,
		capRequests, capMessages, levelQuestions, capAccounts, shareRequests, retryAfter, clientMemory, clientMemoryLimit, connections, connectionLimit, clientRefusals,
		pace, expectedRun, elasticity, abandoned,
		callsSucceeding, callsSustainable, callsRejected, callPressure,
	}
}
