package hotrestartipc

import (
	"os"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Message is one message of a link. Its Kind says what its Body holds.
type Message struct {
	Kind  string              `json:"kind"`
	Body  jsoniter.RawMessage `json:"body,omitempty"`
	Files []*os.File          `json:"-"` // the receiver closes them
}

// NewMessage returns a message with the body encoded as JSON. The files remain the caller's, who may close them once
// Link.Send has returned. It panics where the body can't be encoded: bodies are types of this program.
func NewMessage(kind string, body any, files ...*os.File) Message {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Message{Kind: kind, Body: text, Files: files}
}

// Decode decodes the message's body.
func (m Message) Decode(into any) error { return json.Unmarshal(m.Body, into) }
