package peer

import (
	"fmt"
	"net"
	"sync"
	"testing"
	"time"

	"google.golang.org/protobuf/proto"

	"github.com/magnoliausher/magnoliausher/origin"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// keptStreams holds the streams that a node keeps for others.
type keptStreams struct{ sync.Map }

func (k *keptStreams) Learn(streams []origin.Stream) {
	for _, s := range streams {
		k.Store(s.Key, s)
	}
}

func (k *keptStreams) Answer(_ string, key origin.Key) origin.Answer {
	s, known := k.Load(key)
	if !known {
		return origin.Answer{Versions: []string{"v1", "v2"}}
	}
	return origin.Answer{Stream: s.(origin.Stream), Known: true}
}

func (k *keptStreams) Registered() map[string][]string     { return nil }
func (k *keptStreams) LearnRegistered(map[string][]string) {}

// Guards against streams whose origin is lost with one or two gateways, or that a gateway
// does not find although a live one keeps it.
func TestStreamsAreKeptByThreeMembers(t *testing.T) {
	var nodes []*node
	for i := range 8 {
		nodes = append(nodes, newNode(t, fmt.Sprint("g", i), 1))
	}
	for _, n := range nodes {
		for _, other := range nodes {
			n.AddMember(other.cfg.Self)
		}
	}
	for _, n := range nodes {
		eventually(t, "members", 5*time.Second, func() bool { return len(keepers(0, n.Members(), len(nodes), time.Now())) == len(nodes)-1 })
	}
	var streams []origin.Stream
	for i := range 40 {
		streams = append(streams, origin.Stream{Key: origin.KeyOf("s", fmt.Sprint(i)), Version: fmt.Sprint("v", i%2+1), Upstream: "u",
			Started: 7, Began: time.Now().Add(-time.Minute)})
	}
	nodes[0].Announce(streams)
	keepersOf := func(key origin.Key) (list []*node) {
		for _, n := range nodes {
			if n.streams.Answer("s", key).Known {
				list = append(list, n)
			}
		}
		return list
	}
	check := func(by *node, s origin.Stream) {
		t.Helper()
		for _, a := range by.Find(t.Context(), "s", s.Key) {
			if age := time.Since(a.Stream.Began); a.Known && a.Stream.Version == s.Version && a.Stream.Upstream == "u" && a.Stream.Started == 7 &&
				age > time.Minute && age < time.Minute+10*time.Second {
				return
			}
		}
		t.Errorf("%s did not find stream %x of %s", by.cfg.Self.Name, s.Key, s.Version)
	}
	for _, s := range streams {
		eventually(t, "three keepers", time.Second, func() bool { return len(keepersOf(s.Key)) == streamKeepers })
		for _, n := range nodes[1:] {
			check(n, s)
		}
	}
	lost := keepersOf(streams[0].Key)
	lost[0].stop()
	lost[2].stop()
	for _, n := range nodes {
		if n != lost[0] && n != lost[1] && n != lost[2] {
			check(n, streams[0])
		}
	}
}

// Guards against a datagram of streams that other builds, or this one, take for the report
// of a gateway.
func TestDatagramOfStreamsIsNoReport(t *testing.T) {
	n := newNode(t, "a", 1)
	conn, err := net.Dial("udp", n.address())
	if err != nil {
		t.Fatal(err)
	}
	defer conn.Close()
	data, err := proto.Marshal(&rpc.GatewayReport{Streams: []*rpc.StreamOrigin{{Key: 1, SoftwareVersion: "v1"}}})
	if err != nil {
		t.Fatal(err)
	}
	eventually(t, "the stream is kept", 2*time.Second, func() bool {
		_, _ = conn.Write(data)
		return n.streams.Answer("s", 1).Known
	})
	if time.Sleep(50 * time.Millisecond); len(n.Members()) > 0 {
		t.Errorf("members: %+v", n.Members())
	}
}
