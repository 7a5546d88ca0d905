// Package logservice is a stand-in for the log service of the platform, for tests and
// demonstrations. It stores its streams in memory.
//
// # Usage
//
//	service := logservice.New(logservice.WithRetention(1000, time.Hour))
//	server := httptest.NewServer(service)
//	service.SetFaults(logservice.Faults{Down: true})
//
// A Service also implements [appendlog.Journal], so that tests can use it without HTTP.
package logservice

import (
	"context"
	"errors"
	"net/http"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// ErrFault is returned for a request that failed because of [Faults].
var ErrFault = errors.New("log service fault")

// Faults are the faults that a Service can inject.
type Faults struct {
	// Down makes every request fail without effect.
	Down bool
	// Delay is added to every request.
	Delay time.Duration
	// LoseAnswers is the number of next appends that take effect, but whose response
	// is lost.
	LoseAnswers int
}

// Service is a log service in memory. It is safe for concurrent use.
type Service struct {
	keepCount int
	keepAge   time.Duration
	router    http.Handler

	mu      sync.Mutex
	streams map[string]*stream
	faults  Faults
}

var _ appendlog.Journal = (*Service)(nil)

type stream struct {
	oldest   int64
	records  []storedRecord
	appended chan struct{} // closed and replaced at each append
}

type storedRecord struct {
	data       []byte
	appendedAt time.Time
}

// Option configures a [Service].
type Option func(*Service)

// WithRetention limits each stream to its newest count records and to records no older
// than age. Zero means no limit.
func WithRetention(count int, age time.Duration) Option {
	return func(s *Service) { s.keepCount, s.keepAge = count, age }
}

// New returns a service without streams. A stream is created when it is first used.
func New(opts ...Option) *Service {
	s := &Service{streams: make(map[string]*stream)}
	s.router = s.newRouter()
	for _, opt := range opts {
		opt(s)
	}
	return s
}

// SetFaults replaces the faults.
func (s *Service) SetFaults(faults Faults) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.faults = faults
}

// Faults returns the current faults.
func (s *Service) Faults() Faults {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.faults
}

// Append implements [appendlog.Journal].
func (s *Service) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	if err := s.applyFaults(ctx); err != nil {
		return 0, err
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(stream)
	offset = st.next()
	st.records = append(st.records, storedRecord{data: append([]byte(nil), data...), appendedAt: time.Now()})
	s.expire(st)
	close(st.appended)
	st.appended = make(chan struct{})
	if s.faults.LoseAnswers > 0 {
		s.faults.LoseAnswers--
		return 0, ErrFault
	}
	return offset, nil
}

// Read implements [appendlog.Journal].
func (s *Service) Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page appendlog.Page, err error) {
	if err := s.applyFaults(ctx); err != nil {
		return appendlog.Page{}, err
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for {
		page, appended := s.page(stream, from, limit)
		if len(page.Records) > 0 || wait <= 0 {
			return page, nil
		}
		select {
		case <-appended:
		case <-timer.C:
			return page, nil
		case <-ctx.Done():
			return appendlog.Page{}, ctx.Err()
		}
	}
}

// applyFaults applies the faults that occur before a request takes effect: it waits for
// the delay, and fails if the service is down.
func (s *Service) applyFaults(ctx context.Context) error {
	faults := s.Faults()
	if faults.Delay > 0 {
		timer := time.NewTimer(faults.Delay)
		defer timer.Stop()
		select {
		case <-timer.C:
		case <-ctx.Done():
			return ctx.Err()
		}
	}
	if faults.Down {
		return ErrFault
	}
	return nil
}

func (s *Service) page(name string, from int64, limit int) (page appendlog.Page, appended <-chan struct{}) {
	s.mu.Lock()
	defer s.mu.Unlock()
	st := s.stream(name)
	s.expire(st)
	page = appendlog.Page{Oldest: st.oldest, Next: st.next()}
	for offset := max(from, st.oldest); offset < st.next() && len(page.Records) < limit; offset++ {
		page.Records = append(page.Records, appendlog.Record{Offset: offset, Data: st.records[offset-st.oldest].data})
	}
	return page, st.appended
}

func (s *Service) stream(name string) *stream {
	st := s.streams[name]
	if st == nil {
		st = &stream{appended: make(chan struct{})}
		s.streams[name] = st
	}
	return st
}

func (s *Service) expire(st *stream) {
	expired := 0
	if s.keepCount > 0 {
		expired = max(len(st.records)-s.keepCount, 0)
	}
	for s.keepAge > 0 && expired < len(st.records) && time.Since(st.records[expired].appendedAt) > s.keepAge {
		expired++
	}
	st.records = st.records[expired:]
	st.oldest += int64(expired)
}

func (st *stream) next() int64 { return st.oldest + int64(len(st.records)) }
