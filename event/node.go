package event

import "log/slog"

// Events of the node and its backend server.
const (
	NodeStarted           ID = 1001
	NodeStopping          ID = 1002
	NodeStopped           ID = 1003
	StopDeadlineExceeded  ID = 1004
	NodeReloaded          ID = 1005
	IdleConnectionsClosed ID = 1006
	RequestNotRead        ID = 1007
	ServerError           ID = 1008
	// CallSuccessChanged is about the calls that the backend server beside this node makes.
	CallSuccessChanged ID = 1040
	// ClientsRefused is about clients beyond the limits.
	ClientsRefused ID = 1009
	// ShareExceeded is about workspaces beyond their share of the admitted requests.
	ShareExceeded         ID = 1050
	BackendAnnounced      ID = 1101
	BackendDraining       ID = 1102
	BackendDrained        ID = 1103
	BackendUnreachable    ID = 1104
	BackendReachable      ID = 1105
	AnnouncementTaken     ID = 1106
	AnnouncementRejected  ID = 1107
	BackendCrashed        ID = 1109
	AnnouncementHeld      ID = 1110
	AnnouncementPostponed ID = 1111
)

var nodeEvents = []Description{
	{ID: NodeStarted, Name: "nodeStarted", Level: slog.LevelInfo, Meaning: "The node listens and has started to discover other nodes."},
	{ID: NodeStopping, Name: "nodeStopping", Level: slog.LevelInfo, Meaning: "A planned stop began: new calls are refused, calls in progress continue."},
	{ID: NodeStopped, Name: "nodeStopped", Level: slog.LevelInfo, Meaning: "All calls in progress have ended and the node exits."},
	{ID: StopDeadlineExceeded, Name: "stopDeadlineExceeded", Level: slog.LevelError, Meaning: "Calls were still in progress at the stop deadline and were aborted. Increase stopDeadline if this happens in planned stops."},
	{ID: CallSuccessChanged, Name: "callSuccessChanged", Level: slog.LevelInfo, Meaning: "The level changed by 0.25 or more, or ended, at which customer requests are refused because the backend server beside this node calls a service that rejects more calls than can be retried. The attributes are that service, the level, the rate of calls, of those that succeed and of those that could all succeed, and the share of attempts that the service rejects."},
	{ID: BackendAnnounced, Name: "backendAnnounced", Level: slog.LevelInfo, Meaning: "The backend server beside this node announced itself and receives calls."},
	{ID: BackendDraining, Name: "backendDraining", Level: slog.LevelInfo, Meaning: "The backend server started to shut down and receives no new calls."},
	{ID: BackendUnreachable, Name: "backendUnreachable", Level: slog.LevelWarn, Meaning: "The backend server refuses connections, so other nodes send it no calls until it accepts them again."},
	{ID: BackendReachable, Name: "backendReachable", Level: slog.LevelInfo, Meaning: "The backend server accepts connections again and receives calls."},
	{ID: BackendDrained, Name: "backendDrained", Level: slog.LevelInfo, Meaning: "The last call in progress at the draining backend server ended. The server may exit."},
	{ID: AnnouncementTaken, Name: "announcementTaken", Level: slog.LevelInfo, Meaning: "The backend server beside this node sent an announcement or a deregistration. The attribute change says whether it changed the known state, was outdated, or was for another server."},
	{ID: AnnouncementRejected, Name: "announcementRejected", Level: slog.LevelWarn, Meaning: "A message to the announcement address could not be decoded and was ignored."},
	{ID: BackendCrashed, Name: "backendCrashed", Level: slog.LevelWarn, Meaning: "The backend server ended or stopped responding while it ran calls, without having announced that it leaves. The attributes are the number of these calls, how many of them are suspect of having caused it, and the sign by which that was detected."},
	{ID: AnnouncementHeld, Name: "announcementHeld", Level: slog.LevelInfo, Meaning: "The backend server announced that it is ready, but the node has just started and does not know yet whether an earlier process of the node has acknowledged that the server leaves. The announcement takes effect once it does."},
	{ID: AnnouncementPostponed, Name: "announcementPostponed", Level: slog.LevelWarn, Meaning: "The backend server announced that it leaves. That is in force, but neither the log service nor enough other nodes hold it yet, so it is not acknowledged and the server repeats it."},
	{ID: NodeReloaded, Name: "nodeReloaded", Level: slog.LevelInfo, Meaning: "The node reloaded its settings. New time and retry limits take effect; addresses remain unchanged."},
	{ID: IdleConnectionsClosed, Name: "idleConnectionsClosed", Level: slog.LevelInfo, Meaning: "Connections of callers were idle for longer than the limit in the desired state and were closed. The attributes are their number, the longest idle time, the limit, and the version that has the limit."},
	{ID: RequestNotRead, Name: "requestNotRead", Level: slog.LevelInfo, Meaning: "A connection ended after a part of a request had arrived, but before its whole head had been read. The request was not passed on. The attributes are the time since the first part was read, the bytes that had arrived unread, the error of the read, the status line that was sent, if any, and the version in force."},
	{ID: ServerError, Name: "serverError", Level: slog.LevelWarn, Meaning: "The HTTP server of the node reported an error. The attribute detail is its message."},
	{ID: ClientsRefused, Name: "clientsRefused", Level: slog.LevelWarn, Meaning: "Clients were turned away by the limits in operate/limits.md since the last such event, which is recorded at most once in 5 s. The attributes are their numbers by reason, as in the metric lacewingslip_client_refusals_total."},
	{ID: ShareExceeded, Name: "shareExceeded", Level: slog.LevelInfo, Meaning: "Requests of a workspace are refused under pressure, because it sends more than its share. The attributes are the workspace, the route, the level, and the rates that the workspace asks for and gets, in requests per second. It is recorded at most once in 5 s, so other workspaces may be refused as well."},
}
