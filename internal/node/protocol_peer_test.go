package node

import (
	"net"
	"testing"

	"windflow/internal/hotrestartipc"
)

// protocolPeer is one side of a hot restart, played by the test. It keeps the messages that the state machine of the
// hot restart handles, and drops the others, such as usage reports.
type protocolPeer struct {
	link        *hotrestartipc.Link
	received    chan hotrestartipc.Message
	linkEnded   chan struct{} // closed when the link ends; received may still have messages
	repeatHello func()        // sends hello again after a wait message, as a successor does; may be nil
}

// startProtocolPeer starts a link on a connection, and closes all descriptors that it receives.
func startProtocolPeer(conn *net.UnixConn) *protocolPeer {
	p := &protocolPeer{received: make(chan hotrestartipc.Message, 256), linkEnded: make(chan struct{})}
	p.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		for _, f := range m.Files {
			_ = f.Close()
		}
		if _, known := machineMessages[m.Kind]; known {
			select {
			case p.received <- m:
			case <-p.linkEnded:
			}
		}
	}, func(error) { close(p.linkEnded) })
	return p
}

// expect returns the next message of a kind. Before it only hello, wait and state may come, which can be repeated.
func (p *protocolPeer) expect(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for {
		m, ok := p.next()
		if !ok {
			t.Fatalf("the link ended before a message of kind %q", kind)
		}
		if m.Kind == kind {
			return m
		}
		if m.Kind == "wait" && kind == "state" && p.repeatHello != nil {
			p.repeatHello()
		}
		if m.Kind != "hello" && m.Kind != "wait" && m.Kind != "state" { // these may be repeated
			t.Fatalf("received a message of kind %q, want %q", m.Kind, kind)
		}
	}
}

// next waits for a message. It returns false once the link has ended and all received messages have been returned.
func (p *protocolPeer) next() (hotrestartipc.Message, bool) {
	select {
	case m := <-p.received:
		return m, true
	default:
	}
	select {
	case m := <-p.received:
		return m, true
	case <-p.linkEnded:
		select {
		case m := <-p.received:
			return m, true
		default:
			return hotrestartipc.Message{}, false
		}
	}
}
