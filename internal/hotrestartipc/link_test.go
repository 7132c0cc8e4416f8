package hotrestartipc

import (
	"encoding/binary"
	"errors"
	"io"
	"net"
	"os"
	"strings"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"
)

// linkEnd is one end of a link under test.
type linkEnd struct {
	link     *Link
	received chan Message
	ended    chan error
}

func startLinkEnd(conn *net.UnixConn) *linkEnd {
	e := &linkEnd{received: make(chan Message, 16), ended: make(chan error, 2)}
	e.link = StartLink(conn, func(m Message) { e.received <- m }, func(err error) { e.ended <- err })
	return e
}

// listen listens on a socket in a folder with a short path.
func listen(t *testing.T) (string, *net.UnixListener) {
	t.Helper()
	path, err := SocketPath(shortFolder(t), "n0")
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

func dial(t *testing.T, path string, lis *net.UnixListener) (local, remote *net.UnixConn) {
	t.Helper()
	local, err := Dial(path, time.Minute)
	if err != nil {
		t.Fatal(err)
	}
	if remote, err = lis.AcceptUnix(); err != nil {
		t.Fatal(err)
	}
	return local, remote
}

// Checks that messages arrive in both directions, complete, in order and with their descriptors, and that Close lets
// the messages sent before it arrive.
func TestMessagesAndDescriptors(t *testing.T) {
	path, lis := listen(t)
	a, b := dial(t, path, lis)
	one, two := startLinkEnd(a), startLinkEnd(b)
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	one.link.Send(NewMessage("big", strings.Repeat("x", 300_000)))
	one.link.Send(NewMessage("file", "pipe", w))
	_ = w.Close() // the link has a duplicate
	two.link.Send(NewMessage("back", 5))
	if m := <-one.received; m.Kind != "back" {
		t.Errorf("received %+v, want a message of kind back", m)
	}
	one.link.Close()
	var text string
	if m := <-two.received; m.Kind != "big" || m.Decode(&text) != nil || len(text) != 300_000 || len(m.Files) != 0 {
		t.Errorf("received %s with %d bytes and %d files, want big with 300000 bytes and no files",
			m.Kind, len(text), len(m.Files))
	}
	m := <-two.received
	if m.Kind != "file" || len(m.Files) != 1 {
		t.Fatalf("received %+v, want a message of kind file with one file", m)
	}
	if _, err := m.Files[0].WriteString("through"); err != nil {
		t.Fatal(err)
	}
	_ = m.Files[0].Close()
	if got, err := io.ReadAll(r); string(got) != "through" || err != nil {
		t.Errorf("received %q through the descriptor (error: %v), want %q", got, err, "through")
	}
	if err := <-two.ended; err == nil {
		t.Error("the link ended without an error")
	}
	if err := <-one.ended; err == nil {
		t.Error("the link that was closed ended without an error")
	}
}

func TestSocketPathIsShort(t *testing.T) {
	if _, err := SocketPath("/"+strings.Repeat("x", 100), "n0"); err == nil {
		t.Error("no error for a path that is too long for a Unix socket")
	}
	a, _ := SocketPath("/tmp", "n0")
	if b, _ := SocketPath("/tmp", "n1"); a == b {
		t.Error("routers n0 and n1 have the same path")
	}
}

// Checks that a frame that can't be decoded, or has another version, ends the link with the matching error. Guards
// against a peer whose messages are misread.
func TestInvalidFrameEndsLink(t *testing.T) {
	frame := func(version byte, text string) []byte {
		b := binary.BigEndian.AppendUint32(nil, uint32(len(text)+countedHeaderLength))
		return append(append(b, version, 0), text...)
	}
	for _, c := range []struct {
		name  string
		frame []byte
		want  error
	}{
		{"unsupported version", frame(frameVersion+1, `{"kind":"x"}`), errFrameVersion},
		{"no JSON", frame(frameVersion, "x"), errMalformedFrame},
		{"message without a kind", frame(frameVersion, "{}"), errMalformedFrame},
		{"length too large", []byte{0xff, 0xff, 0xff, 0xff, frameVersion, 0}, errFrameLength},
		{"length too small", []byte{0, 0, 0, 1, frameVersion, 0}, errFrameLength},
		{
			"missing descriptor",
			append([]byte{0, 0, 0, 14, frameVersion, 1}, `{"kind":"x"}`...), errMissingDescriptors,
		},
	} {
		path, lis := listen(t)
		local, remote := dial(t, path, lis)
		e := startLinkEnd(local)
		if _, err := remote.Write(c.frame); err != nil {
			t.Fatal(err)
		}
		if err := <-e.ended; errors.Is(err, io.EOF) || !errors.Is(err, c.want) {
			t.Errorf("%s: the link ended with error %v, want %v", c.name, err, c.want)
		}
		if len(e.received) != 0 {
			t.Errorf("%s: a message was received", c.name)
		}
		_ = remote.Close()
	}
}

// Checks that a peer that does not read its messages ends the link and that Send never blocks on it.
func TestPeerThatDoesNotRead(t *testing.T) {
	path, lis := listen(t)
	a, b := dial(t, path, lis)
	defer b.Close()
	e := startLinkEnd(a)
	for range 2 * maxQueued { // more than the buffers of the system and the queue hold
		e.link.Send(NewMessage("x", strings.Repeat("y", 1000)))
	}
	if err := <-e.ended; !errors.Is(err, errPeerNotReading) {
		t.Errorf("the link ended with error %v, want %v", err, errPeerNotReading)
	}
}

// Checks that a frame is decoded exactly once, when all of its bytes have arrived.
func TestParseFrame(t *testing.T) {
	want := Message{Kind: "a", Body: []byte("5")}
	b := binary.BigEndian.AppendUint32(nil, countedHeaderLength+21)
	b = append(append(b, frameVersion, 0), `{"kind":"a","body":5}`...)
	for i := range b {
		if m, _, err := parseFrame(b[:i]); m != nil || err != nil {
			t.Errorf("after %d bytes: message %v, error %v, want neither", i, m, err)
		}
	}
	m, n, err := parseFrame(append(b, "more"...))
	if err != nil || n != len(b) {
		t.Fatalf("parsed %d bytes (error: %v), want %d", n, err, len(b))
	}
	if diff := cmp.Diff(want, *m); diff != "" {
		t.Error(diff)
	}
}
