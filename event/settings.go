package event

import "log/slog"

// Events of settings.
const (
	SettingsAccepted ID = 6001
	SettingsRejected ID = 6002
	SettingsGap      ID = 6003
	SnapshotWritten  ID = 6004
	SnapshotIgnored  ID = 6005
	SettingsFromPeer ID = 6006
	SettingsRestored ID = 6007
	ProofMissing     ID = 6008
	ProofRenewed     ID = 6009
	ProofOverdue     ID = 6010
)

var settingsEvents = []Description{
	{ID: SettingsAccepted, Name: "settingsAccepted", Level: slog.LevelInfo, Meaning: "A change of settings was read from the log and took effect."},
	{ID: SettingsRejected, Name: "settingsRejected", Level: slog.LevelWarn, Meaning: "A change of settings violates a rule and is ignored by every node."},
	{ID: SettingsGap, Name: "settingsGap", Level: slog.LevelWarn, Meaning: "The log no longer has records that this node has not read yet. The node requests the settings from other nodes."},
	{ID: SnapshotWritten, Name: "snapshotWritten", Level: slog.LevelInfo, Meaning: "The node appended a snapshot of the settings to the log."},
	{ID: SnapshotIgnored, Name: "snapshotIgnored", Level: slog.LevelDebug, Meaning: "A snapshot was ignored because it covers fewer records than this node has read."},
	{ID: SettingsFromPeer, Name: "settingsFromPeer", Level: slog.LevelInfo, Meaning: "Settings were received from another node."},
	{ID: SettingsRestored, Name: "settingsRestored", Level: slog.LevelInfo, Meaning: "A snapshot from the log replaced the records that this node had missed."},
	{ID: ProofMissing, Name: "proofMissing", Level: slog.LevelWarn, Meaning: "The node can't prove any more that its desired state is the newest, because it has reached neither the log service nor a node that has, so it refuses requests with a key with status 503. The attribute ageMs is the age of the last proof."},
	{ID: ProofRenewed, Name: "proofRenewed", Level: slog.LevelInfo, Meaning: "The node has a proof that its desired state is the newest, and serves requests with a key."},
	{ID: ProofOverdue, Name: "proofOverdue", Level: slog.LevelWarn, Meaning: "No other node has passed on a recent proof that the desired state in force is the newest, so this node reads the log itself. The attribute ageMs is the age of its proof, and failedReads how many such reads have failed in a row."},
}
