package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
)

// Format says how a sheet is written. The zero value is UTF-8 with commas.
type Format struct {
	Semicolon     bool // separator; the decimal sign is then a comma, as spreadsheets expect
	ByteOrderMark bool
}

// Write writes a document as a sheet. Parse of a valid document's sheet gives
// the same document without version and change id.
func Write(w io.Writer, doc *contract.Document, format Format) error {
	if format.ByteOrderMark {
		if _, err := io.WriteString(w, byteOrderMark); err != nil {
			return fmt.Errorf("write sheet: %w", err)
		}
	}
	out := csv.NewWriter(w)
	if format.Semicolon {
		out.Comma = ';'
	}
	for _, line := range format.lines(doc) {
		if err := out.Write(line); err != nil {
			return fmt.Errorf("write sheet: %w", err)
		}
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	return nil
}

func (f Format) lines(doc *contract.Document) [][]string {
	lines := [][]string{allColumns, line(map[string]string{
		columnKind: kindMeta, columnDate: doc.SheetDate, columnRevision: strconv.Itoa(doc.Revision),
	})}
	for i := range doc.Services {
		lines = append(lines, serviceLines(&doc.Services[i])...)
	}
	for i := range doc.Groups {
		lines = append(lines, groupLine(&doc.Groups[i]))
	}
	for i := range doc.Callers {
		lines = append(lines, f.callerLine(&doc.Callers[i]))
	}
	return lines
}

// line puts cells in the order of the columns.
func line(cells map[string]string) []string {
	values := make([]string, len(allColumns))
	for i, column := range allColumns {
		values[i] = cells[column]
	}
	return values
}

func serviceLines(s *contract.Service) [][]string {
	lines := [][]string{line(map[string]string{
		columnKind:          kindService,
		columnName:          s.Name,
		columnType:          string(s.Kind),
		columnModel:         s.Model,
		columnAdapter:       s.Adapter,
		columnModelVersion:  s.ModelVersion,
		columnMaxInProgress: optional(s.MaxInProgress),
		columnDeadline:      optional(s.DeadlineMS),
	})}
	for _, route := range s.NonRepeatable {
		lines = append(lines, line(map[string]string{
			columnKind: kindNonRepeatable, columnService: s.Name, columnMethod: route.Method, columnPath: route.Path,
		}))
	}
	return lines
}

func groupLine(g *contract.UpstreamGroup) []string {
	return line(map[string]string{
		columnKind:          kindGroup,
		columnName:          g.Name,
		columnService:       g.Service,
		columnDataCentre:    g.DataCentre,
		columnRole:          g.Role,
		columnChecksFencing: yesNo(g.ChecksFencing),
		columnCount:         strconv.Itoa(g.Count),
	})
}

func (f Format) callerLine(c *contract.Caller) []string {
	return line(map[string]string{
		columnKind:          kindCaller,
		columnName:          c.ID,
		columnOrganisation:  c.Organisation,
		columnKey:           c.KeySHA256,
		columnRate:          f.decimal(c.RatePerSecond),
		columnBurst:         optional(c.Burst),
		columnMaxInProgress: optional(c.MaxInProgress),
		columnClasses:       joinClasses(c.Classes),
		columnOperator:      yesNo(c.Operator),
	})
}

// optional leaves the cell of a zero empty.
func optional(n int) string {
	if n == 0 {
		return ""
	}
	return strconv.Itoa(n)
}

func (f Format) decimal(n float64) string {
	if n == 0 {
		return ""
	}
	text := strconv.FormatFloat(n, 'f', -1, 64)
	if f.Semicolon {
		text = strings.Replace(text, ".", ",", 1)
	}
	return text
}

func yesNo(value bool) string {
	if value {
		return "yes"
	}
	return "no"
}

func joinClasses(classes []contract.Class) string {
	texts := make([]string, 0, len(classes))
	for _, class := range classes {
		texts = append(texts, string(class))
	}
	return strings.Join(texts, classSeparator)
}
