package memory

import (
	"sync"

	"github.com/hashicorp/golang-lru/v2/simplelru"
)

// Cache keeps the entries used last, up to a number of them and up to a number of bytes.
// The newest entry is kept whatever its size. It is safe for concurrent use.
type Cache[K comparable, V any] struct {
	maxBytes int64
	size     func(V) int64

	mu      sync.Mutex
	entries *simplelru.LRU[K, V]
	bytes   int64
}

// NewCache returns a cache. Size returns the bytes that an entry takes, which must not
// change while it is cached. The number of entries must be positive.
func NewCache[K comparable, V any](maxEntries int, maxBytes int64, size func(V) int64) (*Cache[K, V], error) {
	c := &Cache[K, V]{maxBytes: maxBytes, size: size}
	var err error
	c.entries, err = simplelru.NewLRU(maxEntries, func(_ K, v V) { c.bytes -= size(v) })
	return c, err
}

// Get returns the entry of a key.
func (c *Cache[K, V]) Get(key K) (V, bool) {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.entries.Get(key)
}

// Add adds or replaces the entry of a key.
func (c *Cache[K, V]) Add(key K, value V) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries.Remove(key)
	c.entries.Add(key, value)
	c.bytes += c.size(value)
	for c.bytes > c.maxBytes && c.entries.Len() > 1 {
		c.entries.RemoveOldest()
	}
}

// Purge drops all entries.
func (c *Cache[K, V]) Purge() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.entries.Purge()
}
