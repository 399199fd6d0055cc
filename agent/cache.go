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

// cacheState is what the engine's events tell of its prefix cache.
type cacheState struct {
	mu       sync.Mutex
	sequence uint64
	synced   bool              // no gap since the last complete list
	order    map[uint64]uint64 // prefix to the sequence that cached it

	list []uint64 // newest first; nil after a change; never modified once made
}

// apply takes events after the known sequence. It reports false on a gap.
func (c *cacheState) apply(events []upstream.CacheEvent, complete bool) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced && len(events) > 0 && events[0].Sequence == 1 {
		complete = true // the engine's whole history
	}
	if complete {
		c.order = make(map[uint64]uint64, len(events))
		c.synced = true
		c.list = nil
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
	c.list = nil
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
	c.list = nil
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

// fill writes the most recently cached prefixes into a report. Between a gap
// and the next complete list there is nothing to report.
func (c *cacheState) fill(r *rpc.LoadReport) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.synced {
		return
	}
	if c.list == nil {
		c.list = c.newest()
	}
	r.CacheSequence = c.sequence
	r.CachedPrefixes = c.list
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
