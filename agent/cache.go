package agent

import (
	"cmp"
	"context"
	"slices"
	"sync"
	"time"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	cachePollInterval = 500 * time.Millisecond
	// cachePrefixLimit bounds the prefixes of a report to 2 KiB. The control
	// streams send only the changes.
	cachePrefixLimit = 256
)

// cacheState tracks the engine's prefix cache through its cache events.
type cacheState struct {
	mu        sync.Mutex
	sequence  uint64
	synced    bool              // no event was missed since the last complete list
	sequences map[uint64]uint64 // by prefix: sequence number of the event that cached it

	recentPrefixes []uint64 // newest first; nil after a change; immutable once set
}

// apply processes a batch of events, or a complete list. It reports whether the
// state is in sync, which it is not after a gap in the sequence numbers.
func (c *cacheState) apply(events []upstream.CacheEvent, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced && len(events) > 0 && events[0].Sequence == 1 {
		complete = true // the events are the engine's complete history
	}
	if complete {
		c.sequences = make(map[uint64]uint64, len(events))
		c.synced = true
		c.recentPrefixes = nil
	}
	for _, e := range events {
		if !complete {
			if e.Sequence <= c.sequence {
				continue // already applied
			}
			if e.Sequence != c.sequence+1 {
				c.synced = false
				return false
			}
		}
		c.applyEvent(e)
	}
	return c.synced
}

func (c *cacheState) applyEvent(e upstream.CacheEvent) {
	c.sequence = max(c.sequence, e.Sequence)
	c.recentPrefixes = nil
	if e.Evicted {
		delete(c.sequences, e.Prefix)
		return
	}
	if c.sequences == nil {
		c.sequences = make(map[uint64]uint64)
	}
	c.sequences[e.Prefix] = e.Sequence
}

// reset clears the state after a restart of the engine.
func (c *cacheState) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence = 0
	c.sequences = nil
	c.synced = false
	c.recentPrefixes = nil
}

// resumeAfter returns the sequence number to request events after. 0 requests a
// complete list.
func (c *cacheState) resumeAfter() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return 0
	}
	return c.sequence
}

// addTo adds the most recently cached prefixes to a report. After a gap it adds
// nothing until the next complete list.
func (c *cacheState) addTo(r *rpc.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return
	}
	if c.recentPrefixes == nil {
		c.recentPrefixes = c.newestPrefixes()
	}
	r.CacheSequence = c.sequence
	r.CachedPrefixes = c.recentPrefixes
	r.CacheComplete = true
}

func (a *Agent) cacheLoop(ctx context.Context) error {
	tick := time.NewTicker(cachePollInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
			a.pollCache(ctx)
		}
	}
}

func (a *Agent) pollCache(ctx context.Context) {
	ctx, cancel := context.WithTimeout(ctx, a.cfg.ProbeTimeout)
	defer cancel()
	events, complete, err := a.cfg.Engine.CacheEvents(ctx, a.cache.resumeAfter())
	if err != nil {
		return // the next poll retries; the health probe detects a failed engine
	}
	if a.cache.apply(events, complete) {
		return
	}
	events, complete, err = a.cfg.Engine.CacheEvents(ctx, 0)
	if err == nil && complete {
		a.cache.apply(events, true)
	}
}

// newestPrefixes returns the most recently cached prefixes, newest first.
func (c *cacheState) newestPrefixes() []uint64 {
	out := make([]uint64, 0, len(c.sequences))
	for p := range c.sequences {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Compare(c.sequences[b], c.sequences[a]) })
	return out[:min(len(out), cachePrefixLimit)]
}
