// Package openaiclient tests a fleet with an unmodified OpenAI client.
package openaiclient

import (
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"strings"
	"testing"
	"time"

	"github.com/openai/openai-go/v3"
	"github.com/openai/openai-go/v3/option"
	"github.com/rs/zerolog"

	"github.com/magnoliausher/magnoliausher/contract"
	"github.com/magnoliausher/magnoliausher/demo"
	"github.com/magnoliausher/magnoliausher/standin/engine"
	"github.com/magnoliausher/magnoliausher/upstream"
)

const (
	key   = "openai-client"
	model = "assistant"
)

// newClient starts a fleet and returns a client of its only entry.
func newClient(t *testing.T) openai.Client {
	t.Helper()
	doc := &contract.Document{
		Version: 1, ChangeID: "openai", SheetDate: "2026-01-02", Revision: 1,
		Services: []contract.Service{{Name: model, Kind: contract.KindEngine, Model: model}},
		Groups:   []contract.UpstreamGroup{{Name: "engines", Service: model, DataCentre: "dc-1", Role: "serve", Count: 2}},
	}
	ctx, cancel := context.WithCancel(context.Background())
	fleet, err := demo.Start(ctx, demo.FleetConfig{Document: demo.WithCaller(doc, key), Entries: 1, Logger: zerolog.Nop()})
	if err != nil {
		cancel()
		t.Fatal(err)
	}
	t.Cleanup(func() {
		cancel()
		if err := fleet.Wait(); err != nil {
			t.Errorf("fleet: %v", err)
		}
	})
	if err := fleet.WaitReady(t.Context()); err != nil {
		t.Fatal(err)
	}
	return openai.NewClient(option.WithAPIKey(key), option.WithBaseURL("http://"+fleet.Entries[0].Address()+"/v1/"), option.WithMaxRetries(0))
}

func chatParams(prompt string, tokens int64) openai.ChatCompletionNewParams {
	return openai.ChatCompletionNewParams{
		Model:     model,
		MaxTokens: openai.Int(tokens),
		Messages:  []openai.ChatCompletionMessageParamUnion{openai.UserMessage(prompt)},
	}
}

func expectedText(t *testing.T, body any) string {
	t.Helper()
	encoded, err := json.Marshal(body)
	if err != nil {
		t.Fatal(err)
	}
	p, err := upstream.ParsePrompt(encoded)
	if err != nil {
		t.Fatal(err)
	}
	return engine.ExpectedText(p.Text, 0, p.MaxTokens)
}

// Guards against responses that the client cannot decode into its types.
func TestChat(t *testing.T) {
	c := newClient(t)
	params := chatParams("Diagnose a faulty escapement", 12)
	completion, err := c.Chat.Completions.New(t.Context(), params)
	if err != nil {
		t.Fatal(err)
	}
	if got, want := completion.Choices[0].Message.Content, expectedText(t, params); got != want {
		t.Errorf("content %q, want %q", got, want)
	}
	if completion.Usage.CompletionTokens != 12 || completion.Choices[0].FinishReason != "length" {
		t.Errorf("usage %+v, finish reason %q", completion.Usage, completion.Choices[0].FinishReason)
	}
	models, err := c.Models.List(t.Context())
	if err != nil {
		t.Fatal(err)
	}
	if len(models.Data) != 1 || models.Data[0].ID != model {
		t.Errorf("models %+v", models.Data)
	}
}

// Guards against stream events that the client's accumulator rejects.
func TestStream(t *testing.T) {
	c := newClient(t)
	params := chatParams("Which pendulum weight is this?", 20)
	params.StreamOptions = openai.ChatCompletionStreamOptionsParam{IncludeUsage: openai.Bool(true)}
	stream := c.Chat.Completions.NewStreaming(t.Context(), params)
	var accumulator openai.ChatCompletionAccumulator
	for stream.Next() {
		if !accumulator.AddChunk(stream.Current()) {
			t.Fatalf("chunk rejected by the accumulator: %s", stream.Current().RawJSON())
		}
	}
	if err := stream.Err(); err != nil {
		t.Fatal(err)
	}
	if got, want := accumulator.Choices[0].Message.Content, expectedText(t, params); got != want {
		t.Errorf("content %q, want %q", got, want)
	}
	if accumulator.Usage.CompletionTokens != 20 {
		t.Errorf("usage %+v", accumulator.Usage)
	}
}

// Guards against a batch API that is incompatible with the client.
func TestBatch(t *testing.T) {
	c := newClient(t)
	const items = 5
	var input strings.Builder
	for i := range items {
		fmt.Fprintf(&input, `{"custom_id":"note-%d","method":"POST","url":"/v1/chat/completions","body":{"model":%q,"messages":[{"role":"user","content":"note %d"}]}}`+"\n", i, model, i)
	}
	file, err := c.Files.New(t.Context(), openai.FileNewParams{
		File: openai.File(strings.NewReader(input.String()), "notes.jsonl", "application/jsonl"), Purpose: openai.FilePurposeBatch,
	})
	if err != nil {
		t.Fatal(err)
	}
	batch, err := c.Batches.New(t.Context(), openai.BatchNewParams{
		InputFileID: file.ID, Endpoint: openai.BatchNewParamsEndpointV1ChatCompletions,
		CompletionWindow: openai.BatchNewParamsCompletionWindow24h,
	})
	if err != nil {
		t.Fatal(err)
	}
	for batch.Status != openai.BatchStatusCompleted {
		time.Sleep(50 * time.Millisecond)
		if batch, err = c.Batches.Get(t.Context(), batch.ID); err != nil {
			t.Fatal(err)
		}
		switch batch.Status {
		case openai.BatchStatusFailed, openai.BatchStatusCancelled, openai.BatchStatusExpired:
			t.Fatalf("batch ended with status %s", batch.Status)
		}
	}
	content, err := c.Files.Content(t.Context(), batch.OutputFileID)
	if err != nil {
		t.Fatal(err)
	}
	defer content.Body.Close()
	output, err := io.ReadAll(content.Body)
	if err != nil {
		t.Fatal(err)
	}
	for i := range items {
		if id := fmt.Sprintf(`"custom_id":"note-%d"`, i); strings.Count(string(output), id) != 1 {
			t.Errorf("%s occurs %d times in the output, want once", id, strings.Count(string(output), id))
		}
	}
}

// Guards against error responses that the client cannot decode.
func TestErrors(t *testing.T) {
	c := newClient(t)
	params := chatParams("question", 5)
	params.Model = "nonexistent"
	_, err := c.Chat.Completions.New(t.Context(), params)
	var apiError *openai.Error
	if !errors.As(err, &apiError) {
		t.Fatalf("got %v, want an API error", err)
	}
	if apiError.StatusCode != 404 || apiError.Code != "model_not_found" {
		t.Errorf("status %d, code %q", apiError.StatusCode, apiError.Code)
	}
}
