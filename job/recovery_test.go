package job

import (
	"strings"
	"testing"
	"testing/synctest"
	"time"

	standin "github.com/magnoliausher/magnoliausher/standin/platform"
)

// The share of the platform's rates that recoveryEntries of 330 entries have.
// Calls are counted over recoveryWindow, the longest pause of the backoff: with
// so few entries single seconds vary more than with 330.
const (
	recoveryEntries = 20
	recoveryWindow  = 10 // seconds
	recoveryReads   = standin.NominalReadsPerSecond * recoveryEntries * recoveryWindow / 330
	recoveryWrites  = standin.NominalWritesPerSecond * recoveryEntries * recoveryWindow / 330
)

// Guards against entries that call the platform together at the end of a long
// outage, and against items lost in it.
func TestRecoveryAfterOutageOfAnHour(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		p := standin.New(standin.Config{})
		fl := newFleet(400)
		fl.poll = 500 * time.Millisecond
		fl.answer = completes(20 * time.Second)
		s := NewStore(p)
		file, err := s.Upload(t.Context(), "org", "caller", "in", strings.NewReader(inputLines(10_000)))
		if err != nil {
			t.Fatal(err)
		}
		job, err := s.Submit(t.Context(), submission(file, ""))
		if err != nil {
			t.Fatal(err)
		}
		var entries []*entry
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
		j := await(t, s, job.ID, 5*time.Hour)
		if j.Counts == nil || j.Counts.Completed != 10_000 {
			t.Errorf("counts %+v", j.Counts)
		}
		for _, e := range entries {
			e.stop(t)
		}
	})
}
