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

// ErrNoConfig means that no peer returned a configuration.
var ErrNoConfig = errors.New("no peer returned a configuration")

// fetchTimeout limits a request to one peer.
const fetchTimeout = 3 * time.Second

// PeerHandler serves the instance's configuration to other instances.
type PeerHandler struct {
	codec     *configCodec
	instances func() []*rpc.PeerInstance // nil if the handler knows none
}

// NewPeerHandler returns a handler that serves the holder's configuration.
// AgentServer and EntryClient embed handlers of their own.
func NewPeerHandler(holder *contract.Holder) *PeerHandler {
	return &PeerHandler{codec: &configCodec{holder: holder}}
}

// FetchConfig returns the configuration if its version is at least the
// requested minimum.
func (h *PeerHandler) FetchConfig(_ context.Context, req *connect.Request[rpc.FetchConfigRequest]) (*connect.Response[rpc.FetchConfigResponse], error) {
	res := new(rpc.FetchConfigResponse)
	if req.Msg.GetInstances() && h.instances != nil {
		res.Instances = h.instances()
	}
	if h.codec.holder.Version() < req.Msg.GetMinVersion() {
		return connect.NewResponse(res), nil
	}
	body, err := h.codec.bodyFor(0, true)
	if err != nil {
		return nil, connect.NewError(connect.CodeInternal, err)
	}
	res.Config = body
	return connect.NewResponse(res), nil
}

// Fetcher fetches the configuration of peers. TLS is nil for HTTP/2 without
// TLS.
type Fetcher struct {
	TLS *tls.Config
}

// FetchHighestVersion calls HighestVersion of a Fetcher without TLS.
func FetchHighestVersion(ctx context.Context, addresses []string, n int) (*contract.Document, error) {
	return Fetcher{}.HighestVersion(ctx, addresses, n)
}

// HighestVersion queries up to n randomly chosen peers at a time and returns
// the configuration with the highest version among their answers. If none of
// them has a configuration, it queries the next n. ErrNoConfig means that no
// peer has one.
func (f Fetcher) HighestVersion(ctx context.Context, addresses []string, n int) (*contract.Document, error) {
	order := rand.Perm(len(addresses))
	for start := 0; start < len(order) && n > 0; start += n {
		end := min(start+n, len(order))
		round := make([]string, 0, n)
		for _, i := range order[start:end] {
			round = append(round, addresses[i])
		}
		if best := f.highestAmong(ctx, round); best != nil {
			return best, nil
		}
		if err := ctx.Err(); err != nil {
			return nil, err
		}
	}
	return nil, ErrNoConfig
}

// highestAmong queries all peers concurrently and ignores those that fail.
func (f Fetcher) highestAmong(ctx context.Context, addresses []string) *contract.Document {
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
	res, err := f.fetchConfig(ctx, address, &rpc.FetchConfigRequest{})
	if err != nil || res.GetConfig() == nil {
		return nil, err
	}
	b := &configCodec{holder: new(contract.Holder)}
	return b.decode(res.GetConfig())
}

func (f Fetcher) fetchConfig(ctx context.Context, address string, req *rpc.FetchConfigRequest) (*rpc.FetchConfigResponse, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
	defer cancel()
	client := newHTTPClient(classControl, f.TLS, defaultDialer(), new(connStats))
	defer client.CloseIdleConnections()
	peer := magnoliausherv1connect.NewPeerClient(client, baseURL(address, f.TLS), clientOptions()...)
	res, err := peer.FetchConfig(ctx, connect.NewRequest(req))
	if err != nil {
		return nil, err
	}
	return res.Msg, nil
}
