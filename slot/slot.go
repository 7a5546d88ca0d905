// Package slot hands out the slots of a backend server: as many requests as it
// has slots run, and a few wait in order of their rank.
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
	// ErrFull means that the wait would be too long, or that a request of a
	// higher rank took the place.
	ErrFull = errors.New("no slot will be free in time")
	// ErrClosed means that the backend server takes no requests.
	ErrClosed = errors.New("the backend server takes no requests")
)

// smoothing is the weight of one request in the mean run time.
const smoothing = 0.05

// Request asks for a slot.
type Request struct {
	// Rank orders waiting requests; lower ranks go first.
	Rank int
	// Deadline is when the caller stops waiting for the answer. Among equal ranks
	// the earliest goes first: a call expires with the customer request that it
	// belongs to, so the requests that have had most work done end first.
	Deadline time.Time
	// WaitUntil is when the request gives up waiting.
	WaitUntil time.Time
}

// Load is the state of a queue at one moment.
type Load struct {
	Running, Waiting, Limit int
	// MeanRun is how long a request holds a slot on average.
	MeanRun time.Duration
}

// Wait estimates how long a request with none ahead of its rank but the waiting
// ones would wait.
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

// Queue holds the slots of one backend server. It is safe for concurrent use.
type Queue struct {
	mu      sync.Mutex
	limit   int
	running int
	meanRun time.Duration
	closed  bool
	// waiting is in the order in which slots are given.
	waiting []*waiter
}

type waiter struct {
	request Request
	// decided gets nil when the request has a slot.
	decided chan error
}

// New returns a queue without slots.
func New() *Queue { return &Queue{} }

// Resize sets the number of slots and opens the queue.
func (q *Queue) Resize(slots int) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.limit, q.closed = slots, false
	q.advance()
}

// Close refuses waiting and new requests. Running ones go on.
func (q *Queue) Close() {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.closed = true
	for _, w := range q.waiting {
		w.decided <- ErrClosed
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

// Acquire waits for a slot. The caller must call release once, with the time
// that the request ran, or 0 if it did not.
func (q *Queue) Acquire(ctx context.Context, r Request) (release func(ran time.Duration), err error) {
	w, err := q.enter(r)
	if err != nil {
		return nil, err
	}
	if w != nil {
		if err = q.wait(ctx, w); err != nil {
			return nil, err
		}
	}
	return q.release, nil
}

// enter takes a slot at once, or returns a waiter.
func (q *Queue) enter(r Request) (w *waiter, err error) {
	q.mu.Lock()
	defer q.mu.Unlock()
	if q.closed || q.limit == 0 {
		return nil, ErrClosed
	}
	if q.running < q.limit && len(q.waiting) == 0 {
		q.running++
		return nil, nil
	}
	at, _ := slices.BinarySearchFunc(q.waiting, r, func(w *waiter, r Request) int {
		if w.request.Rank != r.Rank {
			return cmp.Compare(w.request.Rank, r.Rank)
		}
		if !r.Deadline.Before(w.request.Deadline) {
			return -1
		}
		return 1
	})
	if time.Until(r.WaitUntil) < q.waitAt(at) {
		return nil, ErrFull
	}
	w = &waiter{request: r, decided: make(chan error, 1)}
	q.waiting = slices.Insert(q.waiting, at, w)
	return w, nil
}

// waitAt estimates the wait of the request at a place in the queue.
func (q *Queue) waitAt(place int) time.Duration {
	return Load{Running: q.running, Waiting: place, Limit: q.limit, MeanRun: q.meanRun}.Wait()
}

func (q *Queue) wait(ctx context.Context, w *waiter) (err error) {
	timer := time.NewTimer(time.Until(w.request.WaitUntil))
	defer timer.Stop()
	select {
	case err = <-w.decided:
		return err
	case <-timer.C:
		err = ErrFull
	case <-ctx.Done():
		err = ctx.Err()
	}
	q.mu.Lock()
	defer q.mu.Unlock()
	if at := slices.Index(q.waiting, w); at >= 0 {
		q.waiting = slices.Delete(q.waiting, at, at+1)
		return err
	}
	// A decision came in the meantime.
	if decided := <-w.decided; decided != nil {
		return decided
	}
	if ctx.Err() == nil {
		return nil
	}
	q.running--
	q.advance()
	return err
}

func (q *Queue) release(ran time.Duration) {
	q.mu.Lock()
	defer q.mu.Unlock()
	q.running--
	if ran > 0 {
		if q.meanRun == 0 {
			q.meanRun = ran
		}
		q.meanRun += time.Duration(smoothing * float64(ran-q.meanRun))
	}
	q.advance()
}

// advance gives free slots to waiting requests.
func (q *Queue) advance() {
	for q.running < q.limit && len(q.waiting) > 0 {
		w := q.waiting[0]
		q.waiting = slices.Delete(q.waiting, 0, 1)
		q.running++
		w.decided <- nil
	}
}
