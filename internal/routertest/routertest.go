// Package routertest has what the tests of the router's parts share.
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

// RunExchanges plays the recorded exchanges of testdata. start sets up the stage for one of them; what it returns
// carries out a line and tells what that shows, as lines that are indented by two spaces.
func RunExchanges(t *testing.T, start func(*testing.T) func(line string) string) {
	files, err := filepath.Glob("testdata/*.txtar")
	if err != nil || len(files) == 0 {
		t.Fatal("no exchanges:", err)
	}
	for _, file := range files {
		archive, err := txtar.ParseFile(file)
		if err != nil {
			t.Fatal(err)
		}
		for i, f := range archive.Files {
			t.Run(f.Name, func(t *testing.T) {
				play := start(t)
				var got strings.Builder
				for line := range strings.Lines(string(f.Data)) {
					if strings.TrimSpace(line) != "" && !strings.HasPrefix(line, "  ") {
						got.WriteString(line + play(strings.TrimSuffix(line, "\n")))
					}
				}
				if *update {
					archive.Files[i].Data = []byte(got.String())
				} else if diff := cmp.Diff(string(f.Data), got.String()); diff != "" {
					t.Errorf("%s: want -, got +\n%s", f.Name, diff)
				}
			})
		}
		if *update {
			if err := os.WriteFile(file, txtar.Format(archive), 0o644); err != nil {
				t.Fatal(err)
			}
		}
	}
}

// RunLoop runs a loop in a goroutine of its own. The function that it returns ends it and waits for its last step.
func RunLoop(loop *router.Loop) (end func()) {
	stop, ended := make(chan struct{}), make(chan struct{})
	go func() {
		defer close(ended)
		loop.Run(stop)
	}()
	return func() {
		close(stop)
		<-ended
	}
}

// RefusingAddress gives an address at which connections are refused for as long as the test runs: a socket that is bound
// to it and does not listen. One that has merely been free may be taken by another program before it is dialled.
func RefusingAddress(t *testing.T, ip [4]byte) string {
	t.Helper()
	fd, err := syscall.Socket(syscall.AF_INET, syscall.SOCK_STREAM|syscall.SOCK_CLOEXEC, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = syscall.Close(fd) })
	if err := syscall.Bind(fd, &syscall.SockaddrInet4{Addr: ip}); err != nil {
		t.Fatal(err)
	}
	name, err := syscall.Getsockname(fd)
	if err != nil {
		t.Fatal(err)
	}
	return netip.AddrPortFrom(netip.AddrFrom4(ip), uint16(name.(*syscall.SockaddrInet4).Port)).String()
}
