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

// Guards against requests that go beyond the slots of an upstream, and against
// a slot that frees without serving the request that waits for it.
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

// Guards against requests that wait although they cannot be served in time,
// and against a rejection that comes only at their deadline.
func TestHopelessRequestIsRejectedAtOnce(t *testing.T) {
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
			t.Errorf("advice to return after %v", after)
		}
		if _, err := d.Acquire(t.Context(), &Request{Service: "none", Deadline: time.Now().Add(time.Second)}); !errors.Is(err, ErrNoUpstream) {
			t.Errorf("service without upstreams: %v", err)
		}
	})
}

// Guards against a caller that has left and keeps its place in the queue.
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

// Guards against online work that waits for batch work to finish.
func TestBatchGivesWay(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		d := New(Config{Self: "g", Holder: holder(fleet.Upstream{ID: "a", Slots: 4})})
		var items []*Grant
		for range d.BatchStartQuota("s", 4) {
			items = append(items, d.TryAcquireBatch("s"))
		}
		if len(items) != 3 {
			t.Fatalf("%d items started on 4 slots, want 3 and one slot in reserve", len(items))
		}
		first, second := mustAcquire(t, d), mustAcquire(t, d)
		yielding := 0
		for _, g := range items {
			select {
			case <-g.Preempted():
				yielding++
				g.Release(Cancelled)
			default:
			}
		}
		if yielding != 1 {
			t.Errorf("%d items gave way to one request too many", yielding)
		}
		first.Release(Served)
		second.Release(Served)
	})
}

// Guards against two gateways that both fill an upstream's slots, and against
// the work of a lost gateway that is counted for ever.
func TestPeersCount(t *testing.T) {
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

// Guards against requests that follow each other to an upstream that is dead,
// silent, full or broken.
func TestEvidence(t *testing.T) {
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
		check("in calm", "near")
		mustAcquire(t, d).Release(ConnectFailed)
		check("after a refused connection", "far")
		time.Sleep(connectBackoff + time.Millisecond)
		check("after the pause", "near")
		mustAcquire(t, d).Release(Full)
		check("after it said that it is full", "far")
		time.Sleep(fullBackoff + time.Millisecond)
		for range degradeAfterBroken {
			mustAcquire(t, d).Release(Broken)
		}
		check("after answers broken in a row", "far")
		time.Sleep(degradedPeriod + time.Millisecond)
		silent := mustAcquire(t, d)
		time.Sleep(stallTimeout + time.Millisecond)
		check("while it sends nothing", "far")
		silent.Progress()
		check("when it sends again", "near")
		silent.Release(Served)
	})
}

// Guards against the evidence on a dead engine that is held against the new
// one under its id.
func TestNewIncarnationStartsClean(t *testing.T) {
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

// Plays a burst of twice the capacity and checks what callers get: the first
// ones are on time, and those that come after the burst are on time again
// although earlier ones still wait. First come first served makes all of the
// later ones late.
func TestBurstMakesOnlyItselfLate(t *testing.T) {
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

// Guards against a request that waits, and keeps others waiting, because the
// only free upstream is one that has failed it before.
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

// Guards against the state of every engine that ever ran filling the memory.
func TestUnlistedUpstreamIsForgotten(t *testing.T) {
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
