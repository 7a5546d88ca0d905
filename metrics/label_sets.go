package metrics

import (
	"sync"

	"go.opentelemetry.io/otel/attribute"
	"go.opentelemetry.io/otel/metric"
)

type hopKey struct {
	hop     Hop
	service string
}

type pairKey struct {
	firstName, first, secondName, second string
}

// labelSet is a set of labels as options for counters (add) and for other instruments
// (record). Passing a prepared slice avoids an allocation per measurement.
type labelSet struct {
	add    []metric.AddOption
	record []metric.RecordOption
}

// labelSets is a cache of label sets.
type labelSets[K comparable] struct {
	mu   sync.RWMutex
	sets map[K]labelSet
}

func (s *labelSets[K]) get(key K, labels func() []attribute.KeyValue) labelSet {
	s.mu.RLock()
	set, found := s.sets[key]
	s.mu.RUnlock()
	if found {
		return set
	}
	option := metric.WithAttributeSet(attribute.NewSet(labels()...))
	set = labelSet{add: []metric.AddOption{option}, record: []metric.RecordOption{option}}

	s.mu.Lock()
	defer s.mu.Unlock()
	if s.sets == nil {
		s.sets = make(map[K]labelSet)
	}
	if len(s.sets) < maxLabelSets {
		s.sets[key] = set
	}
	return set
}
