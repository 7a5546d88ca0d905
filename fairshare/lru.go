package fairshare

import "container/list"

// lru is a table that drops the entry that has not been used for longest when it is full.
type lru[K comparable, V any] struct {
	limit   int
	entries map[K]*list.Element
	order   *list.List
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, entries: make(map[K]*list.Element), order: list.New()}
}

// get returns the entry of a key, which is a new one if the table has none.
func (l *lru[K, V]) get(key K) *V {
	if element, ok := l.entries[key]; ok {
		l.order.MoveToFront(element)
		return &element.Value.(*lruEntry[K, V]).value
	}
	if len(l.entries) >= l.limit {
		oldest := l.order.Back()
		delete(l.entries, oldest.Value.(*lruEntry[K, V]).key)
		l.order.Remove(oldest)
	}
	entry := &lruEntry[K, V]{key: key}
	l.entries[key] = l.order.PushFront(entry)
	return &entry.value
}

func (l *lru[K, V]) len() int { return len(l.entries) }
