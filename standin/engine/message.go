package engine

// CancelRequest is the body of POST /engine/cancel.
type CancelRequest struct {
	ID string `json:"id"` // X-Request-Id of the request
}

// CancelResponse answers POST /engine/cancel.
type CancelResponse struct {
	Cancelled bool `json:"cancelled"` // false when no such request is in progress
}

// ExportRequest is the body of POST /engine/kv/export; the answer is a KV,
// which is the body of POST /engine/kv/import.
type ExportRequest struct {
	ID string `json:"id"` // X-Request-Id of the request
}

// LoadReport answers GET /engine/load. The load is LoadLag old, the state is not.
type LoadReport struct {
	Load
	State State `json:"state"`
}

// CacheEvents answers GET /engine/cache_events?after=N.
type CacheEvents struct {
	Events   []CacheEvent `json:"events"`
	Next     uint64       `json:"next"`     // the next value of after
	Complete bool         `json:"complete"` // events is the whole content of the cache
}

// Health answers GET /healthz.
type Health struct {
	BootID string `json:"boot_id"`
	Ready  bool   `json:"ready"` // false while weights load
}

// Usage counts the tokens of a completion, over all attempts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is an answer or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Tokens  int      `json:"tokens,omitempty"` // output tokens in this event; absent means one
}

type choice struct {
	Index        int      `json:"index"`
	Text         *string  `json:"text,omitempty"`
	Message      *content `json:"message,omitempty"`
	Delta        *content `json:"delta,omitempty"`
	FinishReason *string  `json:"finish_reason"`
}

type content struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}
