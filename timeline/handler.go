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

// Path is where a node's operator address serves its events.
const Path = "/lacewingslip/v1/events"

// maxPageBytes bounds what is read from a node. A full ring of the default
// capacity takes about 3 MB.
const maxPageBytes = 32 << 20

// Page is the answer of one node.
type Page struct {
	// Node is the name of the process.
	Node string `json:"node"`
	// Now is the process's clock when it answered.
	Now Stamp `json:"now"`
	// Overwritten is the number of events that the process no longer keeps.
	Overwritten uint64 `json:"overwritten"`
	// Events is in order of stamps.
	Events []Event `json:"events"`
}

// Handler serves the recorded events on [Path]. The query parameters since,
// request, service and node make a [Filter].
func (r *Recorder) Handler() http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, req *http.Request) {
		filter, err := parseFilter(req.URL.Query())
		if err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		w.Header().Set("Content-Type", "application/json")
		// An error means that the operator went away.
		_ = json.NewEncoder(w).Encode(r.page(filter))
	})
}

// Fetch reads the events that the filter selects from the operator address of
// one node.
func Fetch(ctx context.Context, client *http.Client, address string, filter Filter) (page Page, err error) {
	defer func() {
		if err != nil {
			err = fmt.Errorf("events of %s: %w", address, err)
		}
	}()
	target := url.URL{Scheme: "http", Host: address, Path: Path, RawQuery: filter.query().Encode()}
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
		return Page{}, fmt.Errorf("status %s: %s", resp.Status, strings.TrimSpace(string(body)))
	}
	if err := json.Unmarshal(body, &page); err != nil {
		return Page{}, err
	}
	return page, nil
}

func (r *Recorder) page(filter Filter) Page {
	entries, overwritten := r.after(filter.Since)
	page := Page{Node: r.node, Now: r.clock.Now(), Overwritten: overwritten, Events: []Event{}}
	for _, e := range entries {
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
		if f.Since, err = ParseStamp(since); err != nil {
			return Filter{}, fmt.Errorf("since: %w", err)
		}
	}
	return f, nil
}
