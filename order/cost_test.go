package order

import (
	"context"
	"errors"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
	"github.com/magnoliausher/magnoliausher/upstream"
)

// Guards against an idle agent that reaches the platform, and against a change
// of one model's 84 engines that uses a noticeable part of what it sustains.
func TestCostOfOneChange(t *testing.T) {
	const engines, modelLoad = 84, 10 * time.Second // at the weight store, one after another
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var free time.Time
		w := newWorld(t, 1, engines, 1, true)
		for _, e := range w.engines {
			e.loadTime = func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if now := time.Now(); free.Before(now) {
					free = now
				}
				free = free.Add(modelLoad)
				return time.Until(free)
			}
		}
		time.Sleep(time.Hour)
		if s := w.platform.Stats(); s.Reads()+s.Writes() > 0 {
			t.Errorf("idle agents cost %d reads and %d writes", s.Reads(), s.Writes())
		}
		w.configure(2)
		begin := time.Now()
		for done := 0; done < engines; time.Sleep(time.Second) {
			done = 0
			for _, e := range w.engines {
				if e.serving().Version == "1" {
					done++
				}
			}
		}
		took := time.Since(begin).Seconds()
		time.Sleep(time.Minute) // releases
		s := w.platform.ResetStats()
		reads, writes := float64(s.Reads())/took, float64(s.Writes())/took
		t.Logf("%d engines in %.0f s, at most %d at once: %d reads and %d writes, %.1f and %.1f a second",
			engines, took, w.peak, s.Reads(), s.Writes(), reads, writes)
		// All 32 models may change at once and orders may use a tenth of the
		// platform's rates.
		if reads > standin.NominalReadsPerSecond/10/32.0 || writes > standin.NominalWritesPerSecond/10/32.0 {
			t.Errorf("%.2f reads and %.2f writes a second for one model", reads, writes)
		}
		time.Sleep(time.Hour)
		if s := w.platform.Stats(); s.Reads()+s.Writes() > 0 {
			t.Errorf("agents cost %d reads and %d writes after the change", s.Reads(), s.Writes())
		}
		w.finish(1)
	})
}

// orderCount is an engine that counts orders.
type orderCount struct {
	upstream.Engine
	sent int
}

func (o *orderCount) Order(context.Context, upstream.Order) error {
	o.sent++
	return nil
}

// Guards against a weight load that is sent after the permit has ended although
// the lease goes on: another engine may have the permit by then.
func TestNoLoadAfterThePermit(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &orderCount{}
		l := NewLoop(Config{Place: Place{AgentID: "s-1", Service: "s"}, Table: standin.New(standin.Config{})})
		s := &session{loop: l, permit: true, sender: upstream.NewFencedSender(engine, DefaultMargin)}
		wanted := func(context.Context) (int, bool) { return 8, true }
		if ok, err := l.permits.Acquire(t.Context(), wanted); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if err := l.lease.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		left := time.Until(l.permits.Until())
		for time.Until(l.permits.Until()) > DefaultMargin {
			s.cover()
			if err := s.sender.Send(t.Context(), upstream.Order{}); err != nil {
				t.Fatalf("refused with %s of the permit left: %v", time.Until(l.permits.Until()), err)
			}
			time.Sleep(min(l.cfg.Lease.renewal(), time.Until(l.permits.Until())-DefaultMargin))
			if err := l.lease.Renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		sent := engine.sent
		s.cover()
		err := s.sender.Send(t.Context(), upstream.Order{})
		if !errors.Is(err, upstream.ErrNoLease) || engine.sent != sent || left < DefaultPermitTTL-time.Second {
			t.Errorf("got %v after the permit, %d orders, permit of %s", err, engine.sent-sent, left)
		}
	})
}

// Guards against a release whose conditions fail, which would leave the lease or
// the permit to expire, and against a term that falls with it.
func TestReleaseFreesAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := standin.New(standin.Config{})
		timing := Timing{TTL: time.Minute, Margin: time.Second}
		begin := time.Now()
		for n := range uint64(3) {
			l := NewLease(table, "s-1", string(rune('a'+n)), timing)
			if err := errors.Join(l.Acquire(t.Context()), l.Renew(t.Context())); err != nil {
				t.Fatal(err)
			}
			if got := l.Current().Fencing; got != n+1 {
				t.Errorf("fencing number %d, want %d", got, n+1)
			}
			if err := l.Release(t.Context()); err != nil {
				t.Fatal(err)
			}
			if err := l.Renew(t.Context()); !errors.Is(err, ErrLost) {
				t.Errorf("renewal after the release: %v", err)
			}
		}
		if waited := time.Since(begin); waited > 0 {
			t.Errorf("released leases were waited for %s", waited)
		}
		_, err := table.Get(t.Context(), LeaseKey("s-1"))
		if errors.Is(err, storage.ErrNotFound) {
			t.Error("the row was deleted, so its term would start anew")
		}
	})
}
