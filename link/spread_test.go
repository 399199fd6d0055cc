package link

import (
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/poison"
)

// Guards against information that stops at the first hop: entry 1 is linked to
// agent 1, entry 2 to both agents, and what entry 1 learns must reach agent 2.
func TestGossipAlongChain(t *testing.T) {
	agent1 := startAgent(t, "agent-1", "chat", nil)
	agent2 := startAgent(t, "agent-2", "chat", nil)
	entry1 := startEntry(t, "entry-1", agent1)
	entry2 := startEntry(t, "entry-2", agent1, agent2)
	eventually(t, "links open", func() bool {
		return connectedCount(entry1, "chat") == 1 && connectedCount(entry2, "chat") == 2
	})

	entry1.holder.SetIfNewer(&contract.Document{Version: 4})
	eventually(t, "version at the end of the chain", func() bool { return agent2.holder.Version() == 4 })

	entry1.holder.SetIfNewer(&contract.Document{Version: 5, ChangeID: "c"})
	eventually(t, "delta at the end of the chain", func() bool {
		return agent2.holder.Version() == 5 && agent2.holder.Current().Document.ChangeID == "c"
	})

	agent2.suspects.RecordCrash(1, []uint64{11}, time.Now())
	agent1.suspects.RecordCrash(2, []uint64{11}, time.Now())
	eventually(t, "both crashes known at both ends", func() bool {
		now := time.Now()
		return entry1.suspects.Status(11, now) == poison.Blocked && agent2.suspects.Status(11, now) == poison.Blocked
	})

	entry1.AnnounceCancelled("job-1")
	if id := <-agent1.CancelledJobs(); id != "job-1" {
		t.Fatalf("agent 1 got %q", id)
	}
	if id := <-entry2.Cancelled(); id != "job-1" {
		t.Fatalf("entry 2 got %q", id)
	}
	if id := <-agent2.CancelledJobs(); id != "job-1" {
		t.Fatalf("agent 2 got %q", id)
	}
	select {
	case id := <-entry1.Cancelled():
		t.Fatalf("announcement %q came back to its origin", id)
	default:
	}

	eventually(t, "version of an instance two links away", func() bool {
		return entry2.gossip.versionOf("entry-1", time.Now()).Version == 5
	})

	agent1.SetLeaving()
	eventually(t, "leaving notice", func() bool { return entry1.Upstreams("chat")[0].Leaving })
}
