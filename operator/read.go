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

// csvMediaType is the media type of a sheet.
const csvMediaType = "text/csv"

// ConfirmedHeader is the response header that tells whether the platform was
// reachable for this request and so confirmed the version as the one in force.
const ConfirmedHeader = "X-Config-Confirmed"

func (a *API) getSheet(w http.ResponseWriter, r *http.Request) error {
	doc, err := a.refresh(r.Context())
	if doc == nil {
		return notReadyError()
	}
	w.Header().Set(VersionHeader, strconv.FormatUint(doc.Version, 10))
	w.Header().Set(ConfirmedHeader, strconv.FormatBool(err == nil))
	if !acceptsCSV(r) {
		return writeJSON(w, doc)
	}
	w.Header().Set("Content-Type", csvMediaType+"; charset=utf-8")
	_ = sheet.Write(w, doc, sheet.Format{}) // the operator may have disconnected
	return nil
}

// acceptsCSV reports whether the Accept header lists CSV.
func acceptsCSV(r *http.Request) bool {
	accepted := strings.Split(r.Header.Get("Accept"), ",")
	return slices.ContainsFunc(accepted, func(mediaRange string) bool {
		mediaType, _, _ := strings.Cut(mediaRange, ";")
		return strings.EqualFold(strings.TrimSpace(mediaType), csvMediaType)
	})
}

// DiffResponse compares a sheet with the configuration in force.
type DiffResponse struct {
	Version    uint64            `json:"version"`   // version in force
	Confirmed  bool              `json:"confirmed"` // the platform was reachable and confirmed the version
	Newer      bool              `json:"newer"`     // the sheet is newer by its date and revision, as an acceptance requires
	Difference []contract.Change `json:"difference"`
}

func (a *API) diff(w http.ResponseWriter, r *http.Request) error {
	doc, err := readSheet(w, r)
	if err != nil {
		return err
	}
	inForce, err := a.refresh(r.Context())
	if inForce == nil {
		return notReadyError()
	}
	return writeJSON(w, DiffResponse{
		Version: inForce.Version, Confirmed: err == nil,
		Newer:      isNewer(doc, inForce),
		Difference: contract.Diff(inForce, doc),
	})
}

func isNewer(doc, than *contract.Document) bool {
	return doc.SheetDate > than.SheetDate || (doc.SheetDate == than.SheetDate && doc.Revision > than.Revision)
}

// HistoryResponse lists accepted versions, newest first.
type HistoryResponse struct {
	Versions []contract.AcceptedVersion `json:"versions"`
}

const defaultHistoryLimit = 20

func (a *API) history(w http.ResponseWriter, r *http.Request) error {
	limit := defaultHistoryLimit
	if text := r.URL.Query().Get("limit"); text != "" {
		n, err := strconv.Atoi(text)
		if err != nil || n < 1 || n > contract.MaxHistory {
			e := newError(http.StatusBadRequest, typeInvalid, codeParameter,
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
	return writeJSON(w, HistoryResponse{Versions: append([]contract.AcceptedVersion{}, versions...)})
}
