package sheet

import (
	"regexp"
	"slices"
	"strconv"
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
)

// row is one row with a known kind. Its methods parse cells and add a finding for
// each cell that is not valid.
type row struct {
	parser *parser
	line   int // line number in the file, counted from 1
	cells  map[string]string
}

func (r *row) text(column string) string { return r.cells[column] }

// integer parses a whole number. An empty cell is 0, and a finding if required is
// set.
func (r *row) integer(column string, required bool) int {
	value := r.cells[column]
	if value == "" {
		if required {
			r.parser.add(r.line, column, "", "required")
		}
		return 0
	}
	n, err := strconv.Atoi(value)
	if err != nil {
		r.parser.add(r.line, column, value, "want a whole number")
	}
	return n
}

// decimalPattern excludes exponents, signs and names such as NaN, which strconv
// accepts.
var decimalPattern = regexp.MustCompile(`^[0-9]+([.,][0-9]+)?$`)

// number parses a decimal number; an empty cell is 0. A comma is accepted as the
// decimal sign only if the separator is a semicolon; otherwise it would be
// ambiguous.
func (r *row) number(column string) float64 {
	value := r.cells[column]
	if value == "" {
		return 0
	}
	normalised := value
	if r.parser.separator == ';' {
		normalised = strings.Replace(value, ",", ".", 1)
	}
	n, err := strconv.ParseFloat(normalised, 64)
	if err != nil || !decimalPattern.MatchString(value) {
		r.parser.add(r.line, column, value, "want a decimal number")
		return 0
	}
	return n
}

// Spreadsheets write boolean values in the user's language.
var (
	trueWords  = []string{"yes", "true", "wahr", "verdadero"}
	falseWords = []string{"", "no", "false", "falsch", "falso"}
)

// boolean parses a boolean value; an empty cell is false.
func (r *row) boolean(column string) bool {
	value := strings.ToLower(r.cells[column])
	if !slices.Contains(trueWords, value) && !slices.Contains(falseWords, value) {
		r.parser.add(r.line, column, r.cells[column], "want yes or no")
	}
	return slices.Contains(trueWords, value)
}

func (r *row) classes(column string) []contract.Class {
	if r.cells[column] == "" {
		return nil
	}
	var classes []contract.Class
	for _, text := range strings.Split(r.cells[column], classSeparator) {
		classes = append(classes, contract.Class(strings.TrimSpace(text)))
	}
	return classes
}

func (p *parser) addMeta(r *row) {
	if first := p.lines.meta; first != 0 {
		p.add(r.line, columnKind, kindMeta, "row %d already is the meta row", first)
		return
	}
	p.lines.meta = r.line
	p.doc.SheetDate = r.text(columnDate)
	p.doc.Revision = r.integer(columnRevision, true)
}

func (p *parser) addService(r *row) {
	p.lines.services = append(p.lines.services, r.line)
	p.doc.Services = append(p.doc.Services, contract.Service{
		Name:          r.text(columnName),
		Kind:          contract.Kind(r.text(columnType)),
		Model:         r.text(columnModel),
		Adapter:       r.text(columnAdapter),
		ModelVersion:  r.text(columnModelVersion),
		MaxInProgress: r.integer(columnMaxInProgress, false),
		DeadlineMS:    r.integer(columnDeadline, false),
	})
}

func (p *parser) addNonRepeatable(r *row) {
	p.nonRepeatableRows = append(p.nonRepeatableRows, nonRepeatableRow{
		line:    r.line,
		service: r.text(columnService),
		route:   contract.Route{Method: r.text(columnMethod), Path: r.text(columnPath)},
	})
}

func (p *parser) addGroup(r *row) {
	p.lines.groups = append(p.lines.groups, r.line)
	p.doc.Groups = append(p.doc.Groups, contract.UpstreamGroup{
		Name:          r.text(columnName),
		Service:       r.text(columnService),
		DataCentre:    r.text(columnDataCentre),
		Role:          r.text(columnRole),
		ChecksFencing: r.boolean(columnChecksFencing),
		Count:         r.integer(columnCount, true),
	})
}

func (p *parser) addCaller(r *row) {
	p.lines.callers = append(p.lines.callers, r.line)
	p.doc.Callers = append(p.doc.Callers, contract.Caller{
		ID:            r.text(columnName),
		Organisation:  r.text(columnOrganisation),
		KeySHA256:     r.text(columnKey),
		RatePerSecond: r.number(columnRate),
		Burst:         r.integer(columnBurst, false),
		MaxInProgress: r.integer(columnMaxInProgress, false),
		Classes:       r.classes(columnClasses),
		Operator:      r.boolean(columnOperator),
	})
}
