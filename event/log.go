package event

import "log/slog"

// Events of the log service.
const (
	LogUnavailable ID = 7001
	LogAvailable   ID = 7002
)

var logEvents = []Description{
	{ID: LogUnavailable, Name: "logUnavailable", Level: slog.LevelWarn, Meaning: "The log service does not answer. Calls continue; settings can't be changed."},
	{ID: LogAvailable, Name: "logAvailable", Level: slog.LevelInfo, Meaning: "The log service answers again."},
}
