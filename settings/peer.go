package settings

import (
	"context"
	"fmt"
	"io"
	"math"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// PathRecords is the path under which a node serves what it has read.
const PathRecords = "/lacewingslip/v1/settings/records"

// maxPeerBytes bounds what is read from another node. A full tail and a snapshot
// of a large tree stay well below it.
const maxPeerBytes = 8 << 20

// peerBody answers a node that is behind: with the records from the offset it
// asked for, or with a snapshot if some of them are no longer kept.
type peerBody struct {
	Records  []peerRecord  `json:"records"`
	Snapshot *snapshotWire `json:"snapshot,omitempty"`
	Next     int64         `json:"next"`
}

type peerRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// answer returns what a node needs that has read all records before from.
func (h *History) answer(from int64, now time.Time) peerBody {
	body := peerBody{Records: []peerRecord{}, Next: h.next}
	if from >= h.next {
		return body
	}
	if len(h.tail) == 0 || from < h.tail[0].Offset {
		wire := h.snapshotWire(now)
		body.Snapshot = &wire
		return body
	}
	for _, r := range h.tail[from-h.tail[0].Offset:] {
		body.Records = append(body.Records, peerRecord(r))
	}
	return body
}

// merge takes over what another node answered, and returns the verdicts of the
// records that were new.
func (h *History) merge(body peerBody) (verdicts []Verdict, err error) {
	if body.Snapshot != nil && body.Snapshot.Next > h.next {
		if err := h.restore(*body.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, r := range body.Records {
		// A record after a gap is left to the log, which knows what it keeps.
		if r.Offset == h.next {
			verdicts = append(verdicts, h.replay(r.Offset, r.Data))
		}
	}
	return append(verdicts, h.release()...), nil
}

// Pull asks the node at the address for what the history lacks. It returns the
// verdicts of records and the offset that the node has reached.
func (h *History) Pull(ctx context.Context, client *http.Client, address string) (verdicts []Verdict, next int64, err error) {
	body, err := fetch(ctx, client, address, h.next)
	if err != nil {
		return nil, 0, err
	}
	verdicts, err = h.merge(body)
	return verdicts, body.Next, err
}

// Reached asks the node at the address how far it has read.
func Reached(ctx context.Context, client *http.Client, address string) (next int64, err error) {
	body, err := fetch(ctx, client, address, math.MaxInt64)
	return body.Next, err
}

func fetch(ctx context.Context, client *http.Client, address string, from int64) (body peerBody, err error) {
	defer func() { err = eris.Wrapf(err, "get settings from node %s", address) }()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathRecords+"?"+query.Encode(), nil)
	if err != nil {
		return peerBody{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return peerBody{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return peerBody{}, fmt.Errorf("node answered %s", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPeerBytes))
	if err != nil {
		return peerBody{}, err
	}
	return decodePeerBody(data)
}

func decodePeerBody(data []byte) (body peerBody, err error) {
	if err := unmarshal(data, &body); err != nil {
		return peerBody{}, err
	}
	for i, r := range body.Records {
		if r.Offset < 0 || r.Offset >= body.Next || i > 0 && r.Offset != body.Records[i-1].Offset+1 {
			return peerBody{}, fmt.Errorf("record at offset %d is out of order or beyond %d", r.Offset, body.Next)
		}
	}
	if body.Snapshot != nil && (body.Snapshot.Next < 0 || body.Snapshot.Next > body.Next) {
		return peerBody{}, fmt.Errorf("snapshot covers up to offset %d, beyond %d", body.Snapshot.Next, body.Next)
	}
	return body, nil
}

// CatchUp reads the log up to its end and replays it. It returns the verdicts of
// all records, and whether records are missing that the log no longer keeps.
func (h *History) CatchUp(ctx context.Context, log appendlog.Journal) (verdicts []Verdict, gap bool, err error) {
	with := func(do func(h *History)) { do(h) }
	verdicts, gap, err = catchUp(ctx, log, maxPageRecords, with)
	if err != nil && ctx.Err() == nil {
		var more []Verdict
		more, gap, err = catchUp(ctx, log, 1, with)
		verdicts = append(verdicts, more...)
	}
	return verdicts, gap, err
}

// catchUp reads pages of at most limit records up to the end of the log. The
// history is used only through with, and never while the log is being read.
func catchUp(ctx context.Context, log appendlog.Journal, limit int, with func(func(h *History))) (verdicts []Verdict, gap bool, err error) {
	for {
		var from, next int64
		with(func(h *History) { from, next = h.wanted(), h.next })
		page, err := log.Read(ctx, Stream, from, limit, 0)
		if err != nil {
			return verdicts, false, err
		}
		if page.Next < next {
			return verdicts, false, fmt.Errorf("log ends at offset %d, but records up to %d were read from it", page.Next, next)
		}
		end := true
		with(func(h *History) {
			for _, r := range page.Records {
				verdict := h.Apply(r.Offset, r.Data)
				verdicts = append(append(verdicts, verdict), verdict.Replayed...)
			}
			gap = h.Gap() || h.next < page.Oldest
			end = h.wanted() >= page.Next || h.wanted() <= from
		})
		if end {
			return verdicts, gap, nil
		}
	}
}
