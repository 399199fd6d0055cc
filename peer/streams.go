package peer

import (
	"cmp"
	"context"
	"net/http"
	"slices"
	"time"

	"connectrpc.com/connect"
	"github.com/cespare/xxhash/v2"

	"github.com/magnoliausher/magnoliausher/origin"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
)

const (
	// streamKeepers is the number of gateways that keep the origin of a stream. With three,
	// one in 27 is lost if a third of the gateways fail at once.
	streamKeepers = 3
	// askedKeepers exceeds streamKeepers for gateways that have come since.
	askedKeepers = streamKeepers + 2
	// keeperSilence is the silence after which a gateway is not chosen as a keeper.
	keeperSilence = 2 * time.Second
	// commonStart is how far apart gateways start that are started together.
	commonStart = 10 * time.Second
	// maxStreamsPerDatagram keeps datagrams below the size that is fragmented.
	maxStreamsPerDatagram = 16
	// maxPendingStreams limits the announcements that wait for the send loop.
	maxPendingStreams = 256
)

// Origins is what this gateway knows about the origins of streams.
type Origins interface {
	Learn(streams []origin.Stream)
	Answer(service string, key origin.Key) origin.Answer
	// Registered returns the software versions registered for each service.
	Registered() map[string][]string
	LearnRegistered(map[string][]string)
}

var _ origin.Peers = (*Exchange)(nil)

// UseOrigins sets where announced streams are kept. It must be called before Run.
func (e *Exchange) UseOrigins(o Origins) { e.origins = o }

// Announce implements origin.Peers. It does not block.
func (e *Exchange) Announce(streams []origin.Stream) {
	select {
	case e.announcedStreams <- streams:
	default:
		e.cfg.Log.Warn().Int("streams", len(streams)).Msg("too many streams to announce; their origins stay unknown elsewhere")
	}
}

// keepers returns the members that keep a stream, those to ask first.
func keepers(key origin.Key, members []MemberStatus, n int, now time.Time) []MemberStatus {
	type ranked struct {
		MemberStatus
		score uint64
	}
	var list []ranked
	for _, m := range members {
		if !m.Leaving && now.Sub(m.LastHeard) <= keeperSilence {
			list = append(list, ranked{m, keeperScore(key, m.Name)})
		}
	}
	slices.SortFunc(list, func(a, b ranked) int { return cmp.Compare(b.score, a.score) })
	chosen := make([]MemberStatus, min(n, len(list)))
	for i := range chosen {
		chosen[i] = list[i].MemberStatus
	}
	return chosen
}

// keeperScore ranks the members for a stream, so that the loss of a member moves only the
// streams that it keeps.
func keeperScore(key origin.Key, name string) uint64 {
	h := xxhash.NewWithSeed(uint64(key))
	_, _ = h.WriteString(name) // xxhash never returns an error
	return h.Sum64()
}

// sendStreams sends streams to their keepers.
func (s *sendLoop) sendStreams(streams []origin.Stream) {
	now := time.Now()
	members := s.Members()
	byKeeper := make(map[string][]*rpc.StreamOrigin)
	for i := range streams {
		encoded := encodeStream(&streams[i], now)
		for _, m := range keepers(streams[i].Key, members, streamKeepers, now) {
			byKeeper[m.Address] = append(byKeeper[m.Address], encoded)
		}
	}
	for address, list := range byKeeper {
		for part := range slices.Chunk(list, maxStreamsPerDatagram) {
			s.writeReport(&rpc.GatewayReport{Streams: part}, scopeRemote, []string{address})
		}
	}
}

func encodeStream(s *origin.Stream, now time.Time) *rpc.StreamOrigin {
	return &rpc.StreamOrigin{Key: uint64(s.Key), SoftwareVersion: s.Version, Upstream: s.Upstream, StartedMs: s.Started,
		AgeMs: uint32(max(now.Sub(s.Began).Milliseconds(), 0))}
}

func decodeStream(s *rpc.StreamOrigin, now time.Time) origin.Stream {
	return origin.Stream{Key: origin.Key(s.Key), Version: s.SoftwareVersion, Upstream: s.Upstream, Started: s.StartedMs,
		Began: now.Add(-time.Duration(s.AgeMs) * time.Millisecond)}
}

// learnStreams keeps the streams of a datagram.
func (e *Exchange) learnStreams(list []*rpc.StreamOrigin) {
	if e.origins == nil {
		return
	}
	now := time.Now()
	streams := make([]origin.Stream, len(list))
	for i, s := range list {
		streams[i] = decodeStream(s, now)
	}
	e.origins.Learn(streams)
}

// AllHeard implements origin.Peers. A gateway that has started since may have lost what it
// knew.
func (e *Exchange) AllHeard() bool {
	now := time.Now()
	e.mu.Lock()
	defer e.mu.Unlock()
	for _, p := range e.peers {
		silence := min(now.Sub(p.LastHeard), now.Sub(e.started)) // some were never heard
		if silence > livePeerTimeout && silence <= origin.StreamLifetime {
			return false
		}
		if p.firstHeard.Sub(e.started) > commonStart && now.Sub(p.firstHeard) <= origin.StreamLifetime {
			return false
		}
	}
	return true
}

// findClient opens a connection for each call. Calls are rare, and an idle kept-alive
// connection could be dead.
var findClient = &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}

// Find implements origin.Peers.
func (e *Exchange) Find(ctx context.Context, service string, key origin.Key) []origin.Answer {
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	asked := keepers(key, e.Members(), askedKeepers, time.Now())
	results := make(chan *origin.Answer, len(asked))
	for _, m := range asked {
		go func() { results <- e.askKeeper(ctx, m, service, key) }()
	}
	var answers []origin.Answer
	for range asked {
		select {
		case a := <-results:
			if a == nil {
				continue
			}
			answers = append(answers, *a)
			if a.Known {
				return answers
			}
		case <-ctx.Done():
			return answers
		}
	}
	return answers
}

// askKeeper returns nil if the member does not answer.
func (e *Exchange) askKeeper(ctx context.Context, m MemberStatus, service string, key origin.Key) *origin.Answer {
	client := magnoliausherv1connect.NewGatewayClient(findClient, "http://"+m.Address)
	response, err := client.FindStream(ctx, connect.NewRequest(&rpc.FindStreamRequest{Service: service, Key: uint64(key)}))
	if err != nil {
		e.cfg.Log.Debug().Err(err).Str("peer", m.Name).Msg("a peer did not tell the origin of a stream")
		return nil
	}
	a := &origin.Answer{Versions: response.Msg.Versions}
	if s := response.Msg.Stream; s != nil {
		a.Stream, a.Known = decodeStream(s, time.Now()), true
	}
	return a
}

// FindStream implements the RPC service.
func (e *Exchange) FindStream(_ context.Context, request *connect.Request[rpc.FindStreamRequest]) (*connect.Response[rpc.FindStreamResponse], error) {
	if e.origins == nil {
		return connect.NewResponse(&rpc.FindStreamResponse{}), nil
	}
	a := e.origins.Answer(request.Msg.Service, origin.Key(request.Msg.Key))
	response := &rpc.FindStreamResponse{Versions: a.Versions}
	if a.Known {
		response.Stream = encodeStream(&a.Stream, time.Now())
	}
	return connect.NewResponse(response), nil
}

func encodeRegistered(registered map[string][]string) []*rpc.ServiceVersions {
	var list []*rpc.ServiceVersions
	for service, versions := range registered {
		list = append(list, &rpc.ServiceVersions{Service: service, Versions: versions})
	}
	return list
}

func decodeRegistered(list []*rpc.ServiceVersions) map[string][]string {
	registered := make(map[string][]string, len(list))
	for _, s := range list {
		registered[s.Service] = s.Versions
	}
	return registered
}
