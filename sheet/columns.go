// Package sheet reads the planners' CSV into a configuration document and
// writes it back.
//
// The first line names the columns, in any order. Each further row has a kind:
//
//	meta            date, revision
//	service         name, type, model, adapter, model_version, max_in_progress, deadline_ms
//	non_repeatable  service, method, path
//	group           name, service, data_centre, role, checks_fencing, count
//	caller          name, organisation, key_sha256, rate_per_second, burst, max_in_progress, classes, operator
//
// Cells of other columns stay empty. Files are UTF-8 with or without a byte
// order mark; the separator is a comma or a semicolon. With semicolons the
// decimal sign may be a comma.
package sheet

import "github.com/magnoliausher/magnoliausher/contract"

// Columns of a sheet.
const (
	columnKind          = "kind"
	columnDate          = "date"
	columnRevision      = "revision"
	columnName          = "name"
	columnType          = "type"
	columnModel         = "model"
	columnAdapter       = "adapter"
	columnModelVersion  = "model_version"
	columnService       = "service"
	columnMethod        = "method"
	columnPath          = "path"
	columnDataCentre    = "data_centre"
	columnRole          = "role"
	columnChecksFencing = "checks_fencing"
	columnCount         = "count"
	columnOrganisation  = "organisation"
	columnKey           = "key_sha256"
	columnRate          = "rate_per_second"
	columnBurst         = "burst"
	columnMaxInProgress = "max_in_progress"
	columnDeadline      = "deadline_ms"
	columnClasses       = "classes"
	columnOperator      = "operator"
)

// Kinds of rows.
const (
	kindMeta          = "meta"
	kindService       = "service"
	kindNonRepeatable = "non_repeatable"
	kindGroup         = "group"
	kindCaller        = "caller"
)

// allColumns is the order in which sheets are written.
var allColumns = []string{
	columnKind, columnDate, columnRevision, columnName, columnType, columnModel, columnAdapter,
	columnModelVersion, columnService, columnMethod, columnPath, columnDataCentre, columnRole,
	columnChecksFencing, columnCount, columnOrganisation, columnKey, columnRate, columnBurst,
	columnMaxInProgress, columnDeadline, columnClasses, columnOperator,
}

// rowKind says which columns rows of a kind use and how they enter the document.
type rowKind struct {
	columns []string
	add     func(*parser, *row)
}

var rowKinds = map[string]rowKind{
	kindMeta: {
		columns: []string{columnDate, columnRevision},
		add:     (*parser).addMeta,
	},
	kindService: {
		columns: []string{
			columnName, columnType, columnModel, columnAdapter, columnModelVersion,
			columnMaxInProgress, columnDeadline,
		},
		add: (*parser).addService,
	},
	kindNonRepeatable: {
		columns: []string{columnService, columnMethod, columnPath},
		add:     (*parser).addNonRepeatable,
	},
	kindGroup: {
		columns: []string{columnName, columnService, columnDataCentre, columnRole, columnChecksFencing, columnCount},
		add:     (*parser).addGroup,
	},
	kindCaller: {
		columns: []string{
			columnName, columnOrganisation, columnKey, columnRate, columnBurst,
			columnMaxInProgress, columnClasses, columnOperator,
		},
		add: (*parser).addCaller,
	},
}

// columnOf gives the column of a field of the document.
func columnOf(section contract.Section, field string) string {
	switch {
	case section == contract.SectionSheet && field == "sheet_date":
		return columnDate
	case section == contract.SectionServices && field == "kind":
		return columnType
	case section == contract.SectionCallers && field == "id":
		return columnName
	}
	return field
}

// classSeparator joins the classes of a caller in one cell.
const classSeparator = "|"
