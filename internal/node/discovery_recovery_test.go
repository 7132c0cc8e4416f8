package node

import (
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os/exec"
	"strings"
	"syscall"
	"testing"
)

// closedBoard is a notice board at which connections are refused until it is opened.
type closedBoard struct {
	t    *testing.T
	fd   int
	addr string
}

func newClosedBoard(t *testing.T) *closedBoard {
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
	b := &closedBoard{t: t, fd: fd}
	b.addr = netip.AddrPortFrom(netip.AddrFrom4([4]byte{127, 0, 0, 1}), uint16(name.(*syscall.SockaddrInet4).Port)).String()
	return b
}

// open takes connections and tells each of them that an engine is gone.
func (b *closedBoard) open(gone uint32) {
	b.t.Helper()
	if err := syscall.Listen(b.fd, 16); err != nil {
		b.t.Fatal(err)
	}
	record := binary.BigEndian.AppendUint32(nil, gone)
	record = append(record, make([]byte, 6)...)
	record = append(record, 2)
	record = append(record, make([]byte, 16)...)
	frame := binary.BigEndian.AppendUint32(nil, uint32(9+len(record)))
	frame = binary.BigEndian.AppendUint64(frame, 2)
	frame = append(append(frame, 2), record...)
	go func() {
		for {
			fd, _, err := syscall.Accept(b.fd)
			if err != nil {
				return
			}
			_, _ = syscall.Write(fd, frame)
		}
	}()
	b.t.Cleanup(func() { _ = syscall.Close(b.fd) })
}

// discovered is the number of engines in the router's list, as its door says.
func (f *fleet) discovered(control string) string {
	answer, err := http.Get("http://" + control + "/api/telemetry")
	if err != nil {
		return err.Error()
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(answer.Body)
	for line := range strings.Lines(string(text)) {
		if n, ok := strings.CutPrefix(line, "svc.discovered:"); ok {
			return strings.TrimSpace(n)
		}
	}
	return string(text)
}

// Idle clients hold all the descriptors that they can get while discovery is down; it still comes back, and so do
// clients that ask. It guards the descriptors that the next dial needs.
func TestDiscoveryComesBackThroughACrowd(t *testing.T) {
	const sockets = 192
	one, two := newSlowEngine(), newSlowEngine()
	f := newFleet(t, one, two)
	f.limit(sockets)
	board := newClosedBoard(t)
	f.edit(func(text string) string {
		i := strings.Index(text, `"board":"`) + len(`"board":"`)
		return text[:i] + board.addr + text[i+strings.IndexByte(text[i:], '"'):]
	})
	f.wrap = func(cmd *exec.Cmd) { // the system holds it to its descriptors, too
		cmd.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), cmd.Path}, cmd.Args[1:]...)
		cmd.Path = "/bin/sh"
	}
	door := freePort(t)
	f.start(door)
	f.ready(door)
	for i := range 3 * sockets {
		c, err := net.Dial("tcp", f.clients.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 { // others have logged in, and rest
			m := &mysqlClient{c: c}
			_ = m.write(1, append([]byte{0x0d, 0xa2, 0x0f, 0, 0, 0, 0, 1, 45}, append(make([]byte, 23), "app\x00\x00warehouse\x00mysql_native_password\x00"...)...))
		}
	}
	if n := f.discovered(door); n != "2|g" {
		t.Fatalf("%s engines before the board is back", n)
	}
	board.open(1)
	f.waitFor("the board is heard", func() bool { return f.discovered(door) == "1|g" })
	for id := range 5 {
		if rows, code, err := f.client().ask(query("lookup", id+1, "SELECT 1")); rows != 1 || code != 0 || err != nil {
			t.Error(rows, code, err)
		}
	}
	if one.total() > 0 || two.total() != 5 {
		t.Errorf("%d and %d queries at the engine that is gone and the other", one.total(), two.total())
	}
}
