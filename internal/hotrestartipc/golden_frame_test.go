package hotrestartipc

import (
	"io"
	"testing"
	"time"

	"windflow/internal/golden"
)

const goldenFrames = "frames.bin"

// frameSamples are messages as a link writes them; the second one is without a body.
func frameSamples() []Message {
	return []Message{NewMessage("use", map[string]int{"sessions": 41}), {Kind: "bye"}, NewMessage("go-ahead", nil)}
}

// A link writes frames as it did when the golden file was recorded.
func TestGoldenFramesAreWritten(t *testing.T) {
	path, lis := listen(t)
	here, there := dial(t, path, lis)
	e := startLinkEnd(here)
	for _, m := range frameSamples() {
		e.link.Send(m)
	}
	e.link.Close()
	if err := there.SetReadDeadline(time.Now().Add(time.Minute)); err != nil {
		t.Fatal(err)
	}
	text, err := io.ReadAll(there)
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, goldenFrames, text)
}

// A link reads the recorded frames, in their order.
func TestGoldenFramesAreRead(t *testing.T) {
	text := golden.Read(t, goldenFrames)
	path, lis := listen(t)
	here, there := dial(t, path, lis)
	defer there.Close()
	e := startLinkEnd(here)
	defer e.link.Close()
	if _, err := there.Write(text); err != nil {
		t.Fatal(err)
	}
	for _, want := range frameSamples() {
		select {
		case got := <-e.received:
			if got.Kind != want.Kind || bodyText(got) != bodyText(want) {
				t.Errorf("read %s %s, not %s %s", got.Kind, got.Body, want.Kind, want.Body)
			}
		case <-time.After(time.Minute):
			t.Fatal("a recorded frame was not read")
		}
	}
}

// bodyText returns a body; none and null are the same to whoever reads it.
func bodyText(m Message) string {
	if len(m.Body) == 0 {
		return "null"
	}
	return string(m.Body)
}

// The paths by which processes of a router find each other depend on its name alone.
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
