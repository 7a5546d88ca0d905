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
	MemberOverwritten ID = 5109
	ProducerReplaced  ID = 5110
)

var memberEvents = []Description{
	{ID: MemberJoined, Name: "memberJoined", Level: slog.LevelInfo, Meaning: "A node joined, possibly after a restart."},
	{ID: MemberSuspect, Name: "memberSuspect", Level: slog.LevelInfo, Meaning: "A node did not answer a probe, neither directly nor through others."},
	{ID: MemberUnreachable, Name: "memberUnreachable", Level: slog.LevelWarn, Meaning: "A suspect node did not answer in time and is excluded from routing."},
	{ID: MemberBack, Name: "memberBack", Level: slog.LevelInfo, Meaning: "A node that was excluded from routing answered again."},
	{ID: MemberLeft, Name: "memberLeft", Level: slog.LevelInfo, Meaning: "A node left in a planned stop."},
	{ID: MemberDropped, Name: "memberDropped", Level: slog.LevelInfo, Meaning: "A node that had been unreachable for a long time was removed from the table."},
	{ID: MemberChanged, Name: "memberChanged", Level: slog.LevelInfo, Meaning: "A newer record of a node was applied. The attributes epoch and offset identify its version."},
	{ID: MemberPublished, Name: "memberPublished", Level: slog.LevelInfo, Meaning: "This node wrote its record to the log service, or failed to. The attribute error has the cause of a failure."},
	{ID: MemberUnreadable, Name: "memberUnreadable", Level: slog.LevelWarn, Meaning: "A record in the topic of the nodes could not be decoded and is ignored. Another writer uses the topic."},
	{ID: PeerLost, Name: "peerLost", Level: slog.LevelWarn, Meaning: "Another node is unreachable. It receives no calls until it answers again."},
	{ID: PeerBack, Name: "peerBack", Level: slog.LevelInfo, Meaning: "An unreachable node answers again and receives calls."},
	{ID: ExchangeFailed, Name: "exchangeFailed", Level: slog.LevelWarn, Meaning: "Another node has a newer desired state but did not send it. It is asked again with the next call to it."},
	{ID: MemberOverwritten, Name: "memberOverwritten", Level: slog.LevelWarn, Meaning: "Another writer replaced this node's record in the log with one that is not this node's. The node writes its record again."},
	{ID: ProducerReplaced, Name: "producerReplaced", Level: slog.LevelWarn, Meaning: "The log service kept rejecting this node's record as outdated, so the node writes it under another producer name. Another writer may use the node's name."},
	{ID: PeerRefuses, Name: "peerRefuses", Level: slog.LevelInfo, Meaning: "A node answered that its backend server is shutting down. It receives no calls until it announces a change."},
}
