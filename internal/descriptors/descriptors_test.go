package descriptors

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// childEnv is set in a process that prints the size of its descriptor table and ends.
const childEnv = "DESCRIPTORS_TEST_CHILD"

func TestMain(m *testing.M) {
	if os.Getenv(childEnv) == "" {
		os.Exit(m.Run())
	}
	if err := printTableSize(); err != nil {
		fmt.Println(err)
		os.Exit(1)
	}
}

func printTableSize() error {
	text, err := os.ReadFile("/proc/self/status")
	if err != nil {
		return err
	}
	for line := range strings.Lines(string(text)) {
		if size, ok := strings.CutPrefix(line, "FDSize:"); ok {
			fmt.Println(strings.TrimSpace(size))
		}
	}
	return nil
}

// A process that imports the package has a table for all that its limit allows, up to a bound, before its first line
// runs, also where its standard streams are closed.
func TestInitialTableSize(t *testing.T) {
	executable, err := os.Executable()
	if err != nil {
		t.Fatal(err)
	}
	for _, c := range []struct{ limit, closed, want string }{
		{"300", "", "512"},
		{"1024", "", "1024"},
		{"1024", "0<&- 2>&-", "1024"},
		{"5000", "", "4096"},
	} {
		cmd := exec.Command("/bin/sh", "-c", "ulimit -n "+c.limit+" && exec "+executable+" "+c.closed)
		cmd.Env = append(os.Environ(), childEnv+"=1")
		out, err := cmd.Output()
		if got := strings.TrimSpace(string(out)); err != nil || got != c.want {
			t.Errorf("limit %s%s: a table of %s, want %s; %v", c.limit, c.closed, got, c.want, err)
		}
	}
}
