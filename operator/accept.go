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

// idempotencyHeader carries the change id that the operator chose.
const idempotencyHeader = "Idempotency-Key"

// sheetName stands for the uploaded sheet in findings.
const sheetName = "sheet"

// AcceptResponse says that a change is in force.
type AcceptResponse struct {
	Version     uint64            `json:"version"`
	Base        uint64            `json:"base"`
	ChangeID    string            `json:"change_id"`
	SheetDate   string            `json:"sheet_date"`
	Revision    int               `json:"revision"`
	Difference  []contract.Change `json:"difference"`   // from the base to the new version
	ConfirmedBy int               `json:"confirmed_by"` // other instances that already reported the version
}

// proposal is a document that an operator wants in force.
type proposal struct {
	base     uint64 // the version that the document is based on
	fixed    bool   // the operator named the base
	changeID string
	repeated bool // the operator named the change id, so an earlier call may have succeeded
	doc      contract.Document
	options  []contract.AcceptOption
}

// newProposal takes the change id of the request or makes one.
func newProposal(r *http.Request, base uint64) *proposal {
	p := &proposal{base: base, fixed: true, changeID: r.Header.Get(idempotencyHeader)}
	p.repeated = p.changeID != ""
	if !p.repeated {
		p.changeID = uuid.NewString()
	}
	return p
}

func (p *proposal) setDocument(doc *contract.Document) {
	p.doc = *doc
	p.doc.ChangeID = p.changeID
}

func (a *API) putSheet(w http.ResponseWriter, r *http.Request) error {
	base, fixed, err := baseOf(r)
	if err != nil {
		return err
	}
	doc, err := readSheet(w, r)
	if err != nil {
		return err
	}
	p := newProposal(r, base)
	p.setDocument(doc)
	p.fixed = fixed
	if contract.CallerFrom(r.Context()) == nil { // may only set the first configuration
		p.base, p.fixed = 0, true
	}
	return a.answerAccept(w, r, p)
}

// baseOf reads the query parameter base.
func baseOf(r *http.Request) (base uint64, fixed bool, err error) {
	text := r.URL.Query().Get("base")
	if text == "" {
		return 0, false, nil
	}
	base, err = strconv.ParseUint(text, 10, 63)
	if err != nil {
		e := refusal(http.StatusBadRequest, typeInvalid, codeParameter, "The parameter base must be a version number.")
		e.Param = "base"
		return 0, false, e
	}
	return base, true, nil
}

// readSheet reads the body as a sheet.
func readSheet(w http.ResponseWriter, r *http.Request) (*contract.Document, error) {
	body, err := readBody(w, r, sheet.MaxBytes)
	if err != nil {
		return nil, err
	}
	return sheet.Parse(sheetName, bytes.NewReader(body))
}

// answerAccept makes the proposal the configuration in force. It goes on when
// the operator's connection breaks, so that an accepted change also spreads.
func (a *API) answerAccept(w http.ResponseWriter, r *http.Request, p *proposal) error {
	ctx, cancel := context.WithTimeout(context.WithoutCancel(r.Context()), acceptTimeout)
	defer cancel()
	before, err := a.accept(ctx, p)
	if err != nil {
		return a.explain(ctx, r, p, err)
	}
	a.config.Log.Info().Uint64("version", p.doc.Version).Str("change_id", p.changeID).Msg("configuration accepted")
	return writeJSON(w, AcceptResponse{
		Version: p.doc.Version, Base: p.base, ChangeID: p.changeID, SheetDate: p.doc.SheetDate, Revision: p.doc.Revision,
		Difference: contract.Diff(before, &p.doc), ConfirmedBy: a.awaitSpread(ctx, p.doc.Version),
	})
}

// accept returns the document that the proposal replaced, nil without any or
// when it can't be read.
func (a *API) accept(ctx context.Context, p *proposal) (*contract.Document, error) {
	version, err := a.commit(ctx, p)
	if err != nil {
		return nil, err
	}
	var before *contract.Document
	if ix := a.config.Holder.Current(); ix != nil && ix.Document.Version == p.base {
		before = ix.Document
	}
	p.doc.Version = version
	a.config.Holder.Offer(&p.doc)
	if before == nil && p.base > 0 {
		before, _ = a.config.Store.LoadVersion(ctx, p.base)
	}
	return before, nil
}

// commit accepts the proposal. Without a named base it takes the version in
// force, and finds out after a refusal whether an earlier call with the same
// change id has succeeded.
func (a *API) commit(ctx context.Context, p *proposal) (uint64, error) {
	store := a.config.Store
	if !p.fixed {
		base, err := store.Version(ctx)
		if err != nil {
			return 0, err
		}
		p.base = base
	}
	version, err := store.Accept(ctx, p.base, &p.doc, p.options...)
	if p.fixed || !p.repeated || !isRefused(err) {
		return version, err
	}
	earlier, lookupErr := store.VersionOf(ctx, p.changeID)
	if lookupErr != nil || earlier == 0 {
		return 0, err
	}
	p.base = earlier - 1
	return store.Accept(ctx, p.base, &p.doc, p.options...)
}

func isRefused(err error) bool {
	var conflict *contract.ConflictError
	var stale *contract.StaleSheetError
	return errors.As(err, &conflict) || errors.As(err, &stale)
}

// explain adds the difference to a refusal and the change id to an open
// outcome. Without an operator's key it adds nothing, because the difference
// shows the configuration.
func (a *API) explain(ctx context.Context, r *http.Request, p *proposal, err error) error {
	if isFindings(err) {
		return err
	}
	var open *contract.OpenOutcomeError
	if p.repeated && !isRefused(err) && !errors.As(err, &open) {
		// This call changed nothing, but an earlier one with the change id may have.
		err = &contract.OpenOutcomeError{Base: p.base, ChangeID: p.changeID, Cause: err}
	}
	if errors.As(err, &open) {
		select {
		case a.unclear <- struct{}{}:
		default: // is already being looked for
		}
	}
	if isRefused(err) && contract.CallerFrom(r.Context()) == nil {
		return notReady()
	}
	details := ErrorDetails{ChangeID: p.changeID, Base: p.base}
	if isRefused(err) {
		a.addDifference(ctx, p, err, &details)
	}
	return &acceptanceError{cause: err, details: details}
}

func (a *API) addDifference(ctx context.Context, p *proposal, err error, details *ErrorDetails) {
	var conflict *contract.ConflictError
	var inForce *contract.Document
	if errors.As(err, &conflict) && conflict.InForce != nil {
		inForce = conflict.InForce
		a.config.Holder.Offer(inForce)
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

// An accepted change is acknowledged when confirmations other instances have
// it, so that the loss of this entry right after does not delay it until the
// slow poll of the others. Without them the answer comes after confirmTimeout.
const (
	confirmations  = 2
	confirmTimeout = 3 * time.Second
	confirmPause   = 25 * time.Millisecond
)

// awaitSpread returns how many other instances have reported the version.
func (a *API) awaitSpread(ctx context.Context, version uint64) int {
	if a.config.Fleet == nil {
		return 0
	}
	ctx, cancel := context.WithTimeout(ctx, confirmTimeout)
	defer cancel()
	tick := time.NewTicker(confirmPause)
	defer tick.Stop()
	for {
		have, others := a.reported(version)
		if have >= min(confirmations, others) {
			return have
		}
		select {
		case <-ctx.Done():
			return have
		case <-tick.C:
		}
	}
}

func (a *API) reported(version uint64) (have, others int) {
	for _, v := range a.config.Fleet.Versions() {
		if v.InstanceID == a.config.ID {
			continue
		}
		others++
		if v.Version >= version {
			have++
		}
	}
	return have, others
}
