package dispatch

import (
	"context"
	"errors"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/fleet"
)

func holder(upstreams ...fleet.Upstream) *fleet.Holder {
	h := fleet.NewHolder()
	h.Configure(fleet.NewConfiguration(1, nil, fleet.Limits{}))
	records := make([]fleet.Record, len(upstreams))
	for i, u := range upstreams {
		if u.Service == "" {
			u.Service = "s"
		}
		records[i] = fleet.Record{Upstream: u, Version: uint64(i + 1)}
	}
	h.Replace(records, 100, time.Now())
	return h
}

func request(limit time.Duration) *Request {
	now := time.Now()
	return &Request{Service: "s", Arrived: now, Objective: now.Add(300 * time.Millisecond), Deadline: now.Add(limit)}
}

func mustAcquire(t *testing.T, d *Dispatcher) *Grant {
	t.Helper()
	g, err := d.Acquire(t.Context(), request(5*time.Second))
	if err != nil {
		t.Fatal(err)
	}
	return g
}

// Guards against exceeding the slots of an upstream, and against a freed slot that
// is not given to the waiting request.
func TestQueueServesWhenASlotFrees(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1})})
		held := mustAcquire(t, d)
		got := make(chan *Grant)
		go func() { got <- mustAcquire(t, d) }()
		synctest.Wait()
		select {
		case <-got:
			t.Fatal("second request on one slot")
		default:
		}
		held.Release(Served)
		(<-got).Release(Served)
	})
}

// Guards against queueing requests that cannot be served in time, and against
// rejecting them only at their deadline.
func TestUnservableRequestIsRejectedImmediately(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1})})
		defer mustAcquire(t, d).Release(Served)
		started := time.Now()
		if _, err := d.Acquire(t.Context(), request(600*time.Millisecond)); !errors.Is(err, ErrNoCapacity) {
			t.Errorf("got %v", err)
		}
		if waited := time.Since(started); waited > 0 {
			t.Errorf("rejected after %v", waited)
		}
		if after := d.RetryAfter("s"); after <= 0 || after > 3*time.Second {
			t.Errorf("told to retry after %v", after)
		}
		if _, err := d.Acquire(t.Context(), &Request{Service: "none", Deadline: time.Now().Add(time.Second)}); !errors.Is(err, ErrNoUpstream) {
			t.Errorf("service without upstreams: %v", err)
		}
	})
}

// Guards against a cancelled request that keeps its place in the queue.
func TestCallerLeavesQueue(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1})})
		held := mustAcquire(t, d)
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan error)
		go func() {
			_, err := d.Acquire(ctx, request(5*time.Second))
			done <- err
		}()
		synctest.Wait()
		cancel()
		if err := <-done; !errors.Is(err, context.Canceled) {
			t.Errorf("got %v", err)
		}
		held.Release(Served)
		mustAcquire(t, d).Release(Served)
	})
}

// Guards against online requests that wait for batch items to finish.
func TestOnlinePreemptsBatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 4})})
		var items []*Grant
		for range d.BatchStartQuota("s", 4) {
			items = append(items, d.TryAcquireBatch("s", nil))
		}
		if len(items) != 3 {
			t.Fatalf("%d items started on 4 slots, want 3 and one slot in reserve", len(items))
		}
		first, second := mustAcquire(t, d), mustAcquire(t, d)
		preempted := 0
		for _, g := range items {
			select {
			case <-g.Preempted():
				preempted++
				g.Release(Cancelled)
			default:
			}
		}
		if preempted != 1 {
			t.Errorf("%d items preempted, want 1 for one request beyond the slots", preempted)
		}
		first.Release(Served)
		second.Release(Served)
	})
}

// Guards against two gateways that both fill the slots of an upstream, and against
// counting the load of a lost gateway forever.
func TestPeerLoadIsCounted(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 2}, fleet.Upstream{ID: "b", Slots: 2})})
		d.MergeReport("peer", Report{Loads: []UpstreamLoad{{Key: KeyOf("a"), Online: 2}}}, time.Now())
		for range 2 {
			if g := mustAcquire(t, d); g.Upstream.ID != "b" {
				t.Errorf("sent to %s, whose slots a peer holds", g.Upstream.ID)
			}
		}
		time.Sleep(2 * peerExpiry)
		d.Expire(time.Now())
		if g := mustAcquire(t, d); g.Upstream.ID != "a" {
			t.Errorf("slots of a lost peer are not used again: %s", g.Upstream.ID)
		}
		if len(d.remoteTotals) != 0 {
			t.Errorf("counts of a lost peer remain: %v", d.remoteTotals)
		}
	})
}

// Guards against sending further requests to an upstream that is unreachable,
// stalled, full or broken.
func TestUnhealthyUpstreamIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", DataCentre: "z", Holder: holder(
			fleet.Upstream{ID: "near", DataCentre: "z", Slots: 8}, fleet.Upstream{ID: "far", Slots: 8})})
		check := func(when, want string) {
			t.Helper()
			g := mustAcquire(t, d)
			if g.Upstream.ID != want {
				t.Errorf("%s: sent to %s, want %s", when, g.Upstream.ID, want)
			}
			g.Release(Cancelled)
		}
		check("without failures", "near")
		mustAcquire(t, d).Release(ConnectFailed)
		check("after a refused connection", "far")
		time.Sleep(connectBackoff + time.Millisecond)
		check("after the backoff", "near")
		mustAcquire(t, d).Release(Full)
		check("after it reported that it is full", "far")
		time.Sleep(fullBackoff + time.Millisecond)
		for range degradeAfterBroken {
			mustAcquire(t, d).Release(Broken)
		}
		check("after consecutive broken answers", "far")
		time.Sleep(degradedPeriod + time.Millisecond)
		silent := mustAcquire(t, d)
		time.Sleep(stallTimeout + time.Millisecond)
		check("while it is stalled", "far")
		silent.Progress()
		check("when it sends again", "near")
		silent.Release(Served)
	})
}

// Guards against applying the health of a dead engine to its successor under the
// same id.
func TestNewIncarnationResetsHealth(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder(fleet.Upstream{ID: "a", Slots: 1, Started: 1}, fleet.Upstream{ID: "b", Slots: 1})
		d := New(Config{Self: "g", Holder: h})
		for range 2 {
			mustAcquire(t, d).Release(ConnectFailed)
		}
		h.Apply([]fleet.Record{{Upstream: fleet.Upstream{ID: "a", Service: "s", Slots: 1, Started: 2}, Version: 200}}, time.Now())
		if g := mustAcquire(t, d); g.Upstream.ID != "a" {
			t.Errorf("sent to %s", g.Upstream.ID)
		}
	})
}

// Runs a burst of twice the capacity. Requests that arrive after the burst must be
// on time although earlier ones still wait. With first come, first served, all later
// requests would be late.
func TestBurstDoesNotDelayLaterRequests(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		const slots, service = 10, 500 * time.Millisecond
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: slots})})
		type outcome struct {
			arrived, begun time.Duration
			err            error
		}
		results := make(chan outcome, 400)
		start, sent := time.Now(), 0
		serve := func() {
			r := request(5 * time.Second)
			arrived := time.Since(start)
			g, err := d.Acquire(t.Context(), r)
			results <- outcome{arrived, time.Since(start), err}
			if err == nil {
				time.Sleep(service)
				g.Release(Served)
			}
		}
		for at := time.Duration(0); at < 8*time.Second; at += 50 * time.Millisecond {
			n := 1 // capacity is 20 a second
			if at >= time.Second && at < 2500*time.Millisecond {
				n = 2
			}
			if at >= 2500*time.Millisecond && at%(100*time.Millisecond) != 0 {
				n = 0
			}
			for range n {
				sent++
				go serve()
			}
			time.Sleep(50 * time.Millisecond)
		}
		time.Sleep(6 * time.Second)
		late, lost := map[string]int{}, 0
		for range sent {
			o := <-results
			if o.err != nil {
				lost++
				continue
			}
			phase := "burst"
			if o.arrived > 3*time.Second {
				phase = "after"
			}
			if o.begun-o.arrived > 300*time.Millisecond {
				late[phase]++
			}
		}
		if lost > 0 || late["after"] > 0 || late["burst"] == 0 {
			t.Errorf("%d lost, late: %v of %d", lost, late, sent)
		}
	})
}

// Guards against a request that waits, and blocks the queue, because the only free
// upstream is one that has failed it before.
func TestAvoidedUpstreamIsALastResort(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 1}, fleet.Upstream{ID: "b", Slots: 1})})
		for _, want := range []string{"b", "a"} {
			r := request(5 * time.Second)
			r.Avoid = map[string]bool{"a": true}
			g, err := d.Acquire(t.Context(), r)
			if err != nil || g.Upstream.ID != want {
				t.Fatalf("got %+v, %v, want %s", g, err, want)
			}
		}
	})
}

// Guards against unbounded memory use by the state of upstreams that are gone.
func TestUnlistedUpstreamStateIsRemoved(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		h := holder(fleet.Upstream{ID: "a", Slots: 1}, fleet.Upstream{ID: "b", Slots: 1})
		d := New(Config{Self: "g", Holder: h})
		held := mustAcquire(t, d)
		mustAcquire(t, d).Release(Served)
		h.Replace(nil, 500, time.Now())
		d.Expire(time.Now())
		if len(d.upstreams) != 1 {
			t.Errorf("%d upstreams kept, want the one with work in progress", len(d.upstreams))
		}
		held.Release(Served)
		d.Expire(time.Now())
		if len(d.upstreams) != 0 {
			t.Errorf("%d upstreams kept", len(d.upstreams))
		}
	})
}
