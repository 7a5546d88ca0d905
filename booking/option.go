package booking

import "time"

// Option changes a default of [New] or [NewClaims].
type Option func(*options)

type options struct {
	validity   time.Duration
	keptBytes  int64
	maxEntries int
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

// WithMaxEntries bounds the number of ended keys that a ledger remembers. The
// default of 200,000 is ten minutes of 333 bookings per second.
func WithMaxEntries(n int) Option {
	return func(o *options) { o.maxEntries = n }
}
