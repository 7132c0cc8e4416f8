package node

import (
	"encoding/binary"
	"io"
	"net"
	"net/netip"
	"syscall"
	"testing"
	"time"
)

// startIdleDiscovery starts a fake discovery server that sends heartbeats and no events, and returns its address.
func startIdleDiscovery(t *testing.T) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() {
				defer c.Close()
				if _, err := io.ReadFull(c, make([]byte, 8)); err != nil {
					return
				}
				for {
					if _, err := c.Write([]byte{0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 1, 0}); err != nil {
						return
					}
					time.Sleep(500 * time.Millisecond)
				}
			}()
		}
	}()
	return l.Addr().String()
}

// listenDiscovery starts a fake discovery server. It passes each connection to connections once it has read the number
// of the last event that the router has received.
func listenDiscovery(t *testing.T) (addr string, connections chan discoveryConn) {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = l.Close() })
	connections = make(chan discoveryConn, 8)
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			var last [8]byte
			if _, err := io.ReadFull(c, last[:]); err == nil {
				connections <- discoveryConn{c, binary.BigEndian.Uint64(last[:])}
			}
		}
	}()
	return l.Addr().String(), connections
}

// discoveryConn is a connection from a router to a fake discovery server.
type discoveryConn struct {
	net.Conn
	lastEvent uint64 // last event that the router had received when it connected
}

// closedDiscovery is a fake discovery server that refuses connections until open is called.
type closedDiscovery struct {
	t    *testing.T
	fd   int
	addr string
}

// newClosedDiscovery binds a socket to a free port without listening on it.
func newClosedDiscovery(t *testing.T) *closedDiscovery {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	d := &closedDiscovery{t: t, fd: fd}
	d.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}),
		uint16(name.(*syscall.SockaddrInet4).Port)).String()
	return d
}

// open starts to accept connections, and sends each of them an event that removes an engine.
func (d *closedDiscovery) open(removedEngine uint32) {
	d.t.Helper()
	if err := syscall.Listen(d.fd, 16); err != nil {
		d.t.Fatal(err)
	}
	record := binary.BigEndian.AppendUint32(nil, removedEngine)
	record = append(record, make([]byte, 6)...)
	record = append(record, 2)
	record = append(record, make([]byte, 16)...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+len(record)))
	frame = binary.BigEndian.AppendUint64(frame, 2)
	frame = append(append(frame, 2), record...)
	go func() {
		for {
			fd, _, err := syscall.Accept(d.fd)
			if err != nil {
				return
			}
			_, _ = syscall.Write(fd, frame)
		}
	}()
	d.t.Cleanup(func() { _ = syscall.Close(d.fd) })
}
