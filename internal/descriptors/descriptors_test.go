package descriptors

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

const child = "DESCRIPTORS_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(child) == "" {
		os.Exit(m.Run())
	}
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
	for line := range strings.Lines(string(text)) {
		if size, ok := strings.CutPrefix(line, "FDSize:"); ok {
			fmt.Println(strings.TrimSpace(size))
		}
	}
}

// A process that imports the package has room for all that its limit allows, to a bound, before its first line runs, also
// where its standard streams are closed.
func TestRoomAtTheStart(t *testing.T) {
	exe, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, k := range []struct{ limit, close, want string }{{"300", "", "512"}, {"1024", "", "1024"}, {"1024", "0<&- 2>&-", "1024"}, {"5000", "", "4096"}} {
		cmd := exec.Command("/bin/sh", "-c", "ulimit -n "+k.limit+" && exec "+exe+" "+k.close)
		cmd.Env = append(os.Environ(), child+"=1")
		out, err := cmd.Output()
		if got := strings.TrimSpace(string(out)); err != nil || got != k.want {
			t.Errorf("limit %s%s: room for %s, want %s; %v", k.limit, k.close, got, k.want, err)
		}
	}
}
