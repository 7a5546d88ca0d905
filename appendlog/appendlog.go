// Package appendlog is the client of the platform's append-only log service,
// which keeps everything that has to outlive the nodes.
//
// # Usage
//
//	log := appendlog.New("127.0.0.1:7000")
//	offset, err := log.Append(ctx, "settings", record)
//	page, err := log.Read(ctx, "settings", offset, 100, 0)
//
// An append whose answer is lost may have taken effect. Callers give their
// records an ID and find it by reading back.
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
	// Read returns at most limit records from the offset on. If there are none
	// it waits for up to wait for one to come.
	Read(ctx context.Context, stream string, from int64, limit int, wait time.Duration) (page Page, err error)
}

// Record is one entry of a stream.
type Record struct {
	// Offset is the record's place in its stream. Offsets rise by one.
	Offset int64
	// Data is the record as it was appended.
	Data []byte
}

// Page is a run of records of a stream.
type Page struct {
	// Records is in order of offsets.
	Records []Record
	// Oldest is the lowest offset that the log service still keeps. Older
	// records have been removed.
	Oldest int64
	// Next is the offset that the next appended record will get.
	Next int64
}
