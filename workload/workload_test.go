package workload

import (
	"bytes"
	"errors"
	"fmt"
	"reflect"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/finding"
)

func generate(t *testing.T, o Options) []Event {
	t.Helper()
	events, err := Generate(o)
	if err != nil {
		t.Fatal(err)
	}
	return slices.Collect(events)
}

func writeEvents(t *testing.T, events []Event) []byte {
	t.Helper()
	var b bytes.Buffer
	w := NewWriter(&b)
	for _, e := range events {
		if err := w.Write(e); err != nil {
			t.Fatal(err)
		}
	}
	if err := w.Flush(); err != nil {
		t.Fatal(err)
	}
	return b.Bytes()
}

// Guards against a generated trace that depends on anything but its options, that
// the reader rejects, or whose events change when they are written and read.
func TestGeneratedTracesAreStableAndValid(t *testing.T) {
	for _, fleet := range []Fleet{Ferreira, Donautal} {
		for _, day := range []Day{Ordinary, Burst, Faults} {
			o := Options{Fleet: fleet, Day: day, Duration: 4 * time.Minute, Seed: 7}
			events := generate(t, o)
			trace := writeEvents(t, events)
			if !bytes.Equal(trace, writeEvents(t, generate(t, o))) {
				t.Errorf("%s %s: two runs with the same options differ", fleet, day)
			}
			read, err := Read(bytes.NewReader(trace), "trace")
			if err != nil {
				t.Fatalf("%s %s: %v", fleet, day, err)
			}
			if !reflect.DeepEqual(read, events) {
				t.Errorf("%s %s: events differ after writing and reading", fleet, day)
			}
			o.Seed++
			if bytes.Equal(trace, writeEvents(t, generate(t, o))) {
				t.Errorf("%s %s: the seed has no effect", fleet, day)
			}
		}
	}
}

// Guards against scenarios of the same seed whose ordinary events differ, which
// would make their results incomparable.
func TestBurstAndFaultsDaysContainOrdinaryDay(t *testing.T) {
	o := Options{Fleet: Ferreira, Day: Ordinary, Duration: 10 * time.Minute, Seed: 3}
	ordinary := generate(t, o)
	for _, day := range []Day{Burst, Faults} {
		o.Day = day
		added := make(map[string]int)
		remaining := ordinary
		for _, e := range generate(t, o) {
			if len(remaining) > 0 && reflect.DeepEqual(e, remaining[0]) {
				remaining = remaining[1:]
				continue
			}
			if e.Fault != nil {
				added[string(e.Fault.Kind)]++
			} else {
				added[string(e.Kind)]++
			}
		}
		if len(remaining) > 0 {
			t.Errorf("%s: %d events of the ordinary day are missing", day, len(remaining))
		}
		if added["request"] == 0 {
			t.Errorf("%s: no requests were added", day)
		}
		for _, kind := range FaultKinds {
			if got := added[string(kind)] > 0; got != (day == Faults) {
				t.Errorf("%s: faults of kind %s present: %v", day, kind, got)
			}
		}
	}
}

// Guards against a fault whose target is not in the layout of the fleet. Such a
// fault would have no effect.
func TestFaultTargetsExist(t *testing.T) {
	for _, fleet := range []Fleet{Ferreira, Donautal} {
		layout, _ := LayoutOf(fleet)
		known := slices.Clone(layout.DataCentres)
		for _, place := range append(slices.Clone(layout.Entries), layout.Services[0].Upstreams...) {
			known = append(known, place.ID)
		}
		for _, e := range generate(t, Options{Fleet: fleet, Day: Faults, Duration: time.Minute, Seed: 1}) {
			if e.Fault != nil && e.Fault.Kind.NeedsTarget() && !slices.Contains(known, e.Fault.Target) {
				t.Errorf("%s: fault %s has unknown target %q", fleet, e.Fault.Kind, e.Fault.Target)
			}
		}
	}
}

const validRequest = `{"at_ms":5,"event":"request","id":"r1","caller":"c1","service":"s","prompt_tokens":4,"output_tokens":2,"repeatable":true}`

// Guards against an invalid line that is accepted, or reported with the wrong
// line number or field.
func TestReaderFindings(t *testing.T) {
	cases := []struct{ line, key, reason string }{
		{`{"at_ms":9,"event":"cancel","id":"r1","why":1}`, "why", "unknown field of event cancel"},
		{`{"at_ms":9,"event":"cancel","id":"r1","items":1}`, "items", "unknown field of event cancel"},
		{`{"at_ms":9,"event":"cancel","id":"r2"}`, "id", "no earlier request or job"},
		{`{"at_ms":9,"event":"pause"}`, "event", "unknown event"},
		{`{"at_ms":9}`, "event", "event is missing"},
		{`{"event":"cancel","id":"r1"}`, "at_ms", "field is missing"},
		{`{"at_ms":4,"event":"cancel","id":"r1"}`, "at_ms", "earlier than the event before"},
		{`{"at_ms":-4,"event":"cancel","id":"r1"}`, "at_ms", "not between"},
		{`{"at_ms":"9","event":"cancel","id":"r1"}`, "at_ms", "wrong type"},
		{`{"at_ms":9,"event":"cancel","id":null}`, "id", "null"},
		{`{"at_ms":9,"event":"fault","kind":"flood"}`, "kind", "unknown kind"},
		{`{"at_ms":9,"event":"fault","kind":"upstream_crash"}`, "target", "needs a target"},
		{`{"at_ms":9,"event":"job","id":"j","caller":"c","service":"s","items":2,"prompt_tokens":1,"output_tokens":1,"failing_items":3}`, "failing_items", "more than items"},
		{`{"at_ms":9,"event":"job","id":"j","caller":"c","service":"s","items":0,"prompt_tokens":1,"output_tokens":1}`, "items", "not between"},
		{validRequest, "id", "same id"},
		{strings.Replace(validRequest, `"prompt_tokens":4,`, "", 1), "output_tokens", "both"},
		{`[1]`, "", "not a JSON object"},
		{`{"at_ms":9,"event":"cancel","id":"` + strings.Repeat("x", maxLineBytes) + `"}`, "", "longer than"},
	}
	for _, c := range cases {
		input := validRequest + "\n\n" + c.line + "\n" + `{"at_ms":9,"event":"cancel","id":"r1"}`
		events, err := Read(strings.NewReader(input), "t")
		var findings finding.List
		if !errors.As(err, &findings) {
			t.Errorf("%.80s: got %v, want a finding.List", c.line, err)
			continue
		}
		match := func(f finding.Finding) bool {
			return f.File == "t" && f.Line == 3 && f.Key == c.key && strings.Contains(f.Reason, c.reason)
		}
		if !slices.ContainsFunc(findings, match) {
			t.Errorf("%.80s: expected finding is missing in %v", c.line, findings)
		}
		if len(events) != 2 {
			t.Errorf("%.80s: %d events, want the 2 valid ones", c.line, len(events))
		}
	}
}

// Guards against an unbounded list of findings, and against a reader that stops
// at the limit instead of counting further findings.
func TestReaderBoundsFindings(t *testing.T) {
	_, err := Read(strings.NewReader(strings.Repeat("x\n", maxFindings+5)), "t")
	var findings finding.List
	if !errors.As(err, &findings) || len(findings) != maxFindings+1 {
		t.Fatalf("%d findings, want the maximum and a count of the omitted ones", len(findings))
	}
	if want := fmt.Sprintf("t: %d further findings are omitted", 5); findings[maxFindings].String() != want {
		t.Errorf("last finding %q, want %q", findings[maxFindings], want)
	}
}

// Guards against input that makes the reader panic, and against accepted events
// that change when they are written and read back.
func FuzzReader(f *testing.F) {
	f.Add([]byte(validRequest))
	f.Add([]byte(`{"at_ms":0,"event":"job","id":"j1","caller":"c2","service":"s","items":5,"prompt_tokens":3,"output_tokens":2,"due_ms":288,"failing_items":3}` + "\n" + `{"at_ms":9,"event":"cancel","id":"j1"}`))
	f.Add([]byte(`{"at_ms":9,"event":"fault","kind":"platform_down","for_ms":5000}`))
	f.Fuzz(func(t *testing.T, input []byte) {
		events, err := Read(bytes.NewReader(input), "t")
		var findings finding.List
		if err != nil && !errors.As(err, &findings) {
			t.Fatal(err)
		}
		reread, err := Read(bytes.NewReader(writeEvents(t, events)), "t")
		if err != nil {
			t.Fatalf("reading the written events: %v", err)
		}
		if !reflect.DeepEqual(reread, events) {
			t.Errorf("got %v, want %v", reread, events)
		}
	})
}

// BenchmarkTrace measures the time to generate, write and read one event.
func BenchmarkTrace(b *testing.B) {
	all, err := Generate(Options{Fleet: Donautal, Day: Faults, Duration: 24 * time.Hour, Seed: 1})
	if err != nil {
		b.Fatal(err)
	}
	var trace bytes.Buffer
	w := NewWriter(&trace)
	n := 0
	b.ReportAllocs()
	for e := range all {
		if n++; n > b.N {
			break
		}
		_ = w.Write(e) // writing to a bytes.Buffer never fails
	}
	_ = w.Flush()
	if _, err := Read(&trace, "trace"); err != nil {
		b.Fatal(err)
	}
}
