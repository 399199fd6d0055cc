package agent

import (
	"fmt"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/link"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// rpcMethods provides the RPC methods of Control, which these tests do not call.
type rpcMethods interface{ Control }

// fakeControl returns configured demands and records the grants.
type fakeControl struct {
	rpcMethods

	mu           sync.Mutex
	demands      []link.EntryDemand
	granted      map[string]int
	disconnected bool // no entry is connected
	leaving      bool
	changed      chan struct{}
	jobs         chan string
}

func newFakeControl() *fakeControl {
	return &fakeControl{granted: map[string]int{}, changed: make(chan struct{}, 1), jobs: make(chan string)}
}

func (c *fakeControl) LoadChanged()                   {}
func (c *fakeControl) DemandChanged() <-chan struct{} { return c.changed }
func (c *fakeControl) CancelledJobs() <-chan string   { return c.jobs }

func (c *fakeControl) SetLeaving() { locked(&c.mu, func() bool { c.leaving = true; return true }) }

func (c *fakeControl) Demands() []link.EntryDemand {
	return locked(&c.mu, func() []link.EntryDemand { return c.demands })
}

func (c *fakeControl) Grant(entryID string, items int, _ time.Duration) bool {
	c.mu.Lock()
	defer c.mu.Unlock()
	if !c.disconnected {
		c.granted[entryID] += items
	}
	return !c.disconnected
}

// takeGranted returns and resets the granted items.
func (c *fakeControl) takeGranted() string {
	synctest.Wait()
	c.mu.Lock()
	defer c.mu.Unlock()
	s := fmt.Sprint(c.granted)
	c.granted = map[string]int{}
	return s
}

// wantGranted checks the items granted since the last call.
func (c *fakeControl) wantGranted(t *testing.T, granted, when string) {
	t.Helper()
	if got := c.takeGranted(); got != granted {
		t.Errorf("granted %s, want %s %s", got, granted, when)
	}
}

func (c *fakeControl) demand(d ...link.EntryDemand) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.demands = d
	c.changed <- struct{}{}
}

// Guards against capacity that is granted twice, lost with grants that expired or
// could not be sent, or not granted at once when a slot becomes free.
func TestGrants(t *testing.T) {
	runWithAgent(t, 3, func(t *testing.T, r *testAgent) {
		due := time.Now().Add(time.Hour)
		r.control.demand(link.EntryDemand{EntryID: "a", Items: 9, EarliestDue: due}, link.EntryDemand{EntryID: "b", Items: 1, EarliestDue: due})
		r.control.wantGranted(t, "map[a:2 b:1]", "")
		var items []*outcome
		for range 3 {
			items = append(items, r.submit(t, r.request(batch)))
		}
		time.Sleep(150 * time.Millisecond)
		r.control.wantGranted(t, "map[]", "while all slots are in use")
		items[0].cancel()
		r.control.wantGranted(t, "map[a:1]", "for a freed slot")
		for _, o := range items[1:] {
			o.last()
		}
		if got := r.control.takeGranted(); got != "map[a:1 b:1]" && got != "map[a:2]" {
			t.Errorf("granted %s after the items completed", got)
		}
		r.control.takeGranted()
		time.Sleep(grantValidity + grantGrace - 100*time.Millisecond)
		r.control.wantGranted(t, "map[]", "while earlier grants are valid")
		time.Sleep(2 * grantInterval)
		if got := r.control.takeGranted(); got != "map[a:2 b:1]" && got != "map[a:3]" {
			t.Errorf("granted %s after grants expired", got)
		}
		r.control.mu.Lock()
		r.control.disconnected = true
		r.control.mu.Unlock()
		time.Sleep(grantValidity + grantGrace + 2*grantInterval)
		synctest.Wait()
		r.mu.Lock()
		defer r.mu.Unlock()
		if n := r.pruneGrants(r.now()); n != 0 {
			t.Errorf("%d items of unsent grants are outstanding", n)
		}
	})
}

// Guards against grants while online work waits or while the agent drains.
func TestNoGrantsWhileOnlineWorkWaits(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		first := r.submit(t, r.request(online))
		waiting := r.submit(t, r.request(online))
		r.control.demand(link.EntryDemand{EntryID: "a", Items: 9, EarliestDue: time.Now().Add(time.Hour)})
		time.Sleep(time.Second)
		r.control.wantGranted(t, "map[]", "")
		drained := make(chan error, 1)
		go func() { drained <- r.Drain(t.Context()) }()
		waiting.last()
		first.cancel()
		if err := <-drained; err != nil {
			t.Error(err)
		}
		if got := r.control.takeGranted(); got != "map[]" || !r.control.leaving {
			t.Errorf("granted %s while draining (leaving: %v)", got, r.control.leaving)
		}
	})
}

// Guards against items of a cancelled job that continue or start later.
func TestCancelledJobStops(t *testing.T) {
	runWithAgent(t, 4, func(t *testing.T, r *testAgent) {
		r.engine.set(func() { r.engine.length = 0 })
		mine, other := r.request(batch), r.request(batch)
		mine.JobId, other.JobId = "j1", "j2"
		cancelled, kept := r.submit(t, mine), r.submit(t, other)
		r.control.jobs <- "j1"
		cancelled.failed(t, FailedJobCancelled, rpc.Executed_EXECUTED_YES)
		later := r.request(batch)
		later.JobId = "j1"
		r.submit(t, later).refused(t, "job_cancelled")
		if n := r.engine.openStreams(); n != 1 {
			t.Errorf("%d streams", n)
		}
		kept.cancel()
	})
}

// Guards against a list of cached prefixes that misses events, applies events
// twice, or is not resynchronised after a gap.
func TestCacheEvents(t *testing.T) {
	var c cacheState
	add := func(seq, prefix uint64, evicted bool) upstream.CacheEvent {
		return upstream.CacheEvent{Sequence: seq, Prefix: prefix, Evicted: evicted}
	}
	steps := []struct {
		name     string
		events   []upstream.CacheEvent
		complete bool
		ok       bool
		after    uint64
		want     string
	}{
		{"before the first list", []upstream.CacheEvent{add(9, 1, false)}, false, false, 0, "[]"},
		{"list", []upstream.CacheEvent{add(3, 7, false), add(5, 8, false)}, true, true, 5, "[8 7]"},
		{"change", []upstream.CacheEvent{add(6, 7, true), add(7, 9, false)}, false, true, 7, "[9 8]"},
		{"repeated event", []upstream.CacheEvent{add(6, 7, false)}, false, true, 7, "[9 8]"},
		{"gap", []upstream.CacheEvent{add(9, 4, false)}, false, false, 0, "[9 8]"},
		{"list after the gap", []upstream.CacheEvent{add(9, 4, false)}, true, true, 9, "[4]"},
	}
	for _, s := range steps {
		if ok := c.apply(s.events, s.complete); ok != s.ok {
			t.Errorf("%s: apply returned %v", s.name, ok)
		}
		if c.resumeAfter() != s.after || fmt.Sprint(c.newestPrefixes()) != s.want {
			t.Errorf("%s: after %d, prefixes %v", s.name, c.resumeAfter(), c.newestPrefixes())
		}
	}
}

// Guards against load reports that miss cached prefixes after lost events.
func TestCachedPrefixesAreReported(t *testing.T) {
	runWithAgent(t, 1, func(t *testing.T, r *testAgent) {
		event := func(seq, prefix uint64) upstream.CacheEvent {
			return upstream.CacheEvent{Sequence: seq, Prefix: prefix}
		}
		steps := []struct{ all, later []upstream.CacheEvent }{
			{all: []upstream.CacheEvent{event(5, 1)}},
			{later: []upstream.CacheEvent{event(6, 2)}},
			{all: []upstream.CacheEvent{event(8, 3), event(9, 4)}, later: []upstream.CacheEvent{event(9, 4)}},
		}
		for i, want := range []string{"[1]", "[2 1]", "[4 3]"} {
			r.engine.set(func() { r.engine.cached, r.engine.events = steps[i].all, steps[i].later })
			time.Sleep(2 * cachePollInterval)
			synctest.Wait()
			if load := r.Load(); fmt.Sprint(load.CachedPrefixes) != want || !load.CacheComplete {
				t.Errorf("step %d: report %v, want %s", i, load, want)
			}
		}
	})
}
