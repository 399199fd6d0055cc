package sheet

import (
	"bytes"
	"encoding/csv"
	"errors"
	"fmt"
	"io"
	"slices"
	"strings"
	"unicode/utf8"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/finding"
)

// MaxBytes bounds a sheet. 3,800 organisations need about 1 MB.
const MaxBytes = 16 << 20

const byteOrderMark = "\ufeff"

// parser collects the document and all findings of one sheet.
type parser struct {
	file      string
	separator rune
	columns   []string // of the header, by position; "" for ignored ones
	doc       contract.Document
	calls     []call
	lines     lineIndex
	findings  finding.List
}

// call is a non-repeatable call whose service may stand in a later row.
type call struct {
	line    int
	service string
	route   contract.Route
}

// lineIndex gives the lines of the document's elements.
type lineIndex struct {
	meta     int
	services []int
	routes   map[int][]int // by service
	groups   []int
	callers  []int
}

// Parse reads a sheet. file names it in the findings. The error is a
// finding.List with all findings, or an error of r. The document has no version
// and no change id; its rules are those of contract.Check.
func Parse(file string, r io.Reader) (*contract.Document, error) {
	content, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read sheet: %w", err)
	}
	p := &parser{file: file, lines: lineIndex{routes: make(map[int][]int)}}
	if p.readable(content) {
		p.parse(bytes.TrimPrefix(content, []byte(byteOrderMark)))
	}
	if err := p.findings.Err(); err != nil {
		return nil, err
	}
	return &p.doc, nil
}

func (p *parser) add(line int, column, value, reason string, args ...any) {
	p.findings.Add(finding.Finding{
		File: p.file, Line: line, Column: column, Value: value, Reason: fmt.Sprintf(reason, args...),
	})
}

// readable refuses content that can't be split into cells.
func (p *parser) readable(content []byte) bool {
	switch {
	case len(content) > MaxBytes:
		p.add(0, "", "", "the sheet is larger than %d bytes", MaxBytes)
	case len(bytes.TrimSpace(content)) == 0:
		p.add(0, "", "", "the sheet is empty")
	case bytes.HasPrefix(content, []byte("\xff\xfe")) || bytes.HasPrefix(content, []byte("\xfe\xff")):
		p.add(1, "", "", "the sheet is UTF-16; want UTF-8")
	default:
		return true
	}
	return false
}

func (p *parser) parse(content []byte) {
	p.separator = detectSeparator(content)
	reader := csv.NewReader(bytes.NewReader(content))
	reader.Comma = p.separator
	reader.FieldsPerRecord = -1
	for header := true; ; {
		cells, err := reader.Read()
		if err == io.EOF {
			break
		}
		if err != nil {
			p.addSyntax(err)
			if header {
				return
			}
			continue
		}
		line, _ := reader.FieldPos(0)
		if !header {
			p.parseRow(line, cells)
			continue
		}
		header = false
		if !p.parseHeader(line, cells) {
			return
		}
	}
	p.attachCalls()
	p.check()
}

// detectSeparator chooses the separator that is more frequent in the first line.
func detectSeparator(content []byte) rune {
	first, _, _ := bytes.Cut(content, []byte("\n"))
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		return ';'
	}
	return ','
}

// addSyntax reports a line that is not CSV; the reader continues after it.
func (p *parser) addSyntax(err error) {
	var syntax *csv.ParseError
	if errors.As(err, &syntax) {
		p.add(syntax.StartLine, "", "", "%v", syntax.Err)
		return
	}
	p.add(0, "", "", "%v", err)
}

// parseHeader reads the names of the columns and reports whether rows can be read.
func (p *parser) parseHeader(line int, cells []string) bool {
	for _, cell := range cells {
		name := strings.ToLower(strings.TrimSpace(cell))
		switch {
		case name == "": // spreadsheets add empty columns
		case !slices.Contains(allColumns, name):
			p.add(line, "", cell, "unknown column; want one of %s", strings.Join(allColumns, ", "))
			name = ""
		case slices.Contains(p.columns, name):
			p.add(line, name, cell, "column occurs twice")
			name = ""
		}
		p.columns = append(p.columns, name)
	}
	if !slices.Contains(p.columns, columnKind) {
		p.add(line, columnKind, "", "the first line has no such column")
		return false
	}
	return true
}

func (p *parser) parseRow(line int, cells []string) {
	values := make(map[string]string, len(p.columns))
	empty := true
	for i, cell := range cells {
		cell = strings.TrimSpace(cell)
		if cell == "" {
			continue
		}
		empty = false
		switch {
		case !utf8.ValidString(cell):
			p.add(line, p.columnAt(i), strings.ToValidUTF8(cell, "?"), "not UTF-8")
		case i >= len(p.columns):
			p.add(line, "", cell, "cell %d has no column", i+1)
		case p.columns[i] != "":
			values[p.columns[i]] = cell
		}
	}
	if !empty {
		p.addRow(line, values)
	}
}

func (p *parser) columnAt(i int) string {
	if i < len(p.columns) {
		return p.columns[i]
	}
	return ""
}

// addRow adds a row of a known kind and reports cells that its kind doesn't use.
func (p *parser) addRow(line int, values map[string]string) {
	kind, known := rowKinds[values[columnKind]]
	if !known {
		p.add(line, columnKind, values[columnKind], "want %s, %s, %s, %s or %s",
			kindMeta, kindService, kindNonRepeatable, kindGroup, kindCaller)
		return
	}
	for _, column := range allColumns { // in this order, so that findings are stable
		if column != columnKind && values[column] != "" && !slices.Contains(kind.columns, column) {
			p.add(line, column, values[column], "a %s row has no such cell", values[columnKind])
		}
	}
	kind.add(p, &row{parser: p, line: line, cells: values})
}

// attachCalls adds the non-repeatable calls to their services.
func (p *parser) attachCalls() {
	byName := make(map[string]int, len(p.doc.Services))
	for i := range p.doc.Services {
		byName[p.doc.Services[i].Name] = i
	}
	for _, c := range p.calls {
		i, ok := byName[c.service]
		if !ok {
			p.add(c.line, columnService, c.service, "no such service")
			continue
		}
		p.doc.Services[i].NonRepeatable = append(p.doc.Services[i].NonRepeatable, c.route)
		p.lines.routes[i] = append(p.lines.routes[i], c.line)
	}
}

// place is a cell of the sheet.
type place struct {
	line   int
	column string
}

// check adds the problems of the document, except in cells that could not be
// read, and sorts all findings by line.
func (p *parser) check() {
	if p.lines.meta == 0 {
		p.add(0, columnKind, "", "the sheet has no %s row", kindMeta)
	}
	unreadable := make(map[place]bool, len(p.findings))
	for _, f := range p.findings {
		unreadable[place{f.Line, f.Column}] = true
	}
	for _, problem := range contract.Check(&p.doc) {
		at := p.locate(problem)
		if problem.Section == contract.SectionSheet && p.lines.meta == 0 || unreadable[at] {
			continue
		}
		reason := problem.Reason
		if problem.Earlier != contract.NoIndex {
			reason += fmt.Sprintf(" in line %d", p.lineOf(problem.Section, problem.Earlier))
		}
		p.findings.Add(finding.Finding{
			File: p.file, Line: at.line, Column: at.column, Value: problem.Value, Reason: reason,
		})
	}
	slices.SortStableFunc(p.findings, func(a, b finding.Finding) int { return a.Line - b.Line })
}

func (p *parser) locate(problem contract.Problem) place {
	if problem.Field == "" { // concerns the whole section
		return place{}
	}
	column := columnOf(problem.Section, problem.Field)
	if problem.Route != contract.NoIndex {
		return place{p.lines.routes[problem.Index][problem.Route], column}
	}
	return place{p.lineOf(problem.Section, problem.Index), column}
}

func (p *parser) lineOf(section contract.Section, index int) int {
	switch section {
	case contract.SectionServices:
		return p.lines.services[index]
	case contract.SectionGroups:
		return p.lines.groups[index]
	case contract.SectionCallers:
		return p.lines.callers[index]
	}
	return p.lines.meta
}
