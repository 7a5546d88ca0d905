package matrix

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"sync"
	"time"

	"github.com/lacewingslip/lacewingslip/appendlog"
)

// LogFault is what happens to one request to the log.
type LogFault uint8

const (
	// LogWorks is no fault.
	LogWorks LogFault = iota
	// LogDown fails the request without effect.
	LogDown
	// LogLosesAnswer carries out the request and then fails it.
	LogLosesAnswer
	// LogHangs carries out the request and answers only when the client has
	// given up.
	LogHangs
	// LogWritesLate fails the request and carries it out some time afterwards.
	LogWritesLate
	// LogDuplicates carries out an append twice.
	LogDuplicates
)

// LogRequest is what a fault decision may depend on.
type LogRequest struct {
	Append bool
	Stream string
}

var errLogDown = errors.New("log service is down")

// lateWrite is how long after its failure a late append takes effect.
const lateWrite = 3 * time.Second

// Log is an in-memory log service for one process. Each request takes the
// stated delay.
type Log struct {
	mu      sync.Mutex
	streams map[string][][]byte
	oldest  map[string]int64
	delay   time.Duration
	fault   func(LogRequest) LogFault
	appends int
	reads   int
}

// NewLog returns an empty log. A nil fault function means that it always works.
func NewLog(delay time.Duration, fault func(LogRequest) LogFault) *Log {
	if fault == nil {
		fault = func(LogRequest) LogFault { return LogWorks }
	}
	return &Log{streams: map[string][][]byte{}, oldest: map[string]int64{}, delay: delay, fault: fault}
}

// Append implements [appendlog.Journal].
func (l *Log) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	if err := l.wait(ctx); err != nil {
		return 0, err
	}
	data = bytes.Clone(data)
	switch f := l.fault(LogRequest{Append: true, Stream: stream}); f {
	case LogDown:
		return 0, errLogDown
	case LogWritesLate:
		time.AfterFunc(lateWrite, func() { l.write(stream, data) })
		return 0, errLogDown
	case LogDuplicates:
		l.write(stream, data)
		return l.write(stream, data), nil
	default:
		return l.write(stream, data), l.answer(ctx, f)
	}
}

// Read implements [appendlog.Journal]. It never waits for records to come.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, _ time.Duration) (page appendlog.Page, err error) {
	if err := l.wait(ctx); err != nil {
		return appendlog.Page{}, err
	}
	f := l.fault(LogRequest{Stream: stream})
	if f == LogDown {
		return appendlog.Page{}, errLogDown
	}
	if err := l.answer(ctx, f); err != nil {
		return appendlog.Page{}, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.reads++
	records := l.streams[stream]
	page = appendlog.Page{Oldest: l.oldest[stream], Next: int64(len(records))}
	for o := max(from, page.Oldest); o < page.Next && len(page.Records) < limit; o++ {
		page.Records = append(page.Records, appendlog.Record{Offset: o, Data: records[o]})
	}
	return page, nil
}

// Trim removes the records of a stream below an offset.
func (l *Log) Trim(stream string, oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest[stream] = oldest
}

// Requests returns how many appends and reads took effect.
func (l *Log) Requests() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// ends returns the offset after the last record of each stream.
func (l *Log) ends() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := map[string]int64{}
	for stream, records := range l.streams {
		ends[stream] = int64(len(records))
	}
	return ends
}

func (l *Log) write(stream string, data []byte) (offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.streams[stream] = append(l.streams[stream], data)
	return int64(len(l.streams[stream]) - 1)
}

func (l *Log) wait(ctx context.Context) error {
	if l.delay == 0 {
		return ctx.Err()
	}
	timer := time.NewTimer(l.delay)
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return fmt.Errorf("log service: %w", ctx.Err())
	}
}

func (l *Log) answer(ctx context.Context, f LogFault) error {
	switch f {
	case LogLosesAnswer:
		return errLogDown
	case LogHangs:
		<-ctx.Done()
		return fmt.Errorf("log service: %w", ctx.Err())
	default:
		return nil
	}
}
