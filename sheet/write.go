package sheet

import (
	"encoding/csv"
	"fmt"
	"io"
	"strconv"
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
)

// Format configures how a sheet is written. The zero value writes commas as
// separators and no byte order mark.
type Format struct {
	Semicolon     bool // semicolons as separators and decimal commas, as spreadsheets expect in some locales
	ByteOrderMark bool
}

// Write writes a document as a sheet. Parsing the sheet of a valid document gives
// the same document without its version and change id.
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
	for _, record := range format.records(doc) {
		if err := out.Write(record); err != nil {
			return fmt.Errorf("write sheet: %w", err)
		}
	}
	out.Flush()
	if err := out.Error(); err != nil {
		return fmt.Errorf("write sheet: %w", err)
	}
	return nil
}

func (f Format) records(doc *contract.Document) [][]string {
	records := [][]string{allColumns, newRecord(map[string]string{
		columnKind: kindMeta, columnDate: doc.SheetDate, columnRevision: strconv.Itoa(doc.Revision),
	})}
	for i := range doc.Services {
		records = append(records, serviceRecords(&doc.Services[i])...)
	}
	for i := range doc.Groups {
		records = append(records, groupRecord(&doc.Groups[i]))
	}
	for i := range doc.Callers {
		records = append(records, f.callerRecord(&doc.Callers[i]))
	}
	return records
}

// newRecord returns the cells in the order of the columns.
func newRecord(cells map[string]string) []string {
	values := make([]string, len(allColumns))
	for i, column := range allColumns {
		values[i] = cells[column]
	}
	return values
}

func serviceRecords(s *contract.Service) [][]string {
	records := [][]string{newRecord(map[string]string{
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
		records = append(records, newRecord(map[string]string{
			columnKind: kindNonRepeatable, columnService: s.Name, columnMethod: route.Method, columnPath: route.Path,
		}))
	}
	return records
}

func groupRecord(g *contract.UpstreamGroup) []string {
	return newRecord(map[string]string{
		columnKind:          kindGroup,
		columnName:          g.Name,
		columnService:       g.Service,
		columnDataCentre:    g.DataCentre,
		columnRole:          g.Role,
		columnChecksFencing: yesNo(g.ChecksFencing),
		columnCount:         strconv.Itoa(g.Count),
	})
}

func (f Format) callerRecord(c *contract.Caller) []string {
	return newRecord(map[string]string{
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

// optional formats a number and returns an empty cell for zero.
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
