package main

import (
	"encoding/json"
	"errors"
	"fmt"
	"time"

	"windflow/dispatch"
	"windflow/internal/settings"
)

// Names of the messages that the host handles itself.
const (
	messageRegister = "REGISTER"
	messageStart    = "START"
	messageRetire   = "RETIRE"
)

// wireBatch is a line of input: messages with the time at which they happen.
type wireBatch struct {
	TimeNS *int64                       `json:"ts-ns"`
	Number int64                        `json:"n"`
	In     []map[string]json.RawMessage `json:"in"` // each element has one message, under its name
}

// wireReply is a line of output: the number of the batch that it answers, and the resulting actions.
type wireReply struct {
	Number int64        `json:"n"`
	Out    []wireAction `json:"out"`
}

// wireStart is a START message, which creates an instance.
type wireStart struct {
	Nonce    uint64             `json:"nonce64"`
	Settings *settings.Settings `json:"settings"`
}

// wireRegister is a REGISTER message, which defines an endpoint list under a number.
type wireRegister struct {
	Sheet    *int64         `json:"sheet"`
	Elements []wireEndpoint `json:"elements"`
}

// wireTarget is the part of a message that identifies the instance it is for.
type wireTarget struct {
	Who *int64 `json:"who"`
}

// host holds the instances of this process, each with a controller, and the registered endpoint lists.
type host struct {
	instances map[int64]*dispatch.Controller // by instance number
	lists     map[int64][]dispatch.Endpoint  // by list number
	actions   []dispatch.Action              // of the last event; reused for the next
	replies   []wireAction                   // actions in reply to the current batch
}

func newHost() *host {
	return &host{
		instances: map[int64]*dispatch.Controller{}, lists: map[int64][]dispatch.Endpoint{}, replies: []wireAction{},
	}
}

// handleBatch handles the messages of a line of input, in order, and returns the reply without a line break. It fails
// on the first message that is malformed or names an unknown instance or list.
func (h *host) handleBatch(line []byte) ([]byte, error) {
	var batch wireBatch
	if err := json.Unmarshal(line, &batch); err != nil {
		return nil, fmt.Errorf("batch: %w", decodeError{err})
	}
	if batch.TimeNS == nil {
		return nil, errors.New("batch: field ts-ns is missing")
	}
	h.replies = h.replies[:0]
	for _, message := range batch.In {
		if len(message) != 1 {
			return nil, fmt.Errorf("batch %d: field in: a message needs exactly one name, got %d",
				batch.Number, len(message))
		}
		for name, body := range message {
			if err := h.handleMessage(time.Duration(*batch.TimeNS), name, body); err != nil {
				return nil, fmt.Errorf("batch %d: message %s: %w", batch.Number, name, err)
			}
		}
	}
	reply, err := json.Marshal(wireReply{batch.Number, h.replies})
	if err != nil {
		return nil, fmt.Errorf("batch %d: reply: %w", batch.Number, err)
	}
	return reply, nil
}

// handleMessage handles a message that happens at the time now.
func (h *host) handleMessage(now time.Duration, name string, body json.RawMessage) error {
	if name == messageRegister {
		return h.register(body)
	}
	var target wireTarget
	if err := decode(body, &target); err != nil {
		return err
	}
	if target.Who == nil {
		return errors.New("field who is missing")
	}
	switch name {
	case messageStart:
		return h.start(*target.Who, body)
	case messageRetire:
		return h.retire(*target.Who)
	}
	return h.handleEvent(now, *target.Who, name, body)
}

// handleEvent passes an event to the controller of the instance who and adds the resulting actions to the reply.
func (h *host) handleEvent(now time.Duration, who int64, name string, body json.RawMessage) error {
	event, err := h.event(name, body)
	if err != nil {
		return err
	}
	controller, ok := h.instances[who]
	if !ok {
		return unknownInstanceError(who)
	}
	if event == nil {
		return nil
	}
	h.actions = controller.Handle(now, event, h.actions[:0])
	for _, action := range h.actions {
		h.replies = append(h.replies, encodeAction(who, action))
	}
	return nil
}

// start creates the instance who. An existing instance of that number is replaced.
func (h *host) start(who int64, body json.RawMessage) error {
	var message wireStart
	if err := decode(body, &message); err != nil {
		return err
	}
	if message.Settings == nil {
		return errors.New("field settings is missing")
	}
	cfg, err := message.Settings.DispatchConfig(message.Nonce)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	controller, err := dispatch.New(cfg)
	if err != nil {
		return fmt.Errorf("field settings: %w", err)
	}
	h.instances[who] = controller
	return nil
}

// retire removes the instance who.
func (h *host) retire(who int64) error {
	if _, ok := h.instances[who]; !ok {
		return unknownInstanceError(who)
	}
	delete(h.instances, who)
	return nil
}

// register defines an endpoint list. An existing list of that number is replaced.
func (h *host) register(body json.RawMessage) error {
	var message wireRegister
	if err := decode(body, &message); err != nil {
		return err
	}
	if message.Sheet == nil {
		return errors.New("field sheet is missing")
	}
	list := make([]dispatch.Endpoint, 0, len(message.Elements))
	for i, element := range message.Elements {
		endpoint, err := element.endpoint()
		if err != nil {
			return fmt.Errorf("field elements[%d].%w", i, err)
		}
		list = append(list, endpoint)
	}
	h.lists[*message.Sheet] = list
	return nil
}

// unknownInstanceError is the error for the number of an instance that was not started, or was retired.
type unknownInstanceError int64

func (e unknownInstanceError) Error() string {
	return fmt.Sprintf("field who: unknown instance %d", int64(e))
}

// decode decodes the JSON body of a message. Errors are described without the names of Go types.
func decode(body json.RawMessage, into any) error {
	if err := json.Unmarshal(body, into); err != nil {
		return decodeError{err}
	}
	return nil
}

// decodeError wraps an error of package json. Its text names the JSON field, not the Go type, because its readers
// know only the protocol.
type decodeError struct{ err error }

func (e decodeError) Error() string {
	var typeError *json.UnmarshalTypeError
	if errors.As(e.err, &typeError) {
		return fmt.Sprintf("field %s: %s has the wrong type", typeError.Field, typeError.Value)
	}
	return e.err.Error()
}

func (e decodeError) Unwrap() error { return e.err }
