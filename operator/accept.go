package operator

import (
	"bytes"
	"context"
	"errors"
	"net/http"
	"strconv"
	"time"

	"github.com/google/uuid"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/sheet"
)

// idempotencyHeader carries the change id chosen by the operator.
const idempotencyHeader = "Idempotency-Key"

// sheetFileName is the file name that findings give for an uploaded sheet.
const sheetFileName = "sheet"

// AcceptResponse is the response to an accepted change, which is in force.
type AcceptResponse struct {
	Version     uint64            `json:"version"`
	Base        uint64            `json:"base"`
	ChangeID    string            `json:"change_id"`
	SheetDate   string            `json:"sheet_date"`
	Revision    int               `json:"revision"`
	Difference  []contract.Change `json:"difference"`   // changes from the base to the new version
	ConfirmedBy int               `json:"confirmed_by"` // number of other instances that have reported the version
}

// proposal is a configuration document submitted for acceptance.
type proposal struct {
	base       uint64 // the version that the document is based on
	baseGiven  bool   // the request specifies the base
	firstOnly  bool   // the request may only create version 1
	changeID   string
	mayBeRetry bool // the request carries a change id, so an earlier attempt may have succeeded
	doc        contract.Document
	options    []contract.AcceptOption
}

// newProposal uses the request's change id, or generates one if it has none.
func newProposal(r *http.Request, base uint64) *proposal {
	p := &proposal{base: base, baseGiven: true, changeID: r.Header.Get(idempotencyHeader)}
	p.mayBeRetry = p.changeID != ""
	if !p.mayBeRetry {
		p.changeID = uuid.NewString()
	}
	return p
}

func (p *proposal) setDocument(doc *contract.Document) {
	p.doc = *doc
	p.doc.ChangeID = p.changeID
}

func (a *API) applySheet(w http.ResponseWriter, r *http.Request) error {
	base, baseGiven, err := parseBase(r)
	if err != nil {
		return err
	}
	doc, err := readSheet(w, r)
	if err != nil {
		return err
	}
	p := newProposal(r, base)
	p.setDocument(doc)
	p.baseGiven = baseGiven
	if contract.CallerFrom(r.Context()) == nil { // an unauthenticated request may only create version 1
		p.base, p.baseGiven, p.firstOnly = 0, true, true
	}
	return a.acceptAndRespond(w, r, p)
}

// parseBase parses the query parameter base, which is optional.
func parseBase(r *http.Request) (base uint64, baseGiven bool, err error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return 0, false, nil
	}
	base, err = strconv.ParseUint(text, 10, 63)
	if err != nil {
		e := newError(http.StatusBadRequest, typeInvalid, codeParameter, "The parameter base must be a version number.")
		e.Param = "base"
		return 0, false, e
	}
	return base, true, nil
}

// readSheet reads and parses the sheet in the request body.
func readSheet(w http.ResponseWriter, r *http.Request) (*contract.Document, error) {
	body, err := readBody(w, r, sheet.MaxBytes)
	if err != nil {
		return nil, err
	}
	return sheet.Parse(sheetFileName, bytes.NewReader(body))
}

// acceptAndRespond makes the proposal the configuration in force. It continues
// after the operator disconnects, so that an accepted change is still
// propagated to the other instances.
func (a *API) acceptAndRespond(w http.ResponseWriter, r *http.Request, p *proposal) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), acceptTimeout)
	defer cancel()
	previous, err := a.accept(ctx, p)
	if err != nil {
		return a.withErrorDetails(ctx, r, p, err)
	}
	a.config.Log.Info().Uint64("version", p.doc.Version).Str("change_id", p.changeID).Msg("configuration accepted")
	return writeJSON(w, AcceptResponse{
		Version: p.doc.Version, Base: p.base, ChangeID: p.changeID, SheetDate: p.doc.SheetDate, Revision: p.doc.Revision,
		Difference: contract.Diff(previous, &p.doc), ConfirmedBy: a.awaitConfirmations(ctx, p.doc.Version),
	})
}

// accept commits the proposal and offers it to the entry's holder. It returns
// the document that the proposal replaced, or nil if there is none or it can't
// be read.
func (a *API) accept(ctx context.Context, p *proposal) (*contract.Document, error) {
	version, err := a.commit(ctx, p)
	if err != nil {
		return nil, err
	}
	var previous *contract.Document
	if ix := a.config.Holder.Current(); ix != nil && ix.Document.Version == p.base {
		previous = ix.Document
	}
	p.doc.Version = version
	a.config.Holder.SetIfNewer(&p.doc)
	if previous == nil && p.base > 0 {
		previous, _ = a.config.Store.LoadVersion(ctx, p.base)
	}
	return previous, nil
}

// commit stores the proposal as the next version and returns that version.
// Without a specified base it uses the version in force. If the store rejects the
// proposal, commit looks up whether an earlier attempt with the same change id
// succeeded, and repeats that one.
func (a *API) commit(ctx context.Context, p *proposal) (uint64, error) {
	store := a.config.Store
	if !p.baseGiven {
		base, err := store.Version(ctx)
		if err != nil {
			return 0, err
		}
		p.base = base
	}
	version, err := store.Accept(ctx, p.base, &p.doc, p.options...)
	if p.firstOnly || !p.mayBeRetry || !isRejection(err) {
		return version, err
	}
	earlierVersion, lookupErr := store.VersionOf(ctx, p.changeID)
	if lookupErr != nil {
		return 0, lookupErr // the rejection does not tell whether the earlier attempt succeeded
	}
	if earlierVersion == 0 {
		return 0, err
	}
	p.base = earlierVersion - 1
	return store.Accept(ctx, p.base, &p.doc, p.options...)
}

func isRejection(err error) bool {
	var conflict *contract.ConflictError
	var stale *contract.StaleSheetError
	return errors.As(err, &conflict) || errors.As(err, &stale)
}

// withErrorDetails adds the difference to a rejection, and the change id and base
// to every error of an acceptance except findings. A rejected request without an
// operator's key gets no details, because the difference discloses the
// configuration.
func (a *API) withErrorDetails(ctx context.Context, r *http.Request, p *proposal, err error) error {
	if hasFindings(err) {
		return err
	}
	var openOutcome *contract.UnknownOutcomeError
	if p.mayBeRetry && !isRejection(err) && !errors.As(err, &openOutcome) {
		// This attempt changed nothing, but an earlier one with the same change id may have.
		err = &contract.UnknownOutcomeError{Base: p.base, ChangeID: p.changeID, Cause: err}
	}
	if errors.As(err, &openOutcome) {
		select {
		case a.unknownOutcome <- struct{}{}:
		default: // a lookup is already pending
		}
	}
	if isRejection(err) && contract.CallerFrom(r.Context()) == nil {
		return notReadyError()
	}
	details := ErrorDetails{ChangeID: p.changeID, Base: p.base}
	if isRejection(err) {
		a.addDifference(ctx, p, err, &details)
	}
	return &acceptanceError{cause: err, details: details}
}

func (a *API) addDifference(ctx context.Context, p *proposal, err error, details *ErrorDetails) {
	var conflict *contract.ConflictError
	var inForce *contract.Document
	if errors.As(err, &conflict) && conflict.InForce != nil {
		inForce = conflict.InForce
		a.config.Holder.SetIfNewer(inForce)
	} else {
		inForce, _ = a.refresh(ctx)
	}
	if inForce == nil {
		return
	}
	details.Version = inForce.Version
	details.Difference = contract.Diff(inForce, &p.doc)
	if p.base == inForce.Version {
		return
	}
	if base, err := a.config.Store.LoadVersion(ctx, p.base); err == nil && base != nil {
		details.SinceBase = contract.Diff(base, inForce)
	}
}

// An accepted change is acknowledged once minConfirmations other instances have
// it. If this entry fails right afterwards, the change then doesn't wait for the
// slow poll of the other instances. Without enough confirmations the response is
// sent after confirmTimeout.
const (
	minConfirmations    = 2
	confirmTimeout      = 3 * time.Second
	confirmPollInterval = 25 * time.Millisecond
)

// awaitConfirmations waits for minConfirmations other instances to report the
// version, or for confirmTimeout, and returns how many have reported it.
func (a *API) awaitConfirmations(ctx context.Context, version uint64) int {
	if a.config.Fleet == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	tick := time.NewTicker(confirmPollInterval)
	defer tick.Stop()
	for {
		confirmed, others := a.countConfirmations(version)
		if confirmed >= min(minConfirmations, others) {
			return confirmed
		}
		select {
		case <-ctx.Done():
			return confirmed
		case <-tick.C:
		}
	}
}

// countConfirmations returns how many of the other instances have reported the
// version or a newer one.
func (a *API) countConfirmations(version uint64) (confirmed, others int) {
	for _, v := range a.config.Fleet.Versions() {
		if v.InstanceID == a.config.ID {
			continue
		}
		others++
		if v.Version >= version {
			confirmed++
		}
	}
	return confirmed, others
}
