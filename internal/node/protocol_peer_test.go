package node

import (
	"net"
	"testing"

	"windflow/internal/hotrestartipc"
)

// actor plays one side of a takeover; heard has the kinds of message that came, but for those that tell what runs.
type actor struct {
	link  *hotrestartipc.Link
	heard chan hotrestartipc.Message
	gone  chan struct{} // closed with the link; a message may still be in hand then
	ask   func()        // says hello again, as a new process does that is told to wait; nil for one that does not ask
}

func act(conn *net.UnixConn) *actor {
	a := &actor{heard: make(chan hotrestartipc.Message, 256), gone: make(chan struct{})}
	a.link = hotrestartipc.StartLink(conn, func(m hotrestartipc.Message) {
		for _, f := range m.Files {
			_ = f.Close()
		}
		if _, known := machineMessages[m.Kind]; known {
			select {
			case a.heard <- m:
			case <-a.gone:
			}
		}
	}, func(error) { close(a.gone) })
	return a
}

func (a *actor) want(t *testing.T, kind string) hotrestartipc.Message {
	t.Helper()
	for {
		m, there := a.next()
		if !there {
			t.Fatal("the link ended before", kind)
		}
		if m.Kind == kind {
			return m
		}
		if m.Kind == "wait" && kind == "state" && a.ask != nil {
			a.ask()
		}
		if m.Kind != "hello" && m.Kind != "wait" && m.Kind != "state" { // each may come again
			t.Fatalf("%s came where %s was due", m.Kind, kind)
		}
	}
}

// next waits for a message, also one that came before the link's end; false if there is none to come.
func (a *actor) next() (hotrestartipc.Message, bool) {
	select {
	case m := <-a.heard:
		return m, true
	default:
	}
	select {
	case m := <-a.heard:
		return m, true
	case <-a.gone:
		select {
		case m := <-a.heard:
			return m, true
		default:
			return hotrestartipc.Message{}, false
		}
	}
}
