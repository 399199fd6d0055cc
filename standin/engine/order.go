package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// Order changes what the engine serves.
type Order = upstream.Order

// Sizes of weights that an order loads.
const (
	ModelBytes   = 40 << 30
	AdapterBytes = 256 << 20
)

// State is what the engine serves.
type State struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"` // a model is loading; new completions are refused
}

// WeightStore is the store of weights that all engines share. It serves one
// load after another at a limited rate. Safe for concurrent use.
type WeightStore struct {
	bytesPerSecond float64

	mu   sync.Mutex
	free time.Time // end of the last load
}

// DefaultWeightRate is the rate of the weight store in bytes per second.
const DefaultWeightRate = 4 << 30

// NewWeightStore returns a store with a rate in bytes per second of real time;
// multiply it by the engines' speed.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond}
}

// Load waits for the transfer of that many bytes, or for the end of the context.
func (w *WeightStore) Load(ctx context.Context, bytes int64) error {
	timer := time.NewTimer(w.reserve(bytes))
	defer timer.Stop()
	select {
	case <-timer.C:
		return nil
	case <-ctx.Done():
		return ctx.Err()
	}
}

// reserve appends a load to the queue and returns the time to its end.
func (w *WeightStore) reserve(bytes int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.free.Before(now) {
		w.free = now
	}
	w.free = w.free.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return w.free.Sub(now)
}

// Serving returns what the engine serves.
func (s *Server) Serving() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Applied returns the accepted orders since the last boot, in order of acceptance.
func (s *Server) Applied() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.applied...)
}

// handleOrder checks an order and answers 202; a weight load goes on afterwards
// and shows in the load report. An old fencing number is answered with 409.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	status, code := s.acceptLocked(order)
	s.mu.Unlock()
	if code != "" {
		refuse(w, status, code, "the order was refused")
		return
	}
	writeJSON(w, status, struct{}{})
}

func (s *Server) acceptLocked(order Order) (status int, code string) {
	if s.cfg.CheckFencing && order.Fencing < s.fencing {
		return http.StatusConflict, upstream.CodeFenced
	}
	switch order.Kind {
	case upstream.OrderSetRole:
		s.state.Role = order.Role
	case upstream.OrderLoadModel, upstream.OrderLoadAdapter:
		s.loadLocked(order)
	default:
		return http.StatusBadRequest, "order_unknown"
	}
	s.fencing = max(s.fencing, order.Fencing)
	s.applied = append(s.applied, order)
	return http.StatusAccepted, ""
}

// loadLocked starts a weight load. A crash ends it without effect.
func (s *Server) loadLocked(order Order) {
	boot := s.boot
	size := int64(AdapterBytes)
	if order.Kind == upstream.OrderLoadModel {
		size = ModelBytes
		s.loads++
		s.state.Loading = true
	}
	var wait time.Duration
	if s.cfg.Weights != nil {
		wait = s.cfg.Weights.reserve(size)
	}
	time.AfterFunc(wait, func() { s.loaded(order, boot) })
}

func (s *Server) loaded(order Order, boot uint64) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.boot != boot || s.down {
		return
	}
	if order.Kind == upstream.OrderLoadAdapter {
		s.state.Adapter = order.Adapter
		return
	}
	s.state.Model = order.Model
	s.state.Version = order.Version
	s.state.Adapter = ""
	s.loads--
	s.state.Loading = s.loads > 0
}
