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
	// cachePrefixLimit bounds the prefixes in a report to 1 KiB.
	cachePrefixLimit = 128
	// A complete list is repeated in all reports of the first cacheCompleteFor
	// of each cachePeriod. Reports are at most 2 s apart, so every stream gets
	// one; between them, reports hold the changes since the complete list.
	cachePeriod      = 30 * time.Second
	cacheCompleteFor = 2500 * time.Millisecond
)

// cacheState is what the engine's events tell of its prefix cache.
type cacheState struct {
	mu       sync.Mutex
	sequence uint64
	synced   bool                // no gap since the last complete list
	order    map[uint64]uint64   // prefix to the sequence that cached it
	period   time.Duration       // number of the period of the base
	base     map[uint64]struct{} // prefixes of the period's complete list
}

// apply takes events after the known sequence. It reports false on a gap.
func (c *cacheState) apply(events []upstream.CacheEvent, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if complete {
		c.order = make(map[uint64]uint64, len(events))
		c.synced = true
	}
	for _, e := range events {
		if !complete {
			if e.Sequence <= c.sequence {
				continue // late repetition
			}
			if e.Sequence != c.sequence+1 {
				c.synced = false
				return false
			}
		}
		c.set(e)
	}
	return c.synced
}

func (c *cacheState) set(e upstream.CacheEvent) {
	c.sequence = max(c.sequence, e.Sequence)
	if e.Evicted {
		delete(c.order, e.Prefix)
		return
	}
	if c.order == nil {
		c.order = make(map[uint64]uint64)
	}
	c.order[e.Prefix] = e.Sequence
}

// reset forgets everything, as after a restart of the engine.
func (c *cacheState) reset() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.sequence = 0
	c.order = nil
	c.synced = false
}

// after is the sequence to ask from: 0 asks for a resynchronisation.
func (c *cacheState) after() uint64 {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return 0
	}
	return c.sequence
}

// fill writes the complete list or the changes since it into a report.
func (c *cacheState) fill(r *rpc.LoadReport, now time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	r.CacheSequence = c.sequence
	newest := c.newest()
	period := now / cachePeriod
	if c.base == nil || period != c.period || now%cachePeriod < cacheCompleteFor {
		c.period = period
		c.base = make(map[uint64]struct{}, len(newest))
		for _, p := range newest {
			c.base[p] = struct{}{}
		}
		r.CachedPrefixes = newest
		r.CacheComplete = true
		return
	}
	current := make(map[uint64]struct{}, len(newest))
	for _, p := range newest {
		current[p] = struct{}{}
		if _, ok := c.base[p]; !ok {
			r.CachedPrefixes = append(r.CachedPrefixes, p)
		}
	}
	for p := range c.base {
		if _, ok := current[p]; !ok {
			r.EvictedPrefixes = append(r.EvictedPrefixes, p)
		}
	}
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
	events, complete, err := a.cfg.Engine.CacheEvents(ctx, a.cache.after())
	if err != nil {
		return // the next poll asks again; the probe reports a dead engine
	}
	if a.cache.apply(events, complete) {
		return
	}
	events, complete, err = a.cfg.Engine.CacheEvents(ctx, 0)
	if err == nil && complete {
		a.cache.apply(events, true)
	}
}

// newest returns the most recently cached prefixes, newest first.
func (c *cacheState) newest() []uint64 {
	out := make([]uint64, 0, len(c.order))
	for p := range c.order {
		out = append(out, p)
	}
	slices.SortFunc(out, func(a, b uint64) int { return cmp.Compare(c.order[b], c.order[a]) })
	return out[:min(len(out), cachePrefixLimit)]
}
