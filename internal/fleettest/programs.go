package fleettest

import (
	"context"
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// buildTimeout limits the duration of the build of the programs.
const buildTimeout = 5 * time.Minute

// programs has the folder with the built programs of a test run, or the error of the build.
var programs struct {
	sync.Mutex
	folder string
	err    error
}

// programsEnv is the environment variable for a folder with the programs of another version. If it is set, they are
// used in place of programs built from this version, for measurements by hand.
const programsEnv = "WINDFLOW_FLEET_PROGRAMS"

// Programs builds the programs with the flags that deploy/balancer.toml specifies, once in a test run, and returns
// their folder.
func Programs(tb testing.TB) string {
	tb.Helper()
	if other := os.Getenv(programsEnv); other != "" {
		return other
	}
	programs.Lock()
	defer programs.Unlock()
	if programs.folder == "" && programs.err == nil {
		programs.folder, programs.err = build()
	}
	if programs.err != nil {
		tb.Fatal(programs.err)
	}
	return programs.folder
}

// build builds the programs into a new temporary folder and returns the folder.
func build() (string, error) {
	root, err := exec.Command("go", "list", "-m", "-f", "{{.Dir}}").Output()
	if err != nil {
		return "", fmt.Errorf("go list -m: %w", err)
	}
	dir, err := os.MkdirTemp("", "wfbin")
	if err != nil {
		return "", err
	}
	ctx, cancel := context.WithTimeout(context.Background(), buildTimeout)
	defer cancel()
	cmd := exec.CommandContext(ctx, "go", "build", "-ldflags=-linkmode=external", "-o", dir+string(filepath.Separator),
		"./cmd/...")
	cmd.Dir = strings.TrimSpace(string(root))
	cmd.Env = append(os.Environ(), "CGO_ENABLED=1")
	if out, err := cmd.CombinedOutput(); err != nil {
		return "", fmt.Errorf("go build: %w\n%s", err, out)
	}
	return dir, nil
}

// Main runs the tests of a package that uses the harness; the package calls it from TestMain. In a process that a test
// started from the test binary to run a role, such as simulated routers, it runs that role instead.
func Main(m *testing.M) {
	if role := os.Getenv(roleEnv); role != "" {
		if err := runRole(role); err != nil {
			fmt.Fprintln(os.Stderr, "fleettest:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	code := m.Run()
	if programs.folder != "" {
		_ = os.RemoveAll(programs.folder)
	}
	os.Exit(code)
}
