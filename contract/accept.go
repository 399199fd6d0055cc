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

	"github.com/magnoliausher/magnoliausher/finding"
	"github.com/magnoliausher/magnoliausher/storage"
)

// ConflictError refuses a change that is based on a version that is no longer
// in force. Nothing was changed.
type ConflictError struct {
	Base    uint64
	InForce *Document // nil when there is no configuration or its body could not be read
	Version uint64    // in force
}

// Error gives both versions.
func (e *ConflictError) Error() string {
	return fmt.Sprintf("the change is based on version %d, but version %d is in force", e.Base, e.Version)
}

// Changes returns the difference from the document in force to the refused one.
func (e *ConflictError) Changes(doc *Document) []Change { return Diff(e.InForce, doc) }

// StaleSheetError refuses a sheet that is not newer than the one in force, or a
// small change that is made to another sheet than the one in force.
type StaleSheetError struct {
	SheetDate       string
	Revision        int
	InForceDate     string
	InForceRevision int
	InForceVersion  uint64
	SmallChange     bool
}

// Error gives both sheets.
func (e *StaleSheetError) Error() string {
	rule := "is not newer than"
	if e.SmallChange {
		rule = "is not the same as"
	}
	return fmt.Sprintf("the sheet of %s revision %d %s the one in force, of %s revision %d",
		e.SheetDate, e.Revision, rule, e.InForceDate, e.InForceRevision)
}

// UnknownOutcomeError says that the platform failed for so long that it is unknown
// whether the change was accepted. Accept with the same base and a document
// with this change id settles it.
type UnknownOutcomeError struct {
	Base     uint64
	ChangeID string
	Cause    error
}

// Error gives the change id.
func (e *UnknownOutcomeError) Error() string {
	return fmt.Sprintf("outcome of change %s on version %d is unknown: %v", e.ChangeID, e.Base, e.Cause)
}

// Unwrap returns the platform's error.
func (e *UnknownOutcomeError) Unwrap() error { return e.Cause }

// AcceptOption changes how a document is accepted.
type AcceptOption func(*acceptance)

// SmallChange accepts a change between two sheets: its document must name the
// sheet in force instead of a newer one.
func SmallChange() AcceptOption {
	return func(a *acceptance) { a.small = true }
}

// acceptance is one document on its way to become version base+1.
type acceptance struct {
	store *Store
	base  uint64
	doc   Document // a copy with version and change id set
	small bool
	body  []byte
	key   string // of the body's object
}

var changeIDPattern = regexp.MustCompile(`^[A-Za-z0-9._-]{1,64}$`)

// Accept makes doc version base+1 and returns that version. The document's
// change id names the change; an empty one is replaced by a random one. A
// repeated call with the same base and change id returns the outcome of the
// first one, so that a lost response can be settled. The body is written as an
// object before the row config/current moves on, so a reader of the row always
// finds its body.
//
// Errors: a finding.List, ConflictError, StaleSheetError, OpenOutcomeError, or
// a platform error when this call changed nothing (the outcome of an earlier
// call with the same change id is then still open). Retries end only with the
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
// set when an earlier call with the same change id has already succeeded.
func (a *acceptance) start(ctx context.Context) (current currentRow, accepted bool, err error) {
	err = a.store.retry(ctx, func() error {
		current, accepted, err = a.position(ctx)
		return err
	})
	if err != nil || accepted {
		return current, accepted, err
	}
	if current.Version != a.base {
		return current, false, a.conflict(ctx, current)
	}
	return current, false, a.checkSheet(current.head)
}

// position reads the row in force and, if it has moved on, whether it did so by this change.
func (a *acceptance) position(ctx context.Context) (currentRow, bool, error) {
	current, err := a.store.current(ctx)
	if err != nil || current.Version <= a.base {
		return current, false, err
	}
	object, err := a.store.objectAt(ctx, a.base+1)
	return current, object == a.key, err
}

func (a *acceptance) checkSheet(inForce head) error {
	if inForce.Version == 0 {
		return nil
	}
	newer := a.doc.SheetDate > inForce.SheetDate ||
		(a.doc.SheetDate == inForce.SheetDate && a.doc.Revision > inForce.Revision)
	same := a.doc.SheetDate == inForce.SheetDate && a.doc.Revision == inForce.Revision
	if (a.small && same) || (!a.small && newer) {
		return nil
	}
	return &StaleSheetError{
		SheetDate: a.doc.SheetDate, InForceDate: inForce.SheetDate,
		Revision: a.doc.Revision, InForceRevision: inForce.Revision,
		SmallChange: a.small, InForceVersion: inForce.Version,
	}
}

// conflict reads the document in force for the error, as far as the platform lets it.
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

// putBody writes the body. Repeating it is safe, because the key contains a
// hash of the content.
func (a *acceptance) putBody(ctx context.Context) error {
	return a.store.platform.Objects().Put(ctx, a.key, bytes.NewReader(a.body))
}

// commit moves the row to the new version. The same transaction is repeated
// while its outcome is open: its conditions hold at most once, because row
// versions never repeat.
func (a *acceptance) commit(ctx context.Context, current currentRow) (uint64, error) {
	tx, err := a.transaction(current)
	if err != nil {
		return 0, err
	}
	open := false // whether an earlier attempt may have taken effect or still may
	for failed := 0; ; failed++ {
		_, err := a.store.platform.Commit(ctx, tx)
		switch {
		case err == nil:
			a.store.removeOldBodies(ctx, a.doc.Version)
			return a.doc.Version, nil
		case errors.Is(err, storage.ErrConflict):
			return a.settle(ctx)
		case errors.Is(err, storage.ErrUnavailable):
			open = true
		case !errors.Is(err, storage.ErrThrottled):
			return 0, a.unsettled(open, err)
		}
		if !a.store.backoff.Wait(ctx, failed) {
			return 0, a.unsettled(open, err)
		}
	}
}

// settle finds out after a failed condition whether this change or another one
// took effect. When that can't be read, an earlier call with the same change
// id may have succeeded.
func (a *acceptance) settle(ctx context.Context) (uint64, error) {
	var current currentRow
	var accepted bool
	err := a.store.retry(ctx, func() error {
		var err error
		current, accepted, err = a.position(ctx)
		return err
	})
	switch {
	case err != nil:
		return 0, a.unsettled(true, err)
	case accepted:
		return a.doc.Version, nil
	}
	return 0, a.conflict(ctx, current)
}

// unsettled returns the error of a change that may or may not have been accepted.
func (a *acceptance) unsettled(open bool, cause error) error {
	if !open {
		return trace.Wrap(cause, "accept configuration")
	}
	return &UnknownOutcomeError{Base: a.base, ChangeID: a.doc.ChangeID, Cause: cause}
}

// transaction moves config/current on and records the change id of the new
// version, so that the id can be looked up after later changes too.
func (a *acceptance) transaction(current currentRow) (storage.Transaction, error) {
	next, err := json.Marshal(head{
		Version: a.doc.Version, ChangeID: a.doc.ChangeID, Object: a.key,
		SheetDate: a.doc.SheetDate, Revision: a.doc.Revision,
	})
	if err != nil {
		return storage.Transaction{}, trace.Wrap(err)
	}
	history, err := json.Marshal(record{
		ChangeID: a.doc.ChangeID, Object: a.key, SheetDate: a.doc.SheetDate, Revision: a.doc.Revision,
	})
	if err != nil {
		return storage.Transaction{}, trace.Wrap(err)
	}
	tx := storage.Transaction{Writes: []storage.Write{
		{Key: currentKey, Value: next, IfVersion: current.row},
		{Key: historyKey(a.doc.Version), Value: history},
	}}
	if a.doc.Version > historyLength {
		tx.Writes = append(tx.Writes, storage.Write{Key: historyKey(a.doc.Version - historyLength), Always: true, Delete: true})
	}
	return tx, nil
}
