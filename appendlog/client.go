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
)

const (
	// maxAnswerBytes bounds what a node reads into memory for one page.
	maxAnswerBytes = 32 << 20
	// defaultTimeout bounds one request, so that a slow log service can't hold
	// up a follower for longer than a few polls.
	defaultTimeout = 5 * time.Second
)

// Client is a [Journal] at the log service, over HTTP. It is safe for concurrent
// use.
type Client struct {
	base    string
	http    *http.Client
	timeout time.Duration
}

var _ Journal = (*Client)(nil)

// Option changes how a [Client] works.
type Option func(*Client)

// WithHTTPClient sends requests with the given HTTP client.
func WithHTTPClient(client *http.Client) Option { return func(c *Client) { c.http = client } }

// WithTimeout bounds each request. The wait of a read comes on top.
func WithTimeout(timeout time.Duration) Option { return func(c *Client) { c.timeout = timeout } }

// New returns a client of the log service at the address, which is host:port.
func New(address string, opts ...Option) *Client {
	c := &Client{base: "http://" + address, http: &http.Client{}, timeout: defaultTimeout}
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
	request, err := http.NewRequestWithContext(ctx, http.MethodPost, c.records(stream), bytes.NewReader(data))
	if err != nil {
		return 0, err
	}
	request.Header.Set("Content-Type", "application/octet-stream")
	body, err := c.do(request)
	if err != nil {
		return 0, err
	}
	return decodeAppended(body)
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
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, c.records(stream)+"?"+query.Encode(), nil)
	if err != nil {
		return Page{}, err
	}
	body, err := c.do(request)
	if err != nil {
		return Page{}, err
	}
	return decodePage(body, from)
}

func (c *Client) records(stream string) string {
	return c.base + "/streams/" + url.PathEscape(stream) + "/records"
}

func (c *Client) do(request *http.Request) (body []byte, err error) {
	response, err := c.http.Do(request)
	if err != nil {
		return nil, err
	}
	defer response.Body.Close()
	body, err = io.ReadAll(io.LimitReader(response.Body, maxAnswerBytes+1))
	if err != nil {
		return nil, err
	}
	if len(body) > maxAnswerBytes {
		return nil, fmt.Errorf("answer is longer than %d bytes", maxAnswerBytes)
	}
	if response.StatusCode != http.StatusOK {
		return nil, fmt.Errorf("log service answered %s", response.Status)
	}
	return body, nil
}

type appendedBody struct {
	Offset *int64 `json:"offset"`
}

type recordBody struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

type pageBody struct {
	Records []recordBody `json:"records"`
	Oldest  *int64       `json:"oldest"`
	Next    *int64       `json:"next"`
}

func decodeAppended(body []byte) (offset int64, err error) {
	var answer appendedBody
	if err := json.Unmarshal(body, &answer); err != nil {
		return 0, err
	}
	if answer.Offset == nil || *answer.Offset < 0 {
		return 0, fmt.Errorf("answer %.100q has no valid offset", body)
	}
	return *answer.Offset, nil
}

// decodePage checks that the records are a run without holes, because a follower
// takes a hole for records that the log no longer keeps.
func decodePage(body []byte, from int64) (page Page, err error) {
	var answer pageBody
	if err := json.Unmarshal(body, &answer); err != nil {
		return Page{}, err
	}
	if answer.Oldest == nil || answer.Next == nil || *answer.Oldest < 0 || *answer.Next < *answer.Oldest {
		return Page{}, fmt.Errorf("page lacks oldest or next, or they are out of order")
	}
	page = Page{Oldest: *answer.Oldest, Next: *answer.Next}
	expected := max(from, page.Oldest)
	for _, record := range answer.Records {
		if record.Offset != expected || record.Offset >= page.Next {
			return Page{}, fmt.Errorf("page holds offset %d where %d was expected, below %d", record.Offset, expected, page.Next)
		}
		page.Records = append(page.Records, Record(record))
		expected++
	}
	return page, nil
}
