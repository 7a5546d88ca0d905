package settings

import (
	"cmp"
	"context"
	"errors"
	"fmt"
	"net/http"
	"time"

	"github.com/rotisserie/eris"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

const readBackInterval = 200 * time.Millisecond

// UndecidedError is returned when the context ended before it was known what
// became of a change. The change may yet be accepted.
type UndecidedError struct{ cause error }

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("the change may have been written, but it was not read back: %v", e.cause)
}

// Unwrap returns the last failure of the log service.
func (e *UndecidedError) Unwrap() error { return e.cause }

// Publish appends a change and reads the log back until the change is found,
// since nothing else decides what became of it. A change whose append failed may
// have been written, so it is looked for first and then appended again: it stays
// the same change, and of two copies at most one is accepted, because the first
// makes the base revision of the other one stale.
//
// The history must have been read to the end of the log, or to the offset from
// which the change was made. The nodes are asked for records that expired before
// they were read back.
func Publish(ctx context.Context, log appendlog.Journal, h *History, c Change, nodes Nodes) (v Verdict, err error) {
	defer func() { err = eris.Wrapf(err, "publish change %s of branch %q", c.ID(), c.Branch()) }()
	data, err := c.Encode()
	if err != nil {
		return Verdict{}, err
	}
	appended := false
	for {
		if !appended {
			_, err = log.Append(ctx, Stream, data)
			appended = err == nil
		}
		before := h.next
		verdicts, gap, errRead := h.CatchUp(ctx, log)
		if gap {
			verdicts = append(verdicts, nodes.fill(ctx, h)...)
		}
		if v, ok := find(verdicts, c.ID()); ok {
			return v, nil
		}
		if h.state.branches[c.branch].change.id == c.id {
			// The record had expired, but a snapshot shows that it was accepted.
			return Verdict{Kind: Accepted, Offset: h.next - 1, Change: c}, nil
		}
		if _, revision := h.Branch(c.branch); revision > c.base && !h.Gap() && skipped(verdicts, before, h.next) {
			return Verdict{}, &UndecidedError{cause: fmt.Errorf("branch %q is at revision %d by now, and the records that led there have expired", c.branch, revision)}
		}
		if errRead != nil {
			err = errRead
		} else if gap {
			err = fmt.Errorf("the log no longer keeps records from offset %d on; ask a node for them", h.Offset())
		}
		select {
		case <-ctx.Done():
			if err == nil {
				err = ctx.Err()
			}
			return Verdict{}, &UndecidedError{cause: err}
		case <-time.After(readBackInterval):
		}
	}
}

// find returns the first verdict about the change.
func find(verdicts []Verdict, id string) (v Verdict, ok bool) {
	for _, v := range verdicts {
		if v.Change.ID() == id && (v.Kind == Accepted || v.Kind == Rejected) {
			return v, true
		}
	}
	return Verdict{}, false
}

// skipped reports whether the history moved on by more records than there are
// verdicts, which only a snapshot does.
func skipped(verdicts []Verdict, before, after int64) bool {
	decided := int64(0)
	for _, v := range verdicts {
		if v.Kind == Accepted || v.Kind == Rejected || v.Kind == SnapshotRead {
			decided++
		}
	}
	return decided < after-before
}

// Nodes are nodes that an operator's command may ask.
type Nodes struct {
	// Client sends the requests.
	Client *http.Client
	// Addresses are operator or peer addresses.
	Addresses []string
}

// fill closes gaps of the history with what the nodes have. It returns the
// verdicts of records that were new.
func (n Nodes) fill(ctx context.Context, h *History) (verdicts []Verdict) {
	for _, address := range n.Addresses {
		// A node that does not answer is no reason to stop: another one may.
		more, _, _ := h.Pull(ctx, n.Client, address)
		verdicts = append(verdicts, more...)
	}
	return verdicts
}

// Load reads the history up to the end of the log, with the help of the nodes if
// the log no longer keeps all records.
func Load(ctx context.Context, log appendlog.Journal, h *History, nodes Nodes) (err error) {
	defer func() { err = eris.Wrap(err, "read settings") }()
	_, gap, err := h.CatchUp(ctx, log)
	if err != nil || !gap {
		return err
	}
	nodes.fill(ctx, h)
	_, gap, err = h.CatchUp(ctx, log)
	if err == nil && gap {
		err = fmt.Errorf("the log no longer keeps records from offset %d on, and the nodes asked have none of them; ask others, or see lacewingslip settings repair --help", h.Offset())
	}
	return err
}

// Fetch reads what the nodes have read, without the log. It fails if no node
// answered.
func (n Nodes) Fetch(ctx context.Context, h *History) (err error) {
	err = errors.New("no node was named")
	for _, address := range n.Addresses {
		if _, _, err = h.Pull(ctx, n.Client, address); err == nil {
			return nil
		}
	}
	return err
}

// WaitApplied returns once all nodes have read the record at the offset.
func (n Nodes) WaitApplied(ctx context.Context, offset int64) (err error) {
	for _, address := range n.Addresses {
		for {
			next, err := Reached(ctx, n.Client, address)
			if err == nil && next > offset {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Wrapf(cmp.Or(err, ctx.Err()), "wait for node %s to read offset %d", address, offset)
			case <-time.After(readBackInterval):
			}
		}
	}
	return nil
}
