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
	// maxPoisonCrashes is the number of crashes after which the request is blocked.
	maxPoisonCrashes = 2
)

// Guards against a request that crashes every upstream that executes it and that
// its caller resends through all entries. It may cause at most two crashes, and no
// concurrent request may be blocked or lose its response.
func TestPoisonRequestCrashesAtMostTwoUpstreams(t *testing.T) {
	f := newFleet(t, 4, 3)
	otherLoad := newLoad()
	stop := make(chan struct{})
	var sending sync.WaitGroup
	sending.Go(func() {
		for i := 0; ; i++ {
			select {
			case <-stop:
				return
			default:
			}
			otherLoad.Send(t.Context(), f.entries[i%3].address, fmt.Sprintf("question %d", i), tokens)
			if i%3 == 2 {
				otherLoad.Wait() // limits the requests in progress
			}
		}
	})
	blocked := 0
	for i := range poisonResends {
		err := chat(t.Context(), f.entries[i%3].address, poisonMarker, tokens)
		var rejected *loadgen.RefusedError
		if !errors.As(err, &rejected) {
			t.Errorf("resend %d: %v, want a rejection", i, err)
			continue
		}
		if strings.Contains(rejected.Body, "blocked") {
			blocked++
		}
	}
	close(stop)
	sending.Wait()
	otherLoad.Wait()
	report(t, otherLoad)
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	t.Logf("%d crashes, %d of %d resends blocked", crashes, blocked, poisonResends)
	if crashes > maxPoisonCrashes {
		t.Errorf("%d crashes, want at most %d", crashes, maxPoisonCrashes)
	}
	if otherLoad.Counts().Correct != otherLoad.Counts().Sent {
		t.Errorf("%d of %d responses to other requests are correct", otherLoad.Counts().Correct, otherLoad.Counts().Sent)
	}
}
