package workload

import (
	"bufio"
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"slices"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Limits of a trace.
const (
	maxLineBytes = 64 << 10
	maxFindings  = 1000                 // further ones are counted, not listed
	maxTime      = 366 * 24 * time.Hour // of any time or duration
	maxCount     = 100_000_000          // of items or tokens
)

// Reader reads a trace line by line. It skips lines with problems and keeps the
// problems as findings. Its memory grows with the number of different ids.
type Reader struct {
	file     string
	lines    *bufio.Reader
	number   int // of the last line, from 1
	at       int64
	seen     map[string]Kind
	findings finding.List
	omitted  int
}

// NewReader returns a reader; file is the name used in findings.
func NewReader(r io.Reader, file string) *Reader {
	return &Reader{file: file, lines: bufio.NewReaderSize(r, maxLineBytes), seen: make(map[string]Kind)}
}

// Read reads a whole trace. The error is a finding.List, which names all
// problems, or an error of r.
func Read(r io.Reader, file string) ([]Event, error) {
	reader := NewReader(r, file)
	var events []Event
	for {
		e, err := reader.Next()
		if err == io.EOF {
			return events, reader.Findings().Err()
		}
		if err != nil {
			return nil, err
		}
		events = append(events, e)
	}
}

// Next returns the next event without problems, or io.EOF.
func (r *Reader) Next() (Event, error) {
	for {
		text, err := r.line()
		if err != nil {
			return Event{}, err
		}
		if len(text) == 0 {
			continue
		}
		if e, ok := r.parse(text); ok {
			return e, nil
		}
	}
}

// Findings returns the problems found so far.
func (r *Reader) Findings() finding.List {
	list := slices.Clone(r.findings)
	if r.omitted > 0 {
		list.Add(finding.Finding{File: r.file, Reason: fmt.Sprintf("%d further findings are omitted", r.omitted)})
	}
	return list
}

// line returns the next line without blanks around it. A line that is too long
// is skipped with a finding and returned as empty.
func (r *Reader) line() ([]byte, error) {
	text, err := r.lines.ReadSlice('\n')
	if len(text) > 0 {
		r.number++
	}
	tooLong := err == bufio.ErrBufferFull
	for err == bufio.ErrBufferFull {
		_, err = r.lines.ReadSlice('\n')
	}
	switch {
	case tooLong:
		r.add("", "", fmt.Sprintf("line is longer than %d bytes", maxLineBytes))
		text = nil
	case err == io.EOF && len(text) == 0:
		return nil, io.EOF
	}
	if err != nil && err != io.EOF {
		return nil, err
	}
	return bytes.TrimSpace(text), nil
}

func (r *Reader) add(key, value, reason string) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings.Add(finding.Finding{File: r.file, Line: r.number, Key: key, Value: value, Reason: reason})
}

// problems returns the number of findings, listed or not.
func (r *Reader) problems() int { return len(r.findings) + r.omitted }

func (r *Reader) parse(text []byte) (Event, bool) {
	before := r.problems()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		r.add("", "", "not a JSON object: "+err.Error())
		return Event{}, false
	}
	l, ok := r.decode(fields)
	if !ok {
		return Event{}, false
	}
	r.check(&l)
	if r.problems() > before {
		return Event{}, false
	}
	r.at = l.AtMS
	if l.Event == KindRequest || l.Event == KindJob {
		r.seen[l.ID] = l.Event
	}
	return l.event(), true
}

// fieldsOf lists the fields of an event beside at_ms and event, or reports that
// the event is unknown.
func fieldsOf(kind Kind) (required, optional []string, known bool) {
	switch kind {
	case KindRequest:
		return []string{"id", "caller", "service", "repeatable"},
			[]string{"prompt_tokens", "output_tokens", "prefix", "poison"}, true
	case KindJob:
		return []string{"id", "caller", "service", "items", "prompt_tokens", "output_tokens"},
			[]string{"due_ms", "failing_items"}, true
	case KindCancel:
		return []string{"id"}, nil, true
	case KindFault:
		return []string{"kind"}, []string{"target", "for_ms"}, true
	}
	return nil, nil, false
}

// decode checks the names and types of the fields.
func (r *Reader) decode(fields map[string]json.RawMessage) (line, bool) {
	before := r.problems()
	var kind Kind
	if err := json.Unmarshal(fields["event"], &kind); err != nil {
		r.add("event", string(fields["event"]), "event is missing or not a string")
		return line{}, false
	}
	required, optional, known := fieldsOf(kind)
	if !known {
		r.add("event", string(kind), "unknown event")
		return line{}, false
	}
	required = append(required, "at_ms")
	for _, name := range required {
		if _, ok := fields[name]; !ok {
			r.add(name, "", "field is missing")
		}
	}
	allowed := append(append(required, optional...), "event")
	var l line
	for _, name := range sortedNames(fields) {
		if !slices.Contains(allowed, name) {
			r.add(name, string(fields[name]), "unknown field of event "+string(kind))
			continue
		}
		if err := setField(&l, name, fields[name]); err != nil {
			r.add(name, string(fields[name]), err.Error())
		}
	}
	return l, r.problems() == before
}

func sortedNames(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// setField decodes one field, so that each wrong one gives a finding of its own.
func setField(l *line, name string, value json.RawMessage) error {
	if bytes.Equal(value, []byte("null")) {
		return errors.New("value is null")
	}
	if err := json.Unmarshal(value, l.field(name)); err != nil {
		return errors.New("value has the wrong type")
	}
	return nil
}

// field returns the place of a field that fieldsOf names.
func (l *line) field(name string) any {
	switch name {
	case "at_ms":
		return &l.AtMS
	case "event":
		return &l.Event
	case "kind":
		return &l.Kind
	case "target":
		return &l.Target
	case "for_ms":
		return &l.ForMS
	case "id":
		return &l.ID
	case "caller":
		return &l.Caller
	case "service":
		return &l.Service
	case "items":
		return &l.Items
	case "prompt_tokens":
		return &l.PromptTokens
	case "output_tokens":
		return &l.OutputTokens
	case "prefix":
		return &l.Prefix
	case "repeatable":
		return &l.Repeatable
	case "poison":
		return &l.Poison
	case "due_ms":
		return &l.DueMS
	case "failing_items":
		return &l.FailingItems
	}
	panic("no field " + name)
}
