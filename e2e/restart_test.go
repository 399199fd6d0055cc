package e2e

import (
	"bytes"
	"encoding/json"
	"fmt"
	"net/http"
	"strings"
	"sync"
	"syscall"
	"testing"
	"time"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/job/client"
	"github.com/magnoliausher/magnoliausher/operator"
	operatorclient "github.com/magnoliausher/magnoliausher/operator/client"
)

// maxCancelDelay is the time after which no item of a cancelled job may start.
const maxCancelDelay = 3 * time.Second

func (f *fleet) submitted() int {
	n := 0
	for _, e := range f.engines {
		n += e.Submitted()
	}
	return n
}

// chunksClaimedBy returns the number of chunks that an entry has claimed.
func (f *fleet) chunksClaimedBy(t *testing.T, entry *process) int {
	t.Helper()
	rows, err := f.platform.Scan(t.Context(), "chunk/", "", 1000)
	if err != nil {
		t.Fatal(err)
	}
	n := 0
	for _, row := range rows {
		var chunk job.Chunk
		if err := json.Unmarshal(row.Value, &chunk); err != nil {
			t.Fatal(err)
		}
		if chunk.State == job.ChunkClaimed && strings.HasPrefix(chunk.Holder, entry.id) {
			n++
		}
	}
	return n
}

func download(t *testing.T, entry *process, fileID string) []byte {
	t.Helper()
	var output bytes.Buffer
	c := &client.Client{BaseURL: "http://" + entry.address, Key: key}
	if err := c.Download(t.Context(), fileID, &output); err != nil {
		t.Fatalf("%s: %v", entry.id, err)
	}
	return output.Bytes()
}

// Guards against items that start after a cancellation because the entry that
// claimed them was stopped with SIGSTOP meanwhile, and against an output that
// changes between reads.
func TestCancelWhileEntryIsStopped(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 2)
	const items = 20_000
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	baseline := f.submitted()
	id := createBatch(t, c, items)
	for f.submitted() < baseline+300 || f.chunksClaimedBy(t, f.entries[0]) == 0 {
		time.Sleep(20 * time.Millisecond)
	}
	f.entries[0].signal(t, syscall.SIGSTOP)
	c.BaseURL = "http://" + f.entries[1].address
	time.Sleep(500 * time.Millisecond)
	batch, err := c.Cancel(t.Context(), id)
	if err != nil || batch.Status != job.StatusCancelled {
		t.Fatalf("%+v, %v", batch, err)
	}
	time.Sleep(maxCancelDelay)
	before := f.submitted()
	first := download(t, f.entries[1], batch.OutputFileID)
	f.entries[0].signal(t, syscall.SIGCONT)
	time.Sleep(5 * time.Second)
	if n := f.submitted() - before; n != 0 {
		t.Errorf("%d items started more than %s after the cancellation", n, maxCancelDelay)
	}
	for _, e := range f.entries {
		if !bytes.Equal(first, download(t, e, batch.OutputFileID)) {
			t.Errorf("%s returns a different output than the first read", e.id)
		}
	}
	t.Logf("%d items started, output of %d bytes", before-baseline, len(first))
	if n := f.submitted(); n >= items {
		t.Error("the job was not in progress when it was cancelled")
	}
}

// Guards against jobs that stall and configurations that are lost when all entries
// are killed and replaced by new ones.
func TestAllEntriesReplaced(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 3, 2)
	c := &client.Client{BaseURL: "http://" + f.entries[0].address, Key: key}
	id := createBatch(t, c, batchItems)
	change := operator.Change{Base: 1}
	change.Put.Services = []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model, DeadlineMS: 30_000}}
	answer, err := (&operatorclient.Client{BaseURL: c.BaseURL, Key: key}).Change(t.Context(), change, "")
	if err != nil {
		t.Fatal(err)
	}
	for _, e := range f.entries {
		e.signal(t, syscall.SIGKILL)
		<-e.done
		f.platform.RemoveInstance(e.id)
	}
	f.entries = []*process{f.startEntry("entry-new-0"), f.startEntry("entry-new-1")}
	for _, e := range f.entries {
		f.awaitServing(e)
		if v := configVersion(t, e); v != answer.Version {
			t.Errorf("%s serves with version %d, want %d", e.id, v, answer.Version)
		}
	}
	c.BaseURL = "http://" + f.entries[1].address
	f.awaitBatch(t, c, id, batchItems)
}

func isReady(t *testing.T, p *process) bool {
	t.Helper()
	resp, err := http.Get("http://" + p.address + "/readyz")
	if err != nil {
		t.Fatal(err)
	}
	defer resp.Body.Close()
	return resp.StatusCode == http.StatusOK
}

// Guards against a new entry that cannot start without the platform although its
// peers have the configuration, and against one that is ready without a
// configuration.
func TestEntryStartsWithoutPlatform(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1)
	f.platform.SetOutage(true)
	peers := ""
	for i, a := range f.agents {
		if i > 0 {
			peers += ","
		}
		peers += a.address
	}
	withoutPeers := f.startEntry("entry-lone")
	withPeers := f.start("entry-peered", "entry", fmt.Sprintf(
		"[instance]\nrole=entry\nid=entry-peered\ndata_centre=%s\nlisten=127.0.0.1:0\npeers=%s\n[platform]\naddress=%s\n",
		dataCentre, peers, f.platformAddress))
	f.awaitServing(withPeers)
	if !isReady(t, withPeers) || configVersion(t, withPeers) != 1 {
		t.Errorf("the entry with peers is not ready or has version %d, want 1", configVersion(t, withPeers))
	}
	if isReady(t, withoutPeers) || configVersion(t, withoutPeers) != 0 {
		t.Error("an entry without any configuration source is ready or has a configuration")
	}
	f.platform.SetOutage(false)
	f.awaitServing(withoutPeers)
	f.awaitServing(withPeers)
}

// Guards against wrong responses, calls executed twice and lost jobs when a data
// centre with half of the entries and agents is lost under load.
func TestDataCentreLost(t *testing.T) {
	t.Parallel()
	f := newFleet(t, 2, 1)
	f.dataCentre = "dc-2"
	for i := range 2 {
		f.agents = append(f.agents, f.startAgent(fmt.Sprintf("other-%d", i), model, "engine", f.startEngine()))
	}
	portal := f.startAgent("other-portal", "portal", "plain", serve(t, f.portal.Handler()))
	f.agents = append(f.agents, portal)
	other := f.startEntry("other-entry")
	f.awaitServing(other)
	c := &client.Client{BaseURL: "http://" + other.address, Key: key}
	id := createBatch(t, c, batchItems)
	l := newLoad()
	var calls sync.WaitGroup
	outcomes := make([]invoiceOutcome, 2*requests)
	body := func(i int) []byte { return []byte(fmt.Sprintf(`{"lost":%d}`, i)) }
	for i := range outcomes {
		if i == requestsBeforeFault {
			for _, p := range []*process{other, portal, f.agents[3], f.agents[4]} {
				p.signal(t, syscall.SIGKILL)
			}
		}
		entry := f.entries[0]
		if i < requestsBeforeFault && i%2 == 0 {
			entry = other
		}
		l.Send(t.Context(), entry.address, fmt.Sprintf("question %d", i), tokens)
		calls.Go(func() { outcomes[i] = sendInvoice(t.Context(), entry, "", body(i)) })
		time.Sleep(sendInterval)
	}
	l.Wait()
	calls.Wait()
	report(t, l)
	if l.Counts().Correct+l.Counts().Incomplete != l.Counts().Sent {
		t.Errorf("%d of %d responses are neither correct nor incomplete", l.Counts().Sent-l.Counts().Correct-l.Counts().Incomplete, l.Counts().Sent)
	}
	if maxIncomplete := requestsBeforeFault / 2; l.Counts().Incomplete > maxIncomplete {
		t.Errorf("%d responses are incomplete, more than were sent to the lost entry", l.Counts().Incomplete)
	}
	count := make(map[invoiceOutcome]int)
	for i, got := range outcomes {
		f.checkInvoice(t, body(i), got)
		count[got]++
	}
	t.Logf("calls: %v", count)
	c.BaseURL = "http://" + f.entries[0].address
	f.awaitBatch(t, c, id, batchItems)
}
