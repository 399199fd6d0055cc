package entry

import (
	"context"
	"errors"
	"math/rand/v2"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"github.com/magnoliausher/magnoliausher/apierror"
	"github.com/magnoliausher/magnoliausher/idempotency"
	standin "github.com/magnoliausher/magnoliausher/standin/platform"
	"github.com/magnoliausher/magnoliausher/storage"
)

// newPlatform returns an in-memory platform without faults.
func newPlatform() *standin.Platform { return standin.New(standin.Config{}) }

func withStore(p *standin.Platform) func(*Config) {
	return func(c *Config) {
		c.Idempotency = idempotency.New(idempotency.Config{Table: p, Objects: p.Objects()})
	}
}

const invoicePath = "/services/orders/invoice"

// Guards against a second hand-over of a call that must not be repeated, and against a
// response with "not executed" after a hand-over.
func TestNonRepeatableFaults(t *testing.T) {
	cases := []struct {
		fault    fault
		status   int
		executed string
		resend   int // status of a resend with the same key
	}{
		{healthy, 201, "", 201},
		{misroutedEvent, 201, "", 201},
		{noLink, 201, "", 201},
		{noLinkLate, 201, "", 201},
		{refused, 201, "", 201},
		{failedNotExecuted, 503, "no", 201},
		{lostBeforeAcceptance, 502, "unknown", 409},
		{silentBeforeAcceptance, 502, "unknown", 409},
		{lostMidStream, 502, "unknown", 409},
		{truncated, 502, "unknown", 409},
		{refusedMidStream, 502, "unknown", 409},
		{crashes, 502, "unknown", 409},
		{alreadySeen, 502, "unknown", 409},
	}
	for _, c := range cases {
		synctest.Test(t, func(t *testing.T) {
			r := newRunner(2, attemptScript{c.fault, 0})
			e := newTestEntry(r, withStore(newPlatform()))
			w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
			if w.Code != c.status || w.Header().Get(apierror.ExecutedHeader) != c.executed || r.handOvers > 1 {
				t.Errorf("fault %d: status %d, executed %q, %d hand-overs", c.fault, w.Code, w.Header().Get(apierror.ExecutedHeader), r.handOvers)
			}
			w = call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
			if w.Code != c.resend || r.handOvers > 1 {
				t.Errorf("fault %d, resend: status %d, %d hand-overs, %s", c.fault, w.Code, r.handOvers, w.Body)
			}
			if w.Code == 201 && (w.Body.String() != "answer" || w.Header().Get("X-Order") != "7") {
				t.Errorf("fault %d, resend: %v %s", c.fault, w.Header(), w.Body)
			}
			w = call(e, "POST", invoicePath, "other", idempotencyHeader, "k")
			if w.Code != 422 {
				t.Errorf("fault %d, other body: status %d", c.fault, w.Code)
			}
		})
	}
}

// Guards against a second attempt of a call without a key, even after a refusal.
func TestWithoutKeyOneAttempt(t *testing.T) {
	for f, executed := range map[fault]string{refused: "no", lostBeforeAcceptance: "unknown", truncated: "unknown"} {
		synctest.Test(t, func(t *testing.T) {
			r := newRunner(3, attemptScript{f, 0})
			w := call(newTestEntry(r), "POST", invoicePath, "body")
			if r.attempts() != 1 || w.Header().Get(apierror.ExecutedHeader) != executed {
				t.Errorf("fault %d: %d attempts, status %d, executed %q", f, r.attempts(), w.Code, w.Header().Get(apierror.ExecutedHeader))
			}
		})
	}
}

// Guards against sending a non-repeatable call on a link that no longer works.
func TestIdleLinksAreProbed(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		r := newRunner(2)
		r.messageAge = 1500 * time.Millisecond
		r.probeErr = errors.New("probe timed out")
		w := call(newTestEntry(r), "POST", invoicePath, "body")
		if r.probes != 2 || r.attempts() != 0 || w.Code != 503 || w.Header().Get(apierror.ExecutedHeader) != "no" {
			t.Errorf("%d probes, %d attempts, status %d", r.probes, r.attempts(), w.Code)
		}
		r.probeErr = nil
		if w := call(newTestEntry(r), "POST", invoicePath, "body"); w.Code != 201 || r.probes != 3 {
			t.Errorf("%d probes, status %d", r.probes, w.Code)
		}
		r.messageAge = 500 * time.Millisecond
		if w := call(newTestEntry(r), "POST", invoicePath, "body"); w.Code != 201 || r.probes != 3 {
			t.Errorf("%d probes of a live link, status %d", r.probes, w.Code)
		}
	})
}

// Guards against a call with a key that runs while the table is down.
func TestTableDown(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		m := newPlatform()
		m.SetOutage(true)
		r := newRunner(1)
		e := newTestEntry(r, withStore(m))
		w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
		if w.Code != 503 || w.Header().Get(apierror.ExecutedHeader) != "no" || r.attempts() != 0 {
			t.Errorf("status %d, %d attempts", w.Code, r.attempts())
		}
		m.SetOutage(false)
		time.Sleep(time.Minute)
		if w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k"); w.Code != 201 || r.attempts() != 1 {
			t.Errorf("after the outage: status %d, %d attempts", w.Code, r.attempts())
		}
	})
}

// Guards against a promise of "not run" for a key whose earlier call has run, while the
// table takes commits and does not answer reads.
func TestResendWithUnreadableRecord(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		table := &unreadableTable{Platform: newPlatform()}
		r := newRunner(1)
		e := newTestEntry(r, func(c *Config) {
			c.Idempotency = idempotency.New(idempotency.Config{Table: table, Objects: table.Objects()})
		})
		if w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k"); w.Code != 201 {
			t.Fatalf("first: status %d", w.Code)
		}
		table.unreadable = true
		w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
		if w.Code != 504 || w.Header().Get(apierror.ExecutedHeader) != "unknown" || r.attempts() != 1 {
			t.Errorf("resend: status %d, executed %q, %d attempts", w.Code, w.Header().Get(apierror.ExecutedHeader), r.attempts())
		}
	})
}

// unreadableTable takes commits and may give no answer to reads.
type unreadableTable struct {
	*standin.Platform
	unreadable bool
}

func (u *unreadableTable) Get(ctx context.Context, key string) (storage.Row, error) {
	if u.unreadable {
		return storage.Row{}, storage.ErrUnavailable
	}
	return u.Platform.Get(ctx, key)
}

// Guards against concurrent resends on several entries that run a call twice under any
// combination of agent faults.
func TestConcurrentResendsOnEntries(t *testing.T) {
	for seed := range uint64(1000) {
		synctest.Test(t, func(t *testing.T) {
			rnd := rand.New(rand.NewPCG(seed, 5))
			script := make([]attemptScript, rnd.IntN(8))
			for i := range script {
				script[i].fault = fault(rnd.IntN(int(engineRejects)))
			}
			r := newRunner(2, script...)
			m := newPlatform()
			var wg sync.WaitGroup
			for range 3 {
				e := newTestEntry(r, withStore(m))
				wait := time.Duration(rnd.IntN(3)) * time.Second
				wg.Go(func() {
					time.Sleep(wait)
					w := call(e, "POST", invoicePath, "body", idempotencyHeader, "k")
					if w.Code == 201 && !strings.Contains(w.Body.String(), "answer") {
						t.Errorf("seed %d: %s", seed, w.Body)
					}
				})
			}
			wg.Wait()
			if r.handOvers > 1 {
				t.Errorf("seed %d: %d hand-overs", seed, r.handOvers)
			}
		})
	}
}
