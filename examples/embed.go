// Package examples embeds the example sheets of both operators.
package examples

import (
	_ "embed"
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/sheet"
)

// Ferreira is the sheet of the order portal and the workshop assistant in
// Montevideo, as CSV.
//
//go:embed ferreira.csv
var Ferreira string

// Donautal is the sheet of the ripening assistant and the room status service
// in Upper Austria, as CSV.
//
//go:embed donautal.csv
var Donautal string

// Document parses one of the sheets.
func Document(name, text string) (*contract.Document, error) {
	return sheet.Parse(name, strings.NewReader(text))
}
