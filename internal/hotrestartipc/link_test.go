package hotrestartipc

import (
	"encoding/binary"
	"errors"
	"io"
	"log/slog"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// end is one end of a link under test.
type end struct {
	link *Link
	got  chan Message
	gone chan error
}

func newEnd(conn *net.UnixConn) *end {
	e := &end{got: make(chan Message, 16), gone: make(chan error, 2)}
	e.link = StartLink(conn, func(m Message) { e.got <- m }, func(err error) { e.gone <- err }, slog.New(slog.DiscardHandler))
	return e
}

// meet gives a path in a short folder, with somebody who waits there.
func meet(t *testing.T) (string, *net.UnixListener) {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	path, err := SocketPath(dir, "n0")
	if err != nil {
		t.Fatal(err)
	}
	lis, err := net.ListenUnix("unix", &net.UnixAddr{Name: path, Net: "unix"})
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	return path, lis
}

func dial(t *testing.T, path string, lis *net.UnixListener) (here, there *net.UnixConn) {
	t.Helper()
	here, err := Dial(path, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if there, err = lis.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	return here, there
}

// Messages go both ways, whole and in order, with their descriptors; Close lets what was sent before arrive.
func TestMessagesAndDescriptors(t *testing.T) {
	path, lis := meet(t)
	a, b := dial(t, path, lis)
	one, two := newEnd(a), newEnd(b)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	one.link.Send(NewMessage("big", strings.Repeat("x", 300_000)))
	one.link.Send(NewMessage("file", "pipe", w))
	_ = w.Close() // the link has its own copy
	two.link.Send(NewMessage("back", 5))
	if m := <-one.got; m.Kind != "back" {
		t.Errorf("got %+v", m)
	}
	one.link.Close()
	var text string
	if m := <-two.got; m.Kind != "big" || m.Decode(&text) != nil || len(text) != 300_000 || len(m.Files) != 0 {
		t.Errorf("%s with %d bytes, %d files", m.Kind, len(text), len(m.Files))
	}
	m := <-two.got
	if m.Kind != "file" || len(m.Files) != 1 {
		t.Fatalf("got %+v", m)
	}
	if _, err := m.Files[0].WriteString("through"); err != nil {
		t.Fatal(err)
	}
	_ = m.Files[0].Close()
	if got, err := io.ReadAll(r); string(got) != "through" || err != nil {
		t.Errorf("%q came through the descriptor: %v", got, err)
	}
	if err := <-two.gone; err == nil {
		t.Error("the end of the link was not heard")
	}
	<-one.gone
}

func TestPathIsShort(t *testing.T) {
	if _, err := SocketPath("/"+strings.Repeat("x", 100), "n0"); err == nil {
		t.Error("a path that no socket can have")
	}
	a, _ := SocketPath("/tmp", "n0")
	if b, _ := SocketPath("/tmp", "n1"); a == b {
		t.Error("two routers meet at the same place")
	}
}

// What can't be read, or is of another version, ends the link; a peer that does not read ends it too, and blocks nobody.
func TestBadPeers(t *testing.T) {
	frame := func(framing byte, text string) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(text)+2))
		return append(append(b, framing, 0), text...)
	}
	for name, b := range map[string][]byte{
		"another version": frame(framing+1, `{"kind":"x"}`), "no JSON": frame(framing, "x"), "no kind": frame(framing, "{}"),
		"too long": {0xff, 0xff, 0xff, 0xff, framing, 0}, "too short": {0, 0, 0, 1, framing, 0},
		"a descriptor that is not there": {0, 0, 0, 14, framing, 1, '{', '"', 'k', 'i', 'n', 'd', '"', ':', '"', 'x', '"', '}'},
	} {
		path, lis := meet(t)
		a, b2 := dial(t, path, lis)
		e := newEnd(a)
		if _, err := b2.Write(b); err != nil {
			t.Fatal(err)
		}
		if err := <-e.gone; err == nil || errors.Is(err, io.EOF) {
			t.Errorf("%s: %v", name, err)
		}
		if len(e.got) != 0 {
			t.Errorf("%s: was heard", name)
		}
		_ = b2.Close()
	}
	path, lis := meet(t)
	a, b := dial(t, path, lis)
	defer b.Close()
	e := newEnd(a)
	for range 2 * maxQueued { // more than the system's buffers and the queue hold
		e.link.Send(NewMessage("x", strings.Repeat("y", 1000)))
	}
	if err := <-e.gone; err == nil {
		t.Error("a peer that does not read holds the link open")
	}
}

// However a frame is cut up on the road, it is read once, and whole.
func TestParse(t *testing.T) {
	want := Message{Kind: "a", Body: []byte("5")}
	b := binary.BigEndian.AppendUint32(nil, 2+21)
	b = append(append(b, framing, 0), `{"kind":"a","body":5}`...)
	for i := range b {
		if m, _, err := parse(b[:i]); m != nil || err != nil {
			t.Errorf("after %d bytes: %v, %v", i, m, err)
		}
	}
	m, n, err := parse(append(b, "more"...))
	if err != nil || n != len(b) {
		t.Fatal(n, err)
	}
	if diff := cmp.Diff(want, *m); diff != "" {
		t.Error(diff)
	}
}
