package event

import "log/slog"

// Events of membership.
const (
	MemberJoined      ID = 5001
	MemberSuspect     ID = 5002
	MemberUnreachable ID = 5003
	MemberBack        ID = 5004
	MemberLeft        ID = 5005
	MemberDropped     ID = 5006
	MemberChanged     ID = 5101
	MemberPublished   ID = 5102
	MemberUnreadable  ID = 5103
	PeerLost          ID = 5104
	PeerBack          ID = 5105
	PeerRefuses       ID = 5106
	ExchangeFailed    ID = 5107
	WatcherMissing    ID = 5108
)

var memberEvents = []Entry{
	{ID: MemberJoined, Name: "memberJoined", Level: slog.LevelInfo, Meaning: "A node became known."},
	{ID: MemberSuspect, Name: "memberSuspect", Level: slog.LevelInfo, Meaning: "A node did not answer a probe, neither directly nor through others."},
	{ID: MemberUnreachable, Name: "memberUnreachable", Level: slog.LevelWarn, Meaning: "A suspect node did not answer in time and is hidden from routing."},
	{ID: MemberBack, Name: "memberBack", Level: slog.LevelInfo, Meaning: "A hidden node answered again."},
	{ID: MemberLeft, Name: "memberLeft", Level: slog.LevelInfo, Meaning: "A node left on purpose."},
	{ID: MemberDropped, Name: "memberDropped", Level: slog.LevelInfo, Meaning: "A node that was unreachable for long was removed from the table."},
	{ID: MemberChanged, Name: "memberChanged", Level: slog.LevelInfo, Meaning: "A newer record of a node was taken in. Epoch and offset say how new it is."},
	{ID: MemberPublished, Name: "memberPublished", Level: slog.LevelInfo, Meaning: "This node wrote its record to the log service, or tried to."},
	{ID: MemberUnreadable, Name: "memberUnreadable", Level: slog.LevelWarn, Meaning: "A record in the topic of the nodes can't be read and is ignored. Another writer uses the topic."},
	{ID: PeerLost, Name: "peerLost", Level: slog.LevelWarn, Meaning: "Another node can't be reached. It gets no calls until it answers again."},
	{ID: PeerBack, Name: "peerBack", Level: slog.LevelInfo, Meaning: "A node that could not be reached answers again and gets calls."},
	{ID: ExchangeFailed, Name: "exchangeFailed", Level: slog.LevelWarn, Meaning: "Another node has a newer desired state but did not send it. It is asked again with the next call."},
	{ID: WatcherMissing, Name: "watcherMissing", Level: slog.LevelWarn, Meaning: "No node of the zone that reads the log could be followed, so this node reads the log itself for a while."},
	{ID: PeerRefuses, Name: "peerRefuses", Level: slog.LevelInfo, Meaning: "A node said that its backend server is leaving. It gets no calls until it announces a change."},
}
