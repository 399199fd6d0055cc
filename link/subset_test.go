package link

import (
	"cmp"
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"errors"
	"fmt"
	"math/big"
	"net"
	"net/http"
	"slices"
	"testing"
	"time"

	"connectrpc.com/connect"

	"github.com/magnoliausher/magnoliausher/contract"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1/magnoliausherv1connect"
	"github.com/magnoliausher/magnoliausher/storage"
)

// mutualTLS returns the TLS configurations of both ends, which share one
// self-signed certificate.
func mutualTLS(t *testing.T) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	if err != nil {
		t.Fatal(err)
	}
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotBefore: time.Now().Add(-time.Hour), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)}, IsCA: true, BasicConstraintsValid: true,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &key.PublicKey, key)
	if err != nil {
		t.Fatal(err)
	}
	leaf, err := x509.ParseCertificate(der)
	if err != nil {
		t.Fatal(err)
	}
	pool := x509.NewCertPool()
	pool.AddCert(leaf)
	certificates := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	server = &tls.Config{Certificates: certificates, ClientCAs: pool, ClientAuth: tls.RequireAndVerifyClientCert}
	return server, &tls.Config{Certificates: certificates, RootCAs: pool}
}

// Guards against links and fetches that work without a client certificate, or
// fail with one.
func TestMutualTLS(t *testing.T) {
	server, client := mutualTLS(t)
	agent := startAgentTLS(t, "agent-1", "chat", nil, server)
	agent.holder.SetIfNewer(&contract.Document{Version: 3})
	agent.run = func(_ context.Context, req *connect.Request[rpc.RunRequest], stream *connect.ServerStream[rpc.RunEvent]) error {
		return stream.Send(&rpc.RunEvent{AttemptId: req.Msg.AttemptId, Event: &rpc.RunEvent_End{End: &rpc.End{}}})
	}
	entry := startEntryWith(t, EntryClientConfig{ID: "entry-1", TLS: client}, nil, agent)
	eventually(t, "link open", func() bool { return connectedCount(entry, "chat") == 1 })
	for _, class := range []rpc.Class{rpc.Class_CLASS_ONLINE, rpc.Class_CLASS_BATCH} {
		stream, err := entry.Run(t.Context(), "agent-1", &rpc.RunRequest{AttemptId: "x", Class: class})
		if err != nil {
			t.Fatal(err)
		}
		if event, err := stream.Recv(); err != nil || event.GetEnd() == nil {
			t.Errorf("%v: event %v, error %v", class, event, err)
		}
	}
	addresses := []string{agent.instance.Address}
	if doc, err := (Fetcher{TLS: client}).HighestVersion(t.Context(), addresses, 1); err != nil || doc.Version != 3 {
		t.Errorf("fetched %v, error %v", doc, err)
	}
	anonymous := &tls.Config{RootCAs: client.RootCAs}
	if _, err := (Fetcher{TLS: anonymous}).HighestVersion(t.Context(), addresses, 1); !errors.Is(err, ErrNoConfig) {
		t.Errorf("without a certificate: %v", err)
	}
	server.ClientAuth = tls.VerifyClientCertIfGiven
	if _, err := NewServer(nil, server); err == nil {
		t.Error("a server that does not require client certificates was accepted")
	}
}

// Guards against a new instance that starts with an old version because the
// first peer to answer is behind, has no configuration, or is dead.
func TestFetchHighestVersion(t *testing.T) {
	var addresses []string
	for i, version := range []uint64{0, 7, 9, 8} {
		agent := startAgent(t, fmt.Sprint("agent-", i), "chat", nil)
		agent.holder.SetIfNewer(&contract.Document{Version: version})
		addresses = append(addresses, agent.instance.Address)
	}
	dead := startAgent(t, "agent-dead", "chat", nil)
	dead.stop()
	addresses = append(addresses, dead.instance.Address)
	if doc, err := FetchHighestVersion(t.Context(), addresses, len(addresses)); err != nil || doc.Version != 9 {
		t.Errorf("fetched %v, error %v", doc, err)
	}
	if doc, err := FetchHighestVersion(t.Context(), addresses, 1); err != nil || doc.Version == 0 {
		t.Errorf("one at a time: %v, error %v", doc, err)
	}
	if _, err := FetchHighestVersion(t.Context(), addresses[4:], 3); !errors.Is(err, ErrNoConfig) {
		t.Errorf("from a dead peer: %v", err)
	}
}

// Guards against an entry that starts while the platform is down and finds no
// agent: entries must return the instances they know, and agents themselves.
func TestInstancesOfPeers(t *testing.T) {
	a := startAgent(t, "agent-1", "chat", nil)
	listed := storage.Instance{ID: "agent-2", Role: storage.RoleAgent, DataCentre: "mvd-b", Address: "192.0.2.1:80",
		Service: "rooms", State: storage.InstanceLeaving}
	e := startEntryWith(t, EntryClientConfig{ID: "entry-1"}, []storage.Instance{listed})
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	mux := http.NewServeMux()
	mux.Handle(magnoliausherv1connect.NewPeerHandler(e, HandlerOptions()...))
	server, err := NewServer(mux, nil)
	if err != nil {
		t.Fatal(err)
	}
	go func() { _ = Serve(server, listener) }()
	t.Cleanup(func() { _ = server.Close() })
	dead := "127.0.0.1:1"
	got := Fetcher{}.Instances(t.Context(), []string{a.instance.Address, listener.Addr().String(), dead})
	slices.SortFunc(got, func(x, y storage.Instance) int { return cmp.Compare(x.ID, y.ID) })
	self := storage.Instance{ID: "entry-1", Role: storage.RoleEntry, DataCentre: "mvd-a", Address: listener.Addr().String(),
		State: storage.InstanceLive}
	if want := []storage.Instance{a.instance, listed, self}; !slices.Equal(got, want) {
		t.Errorf("instances\n%+v, want\n%+v", got, want)
	}
}

// Guards against an entry that keeps using a lost subset while other agents of
// the service work, and against links that stay open outside the subset.
func TestSubsetExpandsWhenLost(t *testing.T) {
	var agents []*testAgent
	byID := make(map[string]*testAgent)
	for i := range 6 {
		agent := startAgent(t, fmt.Sprint("agent-", i), "chat", nil)
		agents = append(agents, agent)
		byID[agent.instance.ID] = agent
	}
	var others []storage.Instance // enough entries that each links to a subset only
	for i := range 14 {
		others = append(others, storage.Instance{ID: fmt.Sprint("entry-", i), Role: storage.RoleEntry, DataCentre: "mvd-a"})
	}
	entry := startEntryWith(t, EntryClientConfig{ID: "entry-x", LinksPerService: 2}, others, agents...)
	eventually(t, "subset open", func() bool { return connectedCount(entry, "chat") == 2 })
	for _, u := range entry.Upstreams("chat") {
		byID[u.AgentID].stop()
	}
	eventually(t, "expanded subset", func() bool {
		return len(entry.Upstreams("chat")) == 4 && connectedCount(entry, "chat") == 2
	})

	var working []storage.Instance
	for _, u := range entry.Upstreams("chat") {
		if u.Connected {
			working = append(working, byID[u.AgentID].instance)
		}
	}
	entry.members.ApplyList(working, 2, time.Now()) // without the lost agents and all entries
	eventually(t, "only the listed links", func() bool { return len(entry.Upstreams("chat")) == 2 })
	eventually(t, "both work", func() bool { return connectedCount(entry, "chat") == 2 })
}
