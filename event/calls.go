package event

import "log/slog"

// Events of calls.
const (
	CallAnswered     ID = 2001
	CallNotRun       ID = 2002
	CallUnknown      ID = 2003
	CallRetried      ID = 2004
	CallStarted      ID = 2005
	AnswerCut        ID = 2006
	AnswerMismatched ID = 2007
	CallFailed       ID = 2008
	CallCrashed      ID = 2009
	AnswerNotSent    ID = 2010
)

var callEvents = []Description{
	{ID: CallAnswered, Name: "callAnswered", Level: slog.LevelDebug, Meaning: "The complete answer of the backend server was forwarded to the caller."},
	{ID: CallNotRun, Name: "callNotRun", Level: slog.LevelInfo, Meaning: "The call was refused and did not run. The attribute reason says why."},
	{ID: CallUnknown, Name: "callUnknown", Level: slog.LevelWarn, Meaning: "The call may have run, but no complete answer was received."},
	{ID: CallRetried, Name: "callRetried", Level: slog.LevelInfo, Meaning: "An attempt failed and is retried, at the cost of one retry token."},
	{ID: CallStarted, Name: "callStarted", Level: slog.LevelDebug, Meaning: "The sidecar forwarded the call to its backend server."},
	{ID: AnswerCut, Name: "answerCut", Level: slog.LevelWarn, Meaning: "The answer was truncated. The connection to the receiver was aborted."},
	{ID: AnswerMismatched, Name: "answerMismatched", Level: slog.LevelError, Meaning: "An answer had the ID of another call and was discarded."},
	{ID: CallFailed, Name: "callFailed", Level: slog.LevelWarn, Meaning: "The backend server answered with an error, which was forwarded to the caller. A frequent cause is the failure of a call that the backend server made, since such calls expire with the request that they belong to."},
	{ID: CallCrashed, Name: "callCrashed", Level: slog.LevelError, Meaning: "The node failed while it handled a call, because of a fault in its program. The caller gets status 502 unless the answer had begun. The attributes are the cause and the stack."},
	{ID: AnswerNotSent, Name: "answerNotSent", Level: slog.LevelInfo, Meaning: "A connection ended after a call had been read from it and before its whole answer had been sent. The attribute closedBy is node or peer; detail is the cause, and version that of the desired state in force."},
}
