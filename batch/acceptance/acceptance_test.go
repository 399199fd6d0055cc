package acceptance

import (
	"math/rand/v2"
	"testing"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/effect"
)

// modelStore performs transactions at any moment after they were sent, and once at most.
type modelStore struct {
	version uint64
	quotas  map[string]uint64
	stored  bool
	pending []Condition // transactions without an answer that were not performed yet
}

func (s *modelStore) perform(c Condition) bool {
	if s.stored || s.quotas[c.Quota] != c.Version {
		return false
	}
	s.version++
	s.quotas[c.Quota], s.stored = s.version, true
	return true
}

// submitter sends transactions with the version of the quota row that it read last.
type submitter struct {
	calls Calls
	known map[string]uint64
}

// step does one random thing at the store or at a submitter and returns a message if a
// promise that was given is broken.
func (s *modelStore) step(random *rand.Rand, submitters []*submitter) {
	a := submitters[random.IntN(len(submitters))]
	quota := []string{"q1", "q2"}[random.IntN(2)] // a change of the configuration moves jobs to another route
	c := Condition{Quota: quota, Version: a.known[quota]}
	switch random.IntN(16) {
	case 0: // answered
		a.calls.Begin(c)
		if s.perform(c) {
			a.calls.End(c, effect.Performed)
		} else {
			a.calls.End(c, effect.NotPerformed)
		}
	case 1: // performed without an answer
		a.calls.Begin(c)
		s.perform(c)
		a.calls.End(c, effect.Unknown)
	case 2, 3: // no answer; may be performed later
		a.calls.Begin(c)
		s.pending = append(s.pending, c)
		a.calls.End(c, effect.Unknown)
	case 4: // stopped before the answer
		a.calls.Begin(c)
		s.pending = append(s.pending, c)
	case 5:
		if len(s.pending) > 0 {
			i := random.IntN(len(s.pending))
			s.perform(s.pending[i])
			s.pending = append(s.pending[:i], s.pending[i+1:]...)
		}
	case 6, 7, 8, 9: // another job is accepted on the route
		s.version++
		s.quotas[quota] = s.version
	case 10:
		a.known[quota] = s.quotas[quota]
	case 11, 12, 13, 14, 15: // the quota row is read first, and other things happen before the job's row is
		version := s.quotas[quota]
		for range random.IntN(3) {
			s.step(random, submitters)
		}
		if s.stored {
			a.calls.RecordStored()
		} else {
			a.calls.RecordAbsent(quota, version)
		}
	}
}

func (s *modelStore) performPending() {
	for _, c := range s.pending {
		s.perform(c)
	}
}

// Guards against a submission that is refused though one of its transactions was
// performed, or is performed later.
func TestNotPerformedIsNeverFollowedByARow(t *testing.T) {
	parameters := gopter.DefaultTestParametersWithSeed(32)
	parameters.MinSuccessfulTests = 20000
	properties := gopter.NewProperties(parameters)
	refusals, late := 0, 0
	properties.Property("no row follows when all submissions are refused", prop.ForAll(func(seed int64, steps, gateways int) bool {
		random := rand.New(rand.NewPCG(uint64(seed), 1))
		s := &modelStore{quotas: make(map[string]uint64)}
		submitters := make([]*submitter, gateways)
		for i := range submitters {
			submitters[i] = &submitter{known: make(map[string]uint64)}
		}
		for range steps {
			s.step(random, submitters)
		}
		outcome := effect.NotPerformed
		for _, a := range submitters {
			outcome = outcome.Either(a.calls.Outcome())
		}
		before := s.stored
		s.performPending()
		if outcome == effect.NotPerformed {
			refusals++
			if len(s.pending) > 0 {
				late++
			}
		}
		return (outcome != effect.NotPerformed || !s.stored) && (outcome != effect.Performed || before)
	}, gen.Int64(), gen.IntRange(1, 30), gen.IntRange(1, 3)))
	properties.TestingRun(t)
	if refusals < 1000 || late < 100 {
		t.Errorf("%d histories ended refused, %d of them with transactions on the way; the test shows too little", refusals, late)
	}
}

// Guards against a promise after a read that a late transaction can still follow.
func TestReadOfUnchangedQuotaProvesNothing(t *testing.T) {
	var c Calls
	condition := Condition{Quota: "q", Version: 5}
	c.Begin(condition)
	c.End(condition, effect.Unknown)
	c.RecordAbsent("q", 5)
	c.RecordAbsent("other", 9)
	if got := c.Outcome(); got != effect.Unknown {
		t.Errorf("before the quota row changes: %v", got)
	}
	c.Begin(condition) // again, and refused: this says nothing of the first one
	c.End(condition, effect.NotPerformed)
	if got := c.Outcome(); got != effect.Unknown {
		t.Errorf("after a refusal: %v", got)
	}
	c.RecordAbsent("q", 6)
	if got := c.Outcome(); got != effect.NotPerformed {
		t.Errorf("after the quota row has changed: %v", got)
	}
}
