package slot_test

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/shoenig/test/must"

	"github.com/lacewingslip/lacewingslip/slot"
)

func request(rank int) slot.Request {
	return slot.Request{Rank: rank, WaitUntil: time.Now().Add(time.Second)}
}

// fill sizes the queue to n slots, acquires all of them, and returns the function
// that releases one.
func fill(t *testing.T, q *slot.Queue, n int) (release func(time.Duration)) {
	t.Helper()
	q.Resize(n)
	for range n {
		var err error
		release, err = q.Acquire(context.Background(), request(0))
		must.NoError(t, err)
	}
	return release
}

// Guards against overloading a backend server: one that gets more requests than it
// has slots may never answer.
func TestSlotsAreNotExceeded(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := slot.New()
		fill(t, q, 2)
		_, err := q.Acquire(context.Background(), request(0))
		must.ErrorIs(t, err, slot.ErrFull)
		must.Eq(t, 2, q.Load().Running)
	})
}

func TestHigherRanksGoFirst(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := slot.New()
		release := fill(t, q, 1)
		order := make(chan int, 3)
		for _, rank := range []int{2, 0, 1} {
			go func() {
				release, err := q.Acquire(context.Background(), request(rank))
				if err != nil {
					order <- -1
					return
				}
				order <- rank
				release(0)
			}()
			synctest.Wait()
		}
		release(0)
		for _, rank := range []int{0, 1, 2} {
			must.Eq(t, rank, <-order)
		}
	})
}

// Guards against queueing a request that can't get a slot in time. It must be
// refused at once, while the caller has time to try another backend server.
func TestImpossibleWaitIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := slot.New()
		release := fill(t, q, 1)
		release(500 * time.Millisecond)
		fill(t, q, 1)
		started := time.Now()
		_, err := q.Acquire(context.Background(), slot.Request{WaitUntil: started.Add(10 * time.Millisecond)})
		must.ErrorIs(t, err, slot.ErrFull)
		var full *slot.FullError
		must.True(t, errors.As(err, &full))
		must.Eq(t, 500*time.Millisecond, full.Wait)
		must.Eq(t, started, time.Now())
	})
}

func TestCloseRefusesWaitingRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := slot.New()
		release := fill(t, q, 1)
		ended := make(chan error, 1)
		go func() {
			_, err := q.Acquire(context.Background(), request(0))
			ended <- err
		}()
		synctest.Wait()
		q.Close()
		must.ErrorIs(t, <-ended, slot.ErrClosed)
		release(0)
		_, err := q.Acquire(context.Background(), request(0))
		must.ErrorIs(t, err, slot.ErrClosed)
	})
}

func TestCanceledRequestLeavesTheQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		q := slot.New()
		release := fill(t, q, 1)
		ctx, cancel := context.WithCancel(context.Background())
		ended := make(chan error, 1)
		go func() {
			_, err := q.Acquire(ctx, request(0))
			ended <- err
		}()
		synctest.Wait()
		cancel()
		must.ErrorIs(t, <-ended, context.Canceled)
		release(0)
		must.Eq(t, slot.Load{Limit: 1}, q.Load())
	})
}
