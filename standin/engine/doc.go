// Package engine is a stand-in for a model engine with continuous batching. It
// has two layers: Model, a deterministic simulation in virtual time, and
// Server, an OpenAI-style HTTP server that drives a Model in real time.
//
// # HTTP interface
//
// POST /v1/completions and POST /v1/chat/completions take the OpenAI fields
// model, prompt or messages, max_tokens, max_completion_tokens, stream,
// stream_options.include_usage and prompt_cache_key. X-Request-Id is the id of
// the attempt; an id in progress is refused with 409. A field
//
//	"resume": {"text": "...", "tokens": N}
//
// makes generation go on after N tokens, which count towards max_tokens and
// usage; a text that is not the prompt's own output is refused with 400. A
// stream sends one event for the tokens generated since the last one, with their
// number in the field "tokens" when it is not 1, and a comment each second
// without output. A cancelled stream ends with an error event and without [DONE].
//
// POST /engine/cancel takes {"id"} and answers {"cancelled"}. Closing the
// connection cancels too.
//
// GET /engine/load answers slots, active, waiting and prompt_tokens_queued of
// LoadLag ago, and the present state.
//
// GET /engine/cache_events?after=N answers {"events", "next", "complete"}. With N
// of 0, of an earlier boot, or too old, events is the whole content of the cache
// and complete is true. A gap in the numbers is a lost event.
//
// POST /engine/kv/export takes {"id"} of a running attempt and answers a KV,
// which POST /engine/kv/import takes. The next completion of the same prompt at
// the importing engine processes only what the KV does not cover.
//
// POST /engine/orders takes an upstream.Order. It answers 202 when the order is
// accepted; weights load afterwards, and completions are refused with 503 while a
// model loads. An old fencing number is refused with 409 and the code
// upstream.CodeFenced if Config.CheckFencing is set.
//
// GET /healthz answers {"boot_id", "ready"}.
package engine
