// Package appendlog is a client of the platform's append-only log service, which
// stores all data that must survive the nodes.
//
// # Usage
//
//	log := appendlog.New("127.0.0.1:7000")
//	offset, err := log.Append(ctx, "settings", record)
//	page, err := log.Read(ctx, "settings", offset, 100, 0)
//
// An append that returned an error may still have been written, for example if
// only the response was lost. Callers therefore put an ID into each record and
// read the stream back to find it.
package appendlog

import (
	"context"
	"time"
)

// Journal is a set of append-only streams.
type Journal interface {
	// Append adds a record to the stream. An error does not mean that the
	// record was not written.
	Append(ctx context.Context, stream string, data []byte) (offset int64, err error)
	// Read returns at most limit records, starting at the offset from. If there
	// are none, it waits for up to wait until one is appended.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page Page, err error)
}

// Record is one record of a stream.
type Record struct {
	// Offset is the record's position in its stream. Consecutive records have
	// consecutive offsets.
	Offset int64
	// Data is the content, exactly as it was appended.
	Data []byte
}

// Page is a sequence of consecutive records of a stream.
type Page struct {
	// Records is sorted by offset.
	Records []Record
	// Oldest is the lowest offset that the log service retains. Older records
	// have been removed.
	Oldest int64
	// Next is the offset that the next appended record will get.
	Next int64
}
