package hotrestart

import "math"

// ProcessNumber identifies a process of the router by its position in the order in which the processes started.
type ProcessNumber uint64

// Process numbers with a special meaning.
const (
	// NoProcess means that there is no process.
	NoProcess ProcessNumber = 0
	// LegacyPredecessor is a process of protocol version 1 that started before this one. Such a process has no number.
	LegacyPredecessor ProcessNumber = 1
	// FirstProcess is the lowest number that a process can acquire.
	FirstProcess ProcessNumber = 2
	// LegacySuccessor is a process of protocol version 1 that started after this one.
	LegacySuccessor ProcessNumber = math.MaxUint64
)

// Versions of the protocol. Version 1 has the messages hello, state, ready and go-ahead. Its processes have no
// numbers, do not know the message wait, and treat a predecessor that is silent for 2 s as if there were none.
const (
	ProtocolVersion       = 2
	OldestProtocolVersion = 1
)

// NegotiateVersion returns the protocol version for two processes, given the newest version of the other process. A
// process that states no version (0) has version 1. ok is false if the two have no version in common.
func NegotiateVersion(theirs int) (version int, ok bool) {
	version = min(max(theirs, 1), ProtocolVersion)
	return version, version >= OldestProtocolVersion
}

// MessageKind is the kind of a message between two processes.
type MessageKind uint8

// Kinds of message.
const (
	MessageHello    MessageKind = iota // from the successor: requests the predecessor's state
	MessageWait                        // from the predecessor: the state is not available yet, repeat the request
	MessageState                       // from the predecessor: cordons, idempotency ids, warm-up factors, listeners
	MessageReady                       // the sender is able to accept clients: the receiver may stop accepting
	MessageGoAhead                     // the sender has stopped accepting
	MessageHandBack                    // from the successor: it ends, and the predecessor accepts clients again
)

// messageNames are the names of the messages on the wire.
var messageNames = [...]string{"hello", "wait", "state", "ready", "go-ahead", "back"}

// String returns the name of the message on the wire.
func (k MessageKind) String() string { return messageNames[k] }
