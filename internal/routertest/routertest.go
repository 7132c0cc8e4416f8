// Package routertest has helpers for the tests of the router's fronts and engine clients: recorded exchanges, a running
// loop, and an address at which connections fail.
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

var update = flag.Bool("update", false, "record the exchanges anew")

// outputPrefix indents the lines of an exchange that show the outcome of the line above them.
const outputPrefix = "  "

// RunExchanges plays the exchanges recorded in testdata, each as a subtest, and compares them with what the code under
// test does now. start sets one of them up. The function that it returns carries out a line, and returns what that
// shows as lines indented by two spaces.
func RunExchanges(t *testing.T, start func(*testing.T) func(line string) string) {
	t.Helper()
	paths, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(paths) == 0 {
		t.Fatal("no exchanges:", err)
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

// replay carries out the lines of an exchange, and returns it with what they show now.
func replay(exchange string, execute func(line string) string) string {
	var got strings.Builder
	for line := range strings.Lines(exchange) {
		if strings.TrimSpace(line) != "" && !strings.HasPrefix(line, outputPrefix) {
			got.WriteString(line + execute(strings.TrimSuffix(line, "\n")))
		}
	}
	return got.String()
}

// RunLoop runs a loop in a goroutine of its own. The function that it returns stops the loop and waits for its last
// step.
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

// RefusingAddress returns an address at which connections are refused for as long as the test runs: a socket is bound
// to it and does not listen. An address that is merely free could be taken by another program before it is dialled.
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
