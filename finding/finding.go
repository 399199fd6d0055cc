// Package finding collects validation errors in external input with their
// locations, so that all of them are reported at once.
package finding

import (
	"fmt"
	"strings"
)

// Finding is one validation error and its location. Location fields that do not
// apply are zero.
type Finding struct {
	File    string `json:"file,omitempty"`
	Section string `json:"section,omitempty"` // INI section
	Key     string `json:"key,omitempty"`     // key in an INI section or JSON object
	Line    int    `json:"line,omitempty"`    // 1-based line number
	Column  string `json:"column,omitempty"`  // column of a sheet
	Value   string `json:"value,omitempty"`   // raw value in the input
	Reason  string `json:"reason"`
}

// String formats the finding as "file:line: [section] key: column: "value": reason",
// omitting empty parts.
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

// List is a list of findings. Use Err to return it as an error, since an empty List
// is not a nil error.
type List []Finding

func (l *List) Add(f Finding) {
	*l = append(*l, f)
}

// Error formats the findings, one per line.
func (l List) Error() string {
	lines := make([]string, 0, len(l))
	for _, f := range l {
		lines = append(lines, f.String())
	}
	return strings.Join(lines, "\n")
}

// Err returns the list as an error, or nil if it is empty.
func (l List) Err() error {
	if len(l) == 0 {
		return nil
	}
	return l
}
