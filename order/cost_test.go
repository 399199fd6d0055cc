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

// Guards against platform calls by an idle agent, and against a change of one
// model on 84 engines that exceeds its share of the platform's request rates.
func TestCostOfOneChange(t *testing.T) {
	const engines, modelLoadTime = 84, 10 * time.Second // the weight store serves one load at a time
	synctest.Test(t, func(t *testing.T) {
		var mu sync.Mutex
		var storeFreeAt time.Time
		w := newSimulation(t, 1, engines, 1, true)
		for _, e := range w.engines {
			e.loadTime = func() time.Duration {
				mu.Lock()
				defer mu.Unlock()
				if now := time.Now(); storeFreeAt.Before(now) {
					storeFreeAt = now
				}
				storeFreeAt = storeFreeAt.Add(modelLoadTime)
				return time.Until(storeFreeAt)
			}
		}
		time.Sleep(time.Hour)
		if s := w.platform.Stats(); s.Reads()+s.Writes() > 0 {
			t.Errorf("idle agents caused %d reads and %d writes", s.Reads(), s.Writes())
		}
		w.configure(2)
		begin := time.Now()
		for done := 0; done < engines; time.Sleep(time.Second) {
			done = 0
			for _, e := range w.engines {
				if e.currentState().Version == "1" {
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
		// All 32 models may change at once, and orders may use a tenth of the
		// platform's nominal rates.
		if reads > standin.NominalReadsPerSecond/10/32.0 || writes > standin.NominalWritesPerSecond/10/32.0 {
			t.Errorf("%.2f reads and %.2f writes a second for one model", reads, writes)
		}
		time.Sleep(time.Hour)
		if s := w.platform.Stats(); s.Reads()+s.Writes() > 0 {
			t.Errorf("agents caused %d reads and %d writes after the change", s.Reads(), s.Writes())
		}
		w.checkAndStop(1)
	})
}

// orderCounter is an engine that counts the orders it receives.
type orderCounter struct {
	upstream.Engine
	sent int
}

func (o *orderCounter) Order(context.Context, upstream.Order) error {
	o.sent++
	return nil
}

// Guards against a weight load that is sent after the permit has expired while the
// lease is still valid: another engine may hold the permit by then.
func TestNoLoadAfterPermitExpiry(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		engine := &orderCounter{}
		l := NewLoop(Config{Location: Location{AgentID: "s-1", Service: "s"}, Table: standin.New(standin.Config{})})
		s := &session{loop: l, permit: true, sender: upstream.NewFencedSender(engine, DefaultMargin)}
		wanted := func(context.Context) (int, bool) { return 8, true }
		if ok, err := l.permits.Acquire(t.Context(), wanted); !ok || err != nil {
			t.Fatal(ok, err)
		}
		if err := l.lease.Acquire(t.Context()); err != nil {
			t.Fatal(err)
		}
		left := time.Until(l.permits.ExpiresAt())
		for time.Until(l.permits.ExpiresAt()) > DefaultMargin {
			s.updateSenderLease()
			if err := s.sender.Send(t.Context(), upstream.Order{}); err != nil {
				t.Fatalf("send failed %s before the permit expired: %v", time.Until(l.permits.ExpiresAt()), err)
			}
			time.Sleep(min(l.cfg.Lease.renewal(), time.Until(l.permits.ExpiresAt())-DefaultMargin))
			if err := l.lease.Renew(t.Context()); err != nil {
				t.Fatal(err)
			}
		}
		sent := engine.sent
		s.updateSenderLease()
		err := s.sender.Send(t.Context(), upstream.Order{})
		if !errors.Is(err, upstream.ErrNoLease) || engine.sent != sent || left < DefaultPermitTTL-time.Second {
			t.Errorf("got %v after the permit expired, %d orders, permit lasted %s", err, engine.sent-sent, left)
		}
	})
}

// Guards against a release whose write condition fails, which would leave the
// lease to expire, and against a term that decreases after a release.
func TestReleaseAllowsImmediateClaim(t *testing.T) {
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
				t.Errorf("renewal after the release returned %v", err)
			}
		}
		if waited := time.Since(begin); waited > 0 {
			t.Errorf("waited %s for released leases", waited)
		}
		_, err := table.Get(t.Context(), LeaseKey("s-1"))
		if errors.Is(err, storage.ErrNotFound) {
			t.Error("row was deleted, so its term would restart at 1")
		}
	})
}
