package hotrestart

import "math"

// ProcessNumber identifies a process of the router by its position in the order of their starts.
type ProcessNumber uint64

// Process numbers with a meaning of their own.
const (
	// NoProcess means that there is no process.
	NoProcess ProcessNumber = 0
	// LegacyPredecessor is a process of protocol version 1 that started before this one; it has no number of its own.
	LegacyPredecessor ProcessNumber = 1
	// FirstProcess is the lowest number that a process can acquire.
	FirstProcess ProcessNumber = 2
	// LegacySuccessor is a process of protocol version 1 that started after this one.
	LegacySuccessor ProcessNumber = math.MaxUint64
)

// Versions of the protocol. Version 1 has hello, state, ready and go-ahead. Its processes have no numbers, do not
// know the message wait, and take a predecessor that is silent for 2 s for none.
const (
	ProtocolVersion       = 2
	OldestProtocolVersion = 1
)

// NegotiateVersion returns the version that two processes speak when the other one's newest is theirs; a process that
// states none has version 1. ok is false when they share no version.
func NegotiateVersion(theirs int) (version int, ok bool) {
	version = min(max(theirs, 1), ProtocolVersion)
	return version, version >= OldestProtocolVersion
}

// MessageKind is the kind of a message between two processes.
type MessageKind uint8

// Kinds of message.
const (
	MessageHello    MessageKind = iota // from the successor: requests the predecessor's state
	MessageWait                        // from the predecessor: not now, repeat the request
	MessageState                       // from the predecessor: cordons, idempotency ids, warm-up factors, listeners
	MessageReady                       // the sender can accept: the receiver may stop accepting
	MessageGoAhead                     // the sender has stopped accepting
	MessageHandBack                    // from the successor: it ends, the predecessor is to accept again
)

// messageNames are the names of the messages on the wire.
var messageNames = [...]string{"hello", "wait", "state", "ready", "go-ahead", "back"}

// String returns the name of the message on the wire.
func (k MessageKind) String() string { return messageNames[k] }
