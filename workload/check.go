package workload

import (
	"fmt"
	"slices"
	"strconv"
)

// check validates the field values of an event and adds a finding for each invalid one.
func (r *Reader) check(l *line) {
	r.checkTime("at_ms", l.AtMS)
	if l.AtMS < r.lastAtMS {
		r.addFinding("at_ms", strconv.FormatInt(l.AtMS, 10), fmt.Sprintf("earlier than the event before, at %d", r.lastAtMS))
	}
	switch l.Event {
	case KindRequest:
		r.checkRequest(l)
	case KindJob:
		r.checkJob(l)
	case KindCancel:
		if _, ok := r.seenIDs[l.ID]; !ok {
			r.addFinding("id", l.ID, "no earlier request or job has this id")
		}
	case KindFault:
		r.checkFault(l)
	}
}

func (r *Reader) checkRequest(l *line) {
	r.checkIdentifiers(l)
	r.checkCount("prompt_tokens", l.PromptTokens, 0)
	r.checkCount("output_tokens", l.OutputTokens, 0)
	if (l.PromptTokens == 0) != (l.OutputTokens == 0) {
		r.addFinding("output_tokens", strconv.Itoa(l.OutputTokens), "prompt_tokens and output_tokens are both positive, or both absent for a plain service")
	}
}

func (r *Reader) checkJob(l *line) {
	r.checkIdentifiers(l)
	r.checkCount("items", l.Items, 1)
	r.checkCount("prompt_tokens", l.PromptTokens, 1)
	r.checkCount("output_tokens", l.OutputTokens, 1)
	r.checkCount("failing_items", l.FailingItems, 0)
	r.checkTime("due_ms", l.DueMS)
	if l.FailingItems > l.Items {
		r.addFinding("failing_items", strconv.Itoa(l.FailingItems), "more than items")
	}
}

func (r *Reader) checkIdentifiers(l *line) {
	for _, field := range []struct{ name, value string }{{"id", l.ID}, {"caller", l.Caller}, {"service", l.Service}} {
		if field.value == "" {
			r.addFinding(field.name, "", "value is empty")
		}
	}
	if _, ok := r.seenIDs[l.ID]; ok {
		r.addFinding("id", l.ID, "an earlier request or job has the same id")
	}
}

func (r *Reader) checkFault(l *line) {
	if !slices.Contains(FaultKinds, l.Kind) {
		r.addFinding("kind", string(l.Kind), "unknown kind of fault")
		return
	}
	if l.Kind.NeedsTarget() && l.Target == "" {
		r.addFinding("target", "", "a fault of kind "+string(l.Kind)+" needs a target")
	}
	if l.ForMS != nil {
		r.checkTime("for_ms", *l.ForMS)
	}
}

func (r *Reader) checkTime(name string, ms int64) {
	if ms < 0 || ms > maxTime.Milliseconds() {
		r.addFinding(name, strconv.FormatInt(ms, 10), fmt.Sprintf("not between 0 and %d", maxTime.Milliseconds()))
	}
}

func (r *Reader) checkCount(name string, n, minimum int) {
	if n < minimum || n > maxCount {
		r.addFinding(name, strconv.Itoa(n), fmt.Sprintf("not between %d and %d", minimum, maxCount))
	}
}
