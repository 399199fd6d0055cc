package contract

import (
	"cmp"
	"fmt"
	"slices"
	"strconv"
	"strings"
)

// Change is one difference between two documents.
type Change struct {
	Section Section `json:"section"`
	Name    string  `json:"name"`            // of the service, group or caller
	Field   string  `json:"field,omitempty"` // empty when the whole element was added or removed
	Old     string  `json:"old,omitempty"`   // empty when added
	New     string  `json:"new,omitempty"`   // empty when removed
}

// present is the value of Change.Old for a removed element and of Change.New
// for an added one.
const present = "present"

// String formats the change in one line, e.g. `callers anna burst: "5" -> "8"`.
func (c Change) String() string {
	place := strings.TrimSpace(fmt.Sprintf("%s %s", c.Section, c.Name))
	if c.Field == "" {
		if c.Old == "" {
			return place + ": added"
		}
		return place + ": removed"
	}
	return fmt.Sprintf("%s %s: %q -> %q", place, c.Field, c.Old, c.New)
}

// fields are the JSON field names of one element with their formatted values.
type fields []field

type field struct{ name, value string }

// Diff returns the differences from old to new, ordered by section, name and
// field. It ignores the version, the change id and the order of elements. A nil
// document is treated as empty.
func Diff(old, new *Document) []Change {
	if old == nil {
		old = &Document{}
	}
	if new == nil {
		new = &Document{}
	}
	var changes []Change
	changes = append(changes, diffElement(SectionSheet, "", sheetFields(old), sheetFields(new))...)
	changes = append(changes, diffSection(SectionServices, byName(old.Services, serviceFields), byName(new.Services, serviceFields))...)
	changes = append(changes, diffSection(SectionGroups, byName(old.Groups, groupFields), byName(new.Groups, groupFields))...)
	changes = append(changes, diffSection(SectionCallers, byName(old.Callers, callerFields), byName(new.Callers, callerFields))...)
	return changes
}

func byName[T any](elements []T, describe func(*T) (string, fields)) map[string]fields {
	named := make(map[string]fields, len(elements))
	for i := range elements {
		name, values := describe(&elements[i])
		named[name] = values
	}
	return named
}

func diffSection(section Section, old, new map[string]fields) []Change {
	var changes []Change
	for name, before := range old {
		after, kept := new[name]
		if !kept {
			changes = append(changes, Change{Section: section, Name: name, Old: present})
			continue
		}
		changes = append(changes, diffElement(section, name, before, after)...)
	}
	for name := range new {
		if _, known := old[name]; !known {
			changes = append(changes, Change{Section: section, Name: name, New: present})
		}
	}
	slices.SortFunc(changes, func(a, b Change) int {
		return cmp.Or(cmp.Compare(a.Name, b.Name), cmp.Compare(a.Field, b.Field))
	})
	return changes
}

func diffElement(section Section, name string, before, after fields) []Change {
	var changes []Change
	for i := range before {
		if before[i].value == after[i].value {
			continue
		}
		changes = append(changes, Change{
			Section: section, Name: name, Field: before[i].name, Old: before[i].value, New: after[i].value,
		})
	}
	return changes
}

func sheetFields(d *Document) fields {
	return fields{{"revision", strconv.Itoa(d.Revision)}, {"sheet_date", d.SheetDate}}
}

func serviceFields(s *Service) (string, fields) {
	return s.Name, fields{
		{"kind", string(s.Kind)},
		{"model", s.Model},
		{"adapter", s.Adapter},
		{"model_version", s.ModelVersion},
		{"non_repeatable", formatRoutes(s.NonRepeatable)},
		{"max_in_progress", strconv.Itoa(s.MaxInProgress)},
		{"deadline_ms", strconv.Itoa(s.DeadlineMS)},
	}
}

func groupFields(g *UpstreamGroup) (string, fields) {
	return g.Name, fields{
		{"service", g.Service},
		{"data_centre", g.DataCentre},
		{"role", g.Role},
		{"checks_fencing", strconv.FormatBool(g.ChecksFencing)},
		{"count", strconv.Itoa(g.Count)},
	}
}

func callerFields(c *Caller) (string, fields) {
	return c.ID, fields{
		{"organisation", c.Organisation},
		{"key_sha256", c.KeySHA256},
		{"rate_per_second", strconv.FormatFloat(c.RatePerSecond, 'g', -1, 64)},
		{"burst", strconv.Itoa(c.Burst)},
		{"max_in_progress", strconv.Itoa(c.MaxInProgress)},
		{"classes", formatClasses(c.Classes)},
		{"operator", strconv.FormatBool(c.Operator)},
	}
}

// formatRoutes sorts the routes, because their order is not significant.
func formatRoutes(routes []Route) string {
	texts := make([]string, 0, len(routes))
	for _, r := range routes {
		texts = append(texts, r.Method+" "+r.Path)
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}

// formatClasses sorts the classes, because their order is not significant.
func formatClasses(classes []Class) string {
	texts := make([]string, 0, len(classes))
	for _, c := range classes {
		texts = append(texts, string(c))
	}
	slices.Sort(texts)
	return strings.Join(texts, ", ")
}
