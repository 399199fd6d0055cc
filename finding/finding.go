// Package finding collects problems in outside input with their place, so that
// all of them are reported together.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one problem at one place of a file. Unused place fields are zero.
type Finding struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"` // of an INI file
	Key     string `json:"key,omitempty"`     // of an INI section or JSON object
	Line    int    `json:"line,omitempty"`    // counted from 1
	Column  string `json:"column,omitempty"`  // of a sheet
	Value   string `json:"value,omitempty"`   // as it stands in the input
	Reason  string `json:"reason"`
}

// String gives "file:line: [section] key: column: "value": reason" without the empty parts.
func (f Finding) String() string {
	var b strings.Builder
	if f.File != "" {
		b.WriteString(f.File)
		b.WriteString(":")
	}
	if f.Line > 0 {
		fmt.Fprintf(&b, "%d:", f.Line)
	}
	if b.Len() > 0 {
		b.WriteString(" ")
	}
	if f.Section != "" {
		fmt.Fprintf(&b, "[%s] ", f.Section)
	}
	if f.Key != "" {
		fmt.Fprintf(&b, "%s: ", f.Key)
	}
	if f.Column != "" {
		fmt.Fprintf(&b, "%s: ", f.Column)
	}
	if f.Value != "" {
		fmt.Fprintf(&b, "%q: ", f.Value)
	}
	b.WriteString(f.Reason)
	return b.String()
}

// List is a set of findings; it is an error when it is not empty.
type List []Finding

// Add appends one finding.
func (l *List) Add(f Finding) {
	*l = append(*l, f)
}

// Error gives one finding per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns nil for an empty list, else the list.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
