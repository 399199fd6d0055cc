// Package admission makes the agent's scheduling decisions: which attempts start,
// wait or are refused, which batch work online work preempts, and how much batch work
// can be granted. The functions work on a snapshot, read no clock and do no I/O.
package admission

import (
	"time"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
)

// Latency targets of online work at the 95th percentile.
const (
	StepTarget       = 55 * time.Millisecond  // time between tokens
	FirstTokenTarget = 310 * time.Millisecond // time to first token
)

// PrefillChunkTokens is the maximum number of prompt tokens that an engine computes
// in one step.
const PrefillChunkTokens = 512

// maxOnlineBesideBatch is the maximum number of online sequences with which batch
// work may start and new online prompts may lengthen a step beyond the target. Each
// sequence computes its prompt once, so with answers of at least 50 tokens the prompts
// of 2 sequences lengthen at most 4% of the steps, within the allowed 5%.
const maxOnlineBesideBatch = 2

// DefaultQueueLimit is the default maximum of online attempts that wait for a slot.
// When it is reached, entries try another agent.
const DefaultQueueLimit = 16

// Reason says why an attempt was refused. A refused attempt was not sent to the
// upstream.
type Reason string

// Reasons for refusal.
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

// Delays before another attempt at the same agent.
const (
	retryAfterQueue = 100 * time.Millisecond // a few slots become free in this time
	retryAfterBatch = 500 * time.Millisecond // the next grant usually arrives sooner
	retryAfterDown  = time.Second            // interval of upstream probes
)

// RetryAfter returns the minimum delay before the same agent may accept the attempt.
// It is 0 when a delay does not help or the entry should choose another agent.
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

// ProvesNothing reports whether a refusal with this reason says nothing of whether the
// attempt ran. ReasonAlreadySeen refuses a copy, so that the agent has the attempt already.
func (r Reason) ProvesNothing() bool { return r == ReasonAlreadySeen }

// Sequence is one attempt that occupies a slot of the upstream.
type Sequence struct {
	ID           attempt.ID
	Caller       string
	Class        contract.Class
	Start        time.Duration // agent's monotonic time
	PromptTokens int           // prompt tokens to compute before the first token
	Produced     int           // tokens generated so far; 0 during prefill
	Suspect      bool
	Cancelled    bool // still occupies its slot until the upstream has released it
}

// Queued is one attempt that requests a slot.
type Queued struct {
	ID           attempt.ID
	Caller       string
	Class        contract.Class
	Arrival      time.Duration // agent's monotonic time
	Deadline     time.Duration // agent's monotonic time; 0 means none
	PromptTokens int
	Suspect      bool
}

// Snapshot is the state of one upstream as tracked by its agent.
type Snapshot struct {
	Kind       contract.Kind
	Slots      int
	Running    []*Sequence    // oldest first
	Counts     SequenceCounts // counts of Running
	Queued     []*Queued      // waiting online attempts in order of arrival
	QueueLimit int
	Callers    *CallerUsage
	Ready      bool // the upstream accepts work
	Leaving    bool

	Model                 StepModel
	TokenInterval         time.Duration // moving average of the time between tokens; 0 before the first
	TimeToFirstToken      time.Duration // moving average for online work; 0 before the first
	Budget                PrefillBudget
	BatchItemPromptTokens int // moving average of prompt tokens per batch item; 0 before the first
	Granted               int // batch items granted that have neither started nor expired
}

// SequenceCounts counts running sequences. The agent updates it with every change, so
// that decisions need not scan all sequences.
type SequenceCounts struct {
	Online             int // without cancelled ones
	Batch              int // without cancelled ones
	Cancelled          int
	Suspects           int // including cancelled ones
	OnlinePromptTokens int // prompt tokens of online sequences in prefill
	BatchPromptTokens  int // prompt tokens of batch sequences in prefill
}

// Add adds a sequence to the counts.
func (t *SequenceCounts) Add(s *Sequence) { t.count(s, 1) }

// Remove reverts Add. The sequence must be unchanged since it was added.
func (t *SequenceCounts) Remove(s *Sequence) { t.count(s, -1) }

// Used returns the number of occupied slots. A cancelled sequence occupies its slot until
// the upstream has released it.
func (t SequenceCounts) Used() int { return t.Online + t.Batch + t.Cancelled }

// CountSequences returns the counts of a list of sequences.
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
