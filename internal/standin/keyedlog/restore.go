package keyedlog

import (
	"maps"
	"slices"
)

// Copy is the content of a log at one time.
type Copy struct{ topics map[string]*topic }

// Copy returns a copy of the content, to which Restore can return.
func (l *Log) Copy() Copy {
	l.mu.Lock()
	defer l.mu.Unlock()
	return Copy{topics: cloneTopics(l.topics)}
}

// RestoreOption configures a restore.
type RestoreOption func(*restore)

type restore struct{ keepReads bool }

// KeepReads lets waiting reads go on at their offsets, even beyond the end of the
// restored content. Otherwise, they are disconnected.
func KeepReads() RestoreOption { return func(r *restore) { r.keepReads = true } }

// Restore returns to a copy: what was written since is lost, its offsets are given out
// again, and the epochs of producers go back as well. The era increases by one.
func (l *Log) Restore(c Copy, opts ...RestoreOption) {
	var r restore
	for _, opt := range opts {
		opt(&r)
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.topics = cloneTopics(c.topics)
	l.era++
	if !r.keepReads {
		close(l.restored)
		l.restored = make(chan struct{})
	}
	l.notifyReaders()
}

func cloneTopics(topics map[string]*topic) map[string]*topic {
	cloned := make(map[string]*topic, len(topics))
	for name, t := range topics {
		cloned[name] = &topic{
			records: slices.Clone(t.records), firstKept: t.firstKept, producerEpochs: maps.Clone(t.producerEpochs),
		}
	}
	return cloned
}
