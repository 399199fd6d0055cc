package daemon

import (
	"context"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/fleet"
	"github.com/magnoliausher/magnoliausher/forward"
	"github.com/magnoliausher/magnoliausher/metric"
	"github.com/magnoliausher/magnoliausher/poison"
)

// crashCheckDelay is the time from a broken answer to the check whether its upstream
// has crashed. A crashed upstream is down for seconds; the answers that it breaks arrive
// within milliseconds.
const crashCheckDelay = 50 * time.Millisecond

// crashTracker implements forward.CrashTracker with a poison.Table. Broken answers
// count as a crash only if their upstream accepts no connections afterwards;
// otherwise connection failures would make suspects of harmless requests.
type crashTracker struct {
	table   *poison.Table
	accepts func(context.Context, *fleet.Upstream) bool
	log     zerolog.Logger

	mu      sync.Mutex
	pending map[string][]brokenAnswer // by upstream id; waiting for the check
}

// brokenAnswer is a request whose answer broke off.
type brokenAnswer struct {
	subject *poison.Subject
	events  int // received before the end
}

var _ forward.CrashTracker = (*crashTracker)(nil)

func newCrashTracker(table *poison.Table, accepts func(context.Context, *fleet.Upstream) bool, log zerolog.Logger) *crashTracker {
	return &crashTracker{table: table, accepts: accepts, log: log, pending: make(map[string][]brokenAnswer)}
}

// Blocked implements forward.CrashTracker.
func (c *crashTracker) Blocked(subject *poison.Subject) bool {
	return c.table.Status(subject.Request, time.Now()) == poison.Blocked
}

// RecordBroken implements forward.CrashTracker. One check serves all answers that an
// upstream breaks within crashCheckDelay.
func (c *crashTracker) RecordBroken(u *fleet.Upstream, subject *poison.Subject, events int) {
	c.mu.Lock()
	defer c.mu.Unlock()
	first := len(c.pending[u.ID]) == 0
	c.pending[u.ID] = append(c.pending[u.ID], brokenAnswer{subject, events})
	if first {
		time.AfterFunc(crashCheckDelay, func() { c.check(u) })
	}
}

// check records a crash if the upstream accepts no connections.
func (c *crashTracker) check(u *fleet.Upstream) {
	up := c.accepts(context.Background(), u)
	c.mu.Lock()
	broken := c.pending[u.ID]
	delete(c.pending, u.ID)
	c.mu.Unlock()
	metric.CrashChecked(up)
	if up {
		c.log.Info().Str("upstream", u.ID).Int("broken", len(broken)).Msg("upstream broke answers and accepts connections")
		return
	}
	c.recordCrash(u, broken, time.Now())
}

func (c *crashTracker) recordCrash(u *fleet.Upstream, broken []brokenAnswer, now time.Time) {
	var fingerprints []uint64
	for _, b := range broken {
		fingerprints = append(fingerprints, b.subject.Request)
	}
	id := crashID(u, now)
	c.table.RecordCrash(id, fingerprints, now)
	c.logCrash(u, id, broken, now)
}

// logCrash writes one line for a crash with all requests of this gateway that it broke.
func (c *crashTracker) logCrash(u *fleet.Upstream, id uint64, broken []brokenAnswer, now time.Time) {
	requests := zerolog.Arr()
	slices.SortStableFunc(broken, func(a, b brokenAnswer) int { return a.events - b.events })
	for _, b := range broken {
		requests.Dict(zerolog.Dict().Str("request", b.subject.RequestID).Int("events", b.events).
			Str("parts", b.subject.PartNames()).Str("fingerprint", formatHash(b.subject.Request)).
			Stringer("status", c.table.Status(b.subject.Request, now)))
	}
	c.log.Info().Str("upstream", u.ID).Str("crash", formatHash(id)).Int("broken", len(broken)).Array("requests", requests).
		Msg("upstream crashed while it ran requests")
}

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// crashID returns an id by which the answers broken by one crash are counted once. It
// covers the upstream's incarnation and the time in seconds, since the connections of
// a crashed upstream break one after the other.
func crashID(u *fleet.Upstream, now time.Time) uint64 {
	return xxhash.Sum64String(u.ID) ^ uint64(u.Started) ^ uint64(now.Unix())<<20
}
