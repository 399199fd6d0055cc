// Package admission holds the agent's decisions: which attempt starts, waits or
// is refused, which batch work gives way to online work, and how much batch
// work fits. Every function takes a snapshot and a time and does no I/O.
package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
)

// Targets of online work, at the 95th percentile.
const (
	StepTarget       = 55 * time.Millisecond  // time between tokens
	FirstTokenTarget = 310 * time.Millisecond // time to first token
)

// PrefillChunkTokens is the most prompt tokens that an engine computes in one step.
const PrefillChunkTokens = 512

// lightOnline is the most online sequences beside which batch work starts and
// the prompts of new online work may lengthen a step beyond the target. Every
// sequence computes its prompt once, so with answers of 50 tokens and more the
// prompts of 2 sequences lengthen at most 4% of the steps, and 5% may be.
const lightOnline = 2

// DefaultQueueLimit bounds the online attempts that wait for a slot. Entries
// try another agent when it is reached.
const DefaultQueueLimit = 16

// Reason says why an attempt was refused. Nothing of a refused attempt reached
// the upstream.
type Reason string

// Reasons of refusals.
const (
	ReasonNone             Reason = ""
	ReasonQueueFull        Reason = "queue_full"
	ReasonDeadline         Reason = "deadline_cannot_be_met"
	ReasonLeaving          Reason = "leaving"
	ReasonSuspectRunning   Reason = "suspect_already_running"
	ReasonBlocked          Reason = "blocked"
	ReasonTicketExpired    Reason = "ticket_expired"
	ReasonWrongIncarnation Reason = "wrong_incarnation"
	ReasonAlreadySeen      Reason = "already_seen"
	ReasonSeenSetFull      Reason = "seen_set_full"
	ReasonUpstreamDown     Reason = "upstream_down"
	ReasonOnlineWaiting    Reason = "online_waiting"
	ReasonNoBatchRoom      Reason = "no_batch_room"
	ReasonInvalid          Reason = "invalid_request"
	ReasonWrongService     Reason = "wrong_service"
	ReasonJobCancelled     Reason = "job_cancelled"
)

// Waits before another attempt at the same agent makes sense.
const (
	retryAfterQueue = 100 * time.Millisecond // a few slots turn over
	retryAfterBatch = 500 * time.Millisecond // the next grant usually comes first
	retryAfterDown  = time.Second            // the next probe
)

// RetryAfter is the least wait before the same agent may decide otherwise,
// 0 when waiting doesn't help or the entry should choose another agent.
func (r Reason) RetryAfter() time.Duration {
	switch r {
	case ReasonQueueFull, ReasonSuspectRunning:
		return retryAfterQueue
	case ReasonOnlineWaiting, ReasonNoBatchRoom, ReasonSeenSetFull:
		return retryAfterBatch
	case ReasonUpstreamDown:
		return retryAfterDown
	}
	return 0
}

// Sequence is one attempt that occupies a slot of the upstream.
type Sequence struct {
	ID           attempt.ID
	Caller       string
	Class        contract.Class
	Start        time.Duration // agent's monotonic time
	PromptTokens int           // to compute before the first token
	Produced     int           // tokens so far; 0 while the prompt is computed
	Suspect      bool
	Cancelled    bool // cancelled; holds its slot until the upstream has let go
}

// Queued is one attempt that asks for a slot.
type Queued struct {
	ID           attempt.ID
	Caller       string
	Class        contract.Class
	Arrival      time.Duration // agent's monotonic time
	Deadline     time.Duration // agent's monotonic time; 0 means none
	PromptTokens int
	Suspect      bool
}

// Snapshot is the state of one upstream as its agent counts it.
type Snapshot struct {
	Kind       contract.Kind
	Slots      int
	Running    []*Sequence    // oldest first
	Counts     SequenceCounts // of Running
	Queued     []*Queued      // online attempts in order of arrival
	QueueLimit int
	Callers    *CallerUsage
	Ready      bool // the upstream accepts work
	Leaving    bool

	Model                 StepModel
	TokenInterval         time.Duration // smoothed time between tokens; 0 before the first
	TimeToFirstToken      time.Duration // smoothed time to first token of online work; 0 before the first
	Budget                PrefillBudget
	BatchItemPromptTokens int // smoothed prompt tokens of a batch item; 0 before the first
	Granted               int // batch items granted and neither started nor lapsed
}

// SequenceCounts counts running sequences. The agent updates it per change, so that a
// decision doesn't scan all sequences.
type SequenceCounts struct {
	Online             int // sequences that are not ending
	Batch              int // sequences that are not ending
	Cancelled          int
	Suspects           int // including ending ones
	OnlinePromptTokens int // prompt tokens of online sequences without a first token
	BatchPromptTokens  int // prompt tokens of batch sequences without a first token
}

// Add counts a sequence.
func (t *SequenceCounts) Add(s *Sequence) { t.count(s, 1) }

// Remove takes back Add. The sequence must be as it was counted.
func (t *SequenceCounts) Remove(s *Sequence) { t.count(s, -1) }

// Used is the number of occupied slots.
func (t SequenceCounts) Used() int { return t.Online + t.Batch + t.Cancelled }

// CountSequences counts a list of sequences.
func CountSequences(running []*Sequence) SequenceCounts {
	var t SequenceCounts
	for _, s := range running {
		t.Add(s)
	}
	return t
}

func (t *SequenceCounts) count(s *Sequence, by int) {
	if s.Suspect {
		t.Suspects += by
	}
	if s.Cancelled {
		t.Cancelled += by
		return
	}
	prompt := 0
	if s.Produced == 0 {
		prompt = by * s.PromptTokens
	}
	if s.Class == contract.ClassBatch {
		t.Batch += by
		t.BatchPromptTokens += prompt
		return
	}
	t.Online += by
	t.OnlinePromptTokens += prompt
}
