// Package storage defines the interfaces to the services of the platform (the
// transactional table service, the object store and the instance list) and
// provides an HTTP client with retries and rate limits.
package storage

import (
	"context"
	"errors"
	"io"
	"time"
)

// Errors of all implementations, possibly wrapped.
var (
	// ErrNotFound: no such row or object.
	ErrNotFound = errors.New("not found")
	// ErrConflict: a condition of a transaction did not hold; nothing was written.
	ErrConflict = errors.New("condition failed")
	// ErrThrottled: the service refused the call because of its rate limit; it had no effect.
	ErrThrottled = errors.New("throttled")
	// ErrUnavailable: the call failed; a write may have taken effect, or may do so later.
	ErrUnavailable = errors.New("platform unavailable")
	// ErrNotSent: there was no connection for the call, so it had no effect.
	ErrNotSent = errors.New("call was not sent")
)

// Row is one row of the table.
type Row struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"` // increases with every write of the row; 0 means absent
	Value   []byte `json:"value"`
}

// Condition requires a row to have the given version; 0 requires it to be absent.
type Condition struct {
	Key     string `json:"key"`
	Version uint64 `json:"version"`
}

// Write writes a row, or deletes it if Delete is set. Unless Always is set, the
// row must have version IfVersion; 0 requires it to be absent.
type Write struct {
	Key       string `json:"key"`
	Value     []byte `json:"value,omitempty"`
	IfVersion uint64 `json:"if_version"`
	Always    bool   `json:"always,omitempty"`
	Delete    bool   `json:"delete,omitempty"`
}

// Transaction applies all writes if all conditions hold, otherwise none.
type Transaction struct {
	Conditions []Condition `json:"conditions,omitempty"`
	Writes     []Write     `json:"writes,omitempty"`
}

// Table is the transactional table service. Rows are ordered by key.
type Table interface {
	// Get returns a row, or ErrNotFound.
	Get(ctx context.Context, key string) (Row, error)
	// Scan returns at most limit rows, in key order, with the prefix and with keys
	// greater than after.
	Scan(ctx context.Context, prefix, after string, limit int) ([]Row, error)
	// Commit applies a transaction and returns the new versions of the written
	// rows in order. ErrConflict means that nothing was written. After
	// ErrUnavailable the transaction may have taken effect.
	Commit(ctx context.Context, tx Transaction) ([]uint64, error)
}

// Objects is the object store. An object is immutable once written.
type Objects interface {
	// Put writes an object with the content of body, and replaces an existing object.
	Put(ctx context.Context, key string, body io.Reader) error
	// Get opens an object, or returns ErrNotFound. The caller must close the reader.
	Get(ctx context.Context, key string) (io.ReadCloser, error)
	// Delete removes an object. Removing an absent object is not an error.
	Delete(ctx context.Context, key string) error
	// List returns at most limit objects, in key order, with the prefix and with
	// keys greater than after.
	List(ctx context.Context, prefix, after string, limit int) ([]ObjectInfo, error)
}

// ObjectInfo describes a stored object.
type ObjectInfo struct {
	Key     string    `json:"key"`
	Bytes   int64     `json:"bytes"`
	Written time.Time `json:"written"`
}

// Role is the role of an instance.
type Role string

const (
	RoleEntry Role = "entry"
	RoleAgent Role = "agent"
)

// InstanceState is the state of an instance in the platform's list.
type InstanceState string

// The list is updated with a delay, so a listed state may be out of date.
const (
	InstanceLive    InstanceState = "live"
	InstanceLeaving InstanceState = "leaving"
)

// Instance is one entry of the platform's instance list.
type Instance struct {
	ID         string        `json:"id"`
	Role       Role          `json:"role"`
	DataCentre string        `json:"data_centre"`
	Address    string        `json:"address"` // IP:port of its connect-go server
	Service    string        `json:"service"` // of an agent's upstream
	State      InstanceState `json:"state"`
}

// InstanceList is the platform's list of live and leaving instances. It is
// updated with a delay.
type InstanceList interface {
	// Instances returns the list and its revision. The list is nil if since is the
	// current revision.
	Instances(ctx context.Context, since uint64) ([]Instance, uint64, error)
}

// Platform combines the three services.
type Platform interface {
	Table
	InstanceList
	Objects() Objects
}
