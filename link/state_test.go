package link

import (
	"context"
	"encoding/hex"
	"errors"
	"fmt"
	"math/rand/v2"
	"testing"
	"testing/synctest"
	"time"

	"github.com/leanovate/gopter"
	"github.com/leanovate/gopter/gen"
	"github.com/leanovate/gopter/prop"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

func newTestGossip() *gossip {
	return newGossip("self", "mvd-a", 1, new(contract.Holder), poison.NewTable(poison.Config{}), zerolog.Nop())
}

// largeDocument returns a document of n callers with incompressible keys.
func largeDocument(version uint64, n int) *contract.Document {
	random := rand.New(rand.NewPCG(1, 2))
	doc := &contract.Document{Version: version, ChangeID: fmt.Sprint("change-", version)}
	for i := range n {
		key := make([]byte, 32)
		for j := range key {
			key[j] = byte(random.Uint32())
		}
		doc.Callers = append(doc.Callers, contract.Caller{
			ID: fmt.Sprint("caller-", i), Organisation: fmt.Sprint("organisation-", i),
			KeySHA256: hex.EncodeToString(key), RatePerSecond: float64(i % 50), Burst: i % 100,
			MaxInProgress: i % 20, Classes: []contract.Class{contract.ClassOnline, contract.ClassBatch},
		})
	}
	doc.Callers[n/2].Burst = int(version)
	return doc
}

// Guards against a configuration version, or the known version of another
// instance, that decreases when messages arrive repeated, reordered, or over
// several streams.
func TestVersionsNeverDecrease(t *testing.T) {
	properties := gopter.NewProperties(nil)
	properties.Property("versions only increase", prop.ForAll(func(versions, sequences []uint64) bool {
		s := newTestGossip()
		peers := []*peer{s.newPeer(), s.newPeer()}
		var inForce, known uint64
		for i, version := range versions {
			data, _ := encodeDocument(&contract.Document{Version: version})
			body, _ := encodeBody(data, nil, 0)
			msg := &rpc.ControlMessage{
				SenderId: "peer", Sequence: sequences[i], ConfigVersion: version,
				Config:           &rpc.ConfigBody{Version: version, Body: body},
				InstanceVersions: []*rpc.InstanceVersion{{InstanceId: "third", ConfigVersion: version}},
			}
			peers[i%2].receive(msg, time.Now())
			peers[i%2].receive(msg, time.Now())
			third := s.versionOf("third", time.Now()).Version
			if s.codec.holder.Version() < inForce || third < known {
				return false
			}
			inForce, known = s.codec.holder.Version(), third
		}
		return true
	}, gen.SliceOfN(8, gen.UInt64Range(1, 6)), gen.SliceOfN(8, gen.UInt64Range(1, 6))))
	properties.TestingRun(t)
}

// Guards against full bodies for small changes, which would exceed the limit
// on control traffic, and against a receiver without the base that stays
// behind.
func TestConfigDelta(t *testing.T) {
	sender, receiver := newTestGossip(), newTestGossip()
	sender.codec.holder.SetIfNewer(largeDocument(1, 3800))
	receiver.codec.holder.SetIfNewer(largeDocument(1, 3800))
	sender.newPeer().compose(time.Now()) // composing any message records version 1 as a base
	sender.codec.holder.SetIfNewer(largeDocument(2, 3800))
	full, err := sender.codec.bodyFor(0, false)
	if err != nil {
		t.Fatal(err)
	}
	delta, err := sender.codec.bodyFor(1, false)
	if err != nil {
		t.Fatal(err)
	}
	t.Logf("full body %d bytes, delta %d bytes", len(full.Body), len(delta.Body))
	if len(delta.Body) > 1000 {
		t.Errorf("delta of %d bytes", len(delta.Body))
	}
	if err := receiver.codec.apply(delta); err != nil || receiver.codec.holder.Version() != 2 {
		t.Errorf("version %d after the delta, error %v", receiver.codec.holder.Version(), err)
	}
	if err := newTestGossip().codec.apply(delta); err == nil {
		t.Error("a delta without its base was applied")
	}

	// A receiver that cannot apply a delta announces version 0 and gets the
	// full body.
	p := sender.newPeer()
	p.receive(&rpc.ControlMessage{SenderId: "peer", Sequence: 1, ConfigVersion: 1}, time.Now())
	if msg, urgent := p.compose(time.Now()); !urgent || len(msg.Config.GetBody()) != len(delta.Body) {
		t.Errorf("the first body has %d bytes", len(msg.Config.GetBody()))
	}
	p.receive(&rpc.ControlMessage{Sequence: 2}, time.Now())
	if msg, urgent := p.compose(time.Now()); !urgent || len(msg.Config.GetBody()) != len(full.Body) {
		t.Errorf("the second body has %d bytes", len(msg.Config.GetBody()))
	}
}

// Guards against announcements that circulate, that accumulate in memory, or
// that miss links which open shortly afterwards.
func TestCancelledJobsAreBoundedAndForwardedOnce(t *testing.T) {
	jobs, now := newCancelledJobs(), time.Unix(1000, 0)
	if !jobs.add("a", "peer", now) || jobs.add("a", "other", now) {
		t.Fatal("an id must be new exactly once")
	}
	if ids, _ := jobs.since(0, "peer", now); len(ids) != 0 {
		t.Errorf("%v sent back to its sender", ids)
	}
	ids, sent := jobs.since(0, "other", now)
	if len(ids) != 1 {
		t.Errorf("%d ids for another peer, want 1", len(ids))
	}
	if ids, _ = jobs.since(sent, "other", now); len(ids) != 0 {
		t.Errorf("%v forwarded twice", ids)
	}
	if ids, _ = jobs.since(0, "new", now.Add(cancelledForwardPeriod)); len(ids) != 0 {
		t.Errorf("%v forwarded late", ids)
	}
	for i := range 3 * maxCancelledJobs {
		jobs.add(fmt.Sprint(i), "", now)
	}
	if len(jobs.order) != maxCancelledJobs || len(jobs.known) != maxCancelledJobs {
		t.Errorf("%d announcements kept", len(jobs.order))
	}
	jobs.expire(now.Add(cancelledRetention))
	if len(jobs.known) != 0 {
		t.Errorf("%d announcements after their expiry", len(jobs.known))
	}
}

// Guards against versions that a bounded message never includes, that return
// to their source, or that accumulate in memory.
func TestVersionLogReachesEveryInstance(t *testing.T) {
	log, now := newVersionLog(), time.Unix(1000, 0)
	const instances = 50
	for round := range uint64(20) {
		for i := range instances {
			log.record(fmt.Sprint("i", i), round+1, now, "source")
		}
	}
	if len(log.order) > 2*instances+versionsPerMessage {
		t.Errorf("%d increases kept", len(log.order))
	}
	seen, cursor := make(map[string]uint64), uint64(0)
	for range instances {
		items, next := log.since(cursor, "peer", now)
		cursor = next
		for _, item := range items {
			seen[item.InstanceId] = item.ConfigVersion
		}
	}
	for i := range instances {
		if v := seen[fmt.Sprint("i", i)]; v != 20 {
			t.Errorf("instance %d announced with version %d", i, v)
		}
	}
	if items, _ := log.since(0, "source", now); len(items) != 0 {
		t.Errorf("%v sent back", items)
	}
	for i := range maxVersionRecords + 200 {
		log.record(fmt.Sprint("j", i), 1, now, "source")
	}
	if len(log.records) > maxVersionRecords {
		t.Errorf("%d instances kept", len(log.records))
	}
}

// Guards against more reports than the limit on control traffic allows,
// against a pause longer than the heartbeat interval, and against a delayed
// report of a state change.
func TestReportIntervals(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newTestGossip()
		load := &rpc.LoadReport{Slots: 64, State: rpc.UpstreamState_UPSTREAM_STATE_READY}
		var r reporter
		var sent []time.Time
		var last *rpc.LoadReport
		p := s.newPeer()
		ctx, cancel := context.WithCancelCause(t.Context())
		done := make(chan error)
		go func() {
			done <- p.sendLoop(ctx, func(msg *rpc.ControlMessage, now time.Time, heartbeat bool) (bool, time.Duration) {
				return r.add(msg, load, now, heartbeat)
			}, func(msg *rpc.ControlMessage) error {
				sent = append(sent, time.Now())
				last = msg.Load
				return nil
			})
		}()
		time.Sleep(time.Minute)
		synctest.Wait()
		if n := len(sent); n < 30 || n > 32 {
			t.Errorf("%d idle messages in a minute", n)
		}
		sent = nil
		for i := range uint32(6000) { // a change every 10 ms
			load = &rpc.LoadReport{Slots: 64, State: load.State, OnlineActive: 32 * (i % 2)}
			p.wakeUp()
			time.Sleep(10 * time.Millisecond)
			synctest.Wait()
		}
		if n := len(sent); n > 121 {
			t.Errorf("%d busy messages in a minute", n)
		}
		load = &rpc.LoadReport{Slots: 64, State: rpc.UpstreamState_UPSTREAM_STATE_DOWN}
		p.wakeUp()
		synctest.Wait()
		if last.GetState() != rpc.UpstreamState_UPSTREAM_STATE_DOWN {
			t.Error("the state change was not reported at once")
		}
		stop := errors.New("stop")
		cancel(stop)
		if err := <-done; !errors.Is(err, stop) {
			t.Error(err)
		}
	})
}

// Guards against an entry's prefix set that diverges from the agent's cache.
func TestPrefixChangesConverge(t *testing.T) {
	var r reporter
	var known map[uint64]struct{}
	now, prefixes := time.Unix(1000, 0), []uint64{}
	for i := range uint64(100) {
		prefixes = append(prefixes, i, 1000+i)
		if i > 20 {
			prefixes = prefixes[1:]
		}
		now = now.Add(heartbeatInterval)
		msg := new(rpc.ControlMessage)
		r.add(msg, &rpc.LoadReport{CacheComplete: true, CachedPrefixes: prefixes}, now, true)
		known = applyPrefixChanges(known, msg.Load)
	}
	if len(known) != len(prefixes) {
		t.Errorf("%d prefixes known, want %d", len(known), len(prefixes))
	}
	for _, prefix := range prefixes {
		if _, ok := known[prefix]; !ok {
			t.Errorf("prefix %d is missing", prefix)
		}
	}
}
