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

// Guards against a part of prompts that crashes one upstream after the other because no
// two requests with it are alike. Requests that share the other parts must be served.
func TestPromptPartThatCrashesUpstreamsIsBlocked(t *testing.T) {
	const (
		requests = 16
		shared   = "You advise a workshop."
		// maxPartCrashes allows two requests in progress at once, each tried twice.
		maxPartCrashes = 4
	)
	f := newFleet(t, 4, 3)
	client := &loadgen.Client{Key: key}
	send := func(i int, parts ...string) error {
		request := loadgen.NewChatRequest(model, fmt.Sprintf("question %d", i), tokens)
		var messages []loadgen.ChatMessage
		for _, part := range parts {
			messages = append(messages, loadgen.ChatMessage{Role: "system", Content: part})
		}
		request.Messages = append(messages, request.Messages...)
		return client.Chat(t.Context(), f.entries[i%3].address, request, nil)
	}
	for i := range 6 {
		if err := send(i, shared, "Answer briefly."); err != nil {
			t.Fatal(err)
		}
	}
	rejected := 0
	for i := range requests {
		err := send(100+i, shared, "Answer briefly.", "Notes: "+poisonMarker)
		var refused *loadgen.RefusedError
		if errors.As(err, &refused) && strings.Contains(refused.Body, "blocked_part") && refused.Executed == "no" {
			rejected++
		}
		if i < requests/2 {
			continue
		}
		if err := send(200+i, shared, "Answer briefly."); err != nil {
			t.Errorf("request that shares the other parts: %v", err)
		}
	}
	crashes := 0
	for _, e := range f.engines {
		crashes += e.Crashes()
	}
	t.Logf("%d crashes, %d of %d requests with the part rejected", crashes, rejected, requests)
	if crashes > maxPartCrashes || rejected < requests-maxPartCrashes {
		t.Errorf("%d crashes, want at most %d; %d of %d requests rejected as not run", crashes, maxPartCrashes, rejected, requests)
	}
}
