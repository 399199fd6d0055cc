package admission

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
)

// simulation applies decisions to random work as an agent does.
type simulation struct {
	s    *Snapshot
	now  time.Duration
	rand *rand.Rand
	err  error
}

func newSimulation(seed uint64, kind contract.Kind, slots int) *simulation {
	return &simulation{
		rand: rand.New(rand.NewPCG(seed, 1)),
		s: &Snapshot{
			Kind: kind, Slots: slots, QueueLimit: 4, Ready: true,
			Callers: NewCallerUsage(), Model: NewStepModel(),
		},
	}
}

func (m *simulation) check(ok bool, format string, args ...any) {
	if !ok && m.err == nil {
		m.err = fmt.Errorf(format, args...)
	}
}

func (m *simulation) step() {
	m.now += time.Duration(m.rand.IntN(40)) * time.Millisecond
	s := m.s
	s.Budget = s.Budget.Advance(m.now, s.Model.Step(s.Counts.Used()), s.Counts.Online > 0, s.Counts.BatchPromptTokens)
	switch m.rand.IntN(5) {
	case 0:
		m.arrive(contract.ClassOnline)
	case 1, 2:
		m.arrive(contract.ClassBatch)
	case 3:
		m.progress()
	case 4:
		m.finish()
	}
	for q := NextQueued(s, m.now); q != nil; q = NextQueued(s, m.now) {
		i := slices.Index(s.Queued, q)
		s.Queued = slices.Delete(s.Queued, i, i+1)
		m.start(q)
	}
	m.check(s.Counts == CountSequences(s.Running), "counts %+v, want %+v", s.Counts, CountSequences(s.Running))
	m.check(s.Counts.Used() <= s.Slots, "%d sequences on %d slots", s.Counts.Used(), s.Slots)
	m.check(s.Counts.Suspects <= 1, "%d suspects at once", s.Counts.Suspects)
}

func (m *simulation) arrive(class contract.Class) {
	s := m.s
	a := &Queued{
		ID: attempt.NewID(), Caller: fmt.Sprint(m.rand.IntN(3)), Class: class, Arrival: m.now,
		PromptTokens: m.rand.IntN(3000), Suspect: m.rand.IntN(8) == 0,
	}
	d := Decide(s, a, m.now)
	m.check(d.Action != Refuse || d.Reason != ReasonNone, "refusal without a reason")
	m.check(d.Action != Refuse || len(d.Cancel) == 0, "refused attempt cancels others")
	if class == contract.ClassBatch {
		m.check(d.Action != Queue, "batch attempt queued")
		m.check(d.Action != Admit || len(s.Queued) == 0, "batch attempt admitted while online attempts wait")
		m.check(len(d.Cancel) == 0, "batch attempt cancels others")
	}
	if d.Action != Refuse && class == contract.ClassOnline {
		m.checkCancel(a, d.Cancel)
	}
	for _, q := range d.Cancel {
		s.Counts.Remove(q)
		q.Cancelled = true
		s.Counts.Add(q)
	}
	switch d.Action {
	case Admit:
		m.start(a)
	case Queue:
		s.Queued = append(s.Queued, a)
	}
}

// checkCancel checks that the cancelled sequences are the newest batch sequences and
// the fewest that suffice.
func (m *simulation) checkCancel(a *Queued, cancel []*Sequence) {
	s := m.s
	var newest []*Sequence
	for _, q := range slices.Backward(s.Running) {
		if q.Class == contract.ClassBatch && !q.Cancelled {
			newest = append(newest, q)
		}
	}
	m.check(slices.Equal(cancel, newest[:min(len(cancel), len(newest))]), "cancel set is not the newest batch sequences")
	w := startableOnline(s, a)
	if s.Kind != contract.KindEngine || w.count == 0 {
		m.check(len(cancel) == 0, "cancelled %d sequences without need", len(cancel))
		return
	}
	b := boundsFor(s, w)
	t := s.Counts
	for _, q := range cancel {
		m.check(!withinBounds(s.Model, t, w, b), "cancel set is not minimal")
		t.Remove(q)
	}
	m.check(t.Batch == 0 || withinBounds(s.Model, t, w, b), "cancel set is too small")
	n := t.Online + w.count + t.Batch
	m.check(n <= s.Slots, "no slot for the online attempts")
	m.check(t.Batch == 0 || s.Model.Step(n) <= StepTarget, "step of %v with batch work", s.Model.Step(n))
}

func (m *simulation) start(a *Queued) {
	q := &Sequence{ID: a.ID, Caller: a.Caller, Class: a.Class, Start: m.now, PromptTokens: a.PromptTokens, Suspect: a.Suspect}
	m.s.Running = append(m.s.Running, q)
	m.s.Counts.Add(q)
	if a.Class == contract.ClassOnline {
		m.s.Callers.Started(a.Caller)
	} else {
		m.s.Budget = m.s.Budget.Charge(a.PromptTokens)
	}
}

func (m *simulation) progress() {
	for _, q := range m.s.Running {
		m.s.Counts.Remove(q)
		q.Produced++
		m.s.Counts.Add(q)
	}
}

func (m *simulation) finish() {
	s := m.s
	if len(s.Running) == 0 {
		return
	}
	i := m.rand.IntN(len(s.Running))
	if e := slices.IndexFunc(s.Running, func(q *Sequence) bool { return q.Cancelled }); e >= 0 {
		i = e
	}
	s.Counts.Remove(s.Running[i])
	if s.Running[i].Class == contract.ClassOnline {
		s.Callers.Ended(s.Running[i].Caller)
	}
	s.Running = slices.Delete(s.Running, i, i+1)
}

// Guards against decisions that break an invariant under random work: no more
// sequences than slots, one suspect at a time, online before batch, and a minimal set
// of cancelled sequences.
func TestDecisionInvariants(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("hold at every step", prop.ForAll(
		func(seed uint64, slots int, plain bool) (bool, error) {
			kind := contract.KindEngine
			if plain {
				kind = contract.KindPlain
			}
			m := newSimulation(seed, kind, slots)
			for range 400 {
				m.step()
			}
			return m.err == nil, m.err
		},
		gen.UInt64(), gen.IntRange(1, 200), gen.Bool(),
	))
	properties.TestingRun(t)
}

// Guards against batch items that never run at a plain service with one slot.
func TestPlainServiceWithOneSlotRunsBatch(t *testing.T) {
	for slots, want := range []int{0, 1, 1, 2, 3} {
		s := newSimulation(1, contract.KindPlain, slots).s
		if got := BatchCapacity(s); got != want {
			t.Errorf("%d slots: capacity %d, want %d", slots, got, want)
		}
	}
}

// Guards against granting batch work that exceeds the slots or, while online work
// runs, the step target. With a prefill budget the target applies only to steps
// without prefill.
func TestBatchCapacityKeepsStepTarget(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("capacity keeps the target", prop.ForAll(
		func(online, batch, slots, perSequenceUS, prompt int, budget bool) bool {
			s := newSimulation(1, contract.KindEngine, slots).s
			s.Model.PerSequence = float64(perSequenceUS) * 1e-6
			s.Counts = SequenceCounts{Online: online, Batch: batch}
			s.BatchItemPromptTokens = prompt
			s.Budget = PrefillBudget{Online: true}
			if budget {
				s.Budget.Steps = maxSavedSteps
			}
			capacity := BatchCapacity(s)
			if capacity == 0 {
				return true
			}
			if online > maxOnlineBesideBatch {
				return false
			}
			n := online + batch + capacity
			if online == 0 || n > slots {
				return n <= slots
			}
			if budget && capacity*prefillChunks(prompt) <= maxSavedSteps {
				return s.Model.Step(n) <= StepTarget
			}
			return s.Model.StepWithPrefill(n, capacity*prompt) <= StepTarget
		},
		gen.IntRange(0, 40), gen.IntRange(0, 100), gen.IntRange(1, 200), gen.IntRange(1, 2000),
		gen.IntRange(1, 2000), gen.Bool(),
	))
	properties.TestingRun(t)
}

// Guards against a backlog of batch prompts that delays an arriving online request,
// and against granting nothing although the backlog is nearly computed.
func TestBatchCapacityBoundsPendingPrompts(t *testing.T) {
	const limit = maxPendingPrefillChunks * PrefillChunkTokens
	for _, c := range []struct{ prompt, pending, want int }{
		{limit / 4, 0, 4}, {limit / 4, limit / 2, 2}, {limit / 4, limit, 0}, {3 * limit, 0, 1}, {limit / 4, 9 * limit, 0},
	} {
		s := newSimulation(1, contract.KindEngine, 64).s
		s.Model.PrefillRate = minPrefillRate
		s.BatchItemPromptTokens = c.prompt
		s.Counts.BatchPromptTokens = c.pending
		if got := BatchCapacity(s); got != c.want {
			t.Errorf("%+v: capacity %d", c, got)
		}
	}
}

// Guards against batch prompts that lengthen more than their share of the steps while
// online work runs, and against batch prompts that never start.
func TestPrefillBudgetKeepsShare(t *testing.T) {
	for _, prompt := range []int{100, 512, 1500, 9000} {
		const step = 20 * time.Millisecond
		const steps = 20000
		b := PrefillBudget{}.Advance(0, step, true, 0)
		lengthened := 0
		for i := 1; i <= steps; i++ {
			b = b.Advance(time.Duration(i)*step, step, true, 0)
			if b.Allows(prompt) {
				b = b.Charge(prompt)
				lengthened += prefillChunks(prompt)
			}
		}
		if share := float64(lengthened) / steps; share > PrefillStepShare || share < PrefillStepShare*0.9 {
			t.Errorf("prompts of %d tokens lengthened a share of %.4f", prompt, share)
		}
	}
}

// Guards against other callers waiting for all queued attempts of one caller, and
// against starting a caller's attempts in the wrong order of deadlines.
func TestNextQueuedIsFairAmongCallers(t *testing.T) {
	m := newSimulation(1, contract.KindEngine, 1)
	s := m.s
	for i := range 10 {
		s.Queued = append(s.Queued, &Queued{Caller: "busy", Arrival: time.Duration(i), Deadline: time.Hour - time.Duration(i)})
	}
	s.Queued = append(s.Queued, &Queued{Caller: "rare", Arrival: 10})
	var order []string
	for range 3 {
		q := NextQueued(s, 0)
		if q.Caller == "busy" && len(order) == 0 && q.Arrival != 9 {
			t.Errorf("attempt %d starts before the one with the earliest deadline", q.Arrival)
		}
		order = append(order, q.Caller)
		s.Queued = slices.Delete(s.Queued, slices.Index(s.Queued, q), slices.Index(s.Queued, q)+1)
		s.Callers.Started(q.Caller)
		s.Callers.Ended(q.Caller)
	}
	if !slices.Equal(order, []string{"busy", "rare", "busy"}) {
		t.Errorf("order %v", order)
	}
}

// Guards against a wrong reason for a refusal, because entries act on the reason.
func TestRefusalReasons(t *testing.T) {
	const hour = time.Hour
	cases := []struct {
		name   string
		change func(s *Snapshot, a *Queued)
		want   Reason
	}{
		{"leaving", func(s *Snapshot, _ *Queued) { s.Leaving = true }, ReasonLeaving},
		{"down", func(s *Snapshot, _ *Queued) { s.Ready = false }, ReasonUpstreamDown},
		{"second suspect", func(s *Snapshot, a *Queued) { s.Counts.Suspects, a.Suspect = 1, true }, ReasonSuspectRunning},
		{"deadline passed", func(_ *Snapshot, a *Queued) { a.Deadline = hour - 1 }, ReasonDeadline},
		{"prompt longer than deadline", func(_ *Snapshot, a *Queued) {
			a.Deadline, a.PromptTokens = hour+time.Second, 100000
		}, ReasonDeadline},
		{"queue full", func(s *Snapshot, _ *Queued) {
			s.Counts.Online = s.Slots
			s.Queued = make([]*Queued, s.QueueLimit)
			for i := range s.Queued {
				s.Queued[i] = &Queued{Class: contract.ClassOnline}
			}
		}, ReasonQueueFull},
		{"batch while online waits", func(s *Snapshot, a *Queued) {
			a.Class = contract.ClassBatch
			s.Queued = []*Queued{{}}
		}, ReasonOnlineWaiting},
		{"batch without a slot", func(s *Snapshot, a *Queued) {
			a.Class = contract.ClassBatch
			s.Counts.Batch = s.Slots
		}, ReasonNoBatchRoom},
		{"batch while online is slow", func(s *Snapshot, a *Queued) {
			a.Class = contract.ClassBatch
			s.Counts.Online, s.TokenInterval, s.Budget.Steps = 1, StepTarget+1, maxSavedSteps
		}, ReasonNoBatchRoom},
	}
	for _, c := range cases {
		s := newSimulation(1, contract.KindEngine, 4).s
		a := &Queued{Class: contract.ClassOnline}
		c.change(s, a)
		if d := Decide(s, a, hour); d.Action != Refuse || d.Reason != c.want {
			t.Errorf("%s: %+v, want refusal %s", c.name, d, c.want)
		}
	}
}

// Guards against batch work that keeps online work slow because the model
// underestimates the step time, and against cancelling batch work without need.
func TestPreemptForInterval(t *testing.T) {
	old := &Sequence{Class: contract.ClassBatch}
	newest := &Sequence{Class: contract.ClassBatch, Start: 1}
	online := &Sequence{Class: contract.ClassOnline, Start: 2}
	cases := []struct {
		running  []*Sequence
		interval time.Duration
		want     *Sequence
	}{
		{[]*Sequence{old, newest, online}, StepTarget + 1, newest},
		{[]*Sequence{old, newest, online}, StepTarget, nil},
		{[]*Sequence{old, newest}, StepTarget + 1, nil},
	}
	for i, c := range cases {
		s := newSimulation(1, contract.KindEngine, 4).s
		s.Running, s.Counts, s.TokenInterval = c.running, CountSequences(c.running), c.interval
		if got := PreemptForInterval(s); got != c.want {
			t.Errorf("case %d: %+v", i, got)
		}
	}
}
