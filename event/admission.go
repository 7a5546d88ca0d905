package event

import "log/slog"

// Events of admission and routing.
const (
	LimitChanged    ID = 4001
	SheddingStarted ID = 4002
	SheddingStopped ID = 4003
	PressureChanged ID = 4004
	// PaceChanged is about a backend server that states how long work takes.
	PaceChanged     ID = 4005
	UpstreamAvoided ID = 4101
	// QuarantineChanged is about calls that crash backend servers.
	QuarantineChanged ID = 4102
	// CapRefusalsStarted and CapRefusalsEnded are about the caps of workspaces.
	CapRefusalsStarted ID = 4201
	CapRefusalsEnded   ID = 4202
)

var admissionEvents = []Description{
	{ID: LimitChanged, Name: "limitChanged", Level: slog.LevelDebug, Meaning: "The concurrency limit of the backend server was adjusted. On the users' platform it is recorded for changes of a tenth or more, and the attributes are the limit, the slots, the elasticity of the run time, and the abandoned requests that the server may still run."},
	{ID: SheddingStarted, Name: "sheddingStarted", Level: slog.LevelWarn, Meaning: "The sidecar started to refuse calls because its queue was full."},
	{ID: SheddingStopped, Name: "sheddingStopped", Level: slog.LevelInfo, Meaning: "The sidecar stopped refusing calls."},
	{ID: PaceChanged, Name: "paceChanged", Level: slog.LevelInfo, Meaning: "The backend server beside this node states that work takes longer or less long than before, by a quarter or more and for longer than noise lasts. The attributes are the pace as a multiple of the usual time, the mean run time that results, and the limit."},
	{ID: UpstreamAvoided, Name: "upstreamAvoided", Level: slog.LevelInfo, Meaning: "An upstream refused a call or failed, and receives fewer calls for a short time."},
	{ID: QuarantineChanged, Name: "quarantineChanged", Level: slog.LevelWarn, Meaning: "The number of different calls that are refused because they crash backend servers changed. Such a call has ended at least three servers that ran it and was completed by none. Refused calls are recorded as callNotRun with the reason quarantined."},
	{ID: CapRefusalsStarted, Name: "capRefusalsStarted", Level: slog.LevelInfo, Meaning: "This node started to refuse requests of a workspace because of its cap. The attribute overCap is true if the workspace sends more than its cap, and false if no keeper of the cap could be asked. The refused requests are recorded as callNotRun with the reason overCap or noCredit."},
	{ID: CapRefusalsEnded, Name: "capRefusalsEnded", Level: slog.LevelInfo, Meaning: "This node has refused no request of the workspace because of its cap for 5 s. The attributes overCap and noKeeper are the numbers of refused requests."},
	{ID: PressureChanged, Name: "pressureChanged", Level: slog.LevelInfo, Meaning: "The level at which customer requests for this backend server's service are refused changed by 0.1 or more. The attribute demand shows the cause: the demand as a share of the slots."},
}
