package job

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

// recoveryEntries of 330 entries get a proportional share of the platform's rates.
// Calls are counted over recoveryWindow, the longest backoff delay, because with so
// few entries the calls per second vary more than with 330.
const (
	recoveryEntries = 20
	recoveryWindow  = 10 // seconds
	recoveryReads   = standin.NominalReadsPerSecond * recoveryEntries * recoveryWindow / 330
	recoveryWrites  = standin.NominalWritesPerSecond * recoveryEntries * recoveryWindow / 330
)

// TestRecoveryAfterOutageOfAnHour guards against a burst of platform calls when a
// long outage ends, and against items lost in the outage.
func TestRecoveryAfterOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		fl := newFakeAgents(400)
		fl.poll = 500 * time.Millisecond
		fl.answer = completeAfter(20 * time.Second)
		s := NewStore(p)
		file, err := s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(inputLines(10_000)))
		if err != nil {
			t.Fatal(err)
		}
		job, err := s.Submit(t.Context(), submission(file, ""))
		if err != nil {
			t.Fatal(err)
		}
		var entries []*testEntry
		for rank := range recoveryEntries {
			entries = append(entries, startEntry(t, p, fl, rank, recoveryEntries))
		}
		time.Sleep(30 * time.Second)
		p.SetOutage(true)
		time.Sleep(time.Hour)
		p.ResetStats()
		p.SetOutage(false)
		reads, writes := 0, 0
		for range 12 {
			time.Sleep(recoveryWindow * time.Second)
			stats := p.ResetStats()
			reads, writes = max(reads, stats.Reads()), max(writes, stats.Writes())
		}
		t.Logf("most calls in %d s of the first two minutes: %d reads, %d writes", recoveryWindow, reads, writes)
		if reads > recoveryReads || writes > recoveryWrites {
			t.Errorf("want at most %d reads and %d writes", recoveryReads, recoveryWrites)
		}
		j := awaitJob(t, s, job.ID, 5*time.Hour)
		if j.Counts == nil || j.Counts.Completed != 10_000 {
			t.Errorf("counts %+v", j.Counts)
		}
		for _, e := range entries {
			e.stop(t)
		}
	})
}
