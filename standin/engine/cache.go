package engine

import (
	"container/list"
	"math/rand/v2"
	"sort"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// CacheEvent says that a prompt prefix entered or left the cache.
type CacheEvent = upstream.CacheEvent

// contextSalt keeps imported KV caches apart from prompt prefixes with the same hash.
const contextSalt = 0x9e3779b97f4a7c15

func contextKey(context uint64) uint64 { return context ^ contextSalt }

// prefixCache holds prompt prefixes up to CacheTokens, evicts the least
// recently used, and publishes its changes late and with losses.
type prefixCache struct {
	tokens  int
	byKey   map[uint64]*list.Element
	recent  *list.List // of *cacheEntry, most recent first
	random  *rand.Rand
	first   uint64 // number before that of the first event of this run
	last    uint64 // number of the last event, published or not
	dropped uint64 // events up to this number are no longer kept
	log     []loggedEvent
	visible time.Duration // publication of the last event
}

type cacheEntry struct {
	key    uint64
	tokens int
}

type loggedEvent struct {
	CacheEvent
	visible time.Duration
}

func newPrefixCache(seed, first uint64) *prefixCache {
	return &prefixCache{
		byKey:   make(map[uint64]*list.Element),
		recent:  list.New(),
		random:  rand.New(rand.NewPCG(seed, seed^contextSalt)),
		first:   first,
		last:    first,
		dropped: first,
	}
}

// use returns the cached tokens of a key and marks it as used.
func (c *prefixCache) use(key uint64) int {
	e, ok := c.byKey[key]
	if !ok {
		return 0
	}
	c.recent.MoveToFront(e)
	return e.Value.(*cacheEntry).tokens
}

// put adds a key, or marks it as used and lengthens it. Entries larger than the
// cache are not kept.
func (c *prefixCache) put(now time.Duration, key uint64, tokens int) {
	if tokens <= 0 || tokens > CacheTokens {
		return
	}
	if e, ok := c.byKey[key]; ok {
		entry := e.Value.(*cacheEntry)
		c.tokens += max(tokens-entry.tokens, 0)
		entry.tokens = max(tokens, entry.tokens)
		c.recent.MoveToFront(e)
	} else {
		c.byKey[key] = c.recent.PushFront(&cacheEntry{key: key, tokens: tokens})
		c.tokens += tokens
		c.publish(now, key, false)
	}
	for c.tokens > CacheTokens {
		c.evict(now)
	}
}

func (c *prefixCache) evict(now time.Duration) {
	e := c.recent.Back()
	entry := c.recent.Remove(e).(*cacheEntry)
	delete(c.byKey, entry.key)
	c.tokens -= entry.tokens
	c.publish(now, entry.key, true)
}

// publish numbers an event and draws its delay and loss. Events become visible
// in order of their numbers, so that a reader can ask for those after the last.
func (c *prefixCache) publish(now time.Duration, key uint64, evicted bool) {
	c.last++
	delay := time.Duration(c.random.Int64N(int64(MaxCacheEventDelay)))
	lost := c.random.IntN(CacheEventsPerLoss) == 0
	c.visible = max(c.visible, now+delay)
	if lost {
		return
	}
	c.trim(now)
	event := CacheEvent{Sequence: c.last, Prefix: key, Evicted: evicted}
	c.log = append(c.log, loggedEvent{CacheEvent: event, visible: c.visible})
}

// trim drops the older half of the published events when there are too many.
func (c *prefixCache) trim(now time.Duration) {
	if len(c.log) < cacheEventsKept {
		return
	}
	published := sort.Search(len(c.log), func(i int) bool { return c.log[i].visible > now })
	if published < cacheEventsKept {
		return
	}
	drop := published / 2
	c.dropped = c.log[drop-1].Sequence
	c.log = append(c.log[:0], c.log[drop:]...)
}

func (c *prefixCache) eventsAfter(now time.Duration, after uint64) (events []CacheEvent, next uint64, complete bool) {
	if after == 0 || after < c.dropped || after > c.last {
		return c.content(), c.last, true
	}
	next = after
	start := sort.Search(len(c.log), func(i int) bool { return c.log[i].Sequence > after })
	for _, e := range c.log[start:] {
		if e.visible > now {
			break
		}
		events = append(events, e.CacheEvent)
		next = e.Sequence
	}
	return events, next, false
}

// content lists the cache, least recently used first. All carry the number of
// the last event, after which the reader goes on.
func (c *prefixCache) content() []CacheEvent {
	events := make([]CacheEvent, 0, c.recent.Len())
	for e := c.recent.Back(); e != nil; e = e.Prev() {
		events = append(events, CacheEvent{Sequence: c.last, Prefix: e.Value.(*cacheEntry).key})
	}
	return events
}
