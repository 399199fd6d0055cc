package link

import (
	"context"
	"crypto/tls"
	"errors"
	"math/rand/v2"
	"sync"
	"time"

	"connectrpc.com/connect"
	"golang.org/x/sync/errgroup"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

// ErrNoConfig: no peer answered with a configuration.
var ErrNoConfig = errors.New("no peer returned a configuration")

// fetchTimeout bounds the wait for one peer.
const fetchTimeout = 3 * time.Second

// PeerHandler serves the process's configuration to other instances.
type PeerHandler struct {
	bodies    *bodies
	instances func() []*rpc.PeerInstance // nil for none
}

// NewPeerHandler returns the handler for a holder. AgentServer and EntryClient
// have one of their own.
func NewPeerHandler(holder *contract.Holder) *PeerHandler {
	return &PeerHandler{bodies: &bodies{holder: holder}}
}

// FetchConfig returns the body if its version is at least the requested one.
func (h *PeerHandler) FetchConfig(_ context.Context, req *connect.Request[rpc.FetchConfigRequest]) (*connect.Response[rpc.FetchConfigResponse], error) {
	res := new(rpc.FetchConfigResponse)
	if req.Msg.GetInstances() && h.instances != nil {
		res.Instances = h.instances()
	}
	if h.bodies.holder.Version() < req.Msg.GetMinVersion() {
		return connect.NewResponse(res), nil
	}
	body, err := h.bodies.forPeer(0, true)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res.Config = body
	return connect.NewResponse(res), nil
}

// Fetcher reads the configuration of peers. TLS is nil for HTTP/2 without TLS.
type Fetcher struct {
	TLS *tls.Config
}

// FetchHighestVersion asks up to n of the peers without TLS; see Fetcher.HighestVersion.
func FetchHighestVersion(ctx context.Context, addresses []string, n int) (*contract.Document, error) {
	return Fetcher{}.HighestVersion(ctx, addresses, n)
}

// HighestVersion asks up to n peers at a time, chosen at random, and returns the
// highest version among their answers. When none of them has a configuration
// it asks the next n. ErrNoConfig means that no peer has one.
func (f Fetcher) HighestVersion(ctx context.Context, addresses []string, n int) (*contract.Document, error) {
	order := rand.Perm(len(addresses))
	for start := 0; start < len(order) && n > 0; start += n {
		end := min(start+n, len(order))
		round := make([]string, 0, n)
		for _, i := range order[start:end] {
			round = append(round, addresses[i])
		}
		if best := f.highestOf(ctx, round); best != nil {
			return best, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return nil, ErrNoConfig
}

// highestOf asks all peers of a round at once; a failed one counts as empty.
func (f Fetcher) highestOf(ctx context.Context, addresses []string) *contract.Document {
	var mu sync.Mutex
	var best *contract.Document
	var group errgroup.Group
	for _, address := range addresses {
		group.Go(func() error {
			doc, err := f.fetch(ctx, address)
			if err != nil || doc == nil {
				return nil
			}
			mu.Lock()
			defer mu.Unlock()
			if best == nil || doc.Version > best.Version {
				best = doc
			}
			return nil
		})
	}
	_ = group.Wait() // the functions return no error
	return best
}

// fetch returns the configuration of one peer, nil when it has none.
func (f Fetcher) fetch(ctx context.Context, address string) (*contract.Document, error) {
	res, err := f.ask(ctx, address, &rpc.FetchConfigRequest{})
	if err != nil || res.GetConfig() == nil {
		return nil, err
	}
	b := &bodies{holder: new(contract.Holder)}
	return b.decode(res.GetConfig())
}

func (f Fetcher) ask(ctx context.Context, address string, req *rpc.FetchConfigRequest) (*rpc.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := newHTTPClient(classControl, f.TLS, defaultDialer(), new(traffic))
	defer client.CloseIdleConnections()
	peer := magnoliausherv1connect.NewPeerClient(client, baseURL(address, f.TLS), clientOptions()...)
	res, err := peer.FetchConfig(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}
