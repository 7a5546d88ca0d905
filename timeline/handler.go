package timeline

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strings"
)

// EventsPath is the path at which a node serves its events on its operator address.
const EventsPath = "/lacewingslip/v1/events"

// maxPageBytes bounds the response read from a node. A full event buffer of the
// default capacity takes about 3 MB.
const maxPageBytes = 32 << 20

// Page is the response of one node.
type Page struct {
	// Node is the ID of the node.
	Node string `json:"node"`
	// Now is the time of the node's clock when it responded.
	Now Timestamp `json:"now"`
	// Overwritten is the number of events that are no longer available because
	// newer events have replaced them.
	Overwritten uint64 `json:"overwritten"`
	// Events is sorted by timestamp.
	Events []Event `json:"events"`
}

// Handler serves the recorded events at [EventsPath]. The query parameters since,
// request, service and node set the fields of a [Filter].
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		filter, err := parseFilter(req.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the client closed the connection.
		_ = json.NewEncoder(w).Encode(r.page(filter))
	})
}

// Fetch requests the events that match the filter from the operator address of one
// node.
func Fetch(ctx context.Context, client *http.Client, address string, filter Filter) (page Page, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("events of %s: %w", address, err)
		}
	}()
	target := url.URL{Scheme: "http", Host: address, Path: EventsPath, RawQuery: filter.query().Encode()}
	req, err := http.NewRequestWithContext(ctx, http.MethodGet, target.String(), http.NoBody)
	if err != nil {
		return Page{}, err
	}
	resp, err := client.Do(req)
	if err != nil {
		return Page{}, err
	}
	defer resp.Body.Close()
	body, err := io.ReadAll(io.LimitReader(resp.Body, maxPageBytes))
	if err != nil {
		return Page{}, err
	}
	if resp.StatusCode != http.StatusOK {
		return Page{}, fmt.Errorf("node returned status %s, expected 200: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

func (r *Recorder) page(filter Filter) Page {
	buffered, overwritten := r.bufferedAfter(filter.Since)
	page := Page{Node: r.node, Now: r.clock.Now(), Overwritten: overwritten, Events: []Event{}}
	for _, e := range buffered {
		if formatted := r.format(e); filter.Matches(formatted) {
			page.Events = append(page.Events, formatted)
		}
	}
	return page
}

func (f Filter) query() url.Values {
	query := url.Values{}
	set := func(name, value string) {
		if value != "" {
			query.Set(name, value)
		}
	}
	if !f.Since.IsZero() {
		set("since", f.Since.String())
	}
	set("request", f.Request)
	set("service", f.Service)
	set("node", f.Node)
	return query
}

func parseFilter(query url.Values) (f Filter, err error) {
	f = Filter{Request: query.Get("request"), Service: query.Get("service"), Node: query.Get("node")}
	if since := query.Get("since"); since != "" {
		if f.Since, err = ParseTimestamp(since); err != nil {
			return Filter{}, fmt.Errorf("query parameter since: %w", err)
		}
	}
	return f, nil
}
