package node

import (
	"encoding/binary"
	"io"
	"net"
	"strings"
	"testing"
)

// bgpNeighbour is a fake BGP neighbour: it accepts sessions and records what it receives on them.
type bgpNeighbour struct {
	sessions   chan int      // numbered from 1
	updates    chan string   // "announce" or "withdraw"
	keepalives chan struct{} // KEEPALIVEs
	ended      chan int
}

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
			send(1, 4, 0xfc, 0, 0, 3, 10, 0, 0, 9, 0) // AS 64512, hold time 3 s, id 10.0.0.9, no parameters
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

// checkSessionGoesOn fails the test unless the first session continues, with nothing withdrawn and no further session.
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
		t.Errorf("%d further BGP sessions", further)
	}
}
