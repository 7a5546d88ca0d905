// Package event is the catalogue of numbered events. Each log line and each
// entry of the time line carries one of these numbers, so that operators can
// look it up in docs/events.md.
//
// # Usage
//
//	recorder.Record(event.NodeStarted, slog.String("node", "orders-1"))
//
// Numbers are never reused. The ranges are: 1000 node, 2000 calls, 3000
// bookings, 4000 admission and routing, 5000 membership, 6000 settings, 7000
// log service. Each range has a file of its own.
package event

import (
	"fmt"
	"log/slog"
	"slices"
)

// ID is the number of an event.
type ID int

// Entry describes an event in the catalogue.
type Entry struct {
	// ID is the event's number.
	ID ID
	// Name is the event's name in camel case, as in logs and time lines.
	Name string
	// Level is the level of its log line.
	Level slog.Level
	// Meaning tells an operator what happened and what to do, if anything.
	Meaning string
}

var byID = index(slices.Concat(nodeEvents, callEvents, bookingEvents, loadEvents, memberEvents, settingsEvents, logEvents))

// Catalogue returns all events in order of their numbers.
func Catalogue() []Entry {
	entries := make([]Entry, 0, len(byID))
	for _, entry := range byID {
		entries = append(entries, entry)
	}
	slices.SortFunc(entries, func(a, b Entry) int { return int(a.ID - b.ID) })
	return entries
}

// Describe returns the catalogue entry of the event.
func (id ID) Describe() (entry Entry, ok bool) {
	entry, ok = byID[id]
	return entry, ok
}

// String returns the event's name.
func (id ID) String() string {
	if entry, ok := byID[id]; ok {
		return entry.Name
	}
	return fmt.Sprintf("event%d", int(id))
}

func index(entries []Entry) map[ID]Entry {
	byID := make(map[ID]Entry, len(entries))
	for _, entry := range entries {
		if _, taken := byID[entry.ID]; taken {
			panic(fmt.Sprintf("event number %d is used twice", entry.ID))
		}
		byID[entry.ID] = entry
	}
	return byID
}
