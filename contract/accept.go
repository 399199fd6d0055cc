package contract

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"regexp"

	"github.com/google/uuid"
	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/effect"
	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/storage"
)

// ConflictError is returned for a change that is based on another version than
// the one in force. Nothing was changed.
type ConflictError struct {
	Base    uint64
	InForce *Document // nil if there is no configuration or its body could not be read
	Version uint64    // in force
}

func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is in force", e.Base, e.Version)
}

// Changes returns the difference from the document in force to the refused one.
func (e *ConflictError) Changes(doc *Document) []Change { return Diff(e.InForce, doc) }

// StaleSheetError is returned for a sheet that is not newer than the one in
// force, and for a small change that names another sheet than the one in force.
type StaleSheetError struct {
	SheetDate       string
	Revision        int
	InForceDate     string
	InForceRevision int
	InForceVersion  uint64
	SmallChange     bool
}

func (e *StaleSheetError) Error() string {
	rule := "is not newer than"
	if e.SmallChange {
		rule = "is not the same as"
	}
	return fmt.Sprintf("the sheet of %s revision %d %s the one in force, of %s revision %d",
		e.SheetDate, e.Revision, rule, e.InForceDate, e.InForceRevision)
}

// UnknownOutcomeError is returned when platform failures leave it unknown
// whether the change was accepted. To find out, call Accept again with the same
// base, document and change id.
type UnknownOutcomeError struct {
	Base     uint64
	ChangeID string
	Cause    error
}

func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s on version %d is unknown: %v", e.ChangeID, e.Base, e.Cause)
}

func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// AcceptOption is an option of Accept.
type AcceptOption func(*acceptance)

// SmallChange makes Accept require the date and revision of the sheet in force
// instead of newer ones. It is for changes made between two sheets.
func SmallChange() AcceptOption {
	return func(a *acceptance) { a.smallChange = true }
}

// acceptance is the state of one Accept call.
type acceptance struct {
	store       *Store
	base        uint64
	doc         Document // a copy with version and change id set
	smallChange bool
	body        []byte
	key         string // object key of the body
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Accept makes doc version base+1 and returns that version. The document's
// change id identifies the change; an empty one is replaced by a random one.
// Accept is idempotent: a repeated call with the same base, document and change
// id returns the outcome of the first one, so a caller can retry after a lost
// response. The body is written as an object before the row config/current is
// updated, so a reader of the row always finds its body.
//
// Errors: a finding.List, ConflictError, StaleSheetError, OpenOutcomeError, or
// a platform error if this call changed nothing (the outcome of an earlier call
// with the same change id then remains unknown). Retries end only with the
// context, so it should have a deadline.
func (s *Store) Accept(ctx context.Context, base uint64, doc *Document, options ...AcceptOption) (uint64, error) {
	a, err := s.prepare(base, doc, options)
	if err != nil {
		return 0, err
	}
	current, accepted, err := a.start(ctx)
	if err != nil {
		return 0, err
	}
	if accepted {
		return a.doc.Version, nil
	}
	if err := s.retry(ctx, func() error { return a.putBody(ctx) }); err != nil {
		return 0, trace.Wrap(err, "write configuration body")
	}
	return a.commit(ctx, current)
}

func (s *Store) prepare(base uint64, doc *Document, options []AcceptOption) (*acceptance, error) {
	a := &acceptance{store: s, base: base, doc: *doc}
	for _, option := range options {
		option(a)
	}
	findings := Validate(doc)
	if a.doc.ChangeID == "" {
		a.doc.ChangeID = uuid.NewString()
	}
	if !changeIDPattern.MatchString(a.doc.ChangeID) {
		findings.Add(finding.Finding{Key: "change_id", Value: a.doc.ChangeID, Reason: "want 1 to 64 letters, digits, dots, underscores and hyphens"})
	}
	if err := findings.Err(); err != nil {
		return nil, err
	}
	a.doc.Version = base + 1
	body, err := Encode(&a.doc)
	if err != nil {
		return nil, err
	}
	key, err := bodyKey(&a.doc)
	if err != nil {
		return nil, err
	}
	a.body, a.key = body, key
	return a, nil
}

// start reads the row in force and checks the change against it. accepted is
// true if an earlier call with the same change id has already succeeded.
func (a *acceptance) start(ctx context.Context) (current currentRow, accepted bool, err error) {
	err = a.store.retry(ctx, func() error {
		current, accepted, err = a.readState(ctx)
		return err
	})
	if err != nil || accepted {
		return current, accepted, err
	}
	if current.Version != a.base {
		return current, false, a.conflict(ctx, current)
	}
	return current, false, a.checkSheet(current.currentValue)
}

// readState reads the row in force. If its version is above the base, readState
// also reports whether this change became version base+1.
func (a *acceptance) readState(ctx context.Context) (currentRow, bool, error) {
	current, err := a.store.readCurrent(ctx)
	if err != nil || current.Version <= a.base {
		return current, false, err
	}
	object, err := a.store.bodyKeyOf(ctx, a.base+1)
	return current, object == a.key, err
}

func (a *acceptance) checkSheet(inForce currentValue) error {
	if inForce.Version == 0 {
		return nil
	}
	newer := a.doc.SheetDate > inForce.SheetDate ||
		(a.doc.SheetDate == inForce.SheetDate && a.doc.Revision > inForce.Revision)
	same := a.doc.SheetDate == inForce.SheetDate && a.doc.Revision == inForce.Revision
	if (a.smallChange && same) || (!a.smallChange && newer) {
		return nil
	}
	return &StaleSheetError{
		SheetDate: a.doc.SheetDate, InForceDate: inForce.SheetDate,
		Revision: a.doc.Revision, InForceRevision: inForce.Revision,
		SmallChange: a.smallChange, InForceVersion: inForce.Version,
	}
}

// conflict returns a ConflictError. It includes the document in force if the
// platform can read it.
func (a *acceptance) conflict(ctx context.Context, current currentRow) error {
	conflict := &ConflictError{Base: a.base, Version: current.Version}
	if current.Version == 0 {
		return conflict
	}
	if doc, err := a.store.Load(ctx); err == nil {
		conflict.InForce, conflict.Version = doc, doc.Version
	}
	return conflict
}

// putBody writes the body. It is idempotent, because the key contains a hash of
// the content.
func (a *acceptance) putBody(ctx context.Context) error {
	return a.store.platform.Objects().Put(ctx, a.key, bytes.NewReader(a.body))
}

// commit updates the row to the new version. It retries the same transaction
// while the outcome is unknown. This applies the change at most once, because
// the transaction is conditional on a row version and row versions never repeat.
func (a *acceptance) commit(ctx context.Context, current currentRow) (uint64, error) {
	tx, err := a.transaction(current)
	if err != nil {
		return 0, err
	}
	known := effect.NotPerformed // of all attempts so far
	for failed := 0; ; failed++ {
		_, err := a.store.platform.Commit(ctx, tx)
		switch {
		case err == nil:
			a.store.removeOldBodies(ctx, a.doc.Version)
			return a.doc.Version, nil
		case errors.Is(err, storage.ErrConflict):
			return a.resolveConflict(ctx) // no attempt can take effect any more
		}
		known = known.Either(storage.WriteOutcome(err))
		retryable := errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrThrottled)
		if !retryable || !a.store.backoff.Wait(ctx, failed) {
			return 0, a.commitError(known, err)
		}
	}
}

// resolveConflict finds out whether this change or another one took effect,
// after the transaction's condition failed. If the rows can't be read, the
// outcome is unknown, because an earlier call with the same change id may have
// succeeded.
func (a *acceptance) resolveConflict(ctx context.Context) (uint64, error) {
	var current currentRow
	var accepted bool
	err := a.store.retry(ctx, func() error {
		var err error
		current, accepted, err = a.readState(ctx)
		return err
	})
	switch {
	case err != nil:
		return 0, a.commitError(effect.Unknown, err)
	case accepted:
		return a.doc.Version, nil
	}
	return 0, a.conflict(ctx, current)
}

// commitError wraps the cause of a failed commit, in an UnknownOutcomeError if
// the change may have been accepted.
func (a *acceptance) commitError(known effect.Outcome, cause error) error {
	if known == effect.NotPerformed {
		return trace.Wrap(cause, "accept configuration")
	}
	return &UnknownOutcomeError{Base: a.base, ChangeID: a.doc.ChangeID, Cause: cause}
}

// transaction builds the update of config/current. It also adds a history row
// with the change id, so that the id can be looked up after later changes, and
// deletes the history row that falls out of the retained range.
func (a *acceptance) transaction(current currentRow) (storage.Transaction, error) {
	next, err := json.Marshal(currentValue{
		Version: a.doc.Version, ChangeID: a.doc.ChangeID, Object: a.key,
		SheetDate: a.doc.SheetDate, Revision: a.doc.Revision,
	})
	if err != nil {
		return storage.Transaction{}, trace.Wrap(err)
	}
	history, err := json.Marshal(historyValue{
		ChangeID: a.doc.ChangeID, Object: a.key, SheetDate: a.doc.SheetDate, Revision: a.doc.Revision,
	})
	if err != nil {
		return storage.Transaction{}, trace.Wrap(err)
	}
	tx := storage.Transaction{Writes: []storage.Write{
		{Key: currentKey, Value: next, IfVersion: current.rowVersion},
		{Key: historyKey(a.doc.Version), Value: history},
	}}
	if a.doc.Version > historyLength {
		tx.Writes = append(tx.Writes, storage.Write{Key: historyKey(a.doc.Version - historyLength), Always: true, Delete: true})
	}
	return tx, nil
}
