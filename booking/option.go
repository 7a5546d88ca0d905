package booking

import (
	"math/rand/v2"
	"time"
)

// Option changes a default of [New] or [NewClaims].
type Option func(*options)

type options struct {
	validity   time.Duration
	keptBytes  int64
	maxEntries int
	logTimeout time.Duration
	recorder   Recorder
	random     *rand.Rand
}

func (o *options) apply(opts []Option) {
	for _, opt := range opts {
		opt(o)
	}
}

// WithValidity sets how old a key may be to run: 10 minutes by default in a
// ledger, where it applies to issued keys, and one hour in claims, where it
// applies to caller-chosen keys.
func WithValidity(validity time.Duration) Option {
	return func(o *options) { o.validity = validity }
}

// WithKeptBytes bounds the memory for answers that a ledger keeps for repeats.
// The default is 32 MiB.
func WithKeptBytes(bytes int64) Option {
	return func(o *options) { o.keptBytes = bytes }
}

// WithMaxEntries bounds the number of keys that are remembered. The default of
// a ledger is 150,000 ended keys, which take 46 MB and are ten minutes of 250
// bookings per second. That of claims is 300,000, which take 67 MB and are an
// hour of 83 bookings per second in all nodes together. Beyond it the oldest
// keys expire early.
func WithMaxEntries(n int) Option {
	return func(o *options) { o.maxEntries = n }
}

// WithLogTimeout bounds the time for appending a claim and reading it back. The
// default is one second; a booking can't wait much longer.
func WithLogTimeout(timeout time.Duration) Option {
	return func(o *options) { o.logTimeout = timeout }
}

// WithRecorder sets where claims report their events.
func WithRecorder(r Recorder) Option {
	return func(o *options) { o.recorder = r }
}

// WithRandom sets the source of the jitter between appends of a claim. It must
// not be used elsewhere.
func WithRandom(random *rand.Rand) Option {
	return func(o *options) { o.random = random }
}
