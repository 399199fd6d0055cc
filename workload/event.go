// Package workload generates, writes and reads traces of work: requests, jobs,
// cancellations and faults, one JSON object a line, ordered by time:
//
//	{"at_ms":0,"event":"request","id":"r1","caller":"c1","service":"workshop-assistant","prompt_tokens":400,"output_tokens":120,"prefix":"p7","repeatable":true}
//	{"at_ms":0,"event":"job","id":"j1","caller":"c2","service":"workshop-assistant","items":5000,"prompt_tokens":300,"output_tokens":200,"due_ms":28800000,"failing_items":3}
//	{"at_ms":9000,"event":"cancel","id":"j1"}
//	{"at_ms":9000,"event":"fault","kind":"upstream_crash","target":"workshop-assistant-mvd-a-1","for_ms":5000}
//
// A request with "poison":true crashes each engine that runs it; its resends
// equal it in all but at_ms and id.
package workload

import (
	"bufio"
	"encoding/json"
	"io"
	"time"
)

// Kind tells what an event is.
type Kind string

// Kinds of events.
const (
	KindRequest Kind = "request"
	KindJob     Kind = "job"
	KindCancel  Kind = "cancel"
	KindFault   Kind = "fault"
)

// Event is one line of a trace. The part that its kind names is set, the others
// are nil; a cancellation is its id alone.
type Event struct {
	At      time.Duration // since the start of the trace, in whole milliseconds
	Kind    Kind
	ID      string // of the request or job, or of what is cancelled; empty for a fault
	Request *Request
	Job     *Job
	Fault   *Fault
}

// Request is an online request.
type Request struct {
	Caller       string
	Service      string
	PromptTokens int    // 0 for a plain service
	OutputTokens int    // 0 for a plain service
	Prefix       string // name of the prompt prefix that it shares; see PrefixTokens
	Repeatable   bool
	Poison       bool // crashes each engine that runs it
}

// Job is a batch job. The token counts are those of each item.
type Job struct {
	Caller       string
	Service      string
	Items        int
	PromptTokens int
	OutputTokens int
	Due          time.Duration // from its submission; 0 for none
	FailingItems int           // items whose every attempt fails
}

// FaultKind tells what fails.
type FaultKind string

// Kinds of faults.
const (
	FaultUpstreamCrash   FaultKind = "upstream_crash"
	FaultUpstreamSilent  FaultKind = "upstream_silent"
	FaultUpstreamLeaving FaultKind = "upstream_leaving"
	FaultPlatformDown    FaultKind = "platform_down"
	FaultPlatformSlow    FaultKind = "platform_slow"
	FaultAnswerLost      FaultKind = "answer_lost"
	FaultInstanceLost    FaultKind = "instance_lost"
	FaultDataCentreLost  FaultKind = "data_centre_lost"
)

// FaultKinds lists all kinds of faults.
var FaultKinds = []FaultKind{
	FaultUpstreamCrash, FaultUpstreamSilent, FaultUpstreamLeaving, FaultPlatformDown,
	FaultPlatformSlow, FaultAnswerLost, FaultInstanceLost, FaultDataCentreLost,
}

// NeedsTarget reports whether a fault of the kind concerns one upstream,
// instance or data centre.
func (k FaultKind) NeedsTarget() bool {
	switch k {
	case FaultPlatformDown, FaultPlatformSlow, FaultAnswerLost:
		return false
	}
	return true
}

// Fault is something that fails for a time.
type Fault struct {
	Kind   FaultKind
	Target string        // id of an upstream or instance, name of a data centre; empty for the platform
	For    time.Duration // 0 for an instant, such as one lost answer
}

// line is the form of all events in a trace. Fields in the order of the format.
type line struct {
	AtMS         int64     `json:"at_ms"`
	Event        Kind      `json:"event"`
	Kind         FaultKind `json:"kind,omitempty"`
	Target       string    `json:"target,omitempty"`
	ForMS        *int64    `json:"for_ms,omitempty"`
	ID           string    `json:"id,omitempty"`
	Caller       string    `json:"caller,omitempty"`
	Service      string    `json:"service,omitempty"`
	Items        int       `json:"items,omitempty"`
	PromptTokens int       `json:"prompt_tokens,omitempty"`
	OutputTokens int       `json:"output_tokens,omitempty"`
	Prefix       string    `json:"prefix,omitempty"`
	Repeatable   *bool     `json:"repeatable,omitempty"`
	Poison       bool      `json:"poison,omitempty"`
	DueMS        int64     `json:"due_ms,omitempty"`
	FailingItems int       `json:"failing_items,omitempty"`
}

func (e Event) line() line {
	l := line{AtMS: e.At.Milliseconds(), Event: e.Kind, ID: e.ID}
	switch {
	case e.Request != nil:
		r := e.Request
		l.Caller, l.Service = r.Caller, r.Service
		l.PromptTokens, l.OutputTokens = r.PromptTokens, r.OutputTokens
		l.Prefix, l.Repeatable, l.Poison = r.Prefix, &r.Repeatable, r.Poison
	case e.Job != nil:
		j := e.Job
		l.Caller, l.Service = j.Caller, j.Service
		l.PromptTokens, l.OutputTokens = j.PromptTokens, j.OutputTokens
		l.Items, l.FailingItems = j.Items, j.FailingItems
		l.DueMS = j.Due.Milliseconds()
	case e.Fault != nil:
		ms := e.Fault.For.Milliseconds()
		l.Kind, l.Target, l.ForMS = e.Fault.Kind, e.Fault.Target, &ms
	}
	return l
}

func (l line) event() Event {
	e := Event{At: milliseconds(l.AtMS), Kind: l.Event, ID: l.ID}
	switch l.Event {
	case KindRequest:
		e.Request = &Request{
			Caller:       l.Caller,
			Service:      l.Service,
			PromptTokens: l.PromptTokens,
			OutputTokens: l.OutputTokens,
			Prefix:       l.Prefix,
			Repeatable:   l.Repeatable != nil && *l.Repeatable,
			Poison:       l.Poison,
		}
	case KindJob:
		e.Job = &Job{
			Caller:       l.Caller,
			Service:      l.Service,
			Items:        l.Items,
			PromptTokens: l.PromptTokens,
			OutputTokens: l.OutputTokens,
			Due:          milliseconds(l.DueMS),
			FailingItems: l.FailingItems,
		}
	case KindFault:
		e.Fault = &Fault{Kind: l.Kind, Target: l.Target}
		if l.ForMS != nil {
			e.Fault.For = milliseconds(*l.ForMS)
		}
	}
	return e
}

func milliseconds(n int64) time.Duration { return time.Duration(n) * time.Millisecond }

// Writer writes a trace. Equal events give equal bytes.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a writer that buffers; call Flush at the end.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriter(w)} }

// Write writes one event.
func (w *Writer) Write(e Event) error {
	b, err := json.Marshal(e.line())
	if err != nil {
		return err
	}
	if _, err := w.out.Write(b); err != nil {
		return err
	}
	return w.out.WriteByte('\n')
}

// Flush writes what is buffered.
func (w *Writer) Flush() error { return w.out.Flush() }
