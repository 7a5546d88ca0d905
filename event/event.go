// Package event is the catalogue of numbered events. Each log line and each entry of
// the timeline has the number of its event, which operators can look up in
// docs/events.md.
//
// # Usage
//
//	recorder.Record(event.NodeStarted, slog.String("node", "orders-1"))
//
// Numbers are never reused. The ranges are: 1000 node, 2000 calls, 3000 bookings, 4000
// admission and routing, 5000 membership, 6000 settings, 7000 log service. Each range
// has its own file.
package event

import (
	"fmt"
	"log/slog"
	"slices"
)

// ID is the number of an event.
type ID int

// Description describes an event in the catalogue.
type Description struct {
	// ID is the event's number.
	ID ID
	// Name is the event's name in camel case, as written to logs and timelines.
	Name string
	// Level is the log level of the event.
	Level slog.Level
	// Meaning explains to an operator what happened and what to do, if anything.
	Meaning string
}

var byID = indexByID(slices.Concat(nodeEvents, callEvents, bookingEvents, admissionEvents, memberEvents, settingsEvents, logEvents))

// Catalogue returns the descriptions of all events, sorted by number.
func Catalogue() []Description {
	descriptions := make([]Description, 0, len(byID))
	for _, d := range byID {
		descriptions = append(descriptions, d)
	}
	slices.SortFunc(descriptions, func(a, b Description) int { return int(a.ID - b.ID) })
	return descriptions
}

// Describe returns the description of the event. ok is false if the catalogue doesn't
// contain the event.
func (id ID) Describe() (description Description, ok bool) {
	description, ok = byID[id]
	return description, ok
}

// String returns the name of the event, or its number with the prefix "event" if the
// catalogue doesn't contain it.
func (id ID) String() string {
	if description, ok := byID[id]; ok {
		return description.Name
	}
	return fmt.Sprintf("event%d", int(id))
}

func indexByID(descriptions []Description) map[ID]Description {
	byID := make(map[ID]Description, len(descriptions))
	for _, d := range descriptions {
		if _, duplicate := byID[d.ID]; duplicate {
			panic(fmt.Sprintf("event number %d is defined twice", d.ID))
		}
		byID[d.ID] = d
	}
	return byID
}
