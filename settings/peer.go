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

// PathRecords is the path at which a node serves its settings records.
const PathRecords = "/lacewingslip/v1/settings/records"

// maxPeerResponseBytes bounds the response read from another node. A full tail or
// a snapshot of a large tree is much smaller.
const maxPeerResponseBytes = 8 << 20

// peerResponse is the response to a node that requests records from an offset on.
// It holds these records, or a snapshot if some of them are no longer in the tail.
type peerResponse struct {
	Records  []peerRecord  `json:"records"`
	Snapshot *snapshotWire `json:"snapshot,omitempty"`
	Next     int64         `json:"next"`
}

type peerRecord struct {
	Offset int64  `json:"offset"`
	Data   []byte `json:"data"`
}

// responseFrom returns the response to a node that has replayed all records before
// from.
func (h *History) responseFrom(from int64, now time.Time) peerResponse {
	body := peerResponse{Records: []peerRecord{}, Next: h.next}
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

// merge applies the response of another node and returns the verdicts of the
// records that this history had not replayed yet.
func (h *History) merge(body peerResponse) (verdicts []Verdict, err error) {
	if body.Snapshot != nil && body.Snapshot.Next > h.next {
		if err := h.restore(*body.Snapshot); err != nil {
			return nil, err
		}
	}
	for _, r := range body.Records {
		// Records after a gap are ignored here. They are read from the log, whose
		// response also shows which records the log retains.
		if r.Offset == h.next {
			verdicts = append(verdicts, h.replay(r.Offset, r.Data))
		}
	}
	return append(verdicts, h.replayHeld()...), nil
}

// Pull requests the records that the history lacks from the node at the address.
// It returns the verdicts of the new records, and the node's offset.
func (h *History) Pull(ctx context.Context, client *http.Client, address string) (verdicts []Verdict, next int64, err error) {
	body, err := fetch(ctx, client, address, h.next)
	if err != nil {
		return nil, 0, err
	}
	verdicts, err = h.merge(body)
	return verdicts, body.Next, err
}

// FetchOffset returns the offset of the next record that the node at the address
// will replay.
func FetchOffset(ctx context.Context, client *http.Client, address string) (next int64, err error) {
	body, err := fetch(ctx, client, address, math.MaxInt64)
	return body.Next, err
}

func fetch(ctx context.Context, client *http.Client, address string, from int64) (body peerResponse, err error) {
	defer func() { err = eris.Wrapf(err, "get settings records from node %s", address) }()
	query := url.Values{"from": {strconv.FormatInt(from, 10)}}
	request, err := http.NewRequestWithContext(ctx, http.MethodGet, "http://"+address+PathRecords+"?"+query.Encode(), nil)
	if err != nil {
		return peerResponse{}, err
	}
	response, err := client.Do(request)
	if err != nil {
		return peerResponse{}, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return peerResponse{}, fmt.Errorf("node returned status %s, expected 200", response.Status)
	}
	data, err := io.ReadAll(io.LimitReader(response.Body, maxPeerResponseBytes))
	if err != nil {
		return peerResponse{}, err
	}
	return decodePeerResponse(data)
}

func decodePeerResponse(data []byte) (body peerResponse, err error) {
	if err := unmarshal(data, &body); err != nil {
		return peerResponse{}, err
	}
	for i, r := range body.Records {
		if r.Offset < 0 || r.Offset >= body.Next || i > 0 && r.Offset != body.Records[i-1].Offset+1 {
			return peerResponse{}, fmt.Errorf("record at offset %d, expected consecutive offsets from 0 to below %d", r.Offset, body.Next)
		}
	}
	if body.Snapshot != nil && (body.Snapshot.Next < 0 || body.Snapshot.Next > body.Next) {
		return peerResponse{}, fmt.Errorf("snapshot covers records up to offset %d, expected an offset from 0 to %d", body.Snapshot.Next, body.Next)
	}
	return body, nil
}

// CatchUp reads the log to its end and replays the records. It returns the
// verdicts of all records read, and whether records are missing because the log no
// longer retains them. After an error it retries with pages of one record.
func (h *History) CatchUp(ctx context.Context, log appendlog.Journal) (verdicts []Verdict, gap bool, err error) {
	withHistory := func(use func(h *History)) { use(h) }
	verdicts, gap, err = catchUp(ctx, log, maxPageRecords, withHistory)
	if err != nil && ctx.Err() == nil {
		var more []Verdict
		more, gap, err = catchUp(ctx, log, 1, withHistory)
		verdicts = append(verdicts, more...)
	}
	return verdicts, gap, err
}

// catchUp reads the log to its end in pages of at most limit records. It accesses
// the history only through withHistory, and not during reads of the log, so that
// withHistory may hold a lock.
func catchUp(ctx context.Context, log appendlog.Journal, limit int, withHistory func(func(h *History))) (verdicts []Verdict, gap bool, err error) {
	for {
		var from, next int64
		withHistory(func(h *History) { from, next = h.nextToRead(), h.next })
		page, err := log.Read(ctx, Stream, from, limit, 0)
		if err != nil {
			return verdicts, false, err
		}
		if page.Next < next {
			return verdicts, false, fmt.Errorf("log ends at offset %d, but records up to %d were replayed earlier", page.Next, next)
		}
		end := true
		withHistory(func(h *History) {
			for _, r := range page.Records {
				verdict := h.Apply(r.Offset, r.Data)
				verdicts = append(append(verdicts, verdict), verdict.Replayed...)
			}
			gap = h.Gap() || h.next < page.Oldest
			end = h.nextToRead() >= page.Next || h.nextToRead() <= from
		})
		if end {
			return verdicts, gap, nil
		}
	}
}
