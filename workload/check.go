package workload

import (
	"fmt"
	"slices"
	"strconv"
)

// check adds a finding for each value that an event cannot have.
func (r *Reader) check(l *line) {
	r.checkTime("at_ms", l.AtMS)
	if l.AtMS < r.at {
		r.add("at_ms", strconv.FormatInt(l.AtMS, 10), fmt.Sprintf("earlier than the event before, at %d", r.at))
	}
	switch l.Event {
	case KindRequest:
		r.checkRequest(l)
	case KindJob:
		r.checkJob(l)
	case KindCancel:
		if _, ok := r.seen[l.ID]; !ok {
			r.add("id", l.ID, "no earlier request or job has this id")
		}
	case KindFault:
		r.checkFault(l)
	}
}

func (r *Reader) checkRequest(l *line) {
	r.checkNames(l)
	r.checkCount("prompt_tokens", l.PromptTokens, 0)
	r.checkCount("output_tokens", l.OutputTokens, 0)
	if (l.PromptTokens == 0) != (l.OutputTokens == 0) {
		r.add("output_tokens", strconv.Itoa(l.OutputTokens), "prompt_tokens and output_tokens are both positive, or both absent for a plain service")
	}
}

func (r *Reader) checkJob(l *line) {
	r.checkNames(l)
	r.checkCount("items", l.Items, 1)
	r.checkCount("prompt_tokens", l.PromptTokens, 1)
	r.checkCount("output_tokens", l.OutputTokens, 1)
	r.checkCount("failing_items", l.FailingItems, 0)
	r.checkTime("due_ms", l.DueMS)
	if l.FailingItems > l.Items {
		r.add("failing_items", strconv.Itoa(l.FailingItems), "more than items")
	}
}

func (r *Reader) checkNames(l *line) {
	for _, field := range []struct{ name, value string }{{"id", l.ID}, {"caller", l.Caller}, {"service", l.Service}} {
		if field.value == "" {
			r.add(field.name, "", "value is empty")
		}
	}
	if _, ok := r.seen[l.ID]; ok {
		r.add("id", l.ID, "an earlier request or job has the same id")
	}
}

func (r *Reader) checkFault(l *line) {
	if !slices.Contains(FaultKinds, l.Kind) {
		r.add("kind", string(l.Kind), "unknown kind of fault")
		return
	}
	if l.Kind.NeedsTarget() && l.Target == "" {
		r.add("target", "", "a fault of kind "+string(l.Kind)+" needs a target")
	}
	if l.ForMS != nil {
		r.checkTime("for_ms", *l.ForMS)
	}
}

func (r *Reader) checkTime(name string, ms int64) {
	if ms < 0 || ms > maxTime.Milliseconds() {
		r.add(name, strconv.FormatInt(ms, 10), fmt.Sprintf("not between 0 and %d", maxTime.Milliseconds()))
	}
}

func (r *Reader) checkCount(name string, n, least int) {
	if n < least || n > maxCount {
		r.add(name, strconv.Itoa(n), fmt.Sprintf("not between %d and %d", least, maxCount))
	}
}
