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

// requestDeadline is that of every online request.
const requestDeadline = time.Minute

// blockingCrashes is the number of crashes after which a request is not tried again.
const blockingCrashes = poison.DefaultBlockAfter

// ending says how a request ended for its caller.
type ending int

const (
	endNone      ending = iota
	endWhole            // an answer with a clean end
	endRefused          // not run
	endFailed           // an explicit error, or a broken stream
	endCancelled        // by the caller
)

// request is one online request at its entry.
type request struct {
	w           *world
	id          string
	in          *workload.Request
	entry       *entry
	arrived     time.Duration
	prefix      uint64
	prefixLen   int
	fingerprint uint64

	attempts   int
	excluded   []string
	crashes    int
	executions int // of plain services
	handedOver bool
	relaxed    bool
	current    *task
	target     *agent
	isolated   bool // the current attempt is marked as a suspect
	isAccepted bool
	delivered  int
	lastToken  time.Duration
	progress   time.Duration
	state      ending
}

// arrive gives a request of a caller to an entry.
func (w *world) arrive(id string, in *workload.Request) {
	w.stats.online++
	rq := &request{w: w, id: id, in: in, arrived: w.now, fingerprint: fingerprint(id, in)}
	if in.Prefix != "" {
		rq.prefix = xxhash.Sum64String(in.Prefix)
		rq.prefixLen = workload.PrefixTokens(in.Prefix)
	}
	w.requests[id] = rq
	w.open++
	rq.entry = w.pickEntry()
	if rq.entry == nil {
		rq.end(endRefused)
		return
	}
	rq.entry.requests = append(rq.entry.requests, rq)
	v := rq.entry.views[in.Service]
	v.budget = v.budget.RecordRequest()
	rq.dispatch()
}

// fingerprint is equal for resends of a poison request, which have ids of their
// own and all else in common.
func fingerprint(id string, in *workload.Request) uint64 {
	body := id
	if in.Poison {
		body = fmt.Sprint(in.PromptTokens, " ", in.OutputTokens, " ", in.Prefix)
	}
	return attempt.Fingerprint(in.Caller, in.Service, []byte(body))
}

// dispatch starts an attempt or ends the request.
func (rq *request) dispatch() {
	status := rq.entry.suspects.Status(rq.fingerprint, rq.w.wall())
	if status == poison.Blocked || rq.crashes >= blockingCrashes {
		rq.giveUp()
		return
	}
	suspect := status == poison.Suspect || rq.crashes > 0
	a := rq.entry.choose(rq, suspect)
	if a == nil || rq.attempts >= defaults.DefaultMaxAttempts || rq.w.now >= rq.arrived+requestDeadline {
		rq.giveUp()
		return
	}
	rq.attempts++
	rq.target = a
	rq.isolated = suspect
	rq.isAccepted = false
	rq.progress = rq.w.now
	rq.current = rq.task(suspect)
	u := rq.entry.view(a)
	u.InProgress++
	u.SentSince++
	if suspect {
		rq.entry.suspectsAt[a.index]++
	}
	rq.entry.send(a, rq.current)
	t := rq.current
	if rq.in.Repeatable {
		rq.w.after(defaults.DefaultAcceptTimeout, func() { rq.reroute(t) })
	}
	rq.w.after(rq.progressLimit(), func() { rq.watch(t) })
}

func (rq *request) task(suspect bool) *task {
	t := &task{
		id: fmt.Sprintf("o%d", rq.w.id()), class: contract.ClassOnline, caller: rq.in.Caller,
		fingerprint: rq.fingerprint, prompt: rq.in.PromptTokens + rq.delivered,
		output: rq.in.OutputTokens - rq.delivered, prefix: rq.prefix, prefixLen: rq.prefixLen,
		poison: rq.in.Poison, suspect: suspect, sink: rq,
	}
	t.ask = &admission.Queued{
		ID: attempt.ID(t.id), Caller: t.caller, Class: t.class, Deadline: rq.arrived + requestDeadline,
		PromptTokens: t.prompt, Suspect: suspect,
	}
	return t
}

func (rq *request) progressLimit() time.Duration {
	if rq.in.OutputTokens == 0 {
		return defaults.DefaultPlainProgressTimeout
	}
	return defaults.DefaultEngineProgressTimeout
}

// reroute takes back an attempt that was not accepted in time.
func (rq *request) reroute(t *task) {
	if rq.current != t || rq.isAccepted || !rq.entry.retry(rq.in.Service) {
		return
	}
	rq.entry.cancel(t)
	rq.again()
}

// watch ends an attempt without progress.
func (rq *request) watch(t *task) {
	if rq.current != t {
		return
	}
	if quiet := rq.w.now - rq.progress; quiet < rq.progressLimit() {
		rq.w.after(rq.progressLimit()-quiet, func() { rq.watch(t) })
		return
	}
	rq.entry.cancel(t)
	rq.failed(t, failure{reason: "no_progress"})
}

// leave ends the current attempt at the entry.
func (rq *request) leave() {
	if rq.current == nil {
		return
	}
	rq.current = nil
	rq.entry.view(rq.target).InProgress--
	if rq.isolated {
		rq.entry.suspectsAt[rq.target.index]--
	}
}

// again starts another attempt elsewhere.
func (rq *request) again() {
	rq.excluded = append(rq.excluded, rq.target.id)
	rq.leave()
	rq.dispatch()
}

func (rq *request) accepted(t *task) {
	if rq.current == t {
		rq.isAccepted = true
		rq.handedOver = true
	}
}

func (rq *request) token(t *task, index int) {
	if rq.current != t {
		return
	}
	if t.prompt-rq.in.PromptTokens+index != rq.delivered {
		rq.w.stats.gaps++
	}
	now := rq.w.now
	if rq.delivered == 0 {
		rq.w.stats.firstToken(now, now-rq.arrived)
	} else {
		rq.w.stats.interval(now, now-rq.lastToken)
	}
	rq.delivered++
	rq.lastToken = now
	rq.progress = now
}

func (rq *request) whole(t *task) {
	if rq.current == t {
		rq.end(endWhole)
	}
}

func (rq *request) refused(t *task, reason admission.Reason) {
	if rq.current != t {
		return
	}
	rq.w.stats.refusals[reason]++
	if reason == admission.ReasonBlocked || !rq.entry.retry(rq.in.Service) {
		rq.giveUp()
		return
	}
	rq.again()
}

func (rq *request) failed(t *task, f failure) {
	if rq.current != t {
		return
	}
	rq.handedOver = true
	if f.crashed {
		rq.crashes++
	}
	if !rq.in.Repeatable || !rq.entry.retry(rq.in.Service) {
		rq.end(endFailed)
		return
	}
	rq.again()
}

// giveUp ends the request as not run if no attempt can have reached an upstream.
func (rq *request) giveUp() {
	if rq.handedOver {
		rq.end(endFailed)
		return
	}
	rq.end(endRefused)
}

func (rq *request) end(how ending) {
	if rq.state != endNone {
		return
	}
	if t := rq.current; t != nil && how != endWhole {
		rq.entry.cancel(t)
	}
	rq.leave()
	if rq.entry != nil {
		rq.entry.requests = slices.DeleteFunc(rq.entry.requests, func(x *request) bool { return x == rq })
	}
	rq.state = how
	rq.w.open--
	rq.w.progress = rq.w.now
	rq.w.stats.ended(rq)
}
