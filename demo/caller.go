package demo

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"sync/atomic"

	"github.com/gravitational/trace"

	"github.com/magnoliausher/magnoliausher/loadgen"
)

// maxIdleConnsPerEntry exceeds the burst, so that its connections are reused.
const maxIdleConnsPerEntry = 1000

// caller sends requests to the entries in turn.
type caller struct {
	client    *loadgen.Client
	load      *loadgen.Generator
	addresses []string
	next      atomic.Uint64
}

func newCaller(addresses []string, key, model string) *caller {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = maxIdleConnsPerEntry
	c := &loadgen.Client{Key: key, HTTP: &http.Client{Transport: transport}}
	return &caller{client: c, load: &loadgen.Generator{Client: c, Model: model}, addresses: addresses}
}

func (c *caller) nextAddress() string {
	return c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
}

// sendChat sends one streamed chat completion request in the background.
func (c *caller) sendChat(ctx context.Context, prompt string, tokens int) {
	c.load.Send(ctx, c.nextAddress(), prompt, tokens)
}

// checkRunsOnce sends a non-repeatable call twice with the same idempotency key,
// to two entries, and checks that it ran once and that both responses are equal.
func (c *caller) checkRunsOnce(ctx context.Context, path, key string, executions func(body []byte) int) error {
	body := []byte(fmt.Sprintf(`{"order":%q}`, key))
	var responses [2][]byte
	for i := range responses {
		resp, err := c.client.Post(ctx, c.nextAddress(), path, key, body)
		if err != nil {
			return err
		}
		responses[i], err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		if resp.StatusCode != http.StatusOK {
			return trace.Errorf("%s: status %d: %s", path, resp.StatusCode, bytes.TrimSpace(responses[i]))
		}
	}
	if n := executions(body); n != 1 {
		return trace.Errorf("%s ran %d times", path, n)
	}
	if !bytes.Equal(responses[0], responses[1]) {
		return trace.Errorf("%s: the repeated request got a different response", path)
	}
	return nil
}
