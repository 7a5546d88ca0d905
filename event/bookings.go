package event

import "log/slog"

// Events of bookings.
const (
	BookingRun       ID = 3001
	BookingRefused   ID = 3002
	BookingReplayed  ID = 3003
	BookingFollowed  ID = 3004
	BookingOwnerGone ID = 3005
	ClaimWon         ID = 3101
	ClaimLost        ID = 3102
	ClaimFailed      ID = 3103
)

var bookingEvents = []Description{
	{ID: BookingRun, Name: "bookingRun", Level: slog.LevelInfo, Meaning: "A booking was recorded under its key and forwarded to the backend server."},
	{ID: BookingRefused, Name: "bookingRefused", Level: slog.LevelInfo, Meaning: "A booking was refused and its key was sealed. The booking will never run under this key."},
	{ID: BookingReplayed, Name: "bookingReplayed", Level: slog.LevelInfo, Meaning: "A repeated booking was answered with the outcome of the first attempt."},
	{ID: BookingFollowed, Name: "bookingFollowed", Level: slog.LevelInfo, Meaning: "A booking that one node had refused was sent to another node under a recorded successor key."},
	{ID: BookingOwnerGone, Name: "bookingOwnerGone", Level: slog.LevelWarn, Meaning: "The only node that may run bookings with this key has ended or restarted. The outcome is unknown."},
	{ID: ClaimWon, Name: "claimWon", Level: slog.LevelDebug, Meaning: "A caller-chosen key was claimed in the log."},
	{ID: ClaimLost, Name: "claimLost", Level: slog.LevelInfo, Meaning: "A caller-chosen key had already been claimed in the log. The earlier claim takes precedence."},
	{ID: ClaimFailed, Name: "claimFailed", Level: slog.LevelWarn, Meaning: "The log service did not answer, so a booking with a caller-chosen key was refused."},
}
