package configclient

import (
	"bufio"
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/google/go-cmp/cmp"

	"windflow/internal/decide/configlog"
	"windflow/internal/golden"
)

const goldenTimeout = 20 * time.Second

// goldenCopy is the name of the copy of revision 12 that a router "n/0" has on its disk.
const goldenCopy = "n%2F0.revision"

// goldenHash returns a hash whose bytes all have the value of the digit.
func goldenHash(digit byte) (hash configlog.Hash) {
	copy(hash[:], bytes.Repeat([]byte{digit}, len(hash)))
	return hash
}

// goldenEntries returns entries in the form in which keepers send them.
func goldenEntries() map[string]json.RawMessage {
	return map[string]json.RawMessage{
		"/settings/over-share-worth": json.RawMessage("1.5"),
		"/settings/parties/north":    json.RawMessage(`{"share":2}`), "/board": json.RawMessage(`"board:7300"`),
	}
}

// goldenSaved returns the state of a follower of revision 12 that a copy stores.
func goldenSaved(t *testing.T) configlog.SavedRevision {
	t.Helper()
	follower := configlog.NewFollower("n/0", configlog.NewInstanceID(10, 11))
	update := configlog.Update{To: 12, Snapshot: true, Put: goldenEntries(), Hash: configlog.HashEntries(goldenEntries())}
	if _, ok, err := follower.Offer(update); !ok || err != nil {
		t.Fatal(ok, err)
	}
	follower.Accept()
	return follower.Saved()
}

// A copy has the recorded bytes and file name, so that an earlier version of the program can read it.
func TestGoldenCopyIsWritten(t *testing.T) {
	dir := t.TempDir()
	saved := goldenSaved(t)
	if err := newCopyStore(dir, "n/0", &Counters{}, discardLog).write(saved); err != nil {
		t.Fatal(err)
	}
	files, err := os.ReadDir(dir)
	if err != nil || len(files) != 1 || files[0].Name() != goldenCopy {
		t.Fatalf("the folder contains %v, error %v; want one file %s", files, err, goldenCopy)
	}
	written, err := os.ReadFile(filepath.Join(dir, goldenCopy))
	if err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, goldenCopy, written)
	golden.AllFieldsSet(t, copyContent{Router: "n/0", Saved: saved})
}

// A recorded copy comes into force at a start without any keeper.
func TestGoldenCopyIsRestored(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, goldenCopy), golden.Read(t, goldenCopy), 0o600); err != nil {
		t.Fatal(err)
	}
	client := New(Config{Dir: dir}, "n/0", configlog.NewInstanceID(10, 11), discardLog)
	t.Cleanup(client.Stop)
	client.Restore(time.Second, func(Revision) error { return nil })
	want := Revision{Revision: 12, Hash: configlog.HashEntries(goldenEntries()), Entries: goldenEntries()}
	if diff := cmp.Diff(want, client.Latest()); diff != "" {
		t.Errorf("unexpected revision in force: %s", diff)
	}
	if n := client.Counters.CopiesSetAside.Load(); n != 0 {
		t.Errorf("%d copies were set aside", n)
	}
}

// A damaged copy is set aside under the recorded name.
func TestGoldenNameOfDamagedCopy(t *testing.T) {
	dir := t.TempDir()
	if err := os.WriteFile(filepath.Join(dir, goldenCopy), []byte("damaged"), 0o600); err != nil {
		t.Fatal(err)
	}
	if _, ok := newCopyStore(dir, "n/0", &Counters{}, discardLog).loadOrSetAside(); ok {
		t.Error("a damaged copy was accepted")
	}
	if _, err := os.Stat(filepath.Join(dir, goldenCopy+".aside")); err != nil {
		t.Error(err)
	}
}

// keeperAnswer is the format of a complete answer of a keeper: the length of the body and the body.
const keeperAnswer = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: %d\r\n\r\n%s"

// answerOnce listens on a loopback address, answers one call with a text, and sends the bytes of the call to a channel.
func answerOnce(t *testing.T, text []byte) (address string, call <-chan []byte) {
	t.Helper()
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = listener.Close() })
	received := make(chan []byte, 1)
	go func() {
		defer close(received)
		conn, err := listener.Accept()
		if err != nil {
			return
		}
		defer func() { _ = conn.Close() }()
		var raw bytes.Buffer
		request, err := http.ReadRequest(bufio.NewReader(io.TeeReader(conn, &raw)))
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, request.Body)
		received <- raw.Bytes()
		_, _ = fmt.Fprintf(conn, keeperAnswer, len(text), text)
	}()
	return listener.Addr().String(), received
}

// The header and body of a poll have the recorded bytes, and recorded answers are decoded.
func TestGoldenPoll(t *testing.T) {
	status := configlog.FollowerStatus{
		Name: "n/0", Instance: configlog.NewInstanceID(10, 11), Revision: 12, Hash: goldenHash(1),
		Rejected: &configlog.Rejection{Revision: 13, Hash: goldenHash(2), Pointer: "/board", Reason: "no such board"},
	}
	// Each answer is in a golden file of its own, in the same form as the answers in the golden calls of the keepers.
	answers := map[string]configlog.Update{
		"delta": {From: 12, To: 14, Put: goldenEntries(), Remove: []string{"/settings/parties/south"}, Hash: goldenHash(3)},
		"whole": {From: 12, To: 14, Snapshot: true, Put: goldenEntries(), Hash: goldenHash(3)},
		"none":  {From: 12, To: 9, KeeperBehind: true, Hash: goldenHash(3)},
	}
	var all []any
	for name, want := range answers {
		text, err := json.Marshal(want)
		if err != nil {
			t.Fatal(err)
		}
		golden.Equal(t, "answer-"+name+".json", append(text, '\n'))
		address, call := answerOnce(t, golden.Read(t, "answer-"+name+".json"))
		ctx, cancel := context.WithTimeout(context.Background(), goldenTimeout)
		got, isNewer, err := (&keeperConn{}).poll(ctx, address, status, 2000)
		cancel()
		if diff := cmp.Diff(want, got); err != nil || !isNewer || diff != "" {
			t.Errorf("%s: newer %v, error %v, difference %s", name, isNewer, err, diff)
		}
		golden.Equal(t, "call.txt", bytes.Replace(<-call, []byte(address), []byte("KEEPER"), 1))
		all = append(all, want)
	}
	golden.AllFieldsSet(t, append(all, status)...)
}
