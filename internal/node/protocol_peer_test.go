package node

import (
	"net"
	"testing"

	"windflow/internal/hotrestartipc"
)

// protocolPeer plays one side of a hot restart; received has the machine's messages, but not those
// that report what runs.
type protocolPeer struct {
	link        *hotrestartipc.Link
	received    chan hotrestartipc.Message
	linkEnded   chan struct{} // closed with the link; a message may still be in hand then
	repeatHello func()        // says hello again, as a successor does that is answered wait; nil for one that does not
}

func startProtocolPeer(conn *net.UnixConn) *protocolPeer {
	a := &protocolPeer{received: make(chan hotrestartipc.Message, 256), linkEnded: make(chan struct{})}
	a.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		for _, f := range m.Files {
			_ = f.Close()
		}
		if _, known := machineMessages[m.Kind]; known {
			select {
			case a.received <- m:
			case <-a.linkEnded:
			}
		}
	}, func(error) { close(a.linkEnded) })
	return a
}

func (a *protocolPeer) expect(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for {
		m, ok := a.next()
		if !ok {
			t.Fatal("the link ended before", kind)
		}
		if m.Kind == kind {
			return m
		}
		if m.Kind == "wait" && kind == "state" && a.repeatHello != nil {
			a.repeatHello()
		}
		if m.Kind != "hello" && m.Kind != "wait" && m.Kind != "state" { // each may come again
			t.Fatalf("%s received where %s was due", m.Kind, kind)
		}
	}
}

// next waits for a message, also one received before the link's end; false if there will be none.
func (a *protocolPeer) next() (hotrestartipc.Message, bool) {
	select {
	case m := <-a.received:
		return m, true
	default:
	}
	select {
	case m := <-a.received:
		return m, true
	case <-a.linkEnded:
		select {
		case m := <-a.received:
			return m, true
		default:
			return hotrestartipc.Message{}, false
		}
	}
}
