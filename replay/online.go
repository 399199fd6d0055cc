package replay

import (
	"fmt"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/admission"
	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	defaults "github.com/magnoliausher/magnoliausher/entry"
	"github.com/magnoliausher/magnoliausher/poison"
	"github.com/magnoliausher/magnoliausher/workload"
)

// requestTimeout is the time from the arrival of an online request to its deadline.
const requestTimeout = time.Minute

// maxRequestCrashes is the number of upstream crashes after which a request is not
// retried.
const maxRequestCrashes = poison.DefaultBlockAfter

// requestState says whether and how a request ended for its caller.
type requestState int

const (
	requestOpen      requestState = iota
	requestCompleted              // complete response
	requestRefused                // not run
	requestFailed                 // error response or broken stream
	requestCancelled              // cancelled by the caller
)

// request is the state of an online request at its entry.
type request struct {
	sim          *simulation
	id           string
	spec         *workload.Request
	entry        *entry
	arrived      time.Duration
	prefix       uint64
	prefixTokens int
	fingerprint  uint64

	attempts          int
	excluded          []string
	crashes           int
	executions        int // by plain services
	mayHaveRun        bool
	exclusionsCleared bool
	currentAttempt    *simAttempt
	target            *agent
	sentAsSuspect     bool // the current attempt was sent as a suspect
	accepted          bool
	delivered         int
	lastToken         time.Duration
	lastProgress      time.Duration
	state             requestState
}

// startRequest sends a caller's request to an entry.
func (sim *simulation) startRequest(id string, spec *workload.Request) {
	sim.stats.online++
	rq := &request{sim: sim, id: id, spec: spec, arrived: sim.now, fingerprint: fingerprint(id, spec)}
	if spec.Prefix != "" {
		rq.prefix = xxhash.Sum64String(spec.Prefix)
		rq.prefixTokens = workload.PrefixTokens(spec.Prefix)
	}
	sim.requests[id] = rq
	sim.openWork++
	rq.entry = sim.pickEntry()
	if rq.entry == nil {
		rq.end(requestRefused)
		return
	}
	rq.entry.requests = append(rq.entry.requests, rq)
	v := rq.entry.views[spec.Service]
	v.budget = v.budget.RecordRequest()
	rq.dispatch()
}

// fingerprint returns the same value for resends of a poison request, which differ
// only in their IDs.
func fingerprint(id string, spec *workload.Request) uint64 {
	body := id
	if spec.Poison {
		body = fmt.Sprint(spec.PromptTokens, " ", spec.OutputTokens, " ", spec.Prefix)
	}
	return attempt.Fingerprint(spec.Caller, spec.Service, []byte(body))
}

// dispatch starts the next attempt or ends the request.
func (rq *request) dispatch() {
	status := rq.entry.suspects.Status(rq.fingerprint, rq.sim.wallTime())
	if status == poison.Blocked || rq.crashes >= maxRequestCrashes {
		rq.giveUp()
		return
	}
	suspect := status == poison.Suspect || rq.crashes > 0
	a := rq.entry.chooseAgent(rq, suspect)
	if a == nil || rq.attempts >= defaults.DefaultMaxAttempts || rq.sim.now >= rq.arrived+requestTimeout {
		rq.giveUp()
		return
	}
	rq.attempts++
	rq.target = a
	rq.sentAsSuspect = suspect
	rq.accepted = false
	rq.lastProgress = rq.sim.now
	rq.currentAttempt = rq.newAttempt(suspect)
	u := rq.entry.upstream(a)
	u.InProgress++
	u.SentSince++
	if suspect {
		rq.entry.suspectsInProgress[a.index]++
	}
	rq.entry.sendAttempt(a, rq.currentAttempt)
	t := rq.currentAttempt
	if rq.spec.Repeatable {
		rq.sim.scheduleAfter(defaults.DefaultAcceptTimeout, func() { rq.rerouteUnaccepted(t) })
	}
	rq.sim.scheduleAfter(rq.progressTimeout(), func() { rq.checkProgress(t) })
}

func (rq *request) newAttempt(suspect bool) *simAttempt {
	t := &simAttempt{
		id: fmt.Sprintf("o%d", rq.sim.newID()), class: contract.ClassOnline, caller: rq.spec.Caller,
		fingerprint: rq.fingerprint, promptTokens: rq.spec.PromptTokens + rq.delivered,
		outputTokens: rq.spec.OutputTokens - rq.delivered, prefix: rq.prefix, prefixTokens: rq.prefixTokens,
		poison: rq.spec.Poison, suspect: suspect, observer: rq,
	}
	t.queued = &admission.Queued{
		ID: attempt.ID(t.id), Caller: t.caller, Class: t.class, Deadline: rq.arrived + requestTimeout,
		PromptTokens: t.promptTokens, Suspect: suspect,
	}
	return t
}

func (rq *request) progressTimeout() time.Duration {
	if rq.spec.OutputTokens == 0 {
		return defaults.DefaultPlainProgressTimeout
	}
	return defaults.DefaultEngineProgressTimeout
}

// rerouteUnaccepted cancels an attempt that was not accepted in time and retries it
// elsewhere.
func (rq *request) rerouteUnaccepted(t *simAttempt) {
	if rq.currentAttempt != t || rq.accepted || !rq.entry.takeRetry(rq.spec.Service) {
		return
	}
	rq.entry.cancelAttempt(t)
	rq.retryElsewhere()
}

// checkProgress fails an attempt that made no progress for progressTimeout.
func (rq *request) checkProgress(t *simAttempt) {
	if rq.currentAttempt != t {
		return
	}
	if idle := rq.sim.now - rq.lastProgress; idle < rq.progressTimeout() {
		rq.sim.scheduleAfter(rq.progressTimeout()-idle, func() { rq.checkProgress(t) })
		return
	}
	rq.entry.cancelAttempt(t)
	rq.onFailed(t, failure{reason: "no_progress"})
}

// clearAttempt removes the current attempt from the entry's counts.
func (rq *request) clearAttempt() {
	if rq.currentAttempt == nil {
		return
	}
	rq.currentAttempt = nil
	rq.entry.upstream(rq.target).InProgress--
	if rq.sentAsSuspect {
		rq.entry.suspectsInProgress[rq.target.index]--
	}
}

// retryElsewhere excludes the current agent and starts another attempt.
func (rq *request) retryElsewhere() {
	rq.excluded = append(rq.excluded, rq.target.id)
	rq.clearAttempt()
	rq.dispatch()
}

func (rq *request) onAccepted(t *simAttempt) {
	if rq.currentAttempt == t {
		rq.accepted = true
		rq.mayHaveRun = true
	}
}

func (rq *request) onToken(t *simAttempt, index int) {
	if rq.currentAttempt != t {
		return
	}
	if t.promptTokens-rq.spec.PromptTokens+index != rq.delivered {
		rq.sim.stats.tokenGaps++
	}
	now := rq.sim.now
	if rq.delivered == 0 {
		rq.sim.stats.recordFirstToken(now, now-rq.arrived)
	} else {
		rq.sim.stats.recordInterval(now, now-rq.lastToken)
	}
	rq.delivered++
	rq.lastToken = now
	rq.lastProgress = now
}

func (rq *request) onCompleted(t *simAttempt) {
	if rq.currentAttempt == t {
		rq.end(requestCompleted)
	}
}

func (rq *request) onRefused(t *simAttempt, reason admission.Reason) {
	if rq.currentAttempt != t {
		return
	}
	rq.sim.stats.refusals[reason]++
	if reason == admission.ReasonBlocked || !rq.entry.takeRetry(rq.spec.Service) {
		rq.giveUp()
		return
	}
	rq.retryElsewhere()
}

func (rq *request) onFailed(t *simAttempt, f failure) {
	if rq.currentAttempt != t {
		return
	}
	rq.mayHaveRun = true
	if f.crashed {
		rq.crashes++
	}
	if !rq.spec.Repeatable || !rq.entry.takeRetry(rq.spec.Service) {
		rq.end(requestFailed)
		return
	}
	rq.retryElsewhere()
}

// giveUp ends the request: as refused if no attempt can have reached an upstream,
// otherwise as failed.
func (rq *request) giveUp() {
	if rq.mayHaveRun {
		rq.end(requestFailed)
		return
	}
	rq.end(requestRefused)
}

func (rq *request) end(state requestState) {
	if rq.state != requestOpen {
		return
	}
	if t := rq.currentAttempt; t != nil && state != requestCompleted {
		rq.entry.cancelAttempt(t)
	}
	rq.clearAttempt()
	if rq.entry != nil {
		rq.entry.requests = slices.DeleteFunc(rq.entry.requests, func(x *request) bool { return x == rq })
	}
	rq.state = state
	rq.sim.openWork--
	rq.sim.lastProgress = rq.sim.now
	rq.sim.stats.recordEnd(rq)
}
