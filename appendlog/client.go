package appendlog

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/framing"
)

const (
	// maxResponseBytes bounds the memory that a node uses for one page.
	maxResponseBytes = 32 << 20
	// defaultTimeout bounds one request, so that a slow log service can't block a
	// settings follower for longer than a few poll intervals.
	defaultTimeout = 5 * time.Second
)

// Client is a [Journal] that accesses the log service over HTTP. It is safe for
// concurrent use.
type Client struct {
	baseURL string
	http    *http.Client
	timeout time.Duration
}

var _ Journal = (*Client)(nil)

// Option configures a [Client].
type Option func(*Client)

// WithHTTPClient sets the HTTP client that sends the requests.
func WithHTTPClient(client *http.Client) Option { return func(c *Client) { c.http = client } }

// WithTimeout bounds the duration of each request. For a read, its wait is added
// to the timeout.
func WithTimeout(timeout time.Duration) Option { return func(c *Client) { c.timeout = timeout } }

// New returns a client of the log service at the address host:port.
func New(address string, opts ...Option) *Client {
	c := &Client{baseURL: "http://" + address, http: &http.Client{Transport: framing.NewDefaultTransport()}, timeout: defaultTimeout}
	for _, opt := range opts {
		opt(c)
	}
	return c
}

// Append implements [Journal].
func (c *Client) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	defer func() { err = eris.Wrapf(err, "append to stream %q", stream) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout)
	defer cancel()
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.recordsURL(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	body, err := c.send(request)
	if err != nil {
		return 0, err
	}
	return decodeAppendResponse(body)
}

// Read implements [Journal].
func (c *Client) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page Page, err error) {
	defer func() { err = eris.Wrapf(err, "read stream %q from offset %d", stream, from) }()
	ctx, cancel := context.WithTimeout(ctx, c.timeout+wait)
	defer cancel()
	query := url.Values{
		"from":   {strconv.FormatInt(from, 10)},
		"limit":  {strconv.Itoa(limit)},
		"waitMs": {strconv.FormatInt(wait.Milliseconds(), 10)},
	}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.recordsURL(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, err
	}
	body, err := c.send(request)
	if err != nil {
		return Page{}, err
	}
	return decodePage(body, from)
}

func (c *Client) recordsURL(stream string) string {
	return c.baseURL + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) send(request *http.Request) (body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxResponseBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxResponseBytes {
		return nil, fmt.Errorf("log service returned a body of more than %d bytes", maxResponseBytes)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("log service returned status %s, expected 200", response.Status)
	}
	return body, nil
}

type appendResponse struct {
	Offset *int64 `json:"offset"`
}

type recordJSON struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type pageResponse struct {
	Records []recordJSON `json:"records"`
	Oldest  *int64       `json:"oldest"`
	Next    *int64       `json:"next"`
}

func decodeAppendResponse(body []byte) (offset int64, err error) {
	var response appendResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return 0, err
	}
	if response.Offset == nil || *response.Offset < 0 {
		return 0, fmt.Errorf("append response %.100q has no offset of 0 or more", body)
	}
	return *response.Offset, nil
}

// decodePage decodes a page and checks that its offsets have no gaps, because a
// reader interprets a gap as records that the log has removed.
func decodePage(body []byte, from int64) (page Page, err error) {
	var response pageResponse
	if err := json.Unmarshal(body, &response); err != nil {
		return Page{}, err
	}
	if response.Oldest == nil || response.Next == nil || *response.Oldest < 0 || *response.Next < *response.Oldest {
		return Page{}, fmt.Errorf("page is invalid: expected offsets oldest and next with 0 <= oldest <= next")
	}
	page = Page{Oldest: *response.Oldest, Next: *response.Next}
	expected := max(from, page.Oldest)
	for _, record := range response.Records {
		if record.Offset != expected || record.Offset >= page.Next {
			return Page{}, fmt.Errorf("page has a record at offset %d, expected offset %d, below next offset %d", record.Offset, expected, page.Next)
		}
		page.Records = append(page.Records, Record(record))
		expected++
	}
	return page, nil
}
