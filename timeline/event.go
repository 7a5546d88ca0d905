package timeline

import (
	"bufio"
	"cmp"
	"encoding/json"
	"fmt"
	"io"
	"log/slog"
	"slices"
	"strconv"
	"strings"

	"github.com/lacewingslip/lacewingslip/event"
)

// Keys of the attributes that operators filter and search by.
const (
	// KeyRequest is the customer request, the first call of a chain.
	KeyRequest = "request"
	// KeyCall is one attempt of a call.
	KeyCall = "call"
	// KeyService is the service that a call is for.
	KeyService = "service"
	// KeyNode is another node that the event is about.
	KeyNode = "node"
	// KeyKey is the idempotency key of a booking.
	KeyKey = "key"
)

// Attribute is a detail of an event.
type Attribute struct {
	Key   string
	Value string
}

// Event is a recorded event.
type Event struct {
	// At is unique among the events of one process.
	At Stamp
	// Node is the process that recorded the event.
	Node string
	// ID is the event's number in the catalogue.
	ID event.ID
	// Name is the event's name. It is kept beside the number, since the
	// process that prints it may be older than the one that recorded it.
	Name string
	// Level is the level of the event's log line.
	Level slog.Level
	// Attributes are in the order in which they were recorded.
	Attributes []Attribute
}

// Attribute returns the value of the first attribute with the key, or "".
func (e Event) Attribute(key string) string {
	for _, attribute := range e.Attributes {
		if attribute.Key == key {
			return attribute.Value
		}
	}
	return ""
}

// Filter selects events. The zero value selects all.
type Filter struct {
	// Since selects events after the stamp.
	Since Stamp
	// Request selects the events of one customer request.
	Request string
	// Service selects the events of one service.
	Service string
	// Node selects events that the node recorded and events about it.
	Node string
}

// Matches reports whether the filter selects the event.
func (f Filter) Matches(e Event) bool {
	return e.At.Compare(f.Since) > 0 &&
		(f.Request == "" || f.Request == e.Attribute(KeyRequest)) &&
		(f.Service == "" || f.Service == e.Attribute(KeyService)) &&
		(f.Node == "" || f.Node == e.Node || f.Node == e.Attribute(KeyNode))
}

// Select returns the events that the filter selects.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge puts the events of several processes into one order, in which each
// event comes after those that can have caused it. An event that was read twice
// appears once.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.At.Compare(b.At), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.At == b.At && a.Node == b.Node })
}

// WriteText prints one event per line, for people.
func WriteText(w io.Writer, events []Event) (err error) {
	buffered := bufio.NewWriter(w)
	for _, e := range events {
		// The counter follows the milliseconds, so that lines sort as text.
		_, _ = fmt.Fprintf(buffered, "%s.%05d %-5s %d %-20s %s",
			e.At.Time().Format("2006-01-02T15:04:05.000Z"), e.At.Counter(), e.Level, e.ID, e.Name, e.Node)
		for _, attribute := range e.Attributes {
			_, _ = fmt.Fprintf(buffered, " %s=%s", attribute.Key, quoted(attribute.Value))
		}
		_ = buffered.WriteByte('\n')
	}
	return buffered.Flush()
}

// WriteJSON prints one JSON object per line, for scripts.
func WriteJSON(w io.Writer, events []Event) (err error) {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("event %s of node %s: %w", e.Name, e.Node, err)
		}
	}
	return buffered.Flush()
}

// quoted quotes a value that would not read as one word.
func quoted(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }) {
		return strconv.Quote(value)
	}
	return value
}

type wireEvent struct {
	At         Stamp             `json:"at"`
	Node       string            `json:"node"`
	Number     event.ID          `json:"number"`
	Name       string            `json:"name"`
	Level      slog.Level        `json:"level"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// MarshalJSON implements [json.Marshaler].
func (e Event) MarshalJSON() ([]byte, error) {
	wire := wireEvent{At: e.At, Node: e.Node, Number: e.ID, Name: e.Name, Level: e.Level}
	if len(e.Attributes) > 0 {
		wire.Attributes = make(map[string]string, len(e.Attributes))
	}
	for _, attribute := range e.Attributes {
		wire.Attributes[attribute.Key] = attribute.Value
	}
	return json.Marshal(wire)
}

// UnmarshalJSON implements [json.Unmarshaler]. Attributes are sorted by key,
// since JSON objects have no order.
func (e *Event) UnmarshalJSON(data []byte) (err error) {
	var wire wireEvent
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*e = Event{At: wire.At, Node: wire.Node, ID: wire.Number, Name: wire.Name, Level: wire.Level}
	for key, value := range wire.Attributes {
		e.Attributes = append(e.Attributes, Attribute{Key: key, Value: value})
	}
	slices.SortFunc(e.Attributes, func(a, b Attribute) int { return cmp.Compare(a.Key, b.Key) })
	return nil
}
