// Package workload generates, writes and reads workload traces. A trace holds
// requests, jobs, cancellations and faults in order of time, as one JSON object
// per line:
//
//	{"at_ms":0,"event":"request","id":"r1","caller":"c1","service":"workshop-assistant","prompt_tokens":400,"output_tokens":120,"prefix":"p7","repeatable":true}
//	{"at_ms":0,"event":"job","id":"j1","caller":"c2","service":"workshop-assistant","items":5000,"prompt_tokens":300,"output_tokens":200,"due_ms":28800000,"failing_items":3}
//	{"at_ms":9000,"event":"cancel","id":"j1"}
//	{"at_ms":9000,"event":"fault","kind":"upstream_crash","target":"workshop-assistant-mvd-a-1","for_ms":5000}
//
// A request with "poison":true crashes each engine that runs it. Its resends
// differ from it only in at_ms and id.
package workload

import (
	"bufio"
	"encoding/json"
	"io"
	"time"
)

// Kind is the type of an event.
type Kind string

// Event kinds.
const (
	KindRequest Kind = "request"
	KindJob     Kind = "job"
	KindCancel  Kind = "cancel"
	KindFault   Kind = "fault"
)

// Event is one line of a trace. Of Request, Job and Fault, only the field for
// its kind is non-nil; a cancellation sets none of them.
type Event struct {
	At      time.Duration // since the start of the trace, in whole milliseconds
	Kind    Kind
	ID      string // of the request or job, or of the one that is cancelled; empty for a fault
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
	Prefix       string // name of its shared prompt prefix; see PrefixTokens
	Repeatable   bool
	Poison       bool // crashes each engine that runs it
}

// Job is a batch job. Token counts are per item.
type Job struct {
	Caller       string
	Service      string
	Items        int
	PromptTokens int
	OutputTokens int
	Due          time.Duration // time from submission to the deadline; 0 for no deadline
	FailingItems int           // number of items that fail on every attempt
}

// FaultKind is the type of a fault.
type FaultKind string

// Fault kinds.
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

// FaultKinds lists all fault kinds.
var FaultKinds = []FaultKind{
	FaultUpstreamCrash, FaultUpstreamSilent, FaultUpstreamLeaving, FaultPlatformDown,
	FaultPlatformSlow, FaultAnswerLost, FaultInstanceLost, FaultDataCentreLost,
}

// NeedsTarget reports whether a fault of kind k applies to a single upstream,
// instance or data centre.
func (k FaultKind) NeedsTarget() bool {
	switch k {
	case FaultPlatformDown, FaultPlatformSlow, FaultAnswerLost:
		return false
	}
	return true
}

// Fault is a failure that is injected for a limited time.
type Fault struct {
	Kind   FaultKind
	Target string        // id of an upstream or instance, or name of a data centre; empty if the kind needs no target
	For    time.Duration // 0 for a fault without duration, such as a single lost answer
}

// line is the JSON representation of an event of any kind. The fields are in the
// order of the trace format.
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

// Writer writes a trace. Its output is deterministic: equal events are encoded
// as equal bytes.
type Writer struct {
	out *bufio.Writer
}

// NewWriter returns a buffered Writer. The caller must call Flush after the last
// event.
func NewWriter(w io.Writer) *Writer { return &Writer{out: bufio.NewWriter(w)} }

// Write encodes e as one line of the trace.
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

// Flush writes any buffered data to the underlying writer.
func (w *Writer) Flush() error { return w.out.Flush() }
