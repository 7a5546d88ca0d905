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
)

var memberEvents = []Entry{
	{ID: MemberJoined, Name: "memberJoined", Level: slog.LevelInfo, Meaning: "A node became known."},
	{ID: MemberSuspect, Name: "memberSuspect", Level: slog.LevelInfo, Meaning: "A node did not answer a probe, neither directly nor through others."},
	{ID: MemberUnreachable, Name: "memberUnreachable", Level: slog.LevelWarn, Meaning: "A suspect node did not answer in time and is hidden from routing."},
	{ID: MemberBack, Name: "memberBack", Level: slog.LevelInfo, Meaning: "A hidden node answered again."},
	{ID: MemberLeft, Name: "memberLeft", Level: slog.LevelInfo, Meaning: "A node left on purpose."},
	{ID: MemberDropped, Name: "memberDropped", Level: slog.LevelInfo, Meaning: "A node that was unreachable for long was removed from the table."},
}
