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

// Rows and objects of the configuration.
const (
	currentKey    = "config/current"
	historyPrefix = "config/history/" // followed by the version with 20 digits
	bodyPrefix    = "config/body/"    // followed by version, change id and content hash
)

// historyLength is the number of accepted versions whose bodies and history
// rows are kept to settle lost responses. At 1,500 changes per day it covers
// 16 h.
const historyLength = 1000

// Bounds of the removal of old bodies after an accepted change. More than one
// body per change is removed, because refused changes leave bodies too.
const (
	removalTimeout = 1 * time.Second
	removalBatch   = 8
)

// head is the value of the row config/current.
type head struct {
	Version   uint64 `json:"version"`
	ChangeID  string `json:"change_id"`
	Object    string `json:"object"` // key of the body
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// record is the value of a history row: the change that became its version.
type record struct {
	ChangeID  string `json:"change_id"`
	Object    string `json:"object"`
	SheetDate string `json:"sheet_date"`
	Revision  int    `json:"revision"`
}

// currentRow is the decoded row config/current with its row version. A zero
// value stands for no configuration.
type currentRow struct {
	head
	row uint64
}

// Store keeps the configuration in the platform's table and object store.
type Store struct {
	platform storage.Platform
	backoff  storage.Backoff
}

// keyHashBytes is the length of the content hash in the key of a body.
const keyHashBytes = 8

// Backoff between attempts of one operation of the store.
const (
	storeBackoffBase = 50 * time.Millisecond
	storeBackoffMax  = 2 * time.Second
)

// NewStore returns a store on the platform.
func NewStore(p storage.Platform) *Store {
	return &Store{
		platform: p,
		backoff:  storage.Backoff{Base: storeBackoffBase, Max: storeBackoffMax},
	}
}

// ErrNoConfiguration: none has been accepted yet.
var ErrNoConfiguration = errors.New("no configuration has been accepted")

// Version returns the version in force with one row read, or 0 if there is none.
func (s *Store) Version(ctx context.Context) (uint64, error) {
	current, err := s.current(ctx)
	return current.Version, err
}

// Load returns the configuration in force, or ErrNoConfiguration.
func (s *Store) Load(ctx context.Context) (*Document, error) {
	current, err := s.current(ctx)
	if err != nil {
		return nil, err
	}
	if current.Version == 0 {
		return nil, trace.Wrap(ErrNoConfiguration)
	}
	return s.body(ctx, current.head)
}

// LoadNewer returns the configuration in force if its version is higher than
// the given one, else nil. Without a newer one it costs one row read.
func (s *Store) LoadNewer(ctx context.Context, than uint64) (*Document, error) {
	current, err := s.current(ctx)
	if err != nil || current.Version <= than {
		return nil, err
	}
	return s.body(ctx, current.head)
}

// current reads the row config/current once.
func (s *Store) current(ctx context.Context) (currentRow, error) {
	row, err := s.platform.Get(ctx, currentKey)
	if errors.Is(err, storage.ErrNotFound) {
		return currentRow{}, nil
	}
	if err != nil {
		return currentRow{}, trace.Wrap(err, "read row %s", currentKey)
	}
	current := currentRow{row: row.Version}
	if err := json.Unmarshal(row.Value, &current.head); err != nil {
		return currentRow{}, trace.Wrap(err, "decode row %s", currentKey)
	}
	return current, nil
}

// body reads the document that the row names and checks that it is the same one.
func (s *Store) body(ctx context.Context, h head) (*Document, error) {
	reader, err := s.platform.Objects().Get(ctx, h.Object)
	if err != nil {
		return nil, trace.Wrap(err, "open object %s", h.Object)
	}
	defer reader.Close()
	content, err := io.ReadAll(io.LimitReader(reader, maxDocumentBytes))
	if err != nil {
		return nil, trace.Wrap(err, "read object %s", h.Object)
	}
	doc, err := Decode(content)
	if err != nil {
		return nil, trace.Wrap(err, "object %s", h.Object)
	}
	if doc.Version != h.Version || doc.ChangeID != h.ChangeID {
		return nil, trace.Errorf("object %s holds version %d of change %s, want version %d of change %s",
			h.Object, doc.Version, doc.ChangeID, h.Version, h.ChangeID)
	}
	return doc, nil
}

// objectAt returns the body's key of an accepted version, or "" if the version
// has not been accepted or its history has been removed.
func (s *Store) objectAt(ctx context.Context, version uint64) (string, error) {
	r, err := s.record(ctx, version)
	return r.Object, err
}

// record reads a history row; a missing one gives the zero value.
func (s *Store) record(ctx context.Context, version uint64) (record, error) {
	row, err := s.platform.Get(ctx, historyKey(version))
	if errors.Is(err, storage.ErrNotFound) {
		return record{}, nil
	}
	if err != nil {
		return record{}, trace.Wrap(err, "read row %s", historyKey(version))
	}
	var r record
	if err := json.Unmarshal(row.Value, &r); err != nil {
		return record{}, trace.Wrap(err, "decode row %s", row.Key)
	}
	return r, nil
}

// removeOldBodies removes some bodies of versions before the history. What
// remains after an error is removed after a later change.
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

// bodyKey names a body by version, change id and content. The hash keeps two
// documents that carry the same change id by mistake from replacing each other.
func bodyKey(doc *Document) (string, error) {
	plain, err := json.Marshal(doc)
	if err != nil {
		return "", trace.Wrap(err, "encode configuration")
	}
	sum := sha256.Sum256(plain)
	return fmt.Sprintf("%s-%s-%x", bodyVersionPrefix(doc.Version), doc.ChangeID, sum[:keyHashBytes]), nil
}

// retry repeats an operation that is safe to repeat while the platform is
// unavailable or throttles, until the context ends.
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
