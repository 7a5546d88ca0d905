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

// UndecidedError is returned if it could not be determined whether a change was
// accepted. The change may still be accepted later.
type UndecidedError struct{ cause error }

// Error implements error.
func (e *UndecidedError) Error() string {
	return fmt.Sprintf("change may have been written to the log, but could not be read back: %v", e.cause)
}

// Unwrap returns the error that prevented the read-back, usually the last error of
// the log service.
func (e *UndecidedError) Unwrap() error { return e.cause }

// Publish appends a change and reads the log back until the change is found, since
// only its position in the log determines whether it is accepted. An append that
// failed may have been written, so the log is read before the change is appended
// again. Of two copies at most one is accepted, because the first makes the base
// revision of the second stale.
//
// The history must have been read to the end of the log, or to the offset at which
// the change was created. Records that expire before they are read back are
// requested from the nodes.
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
			verdicts = append(verdicts, nodes.pullFromAll(ctx, h)...)
		}
		if v, ok := findVerdict(verdicts, c.ID()); ok {
			return v, nil
		}
		if h.state.branches[c.branch].change.id == c.id {
			// The record has expired, but a snapshot shows that it was accepted.
			return Verdict{Kind: Accepted, Offset: h.next - 1, Change: c}, nil
		}
		if _, revision := h.Branch(c.branch); revision > c.base && !h.Gap() && skippedRecords(verdicts, before, h.next) {
			return Verdict{}, &UndecidedError{cause: fmt.Errorf("branch %q is now at revision %d, and records that led to this revision have expired", c.branch, revision)}
		}
		if errRead != nil {
			err = errRead
		} else if gap {
			err = fmt.Errorf("log no longer retains the records from offset %d on; request them from another node", h.Offset())
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

// findVerdict returns the first verdict that accepts or rejects the change.
func findVerdict(verdicts []Verdict, id string) (v Verdict, ok bool) {
	for _, v := range verdicts {
		if v.Change.ID() == id && (v.Kind == Accepted || v.Kind == Rejected) {
			return v, true
		}
	}
	return Verdict{}, false
}

// skippedRecords reports whether the history's offset advanced by more records than
// there are verdicts, which happens only if it was restored from a snapshot.
func skippedRecords(verdicts []Verdict, before, after int64) bool {
	decided := int64(0)
	for _, v := range verdicts {
		if v.Kind == Accepted || v.Kind == Rejected || v.Kind == SnapshotRead {
			decided++
		}
	}
	return decided < after-before
}

// Nodes are the nodes from which an operator's command may request settings.
type Nodes struct {
	// Client sends the requests.
	Client *http.Client
	// Addresses are the operator or peer addresses of the nodes.
	Addresses []string
}

// pullFromAll requests the records that the history lacks from all nodes. It
// returns the verdicts of the new records.
func (n Nodes) pullFromAll(ctx context.Context, h *History) (verdicts []Verdict) {
	for _, address := range n.Addresses {
		// Errors are ignored, since another node may have the records.
		more, _, _ := h.Pull(ctx, n.Client, address)
		verdicts = append(verdicts, more...)
	}
	return verdicts
}

// Load reads the log to its end into the history. Records that the log no longer
// retains are requested from the nodes.
func Load(ctx context.Context, log appendlog.Journal, h *History, nodes Nodes) (err error) {
	defer func() { err = eris.Wrap(err, "read settings") }()
	_, gap, err := h.CatchUp(ctx, log)
	if err != nil || !gap {
		return err
	}
	nodes.pullFromAll(ctx, h)
	_, gap, err = h.CatchUp(ctx, log)
	if err == nil && gap {
		err = fmt.Errorf("log no longer retains the records from offset %d on, and none of the given nodes has them; give other nodes, or see lacewingslip settings repair --help", h.Offset())
	}
	return err
}

// Fetch updates the history from the first node that responds, without reading the
// log. It fails if no node responds.
func (n Nodes) Fetch(ctx context.Context, h *History) (err error) {
	err = errors.New("no node address given")
	for _, address := range n.Addresses {
		if _, _, err = h.Pull(ctx, n.Client, address); err == nil {
			return nil
		}
	}
	return err
}

// WaitApplied returns after all nodes have replayed the record at the offset.
func (n Nodes) WaitApplied(ctx context.Context, offset int64) (err error) {
	for _, address := range n.Addresses {
		for {
			next, err := FetchOffset(ctx, n.Client, address)
			if err == nil && next > offset {
				break
			}
			select {
			case <-ctx.Done():
				return eris.Wrapf(cmp.Or(err, ctx.Err()), "wait for node %s to apply settings offset %d", address, offset)
			case <-time.After(readBackInterval):
			}
		}
	}
	return nil
}
