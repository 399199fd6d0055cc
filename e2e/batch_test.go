package e2e

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"testing"

	"github.com/magnoliausher/magnoliausher/job"
	"github.com/magnoliausher/magnoliausher/job/client"
)

func batchInput(items int) []byte {
	var input bytes.Buffer
	for i := range items {
		fmt.Fprintf(&input, `{"custom_id":"item-%d","method":"POST","url":"/v1/completions","body":{"model":%q,"prompt":"note %d","max_tokens":20}}`+"\n", i, model, i)
	}
	return input.Bytes()
}

// createBatch uploads an input file, creates a batch and returns its ID.
func createBatch(t *testing.T, c *client.Client, items int) string {
	t.Helper()
	file, err := c.Upload(t.Context(), "input.jsonl", bytes.NewReader(batchInput(items)))
	if err != nil {
		t.Fatal(err)
	}
	request := job.CreateRequest{InputFileID: file.ID, Endpoint: job.EndpointCompletions, CompletionWindow: "24h"}
	batch, err := c.Create(t.Context(), request, "")
	if err != nil {
		t.Fatal(err)
	}
	return batch.ID
}

// awaitBatch waits for the end of the batch and checks that each item has exactly
// one result.
func (f *fleet) awaitBatch(t *testing.T, c *client.Client, id string, items int) {
	t.Helper()
	ended, err := c.Wait(t.Context(), id, batchPollInterval, nil)
	if err != nil {
		t.Fatal(err)
	}
	var output bytes.Buffer
	if err := c.Download(t.Context(), ended.OutputFileID, &output); err != nil {
		t.Fatal(err)
	}
	seen := make(map[string]int)
	lines := bufio.NewScanner(&output)
	lines.Buffer(nil, 1<<20)
	for lines.Scan() {
		var line struct {
			CustomID string `json:"custom_id"`
		}
		if err := json.Unmarshal(lines.Bytes(), &line); err != nil {
			t.Fatal(err)
		}
		seen[line.CustomID]++
	}
	for i := range items {
		if n := seen[fmt.Sprintf("item-%d", i)]; n != 1 {
			t.Errorf("item %d has %d results, want 1", i, n)
		}
	}
}
