package node

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
)

// bgpNeighbour is a fake BGP neighbour. It accepts sessions and reports the messages that it receives on them.
type bgpNeighbour struct {
	sessions   chan int      // number of each session that was accepted, from 1
	updates    chan string   // "announce" or "withdraw"
	keepalives chan struct{} // one value for each KEEPALIVE received
	ended      chan int      // number of each session that ended
}

// serve starts the neighbour and returns its address.
func (n *bgpNeighbour) serve(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for i := 1; ; i++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			n.sessions <- i
			go n.handleSession(c, i)
		}
	}()
	return lis.Addr().String()
}

// handleSession answers OPEN and KEEPALIVE messages, and reports UPDATEs, until the connection ends.
func (n *bgpNeighbour) handleSession(c net.Conn, i int) {
	defer func() { n.ended <- i }()
	defer c.Close()
	send := func(messageType byte, body ...byte) {
		b := append(make([]byte, 0, 32), strings.Repeat("\xff", 16)...)
		b = binary.BigEndian.AppendUint16(b, uint16(19+len(body)))
		_, _ = c.Write(append(append(b, messageType), body...))
	}
	for {
		var head [19]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		body := make([]byte, int(binary.BigEndian.Uint16(head[16:]))-19)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		switch head[18] {
		case 1:
			send(1, 4, 0xfc, 0, 0, 3, 10, 0, 0, 9, 0) // version 4, AS 64512, hold time 3 s, id 10.0.0.9, no parameters
			send(4)
		case 2:
			kind := "announce"
			if binary.BigEndian.Uint16(body) > 0 {
				kind = "withdraw"
			}
			n.updates <- kind
		case 4:
			send(4)
			select {
			case n.keepalives <- struct{}{}:
			default:
			}
		}
	}
}

func newBGPNeighbour() *bgpNeighbour {
	return &bgpNeighbour{
		sessions: make(chan int, 8), updates: make(chan string, 8), keepalives: make(chan struct{}, 64),
		ended: make(chan int, 8),
	}
}

// checkSessionContinues waits for two further KEEPALIVEs, and fails the test if a session has ended, an address was
// withdrawn or a further session was opened.
func (n *bgpNeighbour) checkSessionContinues(t *testing.T) {
	t.Helper()
	for len(n.keepalives) > 0 {
		<-n.keepalives
	}
	<-n.keepalives
	<-n.keepalives
	select {
	case session := <-n.ended:
		t.Errorf("BGP session %d ended", session)
	default:
	}
	for len(n.updates) > 0 {
		if kind := <-n.updates; kind == "withdraw" {
			t.Error("an address was withdrawn")
		}
	}
	if further := len(n.sessions); further > 0 {
		t.Errorf("%d further BGP sessions were opened, want none", further)
	}
}
