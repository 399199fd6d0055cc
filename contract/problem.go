package contract

import (
	"fmt"

	"github.com/magnoliausher/magnoliausher/finding"
)

// Section is a top-level part of a document.
type Section string

// Sections of a document, named as in its JSON form.
const (
	SectionSheet    Section = "sheet" // date and revision
	SectionServices Section = "services"
	SectionGroups   Section = "groups"
	SectionCallers  Section = "callers"
)

// Problem is a violation of a validation rule, with its location in the
// document.
type Problem struct {
	Section     Section
	Index       int    // index of the element in its section
	Route       int    // index of the non-repeatable route, or NoIndex
	Field       string // JSON name of the field; empty for the whole section
	Value       string
	Reason      string
	DuplicateOf int // index of the element that already has the value, or NoIndex
}

// NoIndex means that there is no such element.
const NoIndex = -1

// key returns the location as a path in the JSON document, e.g.
// services[2].name.
func (p Problem) key() string {
	switch {
	case p.Section == SectionSheet:
		return p.Field
	case p.Field == "":
		return string(p.Section)
	case p.Route != NoIndex:
		return fmt.Sprintf("%s[%d].non_repeatable[%d].%s", p.Section, p.Index, p.Route, p.Field)
	}
	return fmt.Sprintf("%s[%d].%s", p.Section, p.Index, p.Field)
}

// Validate checks a whole document and returns all findings, whose keys are
// paths in the JSON document. It does not check the version and change id,
// because Accept sets them.
func Validate(doc *Document) finding.List {
	var list finding.List
	for _, p := range Check(doc) {
		reason := p.Reason
		if p.DuplicateOf != NoIndex {
			reason += fmt.Sprintf(" by %s[%d]", p.Section, p.DuplicateOf)
		}
		list.Add(finding.Finding{Key: p.key(), Value: p.Value, Reason: reason})
	}
	return list
}
