package jobs

import (
	"container/list"
	"sync"
)

// lru keeps the values used last, up to a number of bytes.
type lru[K comparable, V any] struct {
	limit int
	mu    sync.Mutex
	bytes int
	order *list.List // of lruEntry, the latest used first
	byKey map[K]*list.Element
}

type lruEntry[K comparable, V any] struct {
	key   K
	value V
	bytes int
}

func newLRU[K comparable, V any](limit int) *lru[K, V] {
	return &lru[K, V]{limit: limit, order: list.New(), byKey: make(map[K]*list.Element)}
}

func (l *lru[K, V]) get(key K) (value V, ok bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	e, ok := l.byKey[key]
	if !ok {
		return value, false
	}
	l.order.MoveToFront(e)
	return e.Value.(lruEntry[K, V]).value, true
}

// add keeps value, which takes some bytes, and drops the ones used longest
// ago.
func (l *lru[K, V]) add(key K, value V, bytes int) {
	l.mu.Lock()
	defer l.mu.Unlock()
	if _, ok := l.byKey[key]; ok {
		return
	}
	l.byKey[key] = l.order.PushFront(lruEntry[K, V]{key, value, bytes})
	l.bytes += bytes
	for l.bytes > l.limit && l.order.Len() > 1 {
		last := l.order.Remove(l.order.Back()).(lruEntry[K, V])
		delete(l.byKey, last.key)
		l.bytes -= last.bytes
	}
}
