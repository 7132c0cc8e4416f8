package hotrestartipc

import (
	"io"
	"testing"
	"time"

	"windflow/internal/golden"
)

const goldenFrames = "frames.bin"

// frameSamples are messages as a link writes them. The second one has no body.
func frameSamples() []Message {
	return []Message{NewMessage("use", map[string]int{"sessions": 41}), {Kind: "bye"}, NewMessage("go-ahead", nil)}
}

// Checks that a link writes the frames in the golden file. Guards against a change of the encoding that a process of
// another version could not read.
func TestGoldenFramesAreWritten(t *testing.T) {
	path, lis := listen(t)
	local, remote := dial(t, path, lis)
	e := startLinkEnd(local)
	for _, m := range frameSamples() {
		e.link.Send(m)
	}
	e.link.Close()
	if err := remote.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(remote)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, goldenFrames, text)
}

// Checks that a link reads the frames in the golden file, in order. Guards against a change that makes messages of an
// earlier version unreadable.
func TestGoldenFramesAreRead(t *testing.T) {
	text := golden.Read(t, goldenFrames)
	path, lis := listen(t)
	local, remote := dial(t, path, lis)
	defer remote.Close()
	e := startLinkEnd(local)
	defer e.link.Close()
	if _, err := remote.Write(text); err != nil {
		t.Fatal(err)
	}
	for _, want := range frameSamples() {
		select {
		case got := <-e.received:
			if got.Kind != want.Kind || bodyText(got) != bodyText(want) {
				t.Errorf("read message %s %s, want %s %s", got.Kind, got.Body, want.Kind, want.Body)
			}
		case <-time.After(time.Minute):
			t.Fatal("a frame of the golden file was not read within a minute")
		}
	}
}

// bodyText returns the body of a message. No body and null are equivalent for the receiver.
func bodyText(m Message) string {
	if len(m.Body) == 0 {
		return "null"
	}
	return string(m.Body)
}

// Checks that the path of a router's socket depends only on the router's name, as recorded in the golden file.
// Otherwise processes of different versions would not find each other.
func TestGoldenPaths(t *testing.T) {
	got := ""
	for _, name := range []string{"n0", "n0 127.0.0.1:3306", ""} {
		path, err := SocketPath("/run", name)
		if err != nil {
			t.Fatal(err)
		}
		got += name + " = " + path + "\n"
	}
	golden.Equal(t, "paths.txt", []byte(got))
}
