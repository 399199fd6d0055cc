package engine

// CancelRequest is the body of POST /engine/cancel.
type CancelRequest struct {
	ID string `json:"id"` // X-Request-Id of the request
}

// CancelResponse is the response to POST /engine/cancel.
type CancelResponse struct {
	Cancelled bool `json:"cancelled"` // false if no such request is in progress
}

// ExportRequest is the body of POST /engine/kv/export. The response is a KVCache,
// which is the body of POST /engine/kv/import.
type ExportRequest struct {
	ID string `json:"id"` // X-Request-Id of the request
}

// LoadReport is the response to GET /engine/load. The load is LoadLag old, the
// state is current.
type LoadReport struct {
	Load
	State State `json:"state"`
}

// CacheEvents is the response to GET /engine/cache_events?after=N.
type CacheEvents struct {
	Events   []CacheEvent `json:"events"`
	Next     uint64       `json:"next"`     // value of after for the next request
	Complete bool         `json:"complete"` // events lists the full content of the cache
}

// Health is the response to GET /healthz.
type Health struct {
	BootID string `json:"boot_id"`
	Ready  bool   `json:"ready"` // false while weights load
}

// Usage is the token count of a completion over all attempts.
type Usage struct {
	PromptTokens     int `json:"prompt_tokens"`
	CompletionTokens int `json:"completion_tokens"`
	TotalTokens      int `json:"total_tokens"`
}

// completion is a response body or one event of a stream.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *Usage   `json:"usage,omitempty"`
	Tokens  int      `json:"tokens,omitempty"` // output tokens in this event; omitted for one
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
