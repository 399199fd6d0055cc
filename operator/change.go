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

// maxChangeBytes bounds a small change; larger ones are sheets.
const maxChangeBytes = 1 << 20

// Change is a small change between two sheets. Elements to put replace the one
// with the same name as a whole, or are added.
type Change struct {
	Base   uint64       `json:"base"` // version that the change was made to
	Put    Elements     `json:"put"`
	Remove ElementNames `json:"remove"`
}

// Elements are services, groups and callers of a change.
type Elements struct {
	Services []contract.Service       `json:"services,omitempty"`
	Groups   []contract.UpstreamGroup `json:"groups,omitempty"`
	Callers  []contract.Caller        `json:"callers,omitempty"`
}

// ElementNames names services, groups and callers.
type ElementNames struct {
	Services []string `json:"services,omitempty"`
	Groups   []string `json:"groups,omitempty"`
	Callers  []string `json:"callers,omitempty"`
}

// ParseChange reads the JSON form of a change. The error is a finding.List.
func ParseChange(body []byte) (*Change, error) {
	var c Change
	var list finding.List
	d := json.NewDecoder(bytes.NewReader(body))
	d.DisallowUnknownFields()
	if err := d.Decode(&c); err != nil {
		list.Add(jsonFinding(body, d.InputOffset(), err))
		return nil, list
	}
	if _, err := d.Token(); err != io.EOF {
		list.Add(finding.Finding{Line: lineAt(body, d.InputOffset()), Reason: "want one JSON object and nothing after it"})
		return nil, list
	}
	if c.Base == 0 {
		list.Add(finding.Finding{Key: "base", Reason: "want the version that the change was made to, from 1"})
	}
	if c.empty() {
		list.Add(finding.Finding{Reason: "the change puts and removes nothing"})
	}
	return &c, list.Err()
}

// jsonFinding gives the line and field of a decoding error.
func jsonFinding(body []byte, offset int64, err error) finding.Finding {
	f := finding.Finding{Line: lineAt(body, offset), Reason: err.Error()}
	var syntax *json.SyntaxError
	var kind *json.UnmarshalTypeError
	switch {
	case errors.As(err, &syntax):
		f.Line = lineAt(body, syntax.Offset)
	case errors.As(err, &kind):
		f.Line, f.Key, f.Value = lineAt(body, kind.Offset), kind.Field, kind.Value
		f.Reason = "want a value of type " + kind.Type.String()
	case errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		f.Line, f.Reason = lineAt(body, int64(len(body))), "the JSON object is not complete"
	}
	return f
}

// lineAt counts the line of an offset from 1.
func lineAt(body []byte, offset int64) int {
	end := min(max(offset, 0), int64(len(body)))
	return 1 + bytes.Count(body[:end], []byte("\n"))
}

func (c *Change) empty() bool {
	return len(c.Put.Services)+len(c.Put.Groups)+len(c.Put.Callers)+
		len(c.Remove.Services)+len(c.Remove.Groups)+len(c.Remove.Callers) == 0
}

// Apply returns the document with the change; doc is not changed. The error is
// a finding.List whose keys name the elements, e.g. services[portal].deadline_ms.
func (c *Change) Apply(doc *contract.Document) (*contract.Document, error) {
	out := *doc
	var list finding.List
	out.Services = merge(&list, contract.SectionServices, doc.Services, c.Put.Services, c.Remove.Services,
		func(s *contract.Service) string { return s.Name })
	out.Groups = merge(&list, contract.SectionGroups, doc.Groups, c.Put.Groups, c.Remove.Groups,
		func(g *contract.UpstreamGroup) string { return g.Name })
	out.Callers = merge(&list, contract.SectionCallers, doc.Callers, c.Put.Callers, c.Remove.Callers,
		func(caller *contract.Caller) string { return caller.ID })
	for _, p := range contract.Check(&out) {
		list.Add(namedFinding(&out, p))
	}
	return &out, list.Err()
}

// merge replaces, adds and removes elements by name and keeps their order.
func merge[T any](list *finding.List, section contract.Section, have, put []T, remove []string, name func(*T) string) []T {
	out := slices.Clone(have)
	find := func(wanted string) int {
		return slices.IndexFunc(out, func(e T) bool { return name(&e) == wanted })
	}
	changed := make(map[string]bool, len(put)+len(remove))
	once := func(key, wanted string) bool {
		if changed[wanted] {
			list.Add(finding.Finding{Key: key, Value: wanted, Reason: "the change names it twice"})
			return false
		}
		changed[wanted] = true
		return true
	}
	for i, wanted := range remove {
		key := fmt.Sprintf("remove.%s[%d]", section, i)
		at := find(wanted)
		switch {
		case !once(key, wanted):
		case at < 0:
			list.Add(finding.Finding{Key: key, Value: wanted, Reason: "no such element in the base version"})
		default:
			out = slices.Delete(out, at, at+1)
		}
	}
	for i := range put {
		wanted := name(&put[i])
		if !once(fmt.Sprintf("put.%s[%d]", section, i), wanted) {
			continue
		}
		if at := find(wanted); at >= 0 {
			out[at] = put[i]
		} else {
			out = append(out, put[i])
		}
	}
	return out
}

// namedFinding places a problem by the element's name, because positions in
// the whole document mean nothing to the author of a small change.
func namedFinding(doc *contract.Document, p contract.Problem) finding.Finding {
	key := string(p.Section)
	if p.Field != "" && p.Section != contract.SectionSheet {
		key = fmt.Sprintf("%s[%s]", p.Section, elementName(doc, p.Section, p.Index))
		if p.Route != contract.NoIndex {
			key += fmt.Sprintf(".non_repeatable[%d]", p.Route)
		}
		key += "." + p.Field
	}
	reason := p.Reason
	if p.Earlier != contract.NoIndex {
		reason += fmt.Sprintf(" by %s[%s]", p.Section, elementName(doc, p.Section, p.Earlier))
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

func isFindings(err error) bool {
	var list finding.List
	return errors.As(err, &list)
}

func (a *API) putChange(w http.ResponseWriter, r *http.Request) error {
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
		return a.explain(ctx, r, p, err)
	case base == nil:
		return a.unknownBase(ctx, change.Base)
	}
	doc, err := change.Apply(base)
	if err != nil {
		return err
	}
	p.setDocument(doc)
	p.options = []contract.AcceptOption{contract.SmallChange()}
	return a.answerAccept(w, r, p)
}

// unknownBase refuses a change to a version that is not yet accepted or no
// longer in the history.
func (a *API) unknownBase(ctx context.Context, base uint64) error {
	conflict := &contract.ConflictError{Base: base}
	inForce, err := a.refresh(ctx)
	if err != nil {
		return err
	}
	details := ErrorDetails{Base: base}
	if inForce != nil {
		conflict.InForce, conflict.Version = inForce, inForce.Version
		details.Version = inForce.Version
	}
	return &acceptanceError{cause: conflict, details: details}
}
