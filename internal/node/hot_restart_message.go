package node

import (
	"fmt"
	"os"

	"windflow/internal/configclient"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/hotrestartipc"
	"windflow/internal/router"
)

// Kinds of messages between two processes that share a router, with their bodies. The kinds of the state machine are in
// machineMessages; those of cordons, claims, usage and parts are declared in their files.
const (
	msgIDChange = "id"   // router.IDChange
	msgKill     = "kill" // killMessage
	msgBye      = "bye"  // no body, of protocol version 1: the sender closes the link and continues to run
)

// machineMessages maps the kinds of messages that the state machine handles to its names for them.
var machineMessages = map[string]hotrestart.MessageKind{
	"hello": hotrestart.MessageHello, "wait": hotrestart.MessageWait, "state": hotrestart.MessageState,

	"ready": hotrestart.MessageReady, "go-ahead": hotrestart.MessageGoAhead, "back": hotrestart.MessageHandBack,
}

// helloMessage requests the state of a predecessor.
type helloMessage struct {
	PID     int                      `json:"pid"`
	Process hotrestart.ProcessNumber `json:"place,omitempty"` // since protocol version 2
	Version int                      `json:"version,omitempty"`
}

// waitMessage tells a successor to repeat its hello.
type waitMessage struct {
	Phase string `json:"phase"`
	PID   int    `json:"pid"`
}

// stateMessage carries what a successor needs to continue in place of its predecessor. The descriptors of the listeners
// are passed with it.
type stateMessage struct {
	Version    int               `json:"version,omitempty"`
	Generation uint8             `json:"generation"`
	Core       router.State      `json:"core"`
	Listeners  []string          `json:"listeners"` // names of the passed listeners, in the order of the descriptors
	Addresses  map[string]string `json:"at"`        // configured addresses of the listeners, by name
	Parts      []string          `json:"parts"`     // parts that will hand something over
	// Configuration is the keepers' revision in force, nil if there is none. The successor never starts with an earlier
	// one.
	Configuration *configclient.Revision `json:"configuration,omitempty"`
}

// readyMessage reports that the sender has everything that it needs to accept.
type readyMessage struct {
	Taken []string `json:"took"` // names of the listeners on which the sender accepts in place of the receiver
}

// killMessage forwards a client's KILL to the process that may hold the session.
type killMessage struct {
	SessionID uint32 `json:"id"`
	QueryOnly bool   `json:"query"`
}

// messageHandler handles one message from another process. To keep a file of the message, it removes the file from
// m.Files; the remaining ones are closed after it returns.
type messageHandler func(from *peer, m *hotrestartipc.Message) error

// decoded returns a handler of messages with a body of type T. For a message that can't be decoded it returns the error
// without calling handle.
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

// send sends a message of the state machine. Wait and hand-back messages are not sent to a process of protocol version
// 1, which does not know them.
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
	case hotrestart.MessageGoAhead, hotrestart.MessageHandBack: // have no body
	}
	receiver.send(kind.String(), body, files...)
	closeFiles(files)
}

// receive handles one message from another process.
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

// receiveBye records that the process at the other end continues to run although its link ends.
func receiveBye(from *peer, _ *hotrestartipc.Message) error {
	from.saidBye = true
	return nil
}

// receiveMachineMessage handles a message of the state machine.
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
	case hotrestart.MessageWait, hotrestart.MessageGoAhead, hotrestart.MessageHandBack: // no body to decode
	}
	if err == nil && c.links.byProcess[from.process] == from {
		c.step(hotrestart.Event{Kind: hotrestart.EventMessageReceived, Process: from.process, Message: kind})
	}
	return err
}

// receiveHello learns which process is at the other end. It closes the link and returns an error if the process has an
// unsupported protocol version, or a process number that is not above that of this process: since each process connects
// only to processes that were started before it, such a number means that the slot folder was tampered with.
func (c *coordinator) receiveHello(from *peer, m *hotrestartipc.Message) error {
	var hello helloMessage
	if err := m.Decode(&hello); err != nil {
		return err
	}
	version, ok := hotrestart.NegotiateVersion(hello.Version)
	if !ok {
		from.link.Close()
		return fmt.Errorf("process with PID %d speaks protocol version %d, expected %d to %d",
			hello.PID, hello.Version, hotrestart.OldestProtocolVersion, hotrestart.ProtocolVersion)
	}
	process := hello.Process
	if process < hotrestart.FirstProcess {
		process = hotrestart.LegacySuccessor
	}
	if process <= c.machine.Self {
		from.link.Close()
		return fmt.Errorf("process with PID %d has slot %d, expected one above this process's slot %d",
			hello.PID, process, c.machine.Self)
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

// receiveState keeps a predecessor's state, which is restored when the state machine requests that. It fails if the
// message can't be decoded or its descriptors do not match its list of listeners.
func (c *coordinator) receiveState(from *peer, message *hotrestartipc.Message) error {
	state := stateMessage{Version: 1}
	if err := message.Decode(&state); err != nil {
		return err
	}
	if len(message.Files) != len(state.Listeners) {
		return fmt.Errorf("state message has %d descriptors for %d listeners", len(message.Files), len(state.Listeners))
	}
	from.version, _ = hotrestart.NegotiateVersion(state.Version)
	if c.generation == state.Generation { // a process of protocol version 1 chooses its generation by itself
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
