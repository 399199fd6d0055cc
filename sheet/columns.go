// Package sheet converts between the planners' CSV sheets and configuration
// documents.
//
// The first line names the columns, in any order. Every other row has a kind,
// which determines the columns that it uses:
//
//	meta            date, revision
//	service         name, type, model, adapter, model_version, max_in_progress, deadline_ms
//	non_repeatable  service, method, path
//	group           name, service, data_centre, role, checks_fencing, count
//	caller          name, organisation, key_sha256, rate_per_second, burst, max_in_progress, classes, operator
//
// All other cells of the row must be empty. Files are encoded in UTF-8, with or
// without a byte order mark. The separator is a comma or a semicolon; with
// semicolons the decimal sign may be a comma.
package sheet

import "github.com/magnoliausher/magnoliausher/contract"

// Names of the columns.
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

// Values of the kind column.
const (
	kindMeta          = "meta"
	kindService       = "service"
	kindNonRepeatable = "non_repeatable"
	kindGroup         = "group"
	kindCaller        = "caller"
)

// allColumns lists the columns in the order in which sheets are written.
var allColumns = []string{
	columnKind, columnDate, columnRevision, columnName, columnType, columnModel, columnAdapter,
	columnModelVersion, columnService, columnMethod, columnPath, columnDataCentre, columnRole,
	columnChecksFencing, columnCount, columnOrganisation, columnKey, columnRate, columnBurst,
	columnMaxInProgress, columnDeadline, columnClasses, columnOperator,
}

// rowKind defines the columns of a kind of row and how such a row is added to the
// document.
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

// columnOfField returns the column that holds a field of the document.
func columnOfField(section contract.Section, field string) string {
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

// classSeparator separates the classes in a caller's cell.
const classSeparator = "|"
