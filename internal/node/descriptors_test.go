package node

import (
	"fmt"
	"os"
	"strconv"
	"strings"
	"syscall"
	"testing"
)

// descriptorTableSize returns the number of entries in the descriptor table that the kernel has allocated for a
// process.
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
	t.Fatalf("/proc/%d/status has no line FDSize", pid)
	return 0
}

// A router grows its descriptor table to the limit at its start, and again after a reload that raises the limit.
// Guards against growing the table while serving, which may block in the kernel for seconds.
func TestDescriptorTable(t *testing.T) {
	harness := newRouterHarness(t, newBlockingEngine())
	adminAddress := freePort(t)
	router := harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	if n := descriptorTableSize(t, router.Process.Pid); n < 1024 {
		t.Errorf("the descriptor table has %d entries, want at least 1024", n)
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
	harness.waitFor("larger descriptor table after a reload",
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
