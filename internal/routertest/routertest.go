// Package routertest has helpers for the tests of the router's fronts and engine clients: replaying recorded exchanges,
// running a loop in the background, and an address that refuses connections.
package routertest

import (
	"flag"
	"net/netip"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/google/go-cmp/cmp"
	"golang.org/x/tools/txtar"

	"windflow/internal/router"
)

var update = flag.Bool("update", false, "overwrite the recorded exchanges with the current results")

// outputPrefix starts the lines of an exchange that hold the expected output of the command line above them.
const outputPrefix = "  "

// RunExchanges replays the exchanges that the archives testdata/*.txtar hold, each as a subtest, and compares the
// output with the recorded one. start sets up one exchange. It returns a function that executes a command line and
// returns the output, as lines indented by two spaces.
func RunExchanges(t *testing.T, start func(*testing.T) func(line string) string) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no exchanges found in testdata/*.txtar:", err)
	}
	for _, path := range paths {
		archive, err := txtar.ParseFile(path)
		if err != nil {
			t.Fatal(err)
		}
		for i, exchange := range archive.Files {
			t.Run(exchange.Name, func(t *testing.T) {
				got := replay(string(exchange.Data), start(t))
				if *update {
					archive.Files[i].Data = []byte(got)
				} else if diff := cmp.Diff(string(exchange.Data), got); diff != "" {
					t.Errorf("%s: want -, got +\n%s", exchange.Name, diff)
				}
			})
		}
		if *update {
			if err := os.WriteFile(path, txtar.Format(archive), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// replay executes the command lines of an exchange, and returns them with their current output.
func replay(exchange string, execute func(line string) string) string {
	var got strings.Builder
	for line := range strings.Lines(exchange) {
		if strings.TrimSpace(line) != "" && !strings.HasPrefix(line, outputPrefix) {
			got.WriteString(line + execute(strings.TrimSuffix(line, "\n")))
		}
	}
	return got.String()
}

// RunLoop runs a loop in a new goroutine. The function that it returns stops the loop and waits until its last step has
// ended.
func RunLoop(loop *router.Loop) (stop func()) {
	stopping, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(stopping)
	}()
	return func() {
		close(stopping)
		<-ended
	}
}

// RefusingAddress returns an address on the host at which connections are refused until the test ends: a socket is
// bound to it and does not listen. Without it, another program could bind the address before the test dials it.
func RefusingAddress(t *testing.T, host [4]byte) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: host}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(host), uint16(name.(*syscall.SockaddrInet4).Port)).String()
}
