package descriptors

import (
	"fmt"
	"os"
	"os/exec"
	"strings"
	"testing"
)

// childEnv is the environment variable that makes the test binary print the size of its descriptor table and exit.
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

// A process that imports the package has a descriptor table for its limit of open files, up to MAX_TABLE_SIZE, when its
// Go code starts. This must also hold if standard streams are closed, because the package duplicates one of them.
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
			t.Errorf("limit %s, closed %q: table size %q, error %v; want %s", c.limit, c.closed, got, err, c.want)
		}
	}
}
