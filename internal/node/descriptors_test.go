package node

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// descriptorTableSize is how many descriptors a process's table has room for.
func descriptorTableSize(t *testing.T, pid int) int {
	t.Helper()
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		if size, ok := strings.CutPrefix(line, "FDSize:"); ok {
			n, err := strconv.Atoi(strings.TrimSpace(size))
			if err != nil {
				t.Fatal(err)
			}
			return n
		}
	}
	t.Fatal("no FDSize in the status")
	return 0
}

// A router that serves never grows its table of descriptors, which may take the kernel seconds: it has room for all
// that the limit allows from its start on, and after a reload that allows more.
func TestDescriptorTable(t *testing.T) {
	harness := newRouterHarness(t, newBlockingEngine())
	adminAddress := freePort(t)
	router := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	if n := descriptorTableSize(t, router.Process.Pid); n < 1024 {
		t.Errorf("room for %d descriptors of 1024", n)
	}
	text, err := os.ReadFile(harness.config)
	if err != nil {
		t.Fatal(err)
	}
	raised := strings.Replace(string(text), `"sockets":1024`, `"sockets":9000`, 1)
	if err := os.WriteFile(harness.config, []byte(raised), 0o600); err != nil {
		t.Fatal(err)
	}
	if err := router.Process.Signal(syscall.SIGHUP); err != nil {
		t.Fatal(err)
	}
	var limit syscall.Rlimit
	if err := syscall.Getrlimit(syscall.RLIMIT_NOFILE, &limit); err != nil {
		t.Fatal(err)
	}
	harness.waitFor("room for more after a reload",
		func() bool { return descriptorTableSize(t, router.Process.Pid) >= requiredTableSize(9000, limit.Cur) })
}

func TestTableSize(t *testing.T) {
	for _, test := range []struct {
		sockets int
		limit   uint64
		want    int
	}{
		{1024, 1 << 20, 1024},
		{1024, 256, 256},
		{0, 512, 512},
		{0, 1 << 30, maxDescriptorTableSize},
		{1 << 30, ^uint64(0), maxDescriptorTableSize},
		{5, 0, 1},
	} {
		if n := requiredTableSize(test.sockets, test.limit); n != test.want {
			t.Errorf("sockets %d, limit %d: %d, want %d", test.sockets, test.limit, n, test.want)
		}
	}
}
