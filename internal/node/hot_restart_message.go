package node

import (
	"errors"
	"fmt"
	"os"

	"windflow/internal/configclient"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/router"
)

// Kinds of message between two processes that share a router, with their bodies. Those of the machine and those of the
// cordons, claims, usage and parts are declared beside their owners.
const (
	msgIDChange = "id"   // router.IDChange
	msgKill     = "kill" // killMessage
	msgBye      = "bye"  // of version 1: the process ends the link and goes on; a further one takes over from it
)

// machineMessages are those that the machine knows.
var machineMessages = map[string]hotrestart.MessageKind{
	"hello": hotrestart.MessageHello, "wait": hotrestart.MessageWait, "state": hotrestart.MessageState,

	"ready": hotrestart.MessageReady, "go-ahead": hotrestart.MessageGoAhead, "back": hotrestart.MessageHandBack,
}

// helloMessage requests the state of a predecessor.
type helloMessage struct {
	PID     int                      `json:"pid"`
	Process hotrestart.ProcessNumber `json:"place,omitempty"` // since version 2
	Version int                      `json:"version,omitempty"`
}

// waitMessage tells a successor to repeat its hello.
type waitMessage struct {
	Phase string `json:"phase"`
	PID   int    `json:"pid"`
}

// stateMessage is what a successor needs to continue in place of its predecessor. The descriptors of the listeners
// come with it.
type stateMessage struct {
	Version    int               `json:"version,omitempty"`
	Generation uint8             `json:"generation"`
	Core       router.State      `json:"core"`
	Listeners  []string          `json:"listeners"` // names of the descriptors, in their order
	Addresses  map[string]string `json:"at"`        // of the listeners, by name
	Parts      []string          `json:"parts"`     // parts that have something to hand over
	// Configuration is the revision of the keepers' that is in force; the successor begins with no earlier one.
	Configuration *configclient.Revision `json:"configuration,omitempty"`
}

// readyMessage says that the sender has all that it takes to accept.
type readyMessage struct {
	Taken []string `json:"took"` // the listeners that the sender accepts on in place of the other
}

// killMessage passes a client's KILL on to the process that has the session.
type killMessage struct {
	SessionID uint32 `json:"id"`
	QueryOnly bool   `json:"query"`
}

// messageHandler takes one message of another process. It may keep files of the message by taking them off it.
type messageHandler func(from *peer, m *hotrestartipc.Message) error

// decoded is a handler of messages with a body of type T; one that can't be decoded is not handled.
func decoded[T any](handle func(from *peer, body T)) messageHandler {
	return func(from *peer, m *hotrestartipc.Message) error {
		var body T
		if err := m.Decode(&body); err != nil {
			return err
		}
		handle(from, body)
		return nil
	}
}

// send sends a message of the machine's. A process of version 1 knows neither wait nor back.
func (c *coordinator) send(receiver *peer, kind hotrestart.MessageKind) {
	if receiver == nil || receiver.version == 1 && (kind == hotrestart.MessageWait || kind == hotrestart.MessageHandBack) {
		return
	}
	var body any
	var files []*os.File
	switch kind {
	case hotrestart.MessageHello:
		body = helloMessage{PID: os.Getpid(), Process: c.machine.Self, Version: hotrestart.ProtocolVersion}
	case hotrestart.MessageWait:
		body = waitMessage{Phase: c.machine.Phase().String(), PID: os.Getpid()}
	case hotrestart.MessageState:
		body, files = c.actions.exportState()
	case hotrestart.MessageReady:
		body = readyMessage{Taken: c.actions.takenListeners()}
	case hotrestart.MessageGoAhead, hotrestart.MessageHandBack: // say no more than their kind
	}
	receiver.send(kind.String(), body, files...)
	closeFiles(files)
}

// receive takes one message of another process.
func (c *coordinator) receive(from *peer, m hotrestartipc.Message) {
	defer func() { closeFiles(m.Files) }()
	var err error
	if kind, ok := machineMessages[m.Kind]; ok {
		err = c.receiveMachineMessage(from, kind, &m)
	} else if from.process != hotrestart.NoProcess && c.links.byProcess[from.process] == from && c.actions.serving() {
		if handle := c.handlers[m.Kind]; handle != nil {
			err = handle(from, &m)
		}
	}
	if err != nil {
		c.log.Warn("process message malformed", "kind", m.Kind, "error", err)
	}
}

// receiveBye records that the process at the other end lives on though its link ends.
func receiveBye(from *peer, _ *hotrestartipc.Message) error {
	from.saidBye = true
	return nil
}

// receiveMachineMessage takes a message that is the machine's.
func (c *coordinator) receiveMachineMessage(from *peer, kind hotrestart.MessageKind, m *hotrestartipc.Message) error {
	var err error
	switch kind {
	case hotrestart.MessageHello:
		err = c.receiveHello(from, m)
	case hotrestart.MessageState:
		defer func() { clear(c.received.files) }()
		err = c.receiveState(from, m)
	case hotrestart.MessageReady:
		var ready readyMessage
		err = m.Decode(&ready)
		if err == nil {
			c.received.taken = ready.Taken
		}
	case hotrestart.MessageWait, hotrestart.MessageGoAhead, hotrestart.MessageHandBack: // say no more than their kind
	}
	if err == nil && c.links.byProcess[from.process] == from {
		c.step(hotrestart.Event{Kind: hotrestart.EventMessageReceived, Process: from.process, Message: kind})
	}
	return err
}

// receiveHello learns who is at the other end. A process whose version this one does not speak, or whose number is not
// after this one's, is cut off: each calls only processes started before it, so that the folder was tampered with.
func (c *coordinator) receiveHello(from *peer, m *hotrestartipc.Message) error {
	var hello helloMessage
	if err := m.Decode(&hello); err != nil {
		return err
	}
	version, ok := hotrestart.NegotiateVersion(hello.Version)
	if !ok {
		from.link.Close()
		return fmt.Errorf("process %d speaks version %d, this one %d to %d",
			hello.PID, hello.Version, hotrestart.OldestProtocolVersion, hotrestart.ProtocolVersion)
	}
	process := hello.Process
	if process < hotrestart.FirstProcess {
		process = hotrestart.LegacySuccessor
	}
	if process <= c.machine.Self {
		from.link.Close()
		return fmt.Errorf("process %d has slot %d, and this one %d", hello.PID, process, c.machine.Self)
	}
	from.version = version
	if from.process != hotrestart.NoProcess {
		return nil
	}
	from.process = process
	if former := c.links.byProcess[process]; former != nil {
		former.link.Close()
	}
	c.links.byProcess[process] = from
	return nil
}

var errListenerCount = errors.New("the descriptors don't match the listeners")

// receiveState keeps a predecessor's state until the machine has it restored.
func (c *coordinator) receiveState(from *peer, message *hotrestartipc.Message) error {
	state := stateMessage{Version: 1}
	if err := message.Decode(&state); err != nil {
		return err
	}
	if len(message.Files) != len(state.Listeners) {
		return errListenerCount
	}
	from.version, _ = hotrestart.NegotiateVersion(state.Version)
	if c.generation == state.Generation { // of a process of version 1, which counts by itself
		c.generation = (state.Generation + generationCount/2) % generationCount
	}
	c.received.state, c.received.files = state, map[string]*os.File{}
	for i, file := range message.Files {
		c.received.files[state.Listeners[i]] = file
	}
	return nil
}

func closeFiles(files []*os.File) {
	for _, file := range files {
		_ = file.Close()
	}
}
