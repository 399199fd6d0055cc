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

// Limits on trace input.
const (
	maxLineBytes = 64 << 10
	maxFindings  = 1000                 // any further findings are counted but not listed
	maxTime      = 366 * 24 * time.Hour // upper bound of times and durations
	maxCount     = 100_000_000          // upper bound of item and token counts
)

// Reader reads a trace line by line. It skips invalid lines and records a finding
// for each problem. Its memory use grows with the number of distinct ids.
type Reader struct {
	file       string
	lines      *bufio.Reader
	lineNumber int // of the last line read, from 1
	lastAtMS   int64
	seenIDs    map[string]Kind
	findings   finding.List
	omitted    int
}

// NewReader returns a Reader of r. Findings report file as the file name.
func NewReader(r io.Reader, file string) *Reader {
	return &Reader{file: file, lines: bufio.NewReaderSize(r, maxLineBytes), seenIDs: make(map[string]Kind)}
}

// Read reads a whole trace. The error is either a finding.List of all problems,
// returned along with the valid events, or a read error of r.
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

// Next returns the next valid event, or io.EOF at the end of the trace.
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

// Findings returns the findings so far. If there were too many to list, the last
// one gives the number of those omitted.
func (r *Reader) Findings() finding.List {
	list := slices.Clone(r.findings)
	if r.omitted > 0 {
		list.Add(finding.Finding{File: r.file, Reason: fmt.Sprintf("%d further findings are omitted", r.omitted)})
	}
	return list
}

// line returns the next line without surrounding white space. For a line that is
// too long, it adds a finding and returns an empty line.
func (r *Reader) line() ([]byte, error) {
	text, err := r.lines.ReadSlice('\n')
	if len(text) > 0 {
		r.lineNumber++
	}
	tooLong := err == bufio.ErrBufferFull
	for err == bufio.ErrBufferFull {
		_, err = r.lines.ReadSlice('\n')
	}
	switch {
	case tooLong:
		r.addFinding("", "", fmt.Sprintf("line is longer than %d bytes", maxLineBytes))
		text = nil
	case err == io.EOF && len(text) == 0:
		return nil, io.EOF
	}
	if err != nil && err != io.EOF {
		return nil, err
	}
	return bytes.TrimSpace(text), nil
}

func (r *Reader) addFinding(key, value, reason string) {
	if len(r.findings) >= maxFindings {
		r.omitted++
		return
	}
	r.findings.Add(finding.Finding{File: r.file, Line: r.lineNumber, Key: key, Value: value, Reason: reason})
}

// findingCount returns the number of findings, including omitted ones.
func (r *Reader) findingCount() int { return len(r.findings) + r.omitted }

func (r *Reader) parse(text []byte) (Event, bool) {
	initialCount := r.findingCount()
	var fields map[string]json.RawMessage
	if err := json.Unmarshal(text, &fields); err != nil {
		r.addFinding("", "", "not a JSON object: "+err.Error())
		return Event{}, false
	}
	l, ok := r.decode(fields)
	if !ok {
		return Event{}, false
	}
	r.check(&l)
	if r.findingCount() > initialCount {
		return Event{}, false
	}
	r.lastAtMS = l.AtMS
	if l.Event == KindRequest || l.Event == KindJob {
		r.seenIDs[l.ID] = l.Event
	}
	return l.event(), true
}

// eventFields returns the required and optional fields of an event kind, other
// than at_ms and event, and whether the kind is known.
func eventFields(kind Kind) (required, optional []string, known bool) {
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

// decode converts the JSON fields of an event to a line and adds a finding for
// each missing or unknown field and each value of the wrong type.
func (r *Reader) decode(fields map[string]json.RawMessage) (line, bool) {
	initialCount := r.findingCount()
	var kind Kind
	if err := json.Unmarshal(fields["event"], &kind); err != nil {
		r.addFinding("event", string(fields["event"]), "event is missing or not a string")
		return line{}, false
	}
	required, optional, known := eventFields(kind)
	if !known {
		r.addFinding("event", string(kind), "unknown event")
		return line{}, false
	}
	required = append(required, "at_ms")
	for _, name := range required {
		if _, ok := fields[name]; !ok {
			r.addFinding(name, "", "field is missing")
		}
	}
	allowed := append(append(required, optional...), "event")
	var l line
	for _, name := range sortedNames(fields) {
		if !slices.Contains(allowed, name) {
			r.addFinding(name, string(fields[name]), "unknown field of event "+string(kind))
			continue
		}
		if err := setField(&l, name, fields[name]); err != nil {
			r.addFinding(name, string(fields[name]), err.Error())
		}
	}
	return l, r.findingCount() == initialCount
}

func sortedNames(fields map[string]json.RawMessage) []string {
	names := make([]string, 0, len(fields))
	for name := range fields {
		names = append(names, name)
	}
	slices.Sort(names)
	return names
}

// setField decodes a single field. Decoding fields one by one gives each invalid
// field its own finding.
func setField(l *line, name string, value json.RawMessage) error {
	if bytes.Equal(value, []byte("null")) {
		return errors.New("value is null")
	}
	if err := json.Unmarshal(value, l.fieldPointer(name)); err != nil {
		return errors.New("value has the wrong type")
	}
	return nil
}

// fieldPointer returns a pointer to the field of l with the given JSON name. It
// panics if no event has such a field.
func (l *line) fieldPointer(name string) any {
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
	panic("trace line has no field " + name)
}
