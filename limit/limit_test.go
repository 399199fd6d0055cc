package limit

import (
	"context"
	"fmt"
	"math/rand/v2"
	"sync"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/contract"
)

var start = time.Date(2026, 3, 2, 8, 0, 0, 0, time.UTC)

// Guards against granting more tokens than burst plus rate times elapsed time, and
// against returning a wait after which no token is available.
func TestBucketBound(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("bound", prop.ForAll(func(seed uint64, rate float64, burst int) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var b TokenBucket
		now := start
		granted := 0
		for range 200 {
			now = now.Add(time.Duration(rnd.Int64N(int64(100 * time.Millisecond))))
			next, wait := b.Take(now, rate, burst)
			if wait == 0 {
				granted++
			} else if _, again := next.Take(now.Add(wait), rate, burst); again > time.Nanosecond {
				return false
			}
			b = next
		}
		return float64(granted) <= float64(burst)+rate*now.Sub(start).Seconds()+1e-6
	}, gen.UInt64(), gen.Float64Range(0.1, 500), gen.IntRange(1, 50)))
	properties.TestingRun(t)
}

// Guards against admitting a request because the wait overflows at a tiny rate.
func TestTinyRate(t *testing.T) {
	b, _ := TokenBucket{}.Take(start, 1e-30, 1)
	if _, wait := b.Take(start, 1e-30, 1); wait != maxRetryAfter {
		t.Errorf("wait %v", wait)
	}
}

// Guards against admitting more requests of a caller than its limits allow, and
// against keeping idle callers or removing active ones.
func TestCallerLimiter(t *testing.T) {
	c := NewCallerLimiter()
	caller := &contract.Caller{ID: "c", RatePerSecond: 2, Burst: 4, MaxInProgress: 2}
	want := []Reason{Allowed, Allowed, CallerConcurrency}
	for i, w := range want {
		if v := c.Admit(caller, start); v.Reason != w {
			t.Errorf("request %d: %q, want %q", i, v.Reason, w)
		}
	}
	if n := c.RemoveIdle(start.Add(time.Hour)); n != 1 {
		t.Errorf("%d callers kept with requests in progress", n)
	}
	for _, w := range []Reason{Allowed, Allowed, RateLimited} {
		c.Release("c")
		if v := c.Admit(caller, start); v.Reason != w {
			t.Errorf("%q, want %q", v.Reason, w)
		}
	}
	c.Release("c")
	if n := c.RemoveIdle(start); n != 1 {
		t.Error("a caller with a partly empty bucket was removed")
	}
	if n := c.RemoveIdle(start.Add(time.Minute)); n != 0 {
		t.Error("an idle caller was kept")
	}
}

// Guards against one caller filling the queue or delaying the requests of others.
func TestQueueIsFair(t *testing.T) {
	q := NewQueue()
	c := QueueConfig{MaxInProgress: 1, MaxQueued: 6}
	late := start.Add(time.Hour)
	names := make(map[Ticket]string)
	admit := func(caller string) Admission {
		o := q.Admit(c, caller, late, start)
		names[o.Ticket] = caller
		return o
	}
	admit("a")
	for range 6 {
		admit("a")
	}
	if o := admit("a"); o.Reason != QueueFull {
		t.Errorf("a's request in the full queue: %+v", o)
	}
	for _, caller := range []string{"b", "c", "b"} {
		if o := admit(caller); o.Ticket == 0 || names[o.Displaced] != "a" {
			t.Errorf("%s: %+v", caller, o)
		}
	}
	order := ""
	for q.Queued() > 0 {
		q.Finish(time.Millisecond)
		next, _, _ := q.Next(c, start)
		order += names[next]
	}
	if order != "abcaba" {
		t.Errorf("order %s", order)
	}
}

// Guards against queuing or starting a request whose deadline cannot be met.
func TestQueueDropsRequestsPastDeadline(t *testing.T) {
	q := NewQueue()
	c := QueueConfig{MaxInProgress: 1, MaxQueued: 10}
	q.Admit(c, "a", start, start)
	q.Finish(time.Second) // sets the estimated time that a request takes
	q.Admit(c, "a", start, start)
	if o := q.Admit(c, "a", start.Add(900*time.Millisecond), start); o.Reason != QueueDeadline {
		t.Errorf("%+v", o)
	}
	o := q.Admit(c, "a", start.Add(1100*time.Millisecond), start)
	if o.Ticket == 0 {
		t.Errorf("%+v", o)
	}
	q.Finish(time.Second)
	if _, dropped, ok := q.Next(c, start.Add(2*time.Second)); ok || len(dropped) != 1 || dropped[0] != o.Ticket {
		t.Errorf("dropped %v, started %v", dropped, ok)
	}
}

// Guards against requests that are resolved twice or never, and against exceeding
// the limits, under random sequences of events.
func TestQueueInvariants(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("invariants", prop.ForAll(func(seed uint64) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		q := NewQueue()
		c := QueueConfig{MaxInProgress: 1 + rnd.IntN(4), MaxQueued: rnd.IntN(8)}
		now := start
		open := make(map[Ticket]string)
		resolve := func(tickets ...Ticket) bool {
			for _, x := range tickets {
				if _, ok := open[x]; !ok {
					return false
				}
				delete(open, x)
			}
			return true
		}
		for range 300 {
			now = now.Add(time.Duration(rnd.IntN(50)) * time.Millisecond)
			caller := fmt.Sprint(rnd.IntN(4))
			switch rnd.IntN(4) {
			case 0, 1:
				o := q.Admit(c, caller, now.Add(time.Duration(rnd.IntN(400))*time.Millisecond), now)
				if o.Displaced != 0 && !resolve(o.Displaced) {
					return false
				}
				if o.Ticket != 0 {
					open[o.Ticket] = caller
				}
			case 2:
				if q.InProgress() > 0 {
					q.Finish(20 * time.Millisecond)
				}
				x, dropped, ok := q.Next(c, now)
				if !resolve(dropped...) || (ok && !resolve(x)) {
					return false
				}
			case 3:
				for x, owner := range open {
					if !q.Remove(owner, x) || !resolve(x) || q.Remove(owner, x) {
						return false
					}
					break
				}
			}
			if q.InProgress() > c.MaxInProgress || q.Queued() > c.MaxQueued || q.Queued() != len(open) || len(q.callerQueues) != len(q.byCaller) {
				return false
			}
		}
		return true
	}, gen.UInt64()))
	properties.TestingRun(t)
}

// Guards against requests that wait forever or still occupy the queue after their
// deadline or cancellation.
func TestServiceLimiter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		g := NewServiceLimiter(QueueConfig{MaxInProgress: 1, MaxQueued: 10})
		ctx, cancel := context.WithCancel(context.Background())
		far := time.Now().Add(time.Hour)
		if r := g.Acquire(ctx, "a", far, time.Now()); r != Allowed {
			t.Fatal(r)
		}
		begun := time.Now()
		results := make(chan Reason, 3)
		go func() { results <- g.Acquire(ctx, "a", time.Now().Add(time.Second), time.Now()) }()
		time.Sleep(2 * time.Second)
		if r := <-results; r != QueueDeadline {
			t.Errorf("%q after the deadline", r)
		}
		go func() { results <- g.Acquire(ctx, "a", far, time.Now()) }()
		synctest.Wait()
		cancel()
		if r := <-results; r != Cancelled {
			t.Errorf("%q after the cancellation", r)
		}
		go func() { results <- g.Acquire(context.Background(), "a", far, time.Now()) }()
		synctest.Wait()
		g.Release(begun, time.Now())
		if r := <-results; r != Allowed || g.InProgress() != 1 {
			t.Errorf("%q after a release, %d in progress", r, g.InProgress())
		}
	})
}

// Guards against losing or duplicating slots when releases, deadlines and
// cancellations race.
func TestServiceLimiterUnderRaces(t *testing.T) {
	g := NewServiceLimiter(QueueConfig{MaxInProgress: 4, MaxQueued: 16})
	var wg sync.WaitGroup
	var running atomic.Int32
	for i := range 64 {
		wg.Go(func() {
			for range 50 {
				ctx, cancel := context.WithTimeout(context.Background(), time.Millisecond)
				begun := time.Now()
				if g.Acquire(ctx, fmt.Sprint(i%8), begun.Add(time.Millisecond), begun) == Allowed {
					if running.Add(1) > 4 {
						t.Error("more than 4 in progress")
					}
					running.Add(-1)
					g.Release(begun, time.Now())
				}
				cancel()
			}
		})
	}
	wg.Wait()
	if g.InProgress() != 0 || len(g.waiters) != 0 || g.queue.Queued() != 0 {
		t.Errorf("%d in progress, %d waiters, %d queued", g.InProgress(), len(g.waiters), g.queue.Queued())
	}
}

// Guards against more retries than 10% of the requests plus the minimum rate and the
// saved budget.
func TestRetryBudgetBound(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("bound", prop.ForAll(func(seed uint64, requests int) bool {
		rnd := rand.New(rand.NewPCG(seed, 1))
		var r RetryBudget
		now := start
		retries := 0
		for range requests {
			r.RecordRequest()
			now = now.Add(time.Duration(rnd.IntN(20)) * time.Millisecond)
			for range rnd.IntN(4) {
				if r.TakeRetry(now) {
					retries++
				}
			}
		}
		bound := maxSavedRetries + retriesPerRequest*float64(requests) + minRetriesPerSecond*now.Sub(start).Seconds()
		return float64(retries) <= bound+1e-6
	}, gen.UInt64(), gen.IntRange(0, 2000)))
	properties.TestingRun(t)
}

// BenchmarkServiceLimiter measures requests that start without waiting.
func BenchmarkServiceLimiter(b *testing.B) {
	g := NewServiceLimiter(QueueConfig{MaxInProgress: 1 << 20, MaxQueued: 16})
	ctx := context.Background()
	now := time.Now()
	b.ReportAllocs()
	b.RunParallel(func(pb *testing.PB) {
		for pb.Next() {
			if g.Acquire(ctx, "a", now.Add(time.Hour), now) == Allowed {
				g.Release(now, now)
			}
		}
	})
}
