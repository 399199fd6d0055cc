package contract

import (
	"context"
	"crypto/sha256"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/storage"
)

// Keys of the configuration's rows and objects.
const (
	currentKey    = "config/current"
	historyPrefix = "config/history/" // followed by the version with 20 digits
	bodyPrefix    = "config/body/"    // followed by version, change id and content hash
)

// historyLength is the number of accepted versions whose bodies and history
// rows are retained, so that a retry after a lost response finds the outcome. At
// 1,500 changes per day it covers 16 h.
const historyLength = 1000

// Limits of the cleanup of old bodies after an accepted change. It removes more
// than one body per change, because refused changes leave bodies too.
const (
	removalTimeout = 1 * time.Second
	removalBatch   = 8
)

// currentValue is the value of the row config/current.
type currentValue struct {
	Version   uint64 `json:"version"`
	ChangeID  string `json:"change_id"`
	Object    string `json:"object"` // object key of the body
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// historyValue is the value of a history row: the change that created the
// version.
type historyValue struct {
	ChangeID  string `json:"change_id"`
	Object    string `json:"object"`
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// currentRow is the decoded row config/current with its row version. A zero
// value means that there is no configuration.
type currentRow struct {
	currentValue
	rowVersion uint64
}

// Store stores the configuration in the platform's table and object store.
type Store struct {
	platform storage.Platform
	backoff  storage.Backoff
}

// keyHashBytes is the length in bytes of the content hash in a body's key.
const keyHashBytes = 8

// Backoff between attempts of a store operation.
const (
	backoffBase = 50 * time.Millisecond
	backoffMax  = 2 * time.Second
)

// NewStore returns a store on the platform.
func NewStore(p storage.Platform) *Store {
	return &Store{
		platform: p,
		backoff:  storage.Backoff{Base: backoffBase, Max: backoffMax},
	}
}

// ErrNoConfiguration is returned when no configuration has been accepted yet.
var ErrNoConfiguration = errors.New("no configuration has been accepted")

// Version returns the version in force, or 0 if there is none. It reads one row.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	current, err := s.readCurrent(ctx)
	return current.Version, err
}

// Load returns the configuration in force, or ErrNoConfiguration.
func (s *Store) Load(ctx context.Context) (*Document, error) {
	current, err := s.readCurrent(ctx)
	if err != nil {
		return nil, err
	}
	if current.Version == 0 {
		return nil, trace.Wrap(ErrNoConfiguration)
	}
	return s.readBody(ctx, current.currentValue)
}

// LoadNewer returns the configuration in force if its version is higher than
// the given one, otherwise nil. If there is no newer one, it reads one row only.
func (s *Store) LoadNewer(ctx context.Context, version uint64) (*Document, error) {
	current, err := s.readCurrent(ctx)
	if err != nil || current.Version <= version {
		return nil, err
	}
	return s.readBody(ctx, current.currentValue)
}

// readCurrent reads and decodes the row config/current without retries.
func (s *Store) readCurrent(ctx context.Context) (currentRow, error) {
	row, err := s.platform.Get(ctx, currentKey)
	if errors.Is(err, storage.ErrNotFound) {
		return currentRow{}, nil
	}
	if err != nil {
		return currentRow{}, trace.Wrap(err, "read row %s", currentKey)
	}
	current := currentRow{rowVersion: row.Version}
	if err := json.Unmarshal(row.Value, &current.currentValue); err != nil {
		return currentRow{}, trace.Wrap(err, "decode row %s", currentKey)
	}
	return current, nil
}

// readBody reads the document that the row refers to and checks that its version
// and change id match the row.
func (s *Store) readBody(ctx context.Context, value currentValue) (*Document, error) {
	reader, err := s.platform.Objects().Get(ctx, value.Object)
	if err != nil {
		return nil, trace.Wrap(err, "open object %s", value.Object)
	}
	defer reader.Close()
	content, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	if err != nil {
		return nil, trace.Wrap(err, "read object %s", value.Object)
	}
	doc, err := Decode(content)
	if err != nil {
		return nil, trace.Wrap(err, "decode object %s", value.Object)
	}
	if doc.Version != value.Version || doc.ChangeID != value.ChangeID {
		return nil, trace.Errorf("object %s contains version %d of change %s, want version %d of change %s",
			value.Object, doc.Version, doc.ChangeID, value.Version, value.ChangeID)
	}
	return doc, nil
}

// bodyKeyOf returns the object key of an accepted version's body, or "" if the
// version has not been accepted or its history row has been deleted.
func (s *Store) bodyKeyOf(ctx context.Context, version uint64) (string, error) {
	r, err := s.readHistory(ctx, version)
	return r.Object, err
}

// readHistory reads a history row. It returns the zero value if the row does not
// exist.
func (s *Store) readHistory(ctx context.Context, version uint64) (historyValue, error) {
	row, err := s.platform.Get(ctx, historyKey(version))
	if errors.Is(err, storage.ErrNotFound) {
		return historyValue{}, nil
	}
	if err != nil {
		return historyValue{}, trace.Wrap(err, "read row %s", historyKey(version))
	}
	var r historyValue
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return historyValue{}, trace.Wrap(err, "decode row %s", row.Key)
	}
	return r, nil
}

// removeOldBodies deletes a batch of bodies of versions that are older than the
// history. Bodies that remain after an error are deleted after a later change.
func (s *Store) removeOldBodies(ctx context.Context, version uint64) {
	if version <= historyLength {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, removalTimeout)
	defer cancel()
	infos, err := s.platform.Objects().List(ctx, bodyPrefix, "", removalBatch)
	if err != nil {
		return
	}
	oldestKept := bodyVersionPrefix(version - historyLength)
	for _, info := range infos {
		if info.Key >= oldestKept || s.platform.Objects().Delete(ctx, info.Key) != nil {
			return
		}
	}
}

func historyKey(version uint64) string { return fmt.Sprintf("%s%020d", historyPrefix, version) }

func bodyVersionPrefix(version uint64) string { return fmt.Sprintf("%s%020d", bodyPrefix, version) }

// bodyKey returns a body's object key, which consists of the version, the change
// id and a content hash. The hash prevents documents that share a change id by
// mistake from overwriting each other.
func bodyKey(doc *Document) (string, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return "", trace.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(plain)
	return fmt.Sprintf("%s-%s-%x", bodyVersionPrefix(doc.Version), doc.ChangeID, sum[:keyHashBytes]), nil
}

// retry retries an idempotent operation while the platform is unavailable or
// throttles requests, until the context ends.
func (s *Store) retry(ctx context.Context, operation func() error) error {
	for failed := 0; ; failed++ {
		err := operation()
		if !errors.Is(err, storage.ErrUnavailable) && !errors.Is(err, storage.ErrThrottled) {
			return err
		}
		if !s.backoff.Wait(ctx, failed) {
			return err
		}
	}
}
