package operator

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"slices"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
)

// maxChangeBytes limits a small change; larger changes are submitted as sheets.
const maxChangeBytes = 1 << 20

// Change is a small change between two sheets. An element in Put replaces the
// whole element of the same name, or is added if there is none.
type Change struct {
	Base   uint64   `json:"base"` // version that the change applies to
	Put    Elements `json:"put"`
	Remove Names    `json:"remove"`
}

// Elements holds the services, groups and callers that a change puts.
type Elements struct {
	Services []contract.Service       `json:"services,omitempty"`
	Groups   []contract.UpstreamGroup `json:"groups,omitempty"`
	Callers  []contract.Caller        `json:"callers,omitempty"`
}

// Names holds the names of the services, groups and callers that a change
// removes.
type Names struct {
	Services []string `json:"services,omitempty"`
	Groups   []string `json:"groups,omitempty"`
	Callers  []string `json:"callers,omitempty"`
}

// ParseChange decodes a change from JSON. The error is a finding.List.
func ParseChange(body []byte) (*Change, error) {
	var c Change
	var findings finding.List
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		findings.Add(jsonFinding(body, d.InputOffset(), err))
		return nil, findings
	}
	if _, err := d.Token(); err != io.EOF {
		findings.Add(finding.Finding{Line: lineAt(body, d.InputOffset()), Reason: "want one JSON object and nothing after it"})
		return nil, findings
	}
	if c.Base == 0 {
		findings.Add(finding.Finding{Key: "base", Reason: "want the version that the change was made to, from 1"})
	}
	if c.isEmpty() {
		findings.Add(finding.Finding{Reason: "the change puts and removes nothing"})
	}
	return &c, findings.Err()
}

// jsonFinding converts a decoding error to a finding with its line and field.
func jsonFinding(body []byte, offset int64, err error) finding.Finding {
	f := finding.Finding{Line: lineAt(body, offset), Reason: err.Error()}
	var syntaxErr *json.SyntaxError
	var typeErr *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntaxErr):
		f.Line = lineAt(body, syntaxErr.Offset)
	case errors.As(err, &typeErr):
		f.Line, f.Key, f.Value = lineAt(body, typeErr.Offset), typeErr.Field, typeErr.Value
		f.Reason = "want a value of type " + typeErr.Type.String()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		f.Line, f.Reason = lineAt(body, int64(len(body))), "the JSON object is not complete"
	}
	return f
}

// lineAt returns the line number of an offset, counted from 1.
func lineAt(body []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(body)))
	return 1 + bytes.Count(body[:end], []byte("\n"))
}

func (c *Change) isEmpty() bool {
	return len(c.Put.Services)+len(c.Put.Groups)+len(c.Put.Callers)+
		len(c.Remove.Services)+len(c.Remove.Groups)+len(c.Remove.Callers) == 0
}

// Apply returns a copy of doc with the change applied. The error is a
// finding.List whose keys name the elements, e.g. services[portal].deadline_ms.
func (c *Change) Apply(doc *contract.Document) (*contract.Document, error) {
	out := *doc
	var findings finding.List
	out.Services = merge(&findings, contract.SectionServices, doc.Services, c.Put.Services, c.Remove.Services,
		func(s *contract.Service) string { return s.Name })
	out.Groups = merge(&findings, contract.SectionGroups, doc.Groups, c.Put.Groups, c.Remove.Groups,
		func(g *contract.UpstreamGroup) string { return g.Name })
	out.Callers = merge(&findings, contract.SectionCallers, doc.Callers, c.Put.Callers, c.Remove.Callers,
		func(caller *contract.Caller) string { return caller.ID })
	for _, p := range contract.Check(&out) {
		findings.Add(elementFinding(&out, p))
	}
	return &out, findings.Err()
}

// merge replaces, adds and removes elements by name and keeps the order of the
// others. Names that occur twice in the change or that can't be removed become
// findings.
func merge[T any](findings *finding.List, section contract.Section, current, put []T, remove []string, name func(*T) string) []T {
	out := slices.Clone(current)
	find := func(target string) int {
		return slices.IndexFunc(out, func(e T) bool { return name(&e) == target })
	}
	changed := make(map[string]bool, len(put)+len(remove))
	firstUse := func(key, target string) bool {
		if changed[target] {
			findings.Add(finding.Finding{Key: key, Value: target, Reason: "the change names it twice"})
			return false
		}
		changed[target] = true
		return true
	}
	for i, target := range remove {
		key := fmt.Sprintf("remove.%s[%d]", section, i)
		at := find(target)
		switch {
		case !firstUse(key, target):
		case at < 0:
			findings.Add(finding.Finding{Key: key, Value: target, Reason: "no such element in the base version"})
		default:
			out = slices.Delete(out, at, at+1)
		}
	}
	for i := range put {
		target := name(&put[i])
		if !firstUse(fmt.Sprintf("put.%s[%d]", section, i), target) {
			continue
		}
		if at := find(target); at >= 0 {
			out[at] = put[i]
		} else {
			out = append(out, put[i])
		}
	}
	return out
}

// elementFinding identifies the element of a problem by its name, because the
// author of a small change doesn't know positions in the whole document.
func elementFinding(doc *contract.Document, p contract.Problem) finding.Finding {
	key := string(p.Section)
	if p.Field != "" && p.Section != contract.SectionSheet {
		key = fmt.Sprintf("%s[%s]", p.Section, elementName(doc, p.Section, p.Index))
		if p.Route != contract.NoIndex {
			key += fmt.Sprintf(".non_repeatable[%d]", p.Route)
		}
		key += "." + p.Field
	}
	reason := p.Reason
	if p.DuplicateOf != contract.NoIndex {
		reason += fmt.Sprintf(" by %s[%s]", p.Section, elementName(doc, p.Section, p.DuplicateOf))
	}
	return finding.Finding{Key: key, Value: p.Value, Reason: reason}
}

func elementName(doc *contract.Document, section contract.Section, index int) string {
	switch section {
	case contract.SectionServices:
		return doc.Services[index].Name
	case contract.SectionGroups:
		return doc.Groups[index].Name
	case contract.SectionCallers:
		return doc.Callers[index].ID
	}
	return ""
}

func hasFindings(err error) bool {
	var findings finding.List
	return errors.As(err, &findings)
}

func (a *API) applyChange(w http.ResponseWriter, r *http.Request) error {
	body, err := readBody(w, r, maxChangeBytes)
	if err != nil {
		return err
	}
	change, err := ParseChange(body)
	if err != nil {
		return err
	}
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	base, err := a.config.Store.LoadVersion(ctx, change.Base)
	p := newProposal(r, change.Base)
	switch {
	case err != nil:
		return a.withErrorDetails(ctx, r, p, err)
	case base == nil:
		return a.unknownBaseError(ctx, r, p)
	}
	doc, err := change.Apply(base)
	if err != nil {
		return err
	}
	p.setDocument(doc)
	p.options = []contract.AcceptOption{contract.SmallChange()}
	return a.acceptAndRespond(w, r, p)
}

// unknownBaseError returns the conflict for a change to a version that is not yet
// accepted or no longer in the history.
func (a *API) unknownBaseError(ctx context.Context, r *http.Request, p *proposal) error {
	conflict := &contract.ConflictError{Base: p.base}
	inForce, err := a.refresh(ctx)
	if err != nil {
		return a.withErrorDetails(ctx, r, p, err)
	}
	details := ErrorDetails{Base: p.base}
	if inForce != nil {
		conflict.InForce, conflict.Version = inForce, inForce.Version
		details.Version = inForce.Version
	}
	return &acceptanceError{cause: conflict, details: details}
}
