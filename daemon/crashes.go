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
	table     *poison.Table
	accepts   func(context.Context, *fleet.Upstream) bool
	trialRank func(fingerprint uint64) int // rank of this gateway for trials
	log       zerolog.Logger

	mu      sync.Mutex
	pending map[string][]brokenAnswer // by upstream id; waiting for the check
}

// brokenAnswer is a request whose answer broke off.
type brokenAnswer struct {
	subject *poison.Subject
	events  int // received before the end
}

var _ forward.CrashTracker = (*crashTracker)(nil)

func newCrashTracker(table *poison.Table, accepts func(context.Context, *fleet.Upstream) bool, trialRank func(uint64) int, log zerolog.Logger) *crashTracker {
	return &crashTracker{table: table, accepts: accepts, trialRank: trialRank, log: log, pending: make(map[string][]brokenAnswer)}
}

// Admit implements forward.CrashTracker.
func (c *crashTracker) Admit(subject *poison.Subject) poison.Admission {
	a := c.table.Admit(subject.Fingerprints(), c.trialRank, time.Now())
	switch {
	case a.Blocked:
		metric.SuspectRejected()
		c.log.Info().Str("request", subject.RequestID).Str("cause", formatHash(a.Cause)).Str("part", subject.PartName(a.Cause)).
			Dur("retry_after", a.RetryAfter).Msg("request blocked after upstream crashes")
	case a.Trial:
		metric.TrialStarted()
		c.log.Info().Str("request", subject.RequestID).Str("cause", formatHash(a.Cause)).Str("part", subject.PartName(a.Cause)).
			Msg("sending a blocked request as a trial")
	}
	return a
}

// Recheck implements forward.CrashTracker.
func (c *crashTracker) Recheck(subject *poison.Subject) poison.Admission {
	return c.table.Recheck(subject.Fingerprints(), time.Now())
}

// RecordSound implements forward.CrashTracker.
func (c *crashTracker) RecordSound(subject *poison.Subject, complete bool) {
	sound := *subject
	if !complete {
		sound.Request = 0 // it may still crash the upstream
	}
	c.table.RecordSound(&sound, time.Now())
}

// logChange is the poison.Config.OnChange of the table.
func logChange(log zerolog.Logger) func(poison.Change) {
	return func(change poison.Change) {
		metric.SuspectChanged(change.Blocked, string(change.Evidence.Kind))
		crashes := zerolog.Arr()
		for _, id := range change.Crashes {
			crashes.Str(formatHash(id))
		}
		message := "released a request or part of prompts"
		if change.Blocked {
			message = "blocked a request or part of prompts"
		}
		log.Info().Str("cause", formatHash(change.Fingerprint)).Array("crashes", crashes).Str("evidence", string(change.Evidence.Kind)).
			Str("request", change.Evidence.RequestID).Msg(message)
	}
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
	id := crashID(u, now)
	likely, unlikely := suspectFingerprints(broken)
	blamed := c.table.RecordCrash(id, likely, now)
	c.table.RecordLateCrash(id, unlikely, now)
	c.logCrash(u, id, broken, blamed, now)
}

// suspectFingerprints returns what may have caused a crash: the requests whose answers
// had hardly begun and their parts, and, less likely, the other requests.
func suspectFingerprints(broken []brokenAnswer) (likely, unlikely []uint64) {
	for _, b := range broken {
		switch {
		case b.events <= poison.SuspectOutputs:
			likely = append(likely, b.subject.Fingerprints()...)
		case b.subject.Request != 0:
			unlikely = append(unlikely, b.subject.Request)
		}
	}
	slices.Sort(likely)
	return slices.Compact(likely), unlikely
}

// logCrash writes one line for a crash with all requests of this gateway that it broke,
// and the parts that are blamed.
func (c *crashTracker) logCrash(u *fleet.Upstream, id uint64, broken []brokenAnswer, blamed []uint64, now time.Time) {
	parts, logged := zerolog.Arr(), make(map[uint64]bool)
	for _, b := range broken {
		for _, p := range b.subject.Parts {
			if slices.Contains(blamed, p.Fingerprint) && !logged[p.Fingerprint] {
				logged[p.Fingerprint] = true
				parts.Dict(zerolog.Dict().Str("part", p.Name).Str("cause", formatHash(p.Fingerprint)).
					Stringer("status", c.table.Status(p.Fingerprint, now)))
			}
		}
	}
	requests := zerolog.Arr()
	slices.SortStableFunc(broken, func(a, b brokenAnswer) int { return a.events - b.events })
	for _, b := range broken {
		requests.Dict(zerolog.Dict().Str("request", b.subject.RequestID).Int("events", b.events).
			Str("parts", b.subject.PartNames()).Str("fingerprint", formatHash(b.subject.Request)).
			Stringer("status", c.table.Status(b.subject.Request, now)))
	}
	c.log.Info().Str("upstream", u.ID).Str("crash", formatHash(id)).Int("broken", len(broken)).Array("blamed_parts", parts).Array("requests", requests).
		Msg("upstream crashed while it ran requests")
}

func formatHash(hash uint64) string { return strconv.FormatUint(hash, 16) }

// crashID returns an id by which the answers that one crash breaks at all gateways are
// counted once. An incarnation crashes once; the clocks of gateways differ, so the time
// in seconds only stands in for a start that is not reported.
func crashID(u *fleet.Upstream, now time.Time) uint64 {
	if u.Started > 0 {
		return xxhash.Sum64String(u.ID) ^ uint64(u.Started)
	}
	return xxhash.Sum64String(u.ID) ^ uint64(now.Unix())<<20
}
