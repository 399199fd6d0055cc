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

// connectionsPerEntry is more than the burst, so that connections are kept.
const connectionsPerEntry = 1000

// caller sends requests to the entries in turn.
type caller struct {
	client    *loadgen.Client
	load      *loadgen.Load
	addresses []string
	next      atomic.Uint64
}

func newCaller(addresses []string, key, model string) *caller {
	transport := http.DefaultTransport.(*http.Transport).Clone()
	transport.MaxIdleConnsPerHost = connectionsPerEntry
	c := &loadgen.Client{Key: key, HTTP: &http.Client{Transport: transport}}
	return &caller{client: c, load: &loadgen.Load{Client: c, Model: model}, addresses: addresses}
}

func (c *caller) address() string {
	return c.addresses[c.next.Add(1)%uint64(len(c.addresses))]
}

// start sends one streamed chat in the background.
func (c *caller) start(ctx context.Context, prompt string, tokens int) {
	c.load.Send(ctx, c.address(), prompt, tokens)
}

// once sends a call that must not be repeated twice with the same key, to two
// entries, and checks that it ran once and that both answers are the same.
func (c *caller) once(ctx context.Context, path, key string, executions func(body []byte) int) error {
	body := []byte(fmt.Sprintf(`{"order":%q}`, key))
	var answers [2][]byte
	for i := range answers {
		resp, err := c.client.Post(ctx, c.address(), path, key, body)
		if err != nil {
			return err
		}
		answers[i], err = io.ReadAll(resp.Body)
		_ = resp.Body.Close()
		if err != nil {
			return trace.Wrap(err)
		}
		if resp.StatusCode != http.StatusOK {
			return trace.Errorf("%s: status %d: %s", path, resp.StatusCode, bytes.TrimSpace(answers[i]))
		}
	}
	if n := executions(body); n != 1 {
		return trace.Errorf("%s ran %d times", path, n)
	}
	if !bytes.Equal(answers[0], answers[1]) {
		return trace.Errorf("%s: the resend got another answer", path)
	}
	return nil
}
