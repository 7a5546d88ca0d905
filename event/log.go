package event

import "log/slog"

// Events of the log service.
const (
	LogUnavailable ID = 7001
	LogAvailable   ID = 7002
	LogRestored    ID = 7003
)

var logEvents = []Description{
	{ID: LogUnavailable, Name: "logUnavailable", Level: slog.LevelWarn, Meaning: "The log service does not answer. Calls continue; settings can't be changed."},
	{ID: LogAvailable, Name: "logAvailable", Level: slog.LevelInfo, Meaning: "The log service answers again."},
	{ID: LogRestored, Name: "logRestored", Level: slog.LevelWarn, Meaning: "The log service was restored from an earlier copy, so its latest records are lost. The node has read the newest records again."},
}
