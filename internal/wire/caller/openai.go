// Package caller maps the callers' interface: the usual chat and completion
// messages, server-sent events, and refusals.
package caller

import (
	"encoding/json"
	"fmt"
	"strings"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/serving/request"
)

// ChatRequest is the body of a chat completion. Fields that this program does
// not use are ignored, as stock clients send many.
type ChatRequest struct {
	Model               string    `json:"model"`
	Messages            []Message `json:"messages"`
	Stream              bool      `json:"stream"`
	MaxTokens           int       `json:"max_tokens"`            //nolint:tagliatelle // The usual shape.
	MaxCompletionTokens int       `json:"max_completion_tokens"` //nolint:tagliatelle // The usual shape.
	N                   int       `json:"n"`
}

// Message is one turn of a chat.
type Message struct {
	Role    string  `json:"role"`
	Content Content `json:"content"`
}

// Content is a text, or parts of which the texts count.
type Content string

// UnmarshalJSON reads both shapes of content.
func (c *Content) UnmarshalJSON(data []byte) error {
	var text string
	if err := json.Unmarshal(data, &text); err == nil {
		*c = Content(text)

		return nil
	}

	var parts []struct {
		Text string `json:"text"`
	}
	if err := json.Unmarshal(data, &parts); err != nil {
		return err
	}

	var b strings.Builder
	for _, p := range parts {
		b.WriteString(p.Text)
	}

	*c = Content(b.String())

	return nil
}

// CompletionRequest is the body of a text completion.
type CompletionRequest struct {
	Model     string `json:"model"`
	Prompt    string `json:"prompt"`
	Stream    bool   `json:"stream"`
	MaxTokens int    `json:"max_tokens"` //nolint:tagliatelle // The usual shape.
	N         int    `json:"n"`
}

// Call is what both shapes of request ask for.
type Call struct {
	Model     string
	Prompt    string
	MaxTokens int
	Stream    bool
	// Chat tells which shape the answer has.
	Chat bool
}

// Bounds of a call.
const (
	defaultMaxTokens = 256
	limitMaxTokens   = 32768
)

// InvalidError says what is wrong with a body.
type InvalidError struct {
	Field  string
	Reason string
}

func (e *InvalidError) Error() string {
	if e.Field == "" {
		return e.Reason
	}

	return e.Field + ": " + e.Reason
}

// DecodeChat reads a chat request.
func DecodeChat(data []byte) (Call, error) {
	var req ChatRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return Call{}, &InvalidError{Reason: "body is not valid JSON: " + err.Error()}
	}

	if len(req.Messages) == 0 {
		return Call{}, &InvalidError{Field: "messages", Reason: "must not be empty"}
	}

	var b strings.Builder
	for _, m := range req.Messages {
		fmt.Fprintf(&b, "%s: %s\n", m.Role, m.Content)
	}

	return finish(Call{
		Model:     req.Model,
		Prompt:    b.String(),
		MaxTokens: max(req.MaxTokens, req.MaxCompletionTokens),
		Stream:    req.Stream,
		Chat:      true,
	}, req.N)
}

// DecodeCompletion reads a completion request.
func DecodeCompletion(data []byte) (Call, error) {
	var req CompletionRequest
	if err := json.Unmarshal(data, &req); err != nil {
		return Call{}, &InvalidError{Reason: "body is not valid JSON: " + err.Error()}
	}

	return finish(Call{
		Model:     req.Model,
		Prompt:    req.Prompt,
		MaxTokens: req.MaxTokens,
		Stream:    req.Stream,
	}, req.N)
}

func finish(c Call, n int) (Call, error) {
	switch {
	case c.Model == "":
		return c, &InvalidError{Field: "model", Reason: "is missing"}
	case c.MaxTokens < 0 || c.MaxTokens > limitMaxTokens:
		return c, &InvalidError{Field: "max_tokens", Reason: fmt.Sprintf("must be from 1 to %d", limitMaxTokens)}
	case n > 1:
		return c, &InvalidError{Field: "n", Reason: "only one answer can be asked for"}
	case c.MaxTokens == 0:
		c.MaxTokens = defaultMaxTokens
	}

	return c, nil
}

type choice struct {
	Index        int      `json:"index"`
	Message      *message `json:"message,omitempty"`
	Delta        *message `json:"delta,omitempty"`
	Text         *string  `json:"text,omitempty"`
	FinishReason *string  `json:"finish_reason"` //nolint:tagliatelle // The usual shape.
}

type message struct {
	Role    string `json:"role,omitempty"`
	Content string `json:"content"`
}

type usage struct {
	PromptTokens     int `json:"prompt_tokens"`     //nolint:tagliatelle // The usual shape.
	CompletionTokens int `json:"completion_tokens"` //nolint:tagliatelle // The usual shape.
	TotalTokens      int `json:"total_tokens"`      //nolint:tagliatelle // The usual shape.
}

type completion struct {
	ID      string   `json:"id"`
	Object  string   `json:"object"`
	Created int64    `json:"created"`
	Model   string   `json:"model"`
	Choices []choice `json:"choices"`
	Usage   *usage   `json:"usage,omitempty"`
}

// Answer encodes the parts of one answer.
type Answer struct {
	ID      string
	Model   string
	Created time.Time
	Chat    bool
}

func (a *Answer) head(chunk bool) completion {
	object := "text_completion"

	switch {
	case a.Chat && chunk:
		object = "chat.completion.chunk"
	case a.Chat:
		object = "chat.completion"
	}

	return completion{ID: a.ID, Object: object, Created: a.Created.Unix(), Model: a.Model}
}

var stop = "stop"

// Whole encodes a whole answer.
func (a *Answer) Whole(text string, promptWords, tokens int) ([]byte, error) {
	c := a.head(false)
	c.Usage = &usage{
		PromptTokens: promptWords, CompletionTokens: tokens, TotalTokens: promptWords + tokens,
	}

	if a.Chat {
		c.Choices = []choice{{Message: &message{Role: "assistant", Content: text}, FinishReason: &stop}}
	} else {
		c.Choices = []choice{{Text: &text, FinishReason: &stop}}
	}

	return json.Marshal(c)
}

// Chunk appends one token as a server-sent event to buf.
func (a *Answer) Chunk(buf []byte, text string, first bool) []byte {
	c := a.head(true)

	if a.Chat {
		m := &message{Content: text}
		if first {
			m.Role = "assistant"
		}

		c.Choices = []choice{{Delta: m}}
	} else {
		c.Choices = []choice{{Text: &text}}
	}

	return appendEvent(buf, c)
}

// End appends the events that end a whole stream to buf.
func (a *Answer) End(buf []byte) []byte {
	c := a.head(true)

	if a.Chat {
		c.Choices = []choice{{Delta: &message{}, FinishReason: &stop}}
	} else {
		empty := ""
		c.Choices = []choice{{Text: &empty, FinishReason: &stop}}
	}

	return append(appendEvent(buf, c), "data: [DONE]\n\n"...)
}

func appendEvent(buf []byte, v any) []byte {
	data, err := json.Marshal(v)
	if err != nil {
		// The types of this package hold nothing that JSON cannot express.
		panic(err)
	}

	buf = append(buf, "data: "...)
	buf = append(buf, data...)

	return append(buf, "\n\n"...)
}

type errorBody struct {
	Type         string `json:"type"`
	Code         string `json:"code"`
	Run          string `json:"run"`
	RetryAfterMs int64  `json:"retryAfterMs,omitempty"`
	Message      string `json:"message"`
}

type errorReply struct {
	Error errorBody `json:"error"`
}

// EncodeRefusal maps a refusal to its body.
func EncodeRefusal(r *request.Refusal) []byte {
	data, err := json.Marshal(errorReply{Error: errorBody{
		Type:         "refused",
		Code:         string(r.Code),
		Run:          string(r.Run),
		RetryAfterMs: r.RetryAfter.Milliseconds(),
		Message:      r.Message,
	}})
	if err != nil {
		panic(err)
	}

	return data
}

// RefusalEvent appends a refusal in the middle of a stream to buf.
func RefusalEvent(buf []byte, r *request.Refusal) []byte {
	buf = append(buf, "data: "...)
	buf = append(buf, EncodeRefusal(r)...)

	return append(buf, "\n\n"...)
}

// DecodeRefusal reads a refusal's body. It is for clients, such as the try
// command's.
func DecodeRefusal(data []byte) (request.Refusal, bool) {
	var reply errorReply
	if err := json.Unmarshal(data, &reply); err != nil || reply.Error.Type != "refused" {
		return request.Refusal{}, false
	}

	return request.Refusal{
		Code:       request.Code(reply.Error.Code),
		Run:        request.Run(reply.Error.Run),
		RetryAfter: time.Duration(reply.Error.RetryAfterMs) * time.Millisecond,
		Message:    reply.Error.Message,
	}, true
}

type modelLine struct {
	ID      string `json:"id"`
	Object  string `json:"object"`
	Created int64  `json:"created"`
	OwnedBy string `json:"owned_by"` //nolint:tagliatelle // The usual shape.
}

type modelsReply struct {
	Object string      `json:"object"`
	Data   []modelLine `json:"data"`
}

// EncodeModels lists the models that a caller may use.
func EncodeModels(names []string) ([]byte, error) {
	reply := modelsReply{Object: "list", Data: []modelLine{}}
	for _, name := range names {
		reply.Data = append(reply.Data, modelLine{ID: name, Object: "model", OwnedBy: "fulmarcross"})
	}

	return json.Marshal(reply)
}
