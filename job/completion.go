package job

import (
	"encoding/json"

	rpc "github.com/magnoliausher/magnoliausher/rpc/magnoliausher/v1"
)

// completion is the OpenAI API response object of both engine endpoints.
type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   usage    `json:"usage"`
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"` // chat
	Text         *string  `json:"text,omitempty"`    // completions
	FinishReason string   `json:"finish_reason"`
}

type message struct {
	Role    string `json:"role"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     uint32 `json:"prompt_tokens"`
	CompletionTokens uint32 `json:"completion_tokens"`
	TotalTokens      uint32 `json:"total_tokens"`
}

// completionBody encodes the text of all attempts as one response.
func completionBody(req *rpc.RunRequest, text string, end *rpc.End) []byte {
	var body struct {
		Model string `json:"model"`
	}
	_ = json.Unmarshal(req.Body, &body) // validated on upload
	c := completion{
		Model: body.Model,
		Usage: usage{end.PromptTokens, end.OutputTokens, end.PromptTokens + end.OutputTokens},
	}
	one := choice{FinishReason: end.FinishReason}
	if req.Path == EndpointChat {
		c.ID = "chatcmpl-" + req.AttemptId
		c.Object = "chat.completion"
		one.Message = &message{Role: "assistant", Content: text}
	} else {
		c.ID = "cmpl-" + req.AttemptId
		c.Object = "text_completion"
		one.Text = &text
	}
	c.Choices = []choice{one}
	return mustJSON(c)
}
