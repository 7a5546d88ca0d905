package event

import "log/slog"

// Events of a node's life.
const (
	NodeStarted          ID = 1001
	NodeStopping         ID = 1002
	NodeStopped          ID = 1003
	StopDeadlineExceeded ID = 1004
	NodeReloaded         ID = 1005
	BackendAnnounced     ID = 1101
	BackendDraining      ID = 1102
	BackendDrained       ID = 1103
	BackendUnreachable   ID = 1104
	BackendReachable     ID = 1105
	AnnouncementTaken    ID = 1106
	AnnouncementRejected ID = 1107
)

var nodeEvents = []Entry{
	{ID: NodeStarted, Name: "nodeStarted", Level: slog.LevelInfo, Meaning: "The node listens and has begun to look for other nodes."},
	{ID: NodeStopping, Name: "nodeStopping", Level: slog.LevelInfo, Meaning: "A planned stop began: new work is refused, calls in progress go on."},
	{ID: NodeStopped, Name: "nodeStopped", Level: slog.LevelInfo, Meaning: "All calls in progress ended and the node exits."},
	{ID: StopDeadlineExceeded, Name: "stopDeadlineExceeded", Level: slog.LevelError, Meaning: "Calls were still in progress at the stop deadline and were cut off. Raise stopDeadline if this happens in planned stops."},
	{ID: BackendAnnounced, Name: "backendAnnounced", Level: slog.LevelInfo, Meaning: "The backend server beside this node announced itself and receives work."},
	{ID: BackendDraining, Name: "backendDraining", Level: slog.LevelInfo, Meaning: "The backend server started to leave and receives no new work."},
	{ID: BackendUnreachable, Name: "backendUnreachable", Level: slog.LevelWarn, Meaning: "The backend server refuses connections, so other nodes send it no calls until it accepts them again."},
	{ID: BackendReachable, Name: "backendReachable", Level: slog.LevelInfo, Meaning: "The backend server accepts connections again and receives work."},
	{ID: BackendDrained, Name: "backendDrained", Level: slog.LevelInfo, Meaning: "The last call in progress at the leaving backend server ended. It may exit."},
	{ID: AnnouncementTaken, Name: "announcementTaken", Level: slog.LevelInfo, Meaning: "The backend server beside this node said something new, or something outdated, as the attribute change says."},
	{ID: AnnouncementRejected, Name: "announcementRejected", Level: slog.LevelWarn, Meaning: "A message that should be an announcement can't be read. It changes nothing."},
	{ID: NodeReloaded, Name: "nodeReloaded", Level: slog.LevelInfo, Meaning: "The node read its settings again. Bounds of time and retries are taken over; addresses stay."},
}
