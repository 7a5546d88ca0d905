package booking

import (
	"math/rand/v2"
	"time"
)

// Option configures [New] or [NewClaims].
type Option func(*options)

type options struct {
	validity         time.Duration
	answerCacheBytes int64
	maxKeys          int
	logTimeout       time.Duration
	recorder         Recorder
	random           *rand.Rand
}

func (o *options) apply(opts []Option) {
	for _, opt := range opts {
		opt(o)
	}
}

// WithValidity sets the maximum age at which a key may run. In a ledger it applies
// to issued keys and is 10 minutes by default. In claims it applies to
// caller-chosen keys and is one hour by default.
func WithValidity(validity time.Duration) Option {
	return func(o *options) { o.validity = validity }
}

// WithAnswerCacheBytes bounds the memory for answers that a ledger caches for repeated
// bookings. The default is 32 MiB.
func WithAnswerCacheBytes(bytes int64) Option {
	return func(o *options) { o.answerCacheBytes = bytes }
}

// WithMaxKeys bounds the number of recorded keys. If there are more, the
// oldest keys expire early. The default of a ledger is 150,000 ended keys, which
// use 46 MB and correspond to 250 bookings per second for ten minutes. The
// default of claims is 300,000 keys, which use 67 MB and correspond to 83
// bookings per second in all nodes together for an hour.
func WithMaxKeys(n int) Option {
	return func(o *options) { o.maxKeys = n }
}

// WithLogTimeout bounds the time for appending a claim and reading it back. The
// default is one second, since a booking can't be delayed for much longer.
func WithLogTimeout(timeout time.Duration) Option {
	return func(o *options) { o.logTimeout = timeout }
}

// WithRecorder sets the recorder of claim events.
func WithRecorder(r Recorder) Option {
	return func(o *options) { o.recorder = r }
}

// WithRandom sets the random source of the delay between append attempts. It
// must not be used elsewhere, since it is not safe for concurrent use.
func WithRandom(random *rand.Rand) Option {
	return func(o *options) { o.random = random }
}
