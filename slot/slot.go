// Package slot limits the number of requests that a backend server runs at once
// to its number of slots. Further requests wait for a slot in the order of their
// rank, or are refused if the wait would be too long.
//
// # Usage
//
//	queue := slot.New()
//	queue.Resize(54)
//	release, err := queue.Acquire(ctx, slot.Request{Rank: 0, WaitUntil: deadline})
//	if err != nil {
//		// refused: the request has not run
//	}
//	defer release(elapsed)
package slot

import (
	"cmp"
	"context"
	"errors"
	"slices"
	"sync"
	"time"
)

// Reasons for a refusal.
var (
	// ErrFull means that no slot is expected to become free, or has become free,
	// before [Request.WaitUntil]. This includes requests that were
	// overtaken by requests of a more important rank.
	ErrFull = errors.New("no slot will be free in time")
	// ErrClosed means that the backend server takes no requests: the queue is closed
	// or has no slots.
	ErrClosed = errors.New("the backend server takes no requests")
)

// FullError is an [ErrFull] for a request that was refused at once.
type FullError struct {
	// Wait is the estimate of how long the request would have waited.
	Wait time.Duration
}

// Error implements error.
func (e *FullError) Error() string { return ErrFull.Error() }

// Unwrap returns [ErrFull].
func (e *FullError) Unwrap() error { return ErrFull }

// meanRunWeight is the weight of the latest request in the mean run time.
const meanRunWeight = 0.05

// Request asks for a slot.
type Request struct {
	// Rank orders waiting requests. A lower number is more important and goes first.
	Rank int
	// Deadline is when the caller stops waiting for the answer. Among requests of
	// the same rank, the earliest deadline goes first: a call expires with the
	// customer request that it belongs to, so this order first finishes the
	// customer requests for which most work has been done.
	Deadline time.Time
	// WaitUntil is the time after which the request is refused if it still waits.
	WaitUntil time.Time
}

// Load is the state of a queue at one moment.
type Load struct {
	Running, Waiting, Limit int
	// MeanRun is the moving average of the time that a request holds a slot.
	MeanRun time.Duration
}

// Wait estimates how long a new request would wait behind all waiting ones.
func (l Load) Wait() time.Duration {
	if l.Limit <= 0 {
		return 0
	}
	ahead := l.Running + l.Waiting + 1 - l.Limit
	if ahead <= 0 {
		return 0
	}
	return time.Duration(float64(ahead) / float64(l.Limit) * float64(l.MeanRun))
}

// Queue assigns the slots of one backend server to requests. It is safe for
// concurrent use.
type Queue struct {
	mu      sync.Mutex
	limit   int
	running int
	meanRun time.Duration
	closed  bool
	// waiting is sorted by rank, then by deadline. The first element gets the next
	// free slot.
	waiting []*waiter
}

type waiter struct {
	request Request
	// result receives nil when the request gets a slot, or the reason for its
	// refusal.
	result chan error
}

// New returns a queue without slots. It refuses all requests until Resize is called.
func New() *Queue { return &Queue{} }

// Resize sets the number of slots and opens the queue.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit, q.closed = slots, false
	q.grantFreeSlots()
}

// Adjust changes the number of slots and the mean run time of an open queue. It does not open
// a closed one.
func (q *Queue) Adjust(slots int, meanRun time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.limit == 0 {
		return
	}
	q.limit, q.meanRun = slots, meanRun
	q.grantFreeSlots()
}

// Close refuses waiting and new requests. Running requests are not affected.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.result <- ErrClosed
	}
	q.waiting = nil
}

// Load returns the present load.
func (q *Queue) Load() Load {
	q.mu.Lock()
	defer q.mu.Unlock()
	return q.load()
}

func (q *Queue) load() Load {
	return Load{Running: q.running, Waiting: len(q.waiting), Limit: q.limit, MeanRun: q.meanRun}
}

// Acquire waits for a slot. If it returns no error, release must be called once,
// with the run time of the request, or 0 to leave the request out of the mean run
// time.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(runTime time.Duration), err error) {
	w, err := q.acquireOrEnqueue(r)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err = q.await(ctx, w); err != nil {
			return nil, err
		}
	}
	return q.release, nil
}

// acquireOrEnqueue takes a free slot and returns no waiter, or adds a waiter to the
// queue.
func (q *Queue) acquireOrEnqueue(r Request) (w *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.limit == 0 {
		return nil, ErrClosed
	}
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return nil, nil
	}
	index, _ := slices.BinarySearchFunc(q.waiting, r, func(w *waiter, r Request) int {
		if w.request.Rank != r.Rank {
			return cmp.Compare(w.request.Rank, r.Rank)
		}
		if !r.Deadline.Before(w.request.Deadline) {
			return -1
		}
		return 1
	})
	if wait := q.estimateWait(index); time.Until(r.WaitUntil) < wait {
		return nil, &FullError{Wait: wait}
	}
	w = &waiter{request: r, result: make(chan error, 1)}
	q.waiting = slices.Insert(q.waiting, index, w)
	return w, nil
}

// estimateWait estimates the waiting time at a position in the queue.
func (q *Queue) estimateWait(position int) time.Duration {
	return Load{Running: q.running, Waiting: position, Limit: q.limit, MeanRun: q.meanRun}.Wait()
}

func (q *Queue) await(ctx context.Context, w *waiter) (err error) {
	timer := time.NewTimer(time.Until(w.request.WaitUntil))
	defer timer.Stop()
	select {
	case err = <-w.result:
		return err
	case <-timer.C:
		err = ErrFull
	case <-ctx.Done():
		err = ctx.Err()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if index := slices.Index(q.waiting, w); index >= 0 {
		q.waiting = slices.Delete(q.waiting, index, index+1)
		return err
	}
	// The request got a slot or was refused in the meantime.
	if result := <-w.result; result != nil {
		return result
	}
	if ctx.Err() == nil {
		return nil
	}
	q.running--
	q.grantFreeSlots()
	return err
}

func (q *Queue) release(runTime time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if runTime > 0 {
		if q.meanRun == 0 {
			q.meanRun = runTime
		}
		q.meanRun += time.Duration(meanRunWeight * float64(runTime-q.meanRun))
	}
	q.grantFreeSlots()
}

// grantFreeSlots gives free slots to waiting requests.
func (q *Queue) grantFreeSlots() {
	for q.running < q.limit && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running++
		w.result <- nil
	}
}
