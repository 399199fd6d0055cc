package e2e

import (
	"errors"
	"fmt"
	"strings"
	"sync"
	"testing"

	"github.com/magnoliausher/magnoliausher/loadgen"
)

const (
	poisonResends = 12
	// maxPoisonCrashes is the number of crashes after which a request is blocked.
	maxPoisonCrashes = 2
)

// Guards against a request that crashes every upstream that runs it: its caller
// sends it again and again through all entries. It may cause two crashes, and
// no request beside it may be blamed or lose its answer.
func TestPoisonRequestCrashesTwoUpstreams(t *testing.T) {
	f := newFleet(t, 4, 3)
	innocent := newLoad()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			innocent.Send(t.Context(), f.entries[i%3].address, fmt.Sprintf("question %d", i), tokens)
			if i%3 == 2 {
				innocent.Wait() // a few at a time
			}
		}
	})
	blocked := 0
	for i := range poisonResends {
		err := chat(t.Context(), f.entries[i%3].address, poisonMarker, tokens)
		var refused *loadgen.RefusedError
		if !errors.As(err, &refused) {
			t.Errorf("resend %d: %v, want a refusal", i, err)
			continue
		}
		if strings.Contains(refused.Body, "blocked") {
			blocked++
		}
	}
	close(stop)
	sending.Wait()
	innocent.Wait()
	report(t, innocent)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	t.Logf("%d crashes, %d of %d resends blocked", crashes, blocked, poisonResends)
	if crashes > maxPoisonCrashes {
		t.Errorf("%d crashes, want at most %d", crashes, maxPoisonCrashes)
	}
	if innocent.Counts().Whole != innocent.Counts().Sent {
		t.Errorf("%d of %d answers beside it are whole", innocent.Counts().Whole, innocent.Counts().Sent)
	}
}
