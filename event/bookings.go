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

var bookingEvents = []Entry{
	{ID: BookingRun, Name: "bookingRun", Level: slog.LevelInfo, Meaning: "A booking was recorded under its key and passed to the backend server."},
	{ID: BookingRefused, Name: "bookingRefused", Level: slog.LevelInfo, Meaning: "A booking was refused and its key sealed. It will never run under this key."},
	{ID: BookingReplayed, Name: "bookingReplayed", Level: slog.LevelInfo, Meaning: "A repeat of a booking got the outcome of the first attempt."},
	{ID: BookingFollowed, Name: "bookingFollowed", Level: slog.LevelInfo, Meaning: "A booking refused at one node was sent to another under a recorded successor key."},
	{ID: BookingOwnerGone, Name: "bookingOwnerGone", Level: slog.LevelWarn, Meaning: "The node that alone may run this key has restarted. The outcome is unknown."},
	{ID: ClaimWon, Name: "claimWon", Level: slog.LevelDebug, Meaning: "A caller-chosen key was claimed in the log."},
	{ID: ClaimLost, Name: "claimLost", Level: slog.LevelInfo, Meaning: "A caller-chosen key had been claimed before. The earlier claim decides."},
	{ID: ClaimFailed, Name: "claimFailed", Level: slog.LevelWarn, Meaning: "The log did not answer, so a booking with a caller-chosen key was refused."},
}
