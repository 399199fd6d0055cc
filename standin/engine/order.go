package engine

import (
	"context"
	"net/http"
	"sync"
	"time"

	"github.com/magnoliausher/magnoliausher/upstream"
)

// Order is a command that changes the model, adapter or role of the engine.
type Order = upstream.Order

// Sizes in bytes of the weights that an order loads.
const (
	ModelBytes   = 40 << 30
	AdapterBytes = 256 << 20
)

// State is what the engine currently serves.
type State struct {
	Model   string `json:"model"`
	Version string `json:"version"`
	Adapter string `json:"adapter"`
	Role    string `json:"role"`
	Loading bool   `json:"loading"` // a model is loading; new completions are rejected
}

// WeightStore simulates a weight store that engines share. It serves loads one
// after another at a limited rate. It is safe for concurrent use.
type WeightStore struct {
	bytesPerSecond float64

	mu     sync.Mutex
	freeAt time.Time // end of the last queued load
}

// DefaultWeightRate is the rate of the weight store in bytes per second.
const DefaultWeightRate = 4 << 30

// NewWeightStore returns a store with a rate in bytes per second of real time.
// For accelerated engines, multiply the rate by their speed.
func NewWeightStore(bytesPerSecond float64) *WeightStore {
	return &WeightStore{bytesPerSecond: bytesPerSecond}
}

// Load waits until the given number of bytes has been transferred or the context
// ends.
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

// reserve queues a load and returns the time until it completes.
func (w *WeightStore) reserve(bytes int64) time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	now := time.Now()
	if w.freeAt.Before(now) {
		w.freeAt = now
	}
	w.freeAt = w.freeAt.Add(time.Duration(float64(bytes) / w.bytesPerSecond * float64(time.Second)))
	return w.freeAt.Sub(now)
}

// Serving returns the current state.
func (s *Server) Serving() State {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.state
}

// Applied returns the orders accepted since the last boot, oldest first.
func (s *Server) Applied() []Order {
	s.mu.Lock()
	defer s.mu.Unlock()
	return append([]Order(nil), s.applied...)
}

// handleOrder accepts an order with 202. Weights load asynchronously, and the load
// report shows when they are in use. An outdated fencing number is rejected with 409.
func (s *Server) handleOrder(w http.ResponseWriter, r *http.Request) {
	var order Order
	if !readJSON(w, r, &order) {
		return
	}
	s.mu.Lock()
	status, code := s.applyOrderLocked(order)
	s.mu.Unlock()
	if code != "" {
		writeError(w, status, code, "the order was refused")
		return
	}
	writeJSON(w, status, struct{}{})
}

func (s *Server) applyOrderLocked(order Order) (status int, code string) {
	if s.cfg.CheckFencing && order.Fencing < s.fencing {
		return http.StatusConflict, upstream.CodeFenced
	}
	switch order.Kind {
	case upstream.OrderSetRole:
		s.state.Role = order.Role
	case upstream.OrderLoadModel, upstream.OrderLoadAdapter:
		s.startLoadLocked(order)
	default:
		return http.StatusBadRequest, "order_unknown"
	}
	s.fencing = max(s.fencing, order.Fencing)
	s.applied = append(s.applied, order)
	return http.StatusAccepted, ""
}

// startLoadLocked starts an asynchronous weight load. A crash discards it.
func (s *Server) startLoadLocked(order Order) {
	boot := s.boot
	size := int64(AdapterBytes)
	if order.Kind == upstream.OrderLoadModel {
		size = ModelBytes
		s.modelLoads++
		s.state.Loading = true
	}
	var wait time.Duration
	if s.cfg.Weights != nil {
		wait = s.cfg.Weights.reserve(size)
	}
	time.AfterFunc(wait, func() { s.finishLoad(order, boot) })
}

func (s *Server) finishLoad(order Order, boot uint64) {
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
	s.modelLoads--
	s.state.Loading = s.modelLoads > 0
}
