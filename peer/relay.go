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

// Store is the part of the platform's store that a gateway uses.
type Store interface {
	storage.Table
	storage.Feed
	Objects() storage.Objects
}

// relayTimeout limits a call through a peer. The peer's own store call ends
// within 2 s, and a watch lasts one second.
const relayTimeout = 2500 * time.Millisecond

// storePeerMaxAge is the maximum age of a peer's last report for a store call
// through it. Reports of other data centres are up to 0.75 s old.
const storePeerMaxAge = time.Second

// Relay is a store that falls back to calls through a peer when its own calls
// fail, so that a gateway that cannot reach the store can still save its batch
// work. A write may be sent both ways. If it is conditional, it takes effect once at
// most, and storage.RepeatedWriteError says what is known of it.
type Relay struct {
	store    Store
	exchange *Exchange
	client   *http.Client
	failing  atomic.Bool // the feed reports the store as unavailable
}

// NewRelay returns a relay over a store. The exchange uses it to serve the store
// calls of peers.
func NewRelay(store Store, exchange *Exchange) *Relay {
	r := &Relay{store: store, exchange: exchange, client: &http.Client{Timeout: relayTimeout}}
	exchange.relay.Store(r)
	return r
}

// StoreReachable reports whether this process can reach the store.
func (r *Relay) StoreReachable() bool { return !r.failing.Load() }

// Fresh records that a feed on the store succeeds.
func (r *Relay) Fresh() { r.failing.Store(false) }

// Stale records that a feed on the store fails.
func (r *Relay) Stale() { r.failing.Store(true) }

// Operations of the StoreCall RPC.
const (
	opGet       = "get"
	opScan      = "scan"
	opCommit    = "commit"
	opSnapshot  = "snapshot"
	opWatch     = "watch"
	opGetObject = "get_object"
	opPutObject = "put_object"
)

// storeArguments holds the arguments of any operation.
type storeArguments struct {
	Key         string               `json:",omitempty"` // row key, object key or key prefix
	After       string               `json:",omitempty"`
	Version     uint64               `json:",omitempty"`
	Limit       int                  `json:",omitempty"`
	Wait        time.Duration        `json:",omitempty"`
	Transaction *storage.Transaction `json:",omitempty"`
	Content     []byte               `json:",omitempty"`
}

// storeResult holds the result of any operation.
type storeResult struct {
	Rows     []storage.Row    `json:",omitempty"`
	Changes  []storage.Change `json:",omitempty"`
	Versions []uint64         `json:",omitempty"`
	Version  uint64           `json:",omitempty"`
	Content  []byte           `json:",omitempty"`
}

// execute calls a store.
func execute(ctx context.Context, s Store, operation string, a *storeArguments) (*storeResult, error) {
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

// callStore calls the store directly, or through a peer if it is not reachable.
func (r *Relay) callStore(ctx context.Context, operation string, a *storeArguments) (*storeResult, error) {
	var direct error // of a direct call that failed
	if r.StoreReachable() {
		result, err := r.callDirectly(ctx, operation, a)
		if !lacksAnswer(err) || ctx.Err() != nil {
			return result, err
		}
		direct = err
	}
	address := r.exchange.storePeerAddress()
	switch {
	case address == "" && direct != nil:
		return nil, direct
	case address == "":
		return r.callDirectly(ctx, operation, a)
	}
	started := time.Now()
	result, err := r.callPeer(ctx, address, operation, a)
	r.logWrite(operation, a, address, started, err)
	if err != nil && direct != nil && isWrite(operation) {
		err = storage.RepeatedWriteError(direct, err)
	}
	return result, err
}

func (r *Relay) callDirectly(ctx context.Context, operation string, a *storeArguments) (*storeResult, error) {
	started := time.Now()
	result, err := execute(ctx, r.store, operation, a)
	r.logWrite(operation, a, viaDirect, started, err)
	return result, err
}

func isWrite(operation string) bool { return operation == opCommit || operation == opPutObject }

// lacksAnswer reports whether a call was not sent, or got no answer of the store. A call that
// the store throttled would be throttled through a peer, too.
func lacksAnswer(err error) bool {
	return errors.Is(err, storage.ErrUnavailable) || errors.Is(err, storage.ErrNotSent)
}

// viaDirect is the value of the field via in the log of a write that went to the store
// itself. The field otherwise has the address of the peer.
const viaDirect = "direct"

// viaForPeer is its value for a write that this process made for a peer.
const viaForPeer = "for_peer"

// logWrite logs a write of the store that went through a peer or failed, with what is
// known of its effect. The writes that succeed at once have log lines of their callers.
func (r *Relay) logWrite(operation string, a *storeArguments, via string, started time.Time, err error) {
	var key string
	switch {
	case err == nil && via == viaDirect:
		return
	case operation == opPutObject:
		key = a.Key
	case operation == opCommit && len(a.Transaction.Writes) > 0:
		key = a.Transaction.Writes[0].Key
	default:
		return
	}
	r.exchange.cfg.Log.Info().Err(err).Str("call", operation).Str("key", key).Str("via", via).Stringer("outcome", storage.WriteOutcome(err)).
		Int64("took_ms", time.Since(started).Milliseconds()).Msg("store write")
}

// errorCodes are the codes of the store's errors on the wire. An error that matches
// several has the first: the one that says less.
var errorCodes = []struct {
	code string
	err  error
}{
	{"unavailable", storage.ErrUnavailable},
	{"throttled", storage.ErrThrottled},
	{"not_sent", storage.ErrNotSent},
	{"history_gone", storage.ErrHistoryTruncated},
	{"not_found", storage.ErrNotFound},
	{"conflict", storage.ErrConflict},
}

func errorCode(err error) string {
	for _, known := range errorCodes {
		if errors.Is(err, known.err) {
			return known.code
		}
	}
	return "unavailable"
}

// errorOfCode returns the store's error with a code, storage.ErrUnavailable for a code
// that is not known.
func errorOfCode(code string) error {
	for _, known := range errorCodes {
		if known.code == code {
			return known.err
		}
	}
	return storage.ErrUnavailable
}

func (r *Relay) callPeer(ctx context.Context, address, operation string, a *storeArguments) (*storeResult, error) {
	arguments, err := json.Marshal(a)
	if err != nil {
		return nil, trace.Wrap(err)
	}
	service := magnoliausherv1connect.NewGatewayClient(r.client, "http://"+address)
	response, err := service.StoreCall(ctx, connect.NewRequest(&rpc.StoreCallRequest{Operation: operation, Arguments: arguments}))
	if err != nil {
		return nil, trace.Wrap(storage.ErrUnavailable, "store call through peer %s: %v", address, err)
	}
	if code := response.Msg.Error; code != "" {
		return nil, trace.Wrap(errorOfCode(code), "store call through peer %s: %s", address, response.Msg.Reason)
	}
	var result storeResult
	if err := json.Unmarshal(response.Msg.Result, &result); err != nil {
		return nil, trace.Wrap(storage.ErrUnavailable, "store call through peer %s: %v", address, err)
	}
	return &result, nil
}

// StoreCall implements the RPC service. It calls the store directly only, so that
// calls are not relayed twice.
func (e *Exchange) StoreCall(ctx context.Context, request *connect.Request[rpc.StoreCallRequest]) (*connect.Response[rpc.StoreCallResponse], error) {
	relay := e.relay.Load()
	if relay == nil {
		return nil, connect.NewError(connect.CodeUnavailable, errors.New("this process has no store"))
	}
	var a storeArguments
	if err := json.Unmarshal(request.Msg.Arguments, &a); err != nil || request.Msg.Operation == opCommit && a.Transaction == nil {
		return nil, connect.NewError(connect.CodeInvalidArgument, errors.New("invalid arguments"))
	}
	started := time.Now()
	result, err := execute(ctx, relay.store, request.Msg.Operation, &a)
	relay.logWrite(request.Msg.Operation, &a, viaForPeer, started, err)
	if err != nil {
		return connect.NewResponse(&rpc.StoreCallResponse{Error: errorCode(err), Reason: err.Error()}), nil
	}
	data, err := json.Marshal(result)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	return connect.NewResponse(&rpc.StoreCallResponse{Result: data}), nil
}

// storePeerAddress returns the address of a peer that can reach the store,
// preferably in the local data centre, or an empty string if there is none.
func (e *Exchange) storePeerAddress() string {
	now := time.Now()
	var local, remote []string
	for _, m := range e.Members() {
		if !m.StoreReached || m.Leaving || now.Sub(m.LastHeard) > storePeerMaxAge {
			continue
		}
		if m.DataCentre == e.cfg.Self.DataCentre {
			local = append(local, m.Address)
		} else {
			remote = append(remote, m.Address)
		}
	}
	if len(local) == 0 {
		local = remote
	}
	if len(local) == 0 {
		return ""
	}
	return local[rand.IntN(len(local))]
}

// Get implements storage.Table.
func (r *Relay) Get(ctx context.Context, key string) (storage.Row, error) {
	result, err := r.callStore(ctx, opGet, &storeArguments{Key: key})
	if err != nil {
		return storage.Row{}, err
	}
	if len(result.Rows) != 1 {
		return storage.Row{}, trace.Wrap(storage.ErrUnavailable, "get returned %d rows, want 1", len(result.Rows))
	}
	return result.Rows[0], nil
}

// Scan implements storage.Table.
func (r *Relay) Scan(ctx context.Context, prefix, after string, limit int) ([]storage.Row, error) {
	result, err := r.callStore(ctx, opScan, &storeArguments{Key: prefix, After: after, Limit: limit})
	if err != nil {
		return nil, err
	}
	return result.Rows, nil
}

// Commit implements storage.Table.
func (r *Relay) Commit(ctx context.Context, tx storage.Transaction) ([]uint64, error) {
	result, err := r.callStore(ctx, opCommit, &storeArguments{Transaction: &tx})
	if err != nil {
		return nil, err
	}
	if len(result.Versions) != len(tx.Writes) {
		return nil, trace.Wrap(storage.ErrUnavailable, "commit returned %d versions for %d writes", len(result.Versions), len(tx.Writes))
	}
	return result.Versions, nil
}

// Snapshot implements storage.Feed.
func (r *Relay) Snapshot(ctx context.Context, prefix string) ([]storage.Row, uint64, error) {
	result, err := r.callStore(ctx, opSnapshot, &storeArguments{Key: prefix})
	if err != nil {
		return nil, 0, err
	}
	return result.Rows, result.Version, nil
}

// Watch implements storage.Feed.
func (r *Relay) Watch(ctx context.Context, prefix string, after uint64, wait time.Duration) ([]storage.Change, uint64, error) {
	result, err := r.callStore(ctx, opWatch, &storeArguments{Key: prefix, Version: after, Wait: wait})
	if err != nil {
		return nil, 0, err
	}
	return result.Changes, result.Version, nil
}

// Objects returns the object store, with gets and puts relayed like row calls.
func (r *Relay) Objects() storage.Objects { return relayedObjects{r.store.Objects(), r} }

type relayedObjects struct {
	storage.Objects // deletes and lists are not relayed; they can wait for the store
	relay           *Relay
}

// Put implements storage.Objects.
func (o relayedObjects) Put(ctx context.Context, key string, body io.Reader) error {
	content, err := io.ReadAll(body)
	if err != nil {
		return trace.Wrap(err)
	}
	_, err = o.relay.callStore(ctx, opPutObject, &storeArguments{Key: key, Content: content})
	return err
}

// Get implements storage.Objects.
func (o relayedObjects) Get(ctx context.Context, key string) (io.ReadCloser, error) {
	result, err := o.relay.callStore(ctx, opGetObject, &storeArguments{Key: key})
	if err != nil {
		return nil, err
	}
	return io.NopCloser(bytes.NewReader(result.Content)), nil
}
