// Package contract defines the configuration: the services, the groups of
// upstreams that serve them, and the callers with their limits. It validates,
// stores and distributes configurations within a process.
package contract

import (
	"crypto/sha256"
	"encoding/hex"
	"path"
	"time"
)

// Kind is the type of a service: a model engine or a plain HTTP service.
type Kind string

// Kinds of services.
const (
	KindEngine Kind = "engine"
	KindPlain  Kind = "plain"
)

// Class is the priority class of work.
type Class string

// Classes of work.
const (
	ClassOnline Class = "online"
	ClassBatch  Class = "batch"
)

// Document is one version of the configuration. It is immutable once accepted.
type Document struct {
	Version   uint64          `json:"version"`    // increases by one per accepted change
	ChangeID  string          `json:"change_id"`  // unique per change; makes retries idempotent
	SheetDate string          `json:"sheet_date"` // YYYY-MM-DD
	Revision  int             `json:"revision"`   // of the sheet within its date
	Services  []Service       `json:"services"`
	Groups    []UpstreamGroup `json:"groups"`
	Callers   []Caller        `json:"callers"`
}

// Service is a model or plain HTTP service that callers address in requests.
type Service struct {
	Name          string  `json:"name"`
	Kind          Kind    `json:"kind"`
	Model         string  `json:"model,omitempty"`   // engines: the model name in requests
	Adapter       string  `json:"adapter,omitempty"` // engines: adapter of the model
	ModelVersion  string  `json:"model_version,omitempty"`
	NonRepeatable []Route `json:"non_repeatable,omitempty"`
	MaxInProgress int     `json:"max_in_progress"` // concurrent online requests per entry; 0 means no limit
	DeadlineMS    int     `json:"deadline_ms"`     // default for online requests; 0 means DefaultDeadline
}

// DefaultDeadline is the deadline of online requests to services that define
// none.
const DefaultDeadline = 60 * time.Second

// Route is a method and path prefix of a plain service.
type Route struct {
	Method string `json:"method"`
	Path   string `json:"path"`
}

// UpstreamGroup is a set of upstreams of one service in one data centre.
type UpstreamGroup struct {
	Name          string `json:"name"`
	Service       string `json:"service"`
	DataCentre    string `json:"data_centre"`
	Role          string `json:"role"`           // engine role, e.g. "serve"
	ChecksFencing bool   `json:"checks_fencing"` // the upstreams reject orders with an old fencing number
	Count         int    `json:"count"`          // number of upstreams that planners expect
}

// Caller is a client with its key and limits.
type Caller struct {
	ID            string  `json:"id"`
	Organisation  string  `json:"organisation"`
	KeySHA256     string  `json:"key_sha256"` // hex
	RatePerSecond float64 `json:"rate_per_second"`
	Burst         int     `json:"burst"`
	MaxInProgress int     `json:"max_in_progress"`
	Classes       []Class `json:"classes"`
	Operator      bool    `json:"operator"`
}

// HashKey returns the SHA-256 of a caller's key in hex, as stored in documents.
func HashKey(key string) string {
	sum := sha256.Sum256([]byte(key))
	return hex.EncodeToString(sum[:])
}

// Allows reports whether the caller may submit work of the class.
func (c *Caller) Allows(class Class) bool {
	for _, have := range c.Classes {
		if have == class {
			return true
		}
	}
	return false
}

// Index provides lookups in a document by name, model, key and id.
type Index struct {
	Document       *Document
	serviceByName  map[string]*Service
	serviceByModel map[string]*Service
	callerByKey    map[string]*Caller
	callerByID     map[string]*Caller
}

// NewIndex indexes the document, which must not change afterwards.
func NewIndex(doc *Document) *Index {
	ix := &Index{
		Document:       doc,
		serviceByName:  make(map[string]*Service, len(doc.Services)),
		serviceByModel: make(map[string]*Service, len(doc.Services)),
		callerByKey:    make(map[string]*Caller, len(doc.Callers)),
		callerByID:     make(map[string]*Caller, len(doc.Callers)),
	}
	for i := range doc.Services {
		s := &doc.Services[i]
		ix.serviceByName[s.Name] = s
		if s.Model != "" && ix.preferred(s) {
			ix.serviceByModel[s.Model] = s
		}
	}
	for i := range doc.Callers {
		c := &doc.Callers[i]
		ix.callerByKey[c.KeySHA256] = c
		ix.callerByID[c.ID] = c
	}
	return ix
}

// preferred reports whether requests for the service's model go to it rather
// than to the service indexed so far. A service without an adapter wins,
// otherwise the first one.
func (ix *Index) preferred(s *Service) bool {
	other := ix.serviceByModel[s.Model]
	return other == nil || (s.Adapter == "" && other.Adapter != "")
}

// Service returns the service with the name, or nil.
func (ix *Index) Service(name string) *Service { return ix.serviceByName[name] }

// ServiceForModel returns the engine service with the model name or service
// name, or nil.
func (ix *Index) ServiceForModel(model string) *Service {
	if s := ix.serviceByModel[model]; s != nil {
		return s
	}
	if s := ix.serviceByName[model]; s != nil && s.Kind == KindEngine {
		return s
	}
	return nil
}

// CallerByKey returns the caller with the key, or nil.
func (ix *Index) CallerByKey(key string) *Caller { return ix.callerByKey[HashKey(key)] }

// Caller returns the caller with the id, or nil.
func (ix *Index) Caller(id string) *Caller { return ix.callerByID[id] }

// Repeatable reports whether a call of the service may be executed more than
// once. Engine calls have no side effects, so they always may. The path is
// normalised first, because upstreams treat /a//b and /a/./b like /a/b.
func (s *Service) Repeatable(method, requestPath string) bool {
	clean := path.Clean("/" + requestPath)
	for _, r := range s.NonRepeatable {
		if r.Method != method {
			continue
		}
		if pathHasPrefix(clean, r.Path) {
			return false
		}
	}
	return true
}

// pathHasPrefix matches whole path elements, so that /invoice does not match
// /invoices.
func pathHasPrefix(path, prefix string) bool {
	if len(path) < len(prefix) || path[:len(prefix)] != prefix {
		return false
	}
	if len(path) == len(prefix) || prefix == "" {
		return true
	}
	return path[len(prefix)] == '/' || prefix[len(prefix)-1] == '/'
}
