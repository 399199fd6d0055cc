package peer

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"connectrpc.com/connect"
	"github.com/gravitational/trace"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// Store is the platform's store as a gateway uses it.
type Store interface {
	storage.Table
	storage.Feed
	Objects() storage.Objects
}

// relayTimeout bounds a call through a peer: the peer's own call of the store,
// which ends within 2 s, or a watch of a second.
const relayTimeout = 2500 * time.Millisecond

// storePeerSilence: a peer that has not been heard for this long is not asked.
// What is known of other data centres is up to 0.75 s old.
const storePeerSilence = time.Second

// Relay is a store that asks a peer where the own calls fail, so that a gateway
// that the store does not serve can still keep its batch work. Writes are
// conditional, so a write that is tried both ways takes effect once: the second
// try finds the condition gone.
type Relay struct {
	own      Store
	exchange *Exchange
	client   *http.Client
	failing  atomic.Bool // the last own call failed
}

// NewRelay returns a relay over a store; the exchange serves peers from it.
func NewRelay(own Store, exchange *Exchange) *Relay {
	r := &Relay{own: own, exchange: exchange, client: &http.Client{Timeout: relayTimeout}}
	exchange.relay.Store(r)
	return r
}

// StoreReachable reports whether the store serves this process.
func (r *Relay) StoreReachable() bool { return !r.failing.Load() }

// Fresh and Stale tell what a feed over the own store finds.
func (r *Relay) Fresh() { r.failing.Store(false) }

// Stale is the opposite of Fresh.
func (r *Relay) Stale() { r.failing.Store(true) }

// Operations of StoreCall.
const (
	opGet       = "get"
	opScan      = "scan"
	opCommit    = "commit"
	opSnapshot  = "snapshot"
	opWatch     = "watch"
	opGetObject = "get_object"
	opPutObject = "put_object"
)

// storeArguments holds the arguments of all operations.
type storeArguments struct {
	Key         string               `json:",omitempty"` // row, object or prefix
	After       string               `json:",omitempty"`
	Version     uint64               `json:",omitempty"`
	Limit       int                  `json:",omitempty"`
	Wait        time.Duration        `json:",omitempty"`
	Transaction *storage.Transaction `json:",omitempty"`
	Content     []byte               `json:",omitempty"`
}

// storeResult holds the results of all operations.
type storeResult struct {
	Rows     []storage.Row    `json:",omitempty"`
	Changes  []storage.Change `json:",omitempty"`
	Versions []uint64         `json:",omitempty"`
	Version  uint64           `json:",omitempty"`
	Content  []byte           `json:",omitempty"`
}

// perform makes a call of a store.
func perform(ctx context.Context, s Store, operation string, a *storeArguments) (*storeResult, error) {
	var result storeResult
	var err error
	switch operation {
	case opGet:
		var row storage.Row
		if row, err = s.Get(ctx, a.Key); err == nil {
			result.Rows = []storage.Row{row}
		}
	case opScan:
		result.Rows, err = s.Scan(ctx, a.Key, a.After, a.Limit)
	case opCommit:
		result.Versions, err = s.Commit(ctx, *a.Transaction)
	case opSnapshot:
		result.Rows, result.Version, err = s.Snapshot(ctx, a.Key)
	case opWatch:
		result.Changes, result.Version, err = s.Watch(ctx, a.Key, a.Version, a.Wait)
	case opPutObject:
		err = s.Objects().Put(ctx, a.Key, bytes.NewReader(a.Content))
	case opGetObject:
		var reader io.ReadCloser
		if reader, err = s.Objects().Get(ctx, a.Key); err == nil {
			defer reader.Close()
			result.Content, err = io.ReadAll(reader)
		}
	default:
		err = trace.BadParameter("unknown operation %q", operation)
	}
	return &result, err
}

// call makes a call of the own store, or of a peer's if the own one does not serve.
func (r *Relay) call(ctx context.Context, operation string, a *storeArguments) (*storeResult, error) {
	uncertain := false
	if r.StoreReachable() {
		result, err := perform(ctx, r.own, operation, a)
		if err == nil || answered(err) {
			return result, err
		}
		uncertain = errors.Is(err, storage.ErrUnavailable)
		if !uncertain || ctx.Err() != nil {
			return nil, err // refused for the rate, as a peer would be
		}
	}
	address := r.exchange.storePeer()
	if address == "" {
		if uncertain {
			return nil, trace.Wrap(storage.ErrUnavailable, "no peer is served by the store")
		}
		return perform(ctx, r.own, operation, a)
	}
	result, err := r.ask(ctx, address, operation, a)
	if err != nil && uncertain && errors.Is(err, storage.ErrThrottled) {
		return nil, trace.Wrap(storage.ErrUnavailable, "%v", err) // the own try may have taken effect
	}
	return result, err
}

// answered reports whether an error is the store's answer to the question.
func answered(err error) bool {
	return errors.Is(err, storage.ErrConflict) || errors.Is(err, storage.ErrNotFound) || errors.Is(err, storage.ErrHistoryGone)
}

// errorCodes name the store's errors on the wire.
var errorCodes = map[string]error{
	"conflict": storage.ErrConflict, "not_found": storage.ErrNotFound, "history_gone": storage.ErrHistoryGone,
	"throttled": storage.ErrThrottled, "unavailable": storage.ErrUnavailable,
}

func (r *Relay) ask(ctx context.Context, address, operation string, a *storeArguments) (*storeResult, error) {
	arguments, err := json.Marshal(a)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	service := magnoliausherv1connect.NewGatewayClient(r.client, "http://"+address)
	response, err := service.StoreCall(ctx, connect.NewRequest(&rpc.StoreCallRequest{Operation: operation, Arguments: arguments}))
	if err != nil {
		return nil, trace.Wrap(storage.ErrUnavailable, "through %s: %v", address, err)
	}
	if code := response.Msg.Error; code != "" {
		cause, known := errorCodes[code]
		if !known {
			cause = storage.ErrUnavailable
		}
		return nil, trace.Wrap(cause, "through %s: %s", address, response.Msg.Reason)
	}
	var result storeResult
	if err := json.Unmarshal(response.Msg.Result, &result); err != nil {
		return nil, trace.Wrap(storage.ErrUnavailable, "through %s: %v", address, err)
	}
	return &result, nil
}

// StoreCall implements the service for peers, with the own store only.
func (e *Exchange) StoreCall(ctx context.Context, request *connect.Request[rpc.StoreCallRequest]) (*connect.Response[rpc.StoreCallResponse], error) {
	relay := e.relay.Load()
	if relay == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("no store"))
	}
	var a storeArguments
	if err := json.Unmarshal(request.Msg.Arguments, &a); err != nil || request.Msg.Operation == opCommit && a.Transaction == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("arguments not understood"))
	}
	result, err := perform(ctx, relay.own, request.Msg.Operation, &a)
	if err != nil {
		return connect.NewResponse(&rpc.StoreCallResponse{Error: errorCode(err), Reason: err.Error()}), nil
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&rpc.StoreCallResponse{Result: data}), nil
}

func errorCode(err error) string {
	for code, known := range errorCodes {
		if errors.Is(err, known) {
			return code
		}
	}
	return "unavailable"
}

// storePeer returns the address of a peer that the store serves, preferably in
// the own data centre; empty if there is none.
func (e *Exchange) storePeer() string {
	now := time.Now()
	var near, far []string
	for _, m := range e.Members() {
		if !m.StoreReached || m.Leaving || now.Sub(m.LastHeard) > storePeerSilence {
			continue
		}
		if m.DataCentre == e.cfg.Self.DataCentre {
			near = append(near, m.Address)
		} else {
			far = append(far, m.Address)
		}
	}
	if len(near) == 0 {
		near = far
	}
	if len(near) == 0 {
		return ""
	}
	return near[rand.IntN(len(near))]
}

// Get implements storage.Table.
func (r *Relay) Get(ctx context.Context, key string) (storage.Row, error) {
	result, err := r.call(ctx, opGet, &storeArguments{Key: key})
	if err != nil {
		return storage.Row{}, err
	}
	if len(result.Rows) != 1 {
		return storage.Row{}, trace.Wrap(storage.ErrUnavailable, "%d rows", len(result.Rows))
	}
	return result.Rows[0], nil
}

// Scan implements storage.Table.
func (r *Relay) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	result, err := r.call(ctx, opScan, &storeArguments{Key: prefix, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	return result.Rows, nil
}

// Commit implements storage.Table.
func (r *Relay) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	result, err := r.call(ctx, opCommit, &storeArguments{Transaction: &tx})
	if err != nil {
		return nil, err
	}
	if len(result.Versions) != len(tx.Writes) {
		return nil, trace.Wrap(storage.ErrUnavailable, "%d versions of %d writes", len(result.Versions), len(tx.Writes))
	}
	return result.Versions, nil
}

// Snapshot implements storage.Feed.
func (r *Relay) Snapshot(ctx context.Context, prefix string) ([]storage.Row, uint64, error) {
	result, err := r.call(ctx, opSnapshot, &storeArguments{Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	return result.Rows, result.Version, nil
}

// Watch implements storage.Feed.
func (r *Relay) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storage.Change, uint64, error) {
	result, err := r.call(ctx, opWatch, &storeArguments{Key: prefix, Version: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return result.Changes, result.Version, nil
}

// Objects returns the object store, relayed like the rows.
func (r *Relay) Objects() storage.Objects { return relayedObjects{r.own.Objects(), r} }

type relayedObjects struct {
	storage.Objects // deletes and lists are not relayed: they can wait
	relay           *Relay
}

// Put implements storage.Objects.
func (o relayedObjects) Put(ctx context.Context, key string, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = o.relay.call(ctx, opPutObject, &storeArguments{Key: key, Content: content})
	return err
}

// Get implements storage.Objects.
func (o relayedObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	result, err := o.relay.call(ctx, opGetObject, &storeArguments{Key: key})
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(result.Content)), nil
}
