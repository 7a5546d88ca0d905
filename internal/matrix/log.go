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

// LogFault is the fault that affects one request to the log.
type LogFault uint8

const (
	// LogWorks means that the request succeeds.
	LogWorks LogFault = iota
	// LogDown fails the request without effect.
	LogDown
	// LogLosesAnswer carries out the request and then fails it.
	LogLosesAnswer
	// LogHangs carries out the request, but does not answer before the client's
	// context ends.
	LogHangs
	// LogWritesLate fails an append at once and carries it out after
	// lateWriteDelay. It has no effect on reads.
	LogWritesLate
	// LogDuplicates carries out an append twice. It has no effect on reads.
	LogDuplicates
)

// LogRequest describes a request to the function that chooses its fault.
type LogRequest struct {
	Append bool
	Stream string
}

var errLogDown = errors.New("log service is down")

// lateWriteDelay is the time from the failure of an append with LogWritesLate until
// the record is written.
const lateWriteDelay = 3 * time.Second

// Log is an in-memory log service for use within one process. Each request takes
// the delay given to [NewLog].
type Log struct {
	mu      sync.Mutex
	streams map[string][][]byte
	oldest  map[string]int64
	delay   time.Duration
	fault   func(LogRequest) LogFault
	appends int
	reads   int
}

// NewLog returns an empty log. The fault function chooses the fault of each
// request; if it is nil, all requests succeed.
func NewLog(delay time.Duration, fault func(LogRequest) LogFault) *Log {
	if fault == nil {
		fault = func(LogRequest) LogFault { return LogWorks }
	}
	return &Log{streams: map[string][][]byte{}, oldest: map[string]int64{}, delay: delay, fault: fault}
}

// Append implements [appendlog.Journal].
func (l *Log) Append(ctx context.Context, stream string, data []byte) (offset int64, err error) {
	if err := l.simulateDelay(ctx); err != nil {
		return 0, err
	}
	data = bytes.Clone(data)
	switch f := l.fault(LogRequest{Append: true, Stream: stream}); f {
	case LogDown:
		return 0, errLogDown
	case LogWritesLate:
		time.AfterFunc(lateWriteDelay, func() { l.appendRecord(stream, data) })
		return 0, errLogDown
	case LogDuplicates:
		l.appendRecord(stream, data)
		return l.appendRecord(stream, data), nil
	default:
		return l.appendRecord(stream, data), l.answerFault(ctx, f)
	}
}

// Read implements [appendlog.Journal]. It returns at once if there are no new
// records.
func (l *Log) Read(ctx context.Context, stream string, from int64, limit int, _ time.Duration) (page appendlog.Page, err error) {
	if err := l.simulateDelay(ctx); err != nil {
		return appendlog.Page{}, err
	}
	f := l.fault(LogRequest{Stream: stream})
	if f == LogDown {
		return appendlog.Page{}, errLogDown
	}
	if err := l.answerFault(ctx, f); err != nil {
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

// Trim makes the records of a stream below an offset unreadable.
func (l *Log) Trim(stream string, oldest int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.oldest[stream] = oldest
}

// Requests returns the numbers of records written and of reads answered.
func (l *Log) Requests() (appends, reads int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.appends, l.reads
}

// endOffsets returns the offset after the last record of each stream.
func (l *Log) endOffsets() map[string]int64 {
	l.mu.Lock()
	defer l.mu.Unlock()
	ends := map[string]int64{}
	for stream, records := range l.streams {
		ends[stream] = int64(len(records))
	}
	return ends
}

func (l *Log) appendRecord(stream string, data []byte) (offset int64) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.appends++
	l.streams[stream] = append(l.streams[stream], data)
	return int64(len(l.streams[stream]) - 1)
}

func (l *Log) simulateDelay(ctx context.Context) error {
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

// answerFault applies the faults that affect only the answer of a request.
func (l *Log) answerFault(ctx context.Context, f LogFault) error {
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
