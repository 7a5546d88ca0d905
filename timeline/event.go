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

// Keys of the event attributes by which operators filter and search.
const (
	// KeyRequest is the ID of the customer request, the first call of a chain.
	KeyRequest = "request"
	// KeyCall is the ID of one attempt of a call.
	KeyCall = "call"
	// KeyService is the service to which a call is addressed.
	KeyService = "service"
	// KeyNode is the ID of another node that the event is about.
	KeyNode = "node"
	// KeyIdempotencyKey is the idempotency key of a booking.
	KeyIdempotencyKey = "key"
)

// Attribute is a key and value that describe an event.
type Attribute struct {
	Key   string
	Value string
}

// Event is an event recorded by a [Recorder].
type Event struct {
	// Timestamp is unique among the events of one process.
	Timestamp Timestamp
	// Node is the ID of the node whose process recorded the event.
	Node string
	// ID is the event's number in the catalogue of package event.
	ID event.ID
	// Name is the event's name. It is stored in addition to the number because the
	// process that prints the event may be older than the one that recorded it,
	// and may not know the number.
	Name string
	// Level is the log level of the event.
	Level slog.Level
	// Attributes has the order in which the attributes were recorded, or is sorted
	// by key if the event was decoded from JSON.
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
	// Since selects events after the timestamp.
	Since Timestamp
	// Request selects the events of one customer request.
	Request string
	// Service selects the events of one service.
	Service string
	// Node selects events that were recorded by the node or are about it.
	Node string
}

// Matches reports whether the event matches the filter.
func (f Filter) Matches(e Event) bool {
	return e.Timestamp.Compare(f.Since) > 0 &&
		(f.Request == "" || f.Request == e.Attribute(KeyRequest)) &&
		(f.Service == "" || f.Service == e.Attribute(KeyService)) &&
		(f.Node == "" || f.Node == e.Node || f.Node == e.Attribute(KeyNode))
}

// Select returns the events that match the filter.
func (f Filter) Select(events []Event) []Event {
	var selected []Event
	for _, e := range events {
		if f.Matches(e) {
			selected = append(selected, e)
		}
	}
	return selected
}

// Merge merges the events of several processes by timestamp, so that each event
// comes after those that can have caused it. Duplicate events are removed.
func Merge(processes ...[]Event) []Event {
	merged := slices.Concat(processes...)
	slices.SortStableFunc(merged, func(a, b Event) int {
		return cmp.Or(a.Timestamp.Compare(b.Timestamp), cmp.Compare(a.Node, b.Node))
	})
	return slices.CompactFunc(merged, func(a, b Event) bool { return a.Timestamp == b.Timestamp && a.Node == b.Node })
}

// WriteText writes one event per line in human-readable form.
func WriteText(w io.Writer, events []Event) (err error) {
	buffered := bufio.NewWriter(w)
	for _, e := range events {
		// The counter follows the milliseconds, so that sorting the lines as text
		// sorts the events.
		_, _ = fmt.Fprintf(buffered, "%s.%05d %-5s %d %-20s %s",
			e.Timestamp.Time().Format("2006-01-02T15:04:05.000Z"), e.Timestamp.Counter(), e.Level, e.ID, e.Name, e.Node)
		for _, attribute := range e.Attributes {
			_, _ = fmt.Fprintf(buffered, " %s=%s", attribute.Key, quoteIfNeeded(attribute.Value))
		}
		_ = buffered.WriteByte('\n')
	}
	return buffered.Flush()
}

// WriteJSON writes one JSON object per event and line, for use in scripts.
func WriteJSON(w io.Writer, events []Event) (err error) {
	buffered := bufio.NewWriter(w)
	encoder := json.NewEncoder(buffered)
	for _, e := range events {
		if err := encoder.Encode(e); err != nil {
			return fmt.Errorf("write event %s of node %s: %w", e.Name, e.Node, err)
		}
	}
	return buffered.Flush()
}

// quoteIfNeeded quotes a value that is empty or contains spaces, control
// characters, quotes or equals signs.
func quoteIfNeeded(value string) string {
	if value == "" || strings.ContainsFunc(value, func(r rune) bool { return r <= ' ' || r == '"' || r == '=' || r == 0x7f }) {
		return strconv.Quote(value)
	}
	return value
}

type eventJSON struct {
	Timestamp  Timestamp         `json:"at"`
	Node       string            `json:"node"`
	Number     event.ID          `json:"number"`
	Name       string            `json:"name"`
	Level      slog.Level        `json:"level"`
	Attributes map[string]string `json:"attributes,omitempty"`
}

// MarshalJSON implements [json.Marshaler].
func (e Event) MarshalJSON() ([]byte, error) {
	wire := eventJSON{Timestamp: e.Timestamp, Node: e.Node, Number: e.ID, Name: e.Name, Level: e.Level}
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
	var wire eventJSON
	if err := json.Unmarshal(data, &wire); err != nil {
		return err
	}
	*e = Event{Timestamp: wire.Timestamp, Node: wire.Node, ID: wire.Number, Name: wire.Name, Level: wire.Level}
	for key, value := range wire.Attributes {
		e.Attributes = append(e.Attributes, Attribute{Key: key, Value: value})
	}
	slices.SortFunc(e.Attributes, func(a, b Attribute) int { return cmp.Compare(a.Key, b.Key) })
	return nil
}
