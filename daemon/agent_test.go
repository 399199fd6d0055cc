package daemon

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net/http/httptest"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/attempt"
	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/instance"
	"github.com/magnoliausher/magnoliausher/link"
	"github.com/magnoliausher/magnoliausher/poison"
	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
	"github.com/magnoliausher/magnoliausher/settings"
	"github.com/magnoliausher/magnoliausher/standin/service"
	"github.com/magnoliausher/magnoliausher/storage"
)

// startPlainAgent runs an agent in front of a fake plain service and returns its
// address.
func startPlainAgent(t *testing.T) string {
	t.Helper()
	portal := httptest.NewServer(service.New().Handler())
	t.Cleanup(portal.Close)
	s, err := settings.ParseAgent("agent.ini", []byte(fmt.Sprintf(
		"[instance]\nrole=agent\nid=agent-1\ndata_centre=mvd-a\nlisten=127.0.0.1:0\n[upstream]\naddress=%s\nservice=portal\nkind=plain\n",
		strings.TrimPrefix(portal.URL, "http://"))))
	if err != nil {
		t.Fatal(err)
	}
	d, err := NewAgent(s, zerolog.Nop())
	if err != nil {
		t.Fatal(err)
	}
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = d.Run(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return d.Address()
}

// startLinks runs an entry's links to the agent at address.
func startLinks(t *testing.T, address string) *link.EntryClient {
	t.Helper()
	members := instance.NewTable(instance.Config{})
	members.ApplyList([]storage.Instance{{ID: "agent-1", Role: storage.RoleAgent, DataCentre: "mvd-a",
		Address: address, Service: "portal", State: storage.InstanceLive}}, 1, time.Now())
	links := link.NewEntryClient(link.EntryClientConfig{ID: "entry-1", DataCentre: "mvd-a", Incarnation: 1,
		Holder: &contract.Holder{}, Suspects: poison.NewTable(poison.Config{}), Members: members, Logger: zerolog.Nop()})
	ctx, cancel := context.WithCancel(context.Background())
	var running sync.WaitGroup
	running.Go(func() { _ = links.Serve(ctx) })
	t.Cleanup(func() { cancel(); running.Wait() })
	return links
}

// runAttempt runs one attempt and returns the load reports in its events.
func runAttempt(t *testing.T, links *link.EntryClient) []*rpc.LoadReport {
	t.Helper()
	up := links.Upstreams("portal")[0]
	now := time.Now()
	stream, err := links.Run(t.Context(), up.AgentID, &rpc.RunRequest{
		AttemptId: string(attempt.NewID()), Service: "portal", Caller: "c", Class: rpc.Class_CLASS_ONLINE, Repeatable: true,
		Ticket:     &rpc.Ticket{AgentIncarnation: up.Incarnation, NotAfterMs: uint64((up.AgentTime(now) + time.Minute).Milliseconds())},
		DeadlineMs: 10_000, Method: "GET", Path: "/orders",
	})
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = stream.Close() }()
	var reports []*rpc.LoadReport
	for {
		event, err := stream.Recv()
		if errors.Is(err, io.EOF) {
			return reports
		}
		if err != nil {
			t.Fatal(err)
		}
		if event.GetRefused() != nil || event.GetFailed() != nil {
			t.Fatalf("attempt ended with %v", event)
		}
		if event.Load != nil {
			reports = append(reports, event.Load)
		}
	}
}

// Guards against attempt events without load reports, which would leave a busy
// entry to route by heartbeats alone. Package link tests the interval between
// reports in virtual time.
func TestEventsIncludeLoadReports(t *testing.T) {
	links := startLinks(t, startPlainAgent(t))
	isReady := func() bool {
		ups := links.Upstreams("portal")
		return len(ups) == 1 && ups[0].Load.GetState() == rpc.UpstreamState_UPSTREAM_STATE_READY
	}
	for !isReady() {
		time.Sleep(10 * time.Millisecond)
	}
	var reports []*rpc.LoadReport
	for len(reports) < 3 {
		reports = append(reports, runAttempt(t, links)...)
		time.Sleep(10 * time.Millisecond)
	}
	for i, r := range reports {
		if r.Slots == 0 || (i > 0 && r.AgentTimeMs <= reports[i-1].AgentTimeMs) {
			t.Errorf("report %d: %v, previous report %v", i, r, reports[max(i-1, 0)])
		}
	}
	if got := links.Upstreams("portal")[0].Load.AgentTimeMs; got < reports[2].AgentTimeMs {
		t.Errorf("entry holds a load report of agent time %d ms, older than %d ms in the last event", got, reports[2].AgentTimeMs)
	}
}
