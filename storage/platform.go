// Package storage holds the interfaces to the services of the platform: the
// transactional table service, the object store and the list of instances.
package storage

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors that every implementation returns, possibly wrapped.
var (
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrThrottled: the service refused the call because of its rate limit; it had no effect.
	ErrThrottled = errors.New("throttled")
	// ErrUnavailable: the call failed; a write may have taken effect.
	ErrUnavailable = errors.New("platform unavailable")
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // rises with every write of the row; 0 means absent
	Value   []byte `json:"value"`
}

// Condition requires a row to have exactly a version; 0 requires it to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write puts a value, or removes the row when Delete is set. Its condition is
// that the row still has version IfVersion (0: absent) unless Always is set.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion uint64 `json:"if_version"`
	Always    bool   `json:"always,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, else nothing.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Table is the transactional table service. Rows are ordered by key.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows with the prefix whose keys are greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new versions of the written
	// rows in order. ErrConflict means that nothing was written;
	// ErrUnavailable leaves the outcome open.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
}

// Objects is the object store. An object is immutable once written.
type Objects interface {
	// Put writes an object and reads body to its end; writing the same key again replaces it.
	Put(ctx context.Context, key string, body io.Reader) error
	// Get opens an object, or returns ErrNotFound. The caller closes it.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes an object; removing an absent one is no error.
	Delete(ctx context.Context, key string) error
	// List returns at most limit objects with the prefix whose keys are greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error)
}

// ObjectInfo describes one stored object.
type ObjectInfo struct {
	Key     string    `json:"key"`
	Bytes   int64     `json:"bytes"`
	Written time.Time `json:"written"`
}

// Role says what an instance runs.
type Role string

// Roles of instances.
const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// States in the platform's list, which lags.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one line of the platform's list.
type Instance struct {
	ID         string        `json:"id"`
	Role       Role          `json:"role"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address"` // IP:port of its connect-go server
	Service    string        `json:"service"` // agents: the service of their upstream
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's lagging list of live and leaving instances.
type InstanceList interface {
	// Instances returns the list and its revision. With since equal to the
	// current revision it returns a nil list.
	Instances(ctx context.Context, since uint64) ([]Instance, uint64, error)
}

// Platform joins the three services.
type Platform interface {
	Table
	InstanceList
	// Objects returns the object store.
	Objects() Objects
}
