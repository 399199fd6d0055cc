// Package engine simulates an inference engine with continuous batching. It has
// two layers: Model, a deterministic simulation in virtual time, and Server, an
// OpenAI-compatible HTTP server that drives a Model in real time.
//
// # HTTP interface
//
// POST /v1/completions and POST /v1/chat/completions accept the OpenAI fields
// model, prompt or messages, max_tokens, max_completion_tokens, stream,
// stream_options.include_usage and prompt_cache_key. X-Request-Id carries the
// attempt ID; an ID that is already in progress is rejected with 409. The field
//
//	"resume": {"text": "...", "tokens": N}
//
// resumes generation after N tokens, which count towards max_tokens and usage;
// a text that is not the output of this prompt is rejected with 400. A stream
// sends one event for all tokens generated since the previous event, with their
// number in the field "tokens" when it is not 1, and a keep-alive comment after
// each second without output. A cancelled stream ends with an error event and
// without [DONE].
//
// POST /engine/cancel takes {"id"} and returns {"cancelled"}. Closing the
// connection also cancels the request.
//
// GET /engine/load returns slots, active, waiting and prompt_tokens_queued as of
// LoadLag ago, and the current state.
//
// GET /engine/cache_events?after=N returns {"events", "next", "complete"}. If N is
// 0, belongs to an earlier boot or is no longer retained, events is the full
// content of the cache and complete is true. A gap in the sequence numbers means
// that an event was lost.
//
// POST /engine/kv/export takes {"id"} of a running attempt and returns a
// KVCache, which POST /engine/kv/import takes. The next completion of the same
// prompt on the importing engine processes only the tokens that the KV cache
// does not cover.
//
// POST /engine/orders takes an upstream.Order and returns 202 when the order is
// accepted. Weights load asynchronously; completions are rejected with 503 while a
// model loads. If Config.CheckFencing is set, an outdated fencing number is
// rejected with 409 and the code upstream.CodeFenced.
//
// GET /healthz returns {"boot_id", "ready"}.
package engine
