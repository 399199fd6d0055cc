package operator

import (
	"context"
	"net/http"
	"slices"
	"strconv"
	"strings"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/sheet"
)

// csvType is the media type of a sheet.
const csvType = "text/csv"

// ConfirmedHeader says whether the platform confirmed just now that the
// version in an answer is the one in force.
const ConfirmedHeader = "X-Config-Confirmed"

func (a *API) getSheet(w http.ResponseWriter, r *http.Request) error {
	doc, err := a.refresh(r.Context())
	if doc == nil {
		return notReady()
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(doc.Version, 10))
	w.Header().Set(ConfirmedHeader, strconv.FormatBool(err == nil))
	if !wantsCSV(r) {
		return writeJSON(w, doc)
	}
	w.Header().Set("Content-Type", csvType+"; charset=utf-8")
	_ = sheet.Write(w, doc, sheet.Format{}) // the operator may be gone
	return nil
}

func wantsCSV(r *http.Request) bool {
	accepted := strings.Split(r.Header.Get("Accept"), ",")
	return slices.ContainsFunc(accepted, func(part string) bool {
		kind, _, _ := strings.Cut(part, ";")
		return strings.EqualFold(strings.TrimSpace(kind), csvType)
	})
}

// DiffResponse compares a sheet with the configuration in force.
type DiffResponse struct {
	Version    uint64            `json:"version"`   // in force
	Confirmed  bool              `json:"confirmed"` // by the platform, just now
	Newer      bool              `json:"newer"`     // the sheet would be accepted by its date and revision
	Difference []contract.Change `json:"difference"`
}

func (a *API) diff(w http.ResponseWriter, r *http.Request) error {
	doc, err := readSheet(w, r)
	if err != nil {
		return err
	}
	inForce, err := a.refresh(r.Context())
	if inForce == nil {
		return notReady()
	}
	return writeJSON(w, DiffResponse{
		Version: inForce.Version, Confirmed: err == nil,
		Newer:      newer(doc, inForce),
		Difference: contract.Diff(inForce, doc),
	})
}

func newer(doc, than *contract.Document) bool {
	return doc.SheetDate > than.SheetDate || (doc.SheetDate == than.SheetDate && doc.Revision > than.Revision)
}

// HistoryResponse lists accepted versions, the newest first.
type HistoryResponse struct {
	Versions []contract.Accepted `json:"versions"`
}

const defaultHistory = 20

func (a *API) history(w http.ResponseWriter, r *http.Request) error {
	limit := defaultHistory
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > contract.MaxHistory {
			e := refusal(http.StatusBadRequest, typeInvalid, codeParameter,
				"The parameter limit must be from 1 to "+strconv.Itoa(contract.MaxHistory)+".")
			e.Param = "limit"
			return e
		}
		limit = n
	}
	ctx, cancel := context.WithTimeout(r.Context(), readTimeout)
	defer cancel()
	versions, err := a.config.Store.History(ctx, limit)
	if err != nil {
		return err
	}
	return writeJSON(w, HistoryResponse{Versions: append([]contract.Accepted{}, versions...)})
}
