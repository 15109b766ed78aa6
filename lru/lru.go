// Package lru keeps the values used last, up to a number of bytes.
package lru

import (
	"container/list"
	"sync"
)

// Cache keeps the values used last, up to a number of bytes. Callers may use it
// at the same time.
type Cache[K comparable, V any] struct {
	limit int
	mu    sync.Mutex
	bytes int
	order *list.List // of entry, the latest used first
	byKey map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
	bytes int
}

// New returns an empty Cache of at most limit bytes, or of one larger value.
func New[K comparable, V any](limit int) *Cache[K, V] {
	return &Cache[K, V]{limit: limit, order: list.New(), byKey: make(map[K]*list.Element)}
}

// Get returns the value under key, if it is kept.
func (l *Cache[K, V]) Get(key K) (value V, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byKey[key]
	if !ok {
		return value, false
	}
	l.order.MoveToFront(e)
	return e.Value.(entry[K, V]).value, true
}

// Add keeps value, which takes some bytes, and drops the ones used longest
// ago.
func (l *Cache[K, V]) Add(key K, value V, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byKey[key]; ok {
		return
	}
	l.byKey[key] = l.order.PushFront(entry[K, V]{key, value, bytes})
	l.bytes += bytes
	for l.bytes > l.limit && l.order.Len() > 1 {
		last := l.order.Remove(l.order.Back()).(entry[K, V])
		delete(l.byKey, last.key)
		l.bytes -= last.bytes
	}
}
