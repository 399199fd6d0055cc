package engine

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// CacheEvent reports that a prompt prefix was added to or evicted from the cache.
type CacheEvent = upstream.CacheEvent

// contextSalt prevents collisions between the keys of imported KV caches and of
// prompt prefixes with the same hash.
const contextSalt = 0x9e3779b97f4a7c15

func contextKey(context uint64) uint64 { return context ^ contextSalt }

// prefixCache is an LRU cache of prompt prefixes, limited to CacheTokens. It
// publishes its changes with a delay and loses some of them, as an engine's
// event stream does.
type prefixCache struct {
	tokens      int
	byKey       map[uint64]*list.Element
	lru         *list.List // of *cacheEntry, most recent first
	random      *rand.Rand
	first       uint64 // sequence number preceding the first event of this boot
	last        uint64 // sequence number of the last event, published or not
	dropped     uint64 // events up to this sequence number are no longer retained
	kept        []keptEvent
	lastVisible time.Duration // publication time of the last event
}

type cacheEntry struct {
	key    uint64
	tokens int
}

type keptEvent struct {
	CacheEvent
	visible time.Duration
}

func newPrefixCache(seed, first uint64) *prefixCache {
	return &prefixCache{
		byKey:   make(map[uint64]*list.Element),
		lru:     list.New(),
		random:  rand.New(rand.NewPCG(seed, seed^contextSalt)),
		first:   first,
		last:    first,
		dropped: first,
	}
}

// lookup returns the number of cached tokens of a key and marks it as recently used.
func (c *prefixCache) lookup(key uint64) int {
	e, ok := c.byKey[key]
	if !ok {
		return 0
	}
	c.lru.MoveToFront(e)
	return e.Value.(*cacheEntry).tokens
}

// put adds a key, or marks an existing one as recently used and extends it.
// Entries larger than the cache are ignored.
func (c *prefixCache) put(now time.Duration, key uint64, tokens int) {
	if tokens <= 0 || tokens > CacheTokens {
		return
	}
	if e, ok := c.byKey[key]; ok {
		entry := e.Value.(*cacheEntry)
		c.tokens += max(tokens-entry.tokens, 0)
		entry.tokens = max(tokens, entry.tokens)
		c.lru.MoveToFront(e)
	} else {
		c.byKey[key] = c.lru.PushFront(&cacheEntry{key: key, tokens: tokens})
		c.tokens += tokens
		c.publish(now, key, false)
	}
	for c.tokens > CacheTokens {
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Duration) {
	e := c.lru.Back()
	entry := c.lru.Remove(e).(*cacheEntry)
	delete(c.byKey, entry.key)
	c.tokens -= entry.tokens
	c.publish(now, entry.key, true)
}

// publish assigns a sequence number to an event and determines at random its
// delay and whether it is lost. Events become visible in sequence order, so that
// a reader can request those after the last one it has seen.
func (c *prefixCache) publish(now time.Duration, key uint64, evicted bool) {
	c.last++
	delay := time.Duration(c.random.Int64N(int64(MaxCacheEventDelay)))
	lost := c.random.IntN(CacheEventsPerLoss) == 0
	c.lastVisible = max(c.lastVisible, now+delay)
	if lost {
		return
	}
	c.trim(now)
	event := CacheEvent{Sequence: c.last, Prefix: key, Evicted: evicted}
	c.kept = append(c.kept, keptEvent{CacheEvent: event, visible: c.lastVisible})
}

// trim discards the older half of the published events when the limit is reached.
func (c *prefixCache) trim(now time.Duration) {
	if len(c.kept) < maxKeptCacheEvents {
		return
	}
	published := sort.Search(len(c.kept), func(i int) bool { return c.kept[i].visible > now })
	if published < maxKeptCacheEvents {
		return
	}
	drop := published / 2
	c.dropped = c.kept[drop-1].Sequence
	c.kept = append(c.kept[:0], c.kept[drop:]...)
}

func (c *prefixCache) eventsAfter(now time.Duration, after uint64) (events []CacheEvent, next uint64, complete bool) {
	if after == 0 || after < c.dropped || after > c.last {
		return c.snapshot(), c.last, true
	}
	next = after
	start := sort.Search(len(c.kept), func(i int) bool { return c.kept[i].Sequence > after })
	for _, e := range c.kept[start:] {
		if e.visible > now {
			break
		}
		events = append(events, e.CacheEvent)
		next = e.Sequence
	}
	return events, next, false
}

// snapshot lists the cached prefixes, least recently used first. Each carries the
// sequence number of the last event, from which the reader continues.
func (c *prefixCache) snapshot() []CacheEvent {
	events := make([]CacheEvent, 0, c.lru.Len())
	for e := c.lru.Back(); e != nil; e = e.Prev() {
		events = append(events, CacheEvent{Sequence: c.last, Prefix: e.Value.(*cacheEntry).key})
	}
	return events
}
