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

// MaxBytes limits the size of a sheet. 3,800 organisations need about 1 MB.
const MaxBytes = 16 << 20

const byteOrderMark = "\ufeff"

// parser builds the document of one sheet and collects its findings.
type parser struct {
	file              string
	separator         rune
	columns           []string // names in the header, by position; "" for ignored columns
	doc               contract.Document
	nonRepeatableRows []nonRepeatableRow
	lines             lineIndex
	findings          finding.List
}

// nonRepeatableRow is a non_repeatable row. It is kept until all rows are read,
// because the row of its service may follow later.
type nonRepeatableRow struct {
	line    int
	service string
	route   contract.Route
}

// lineIndex records the line numbers of the document's elements.
type lineIndex struct {
	meta     int
	services []int
	routes   map[int][]int // by index of the service
	groups   []int
	callers  []int
}

// Parse reads a sheet and validates it with contract.Check. file is the file name
// that the findings give. The error is a finding.List with all findings, or an
// error of r. The document has no version and no change id.
func Parse(file string, r io.Reader) (*contract.Document, error) {
	content, err := io.ReadAll(io.LimitReader(r, MaxBytes+1))
	if err != nil {
		return nil, fmt.Errorf("read sheet: %w", err)
	}
	p := &parser{file: file, lines: lineIndex{routes: make(map[int][]int)}}
	if p.checkContent(content) {
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

// checkContent reports whether the content can be parsed as CSV: it must not be too
// large, empty or encoded in UTF-16.
func (p *parser) checkContent(content []byte) bool {
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
			p.addSyntaxError(err)
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
	p.attachNonRepeatable()
	p.check()
}

// detectSeparator returns the separator that occurs more often in the first line.
func detectSeparator(content []byte) rune {
	first, _, _ := bytes.Cut(content, []byte("\n"))
	if bytes.Count(first, []byte(";")) > bytes.Count(first, []byte(",")) {
		return ';'
	}
	return ','
}

// addSyntaxError adds a finding for a line that is not valid CSV. The reader
// continues after that line.
func (p *parser) addSyntaxError(err error) {
	var syntaxErr *csv.ParseError
	if errors.As(err, &syntaxErr) {
		p.add(syntaxErr.StartLine, "", "", "%v", syntaxErr.Err)
		return
	}
	p.add(0, "", "", "%v", err)
}

// parseHeader reads the column names and reports whether the rows can be parsed.
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
			p.add(line, p.columnNameAt(i), strings.ToValidUTF8(cell, "?"), "not UTF-8")
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

func (p *parser) columnNameAt(i int) string {
	if i < len(p.columns) {
		return p.columns[i]
	}
	return ""
}

// addRow adds a row to the document. Unknown kinds and cells that the row's kind
// doesn't use become findings.
func (p *parser) addRow(line int, values map[string]string) {
	kind, known := rowKinds[values[columnKind]]
	if !known {
		p.add(line, columnKind, values[columnKind], "want %s, %s, %s, %s or %s",
			kindMeta, kindService, kindNonRepeatable, kindGroup, kindCaller)
		return
	}
	for _, column := range allColumns { // not in map order, so that the order of the findings is stable
		if column != columnKind && values[column] != "" && !slices.Contains(kind.columns, column) {
			p.add(line, column, values[column], "a %s row has no such cell", values[columnKind])
		}
	}
	kind.add(p, &row{parser: p, line: line, cells: values})
}

// attachNonRepeatable adds the non-repeatable routes to their services.
func (p *parser) attachNonRepeatable() {
	byName := make(map[string]int, len(p.doc.Services))
	for i := range p.doc.Services {
		byName[p.doc.Services[i].Name] = i
	}
	for _, c := range p.nonRepeatableRows {
		i, ok := byName[c.service]
		if !ok {
			p.add(c.line, columnService, c.service, "no such service")
			continue
		}
		p.doc.Services[i].NonRepeatable = append(p.doc.Services[i].NonRepeatable, c.route)
		p.lines.routes[i] = append(p.lines.routes[i], c.line)
	}
}

// cellRef identifies a cell of the sheet.
type cellRef struct {
	line   int
	column string
}

// check validates the document and adds its problems to the findings, except for
// cells that already have a finding. It sorts all findings by line.
func (p *parser) check() {
	if p.lines.meta == 0 {
		p.add(0, columnKind, "", "the sheet has no %s row", kindMeta)
	}
	unreadable := make(map[cellRef]bool, len(p.findings))
	for _, f := range p.findings {
		unreadable[cellRef{f.Line, f.Column}] = true
	}
	for _, problem := range contract.Check(&p.doc) {
		at := p.locateProblem(problem)
		if problem.Section == contract.SectionSheet && p.lines.meta == 0 || unreadable[at] {
			continue
		}
		reason := problem.Reason
		if problem.DuplicateOf != contract.NoIndex {
			reason += fmt.Sprintf(" in line %d", p.lineOfElement(problem.Section, problem.DuplicateOf))
		}
		p.findings.Add(finding.Finding{
			File: p.file, Line: at.line, Column: at.column, Value: problem.Value, Reason: reason,
		})
	}
	slices.SortStableFunc(p.findings, func(a, b finding.Finding) int { return a.Line - b.Line })
}

func (p *parser) locateProblem(problem contract.Problem) cellRef {
	if problem.Field == "" { // applies to the whole section
		return cellRef{}
	}
	column := columnOfField(problem.Section, problem.Field)
	if problem.Route != contract.NoIndex {
		return cellRef{p.lines.routes[problem.Index][problem.Route], column}
	}
	return cellRef{p.lineOfElement(problem.Section, problem.Index), column}
}

func (p *parser) lineOfElement(section contract.Section, index int) int {
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
