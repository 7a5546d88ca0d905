package mesh

import (
	"encoding/json"
	"io"
	"maps"
	"math"
	"net/http"
	"net/url"
	"slices"
	"strconv"
	"strings"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/quota"
)

const (
	// quotaPath is the endpoint at which other nodes ask for credit. A request has the name of
	// the keeper as its host and the number of tokens by workspace as its query, a response has
	// headerCredit and no body. Both names are short and the method is HEAD, because a node among
	// 1,100 sends and answers about 20 of these messages a second and has 4 KB/s for control work.
	quotaPath = "/q"
	// headerCredit has the lifetime of the credit in milliseconds and, for each workspace of the
	// request in the order of their names, a grant: the tokens, the level and the time to retry in
	// milliseconds, separated by commas. Zeros at the end of a grant are left out. Fields that
	// follow are ignored.
	headerCredit = "C"
	// notKept stands for a workspace of which the node does not keep the cap.
	notKept = "-"
	// levelDigits is the precision of a level. It is only used to choose between keepers.
	levelDigits = 3

	// jsonQuotaPath is the endpoint of nodes of earlier versions, with bodies in JSON. They
	// answer 404 at quotaPath.
	jsonQuotaPath = "/lacewingslip/v1/quota"
	// jsonTime is how long a node is asked in JSON after it has answered 404. Until it asks
	// again, this node has the cost of the longer messages only.
	jsonTime = time.Minute
	// maxQuotaBytes limits a body in JSON, maxAskBytes the asks of one message.
	maxQuotaBytes = 1 << 20
	maxAskBytes   = 4 << 10
	// maxTokens limits the size of an ask.
	maxTokens = 1 << 20
)

// errNoQuotaPath means that a node has no quotaPath.
var errNoQuotaPath = eris.New("the node is of an earlier version")

// quotaRequest asks a keeper for credit.
type quotaRequest struct {
	// Asks has the number of tokens by workspace.
	Asks map[string]int `json:"asks"`
}

// quotaResponse has the answers to the asks of a request.
type quotaResponse struct {
	Node string `json:"node"`
	// LifetimeMs is how long the credit is valid, from the time at which it was asked for.
	LifetimeMs int64                 `json:"lifetimeMs"`
	Grants     map[string]quotaGrant `json:"grants"`
}

// quotaGrant is the answer for a workspace. There is none if the node does not keep its cap.
type quotaGrant struct {
	Tokens  int     `json:"tokens,omitempty"`
	Level   float64 `json:"level,omitempty"`
	RetryMs int64   `json:"retryMs,omitempty"`
}

// grant returns the answer for a workspace.
func (r quotaResponse) grant(workspace string) quota.Grant {
	g, ok := r.Grants[workspace]
	return quota.Grant{
		Keeper: ok, Tokens: max(g.Tokens, 0), Level: g.Level, Retry: time.Duration(min(g.RetryMs, quotaTimeout.Milliseconds()*10)) * time.Millisecond,
		Lifetime: time.Duration(min(max(r.LifetimeMs, 0), time.Minute.Milliseconds())) * time.Millisecond,
	}
}

// quotaHost returns the host of requests to a node.
func quotaHost(node string) string { return url.QueryEscape(node) }

// query encodes a request.
func (r quotaRequest) query() string {
	values := make(url.Values, len(r.Asks))
	for workspace, tokens := range r.Asks {
		values[workspace] = []string{strconv.Itoa(tokens)}
	}
	return values.Encode()
}

// parseQuotaQuery decodes a request.
func parseQuotaQuery(query string) (r quotaRequest, err error) {
	defer func() { err = eris.Wrap(err, "query of a request for credit") }()
	values, err := url.ParseQuery(query)
	if err != nil {
		return r, err
	}
	r.Asks = make(map[string]int, len(values))
	for workspace, texts := range values {
		if r.Asks[workspace], err = strconv.Atoi(texts[0]); err != nil {
			return r, err
		}
	}
	return r, nil
}

// credit encodes a response to a request as the value of headerCredit.
func (r quotaResponse) credit(request quotaRequest) string {
	fields := []string{strconv.FormatInt(r.LifetimeMs, 10)}
	for _, workspace := range slices.Sorted(maps.Keys(request.Asks)) {
		g, ok := r.Grants[workspace]
		if !ok {
			fields = append(fields, notKept)
			continue
		}
		field := strconv.Itoa(g.Tokens)
		if g.Level != 0 || g.RetryMs != 0 {
			field += "," + strconv.FormatFloat(g.Level, 'g', levelDigits, 64)
		}
		if g.RetryMs != 0 {
			field += "," + strconv.FormatInt(g.RetryMs, 10)
		}
		fields = append(fields, field)
	}
	return strings.Join(fields, " ")
}

// parseCredit decodes the value of headerCredit in the response of a node to a request.
func parseCredit(value, node string, request quotaRequest) (r quotaResponse, err error) {
	defer func() { err = eris.Wrapf(err, "header %s of a response, %q", headerCredit, value) }()
	fields := strings.Split(value, " ")
	if len(fields) < 1+len(request.Asks) {
		return r, eris.Errorf("got %d fields, expected at least %d", len(fields), 1+len(request.Asks))
	}
	r = quotaResponse{Node: node, Grants: make(map[string]quotaGrant, len(request.Asks))}
	if r.LifetimeMs, err = strconv.ParseInt(fields[0], 10, 64); err != nil {
		return r, err
	}
	for n, workspace := range slices.Sorted(maps.Keys(request.Asks)) {
		if fields[1+n] == notKept {
			continue
		}
		if r.Grants[workspace], err = parseGrant(fields[1+n]); err != nil {
			return r, err
		}
	}
	return r, nil
}

func parseGrant(field string) (g quotaGrant, err error) {
	numbers := strings.Split(field, ",")
	if g.Tokens, err = strconv.Atoi(numbers[0]); err != nil {
		return g, err
	}
	if len(numbers) > 1 {
		if g.Level, err = strconv.ParseFloat(numbers[1], 64); err != nil {
			return g, err
		}
		if math.IsNaN(g.Level) || math.IsInf(g.Level, 0) {
			return g, eris.Errorf("got the level %v, expected a finite number", g.Level)
		}
	}
	if len(numbers) > 2 {
		g.RetryMs, err = strconv.ParseInt(numbers[2], 10, 64)
	}
	return g, err
}

// ServeHTTP answers a node that asks for credit.
func (c *caps) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Host != quotaHost(c.settings.Node) {
		http.Error(w, "got a request for node "+r.Host+", expected "+quotaHost(c.settings.Node), http.StatusMisdirectedRequest)
		return
	}
	received, err := parseQuotaQuery(r.URL.RawQuery)
	if err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	header := w.Header()
	header.Set(headerCredit, c.answer(received).credit(received))
	header["Date"] = nil
}

// serveJSON answers a node of an earlier version that asks for credit.
func (c *caps) serveJSON(w http.ResponseWriter, r *http.Request) {
	var received quotaRequest
	if err := json.NewDecoder(io.LimitReader(r.Body, maxQuotaBytes)).Decode(&received); err != nil {
		http.Error(w, err.Error(), http.StatusBadRequest)
		return
	}
	data, err := json.Marshal(c.answer(received))
	if err != nil {
		http.Error(w, err.Error(), http.StatusInternalServerError)
		return
	}
	header := w.Header()
	header.Set("Content-Type", "application/json")
	header["Date"] = nil
	// An error means that the other node has disconnected. The credit counts as spent.
	_, _ = w.Write(data)
}
