package hotrestartipc

import (
	"os"

	jsoniter "github.com/json-iterator/go"
)

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// Message is one message of a link. Kind determines the type of Body.
type Message struct {
	Kind  string              `json:"kind"`
	Body  jsoniter.RawMessage `json:"body,omitempty"`
	Files []*os.File          `json:"-"` // the receiver has to close them
}

// NewMessage returns a message with body encoded as JSON. The files stay with the caller, who may close them when
// Link.Send has returned. NewMessage panics if body can't be encoded, since bodies are only types of this program.
func NewMessage(kind string, body any, files ...*os.File) Message {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err)
	}
	return Message{Kind: kind, Body: text, Files: files}
}

// Decode decodes the body of the message into a pointer.
func (m Message) Decode(into any) error { return json.Unmarshal(m.Body, into) }
