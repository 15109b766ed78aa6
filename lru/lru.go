// Package lru implements a cache of bounded size with least-recently-used
// eviction.
package lru

import (
	"container/list"
	"sync"
)

// Cache holds the most recently used values up to a total number of bytes. Its
// methods may be called concurrently.
type Cache[K comparable, V any] struct {
	limit int
	mu    sync.Mutex
	bytes int
	order *list.List // of entry, most recently used first
	byKey map[K]*list.Element
}

type entry[K comparable, V any] struct {
	key   K
	value V
	bytes int
}

// New returns an empty Cache of at most limit bytes. A single value may exceed
// the limit and is then the only one cached.
func New[K comparable, V any](limit int) *Cache[K, V] {
	return &Cache[K, V]{limit: limit, order: list.New(), byKey: make(map[K]*list.Element)}
}

// Get returns the cached value of key and marks it as most recently used; ok is
// false if it is not cached.
func (c *Cache[K, V]) Get(key K) (value V, ok bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	e, ok := c.byKey[key]
	if !ok {
		return value, false
	}
	c.order.MoveToFront(e)
	return e.Value.(entry[K, V]).value, true
}

// Add caches value, which counts as the given number of bytes, and evicts the
// least recently used values beyond the limit. It does nothing if key is cached
// already.
func (c *Cache[K, V]) Add(key K, value V, bytes int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if _, ok := c.byKey[key]; ok {
		return
	}
	c.byKey[key] = c.order.PushFront(entry[K, V]{key, value, bytes})
	c.bytes += bytes
	for c.bytes > c.limit && c.order.Len() > 1 {
		last := c.order.Remove(c.order.Back()).(entry[K, V])
		delete(c.byKey, last.key)
		c.bytes -= last.bytes
	}
}
