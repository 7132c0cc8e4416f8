package main

import (
	"bytes"
	"os"
	"os/exec"
	"path/filepath"
	"slices"
	"strings"
	"testing"
)

// Covers the commands and flags as a user types them. Errors must name the flag, the variable, or the file with the
// position in it.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	invalid := write("own.json", `{"flightsql":{"listen":5}}`)
	platform := write("platform.json", `{"listen":"127.0.0.1:1","board":"127.0.0.1:1"}`)
	t.Setenv("PROXY_CONFIG", "")
	for _, test := range []struct {
		args string
		out  string // part of the output
		err  string // part of the error; empty if none is expected
	}{
		{"", "", "PROXY_CONFIG"},
		{"serve", "", "PROXY_CONFIG"},
		{"--log-format xml", "", "--log-format"},
		{"version", "windflow", ""},
		{"config schema", `"flightsql"`, ""},
		{"config check ../../deploy/windflow.json ../../deploy/example.json", "example.json: ok", ""},
		{"config check " + invalid, "", invalid + ": /flightsql/listen: "},
		{"config check " + platform, "", platform + ": field settings is missing"},
		{"config check " + filepath.Join(dir, "none.json"), "", "none.json"},
		{"config check", "", "requires at least 1 arg"},
		{"serv", "", "unknown command"},
		{"--flightsql x", "", "unknown flag"},
	} {
		root := command()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(strings.Fields(test.args))
		err := root.Execute()
		if (err == nil) != (test.err == "") || err != nil && !strings.Contains(err.Error(), test.err) {
			t.Errorf("%q: error %v, want %q", test.args, err, test.err)
		}
		if !strings.Contains(out.String(), test.out) {
			t.Errorf("%q: output %q, want %q in it", test.args, out.String(), test.out)
		}
	}
}

// mainEnv names the variable that makes the test binary run main instead of the tests.
const mainEnv = "WINDFLOW_TEST_MAIN"

func TestMain(m *testing.M) {
	if os.Getenv(mainEnv) != "" {
		main()
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// On an error, the process must exit with status 1 and print the error to standard error, with the program's name
// before each line.
func TestExitStatus(t *testing.T) {
	missing := filepath.Join(t.TempDir(), "none")
	for _, test := range []struct {
		args   []string
		status int
		lines  []string // prefix of each line on standard error
	}{
		{[]string{"version"}, 0, nil},
		{[]string{"serv"}, 1, []string{"windflow: unknown command"}},
		{
			[]string{"config", "check", missing + "1", missing + "2"},
			1,
			[]string{"windflow: open " + missing + "1: ", "windflow: open " + missing + "2: "},
		},
	} {
		process := exec.Command(os.Args[0], test.args...)
		process.Env = append(os.Environ(), mainEnv+"=1")
		var out bytes.Buffer
		process.Stderr = &out
		_ = process.Run() // the exit status is checked below
		if got := process.ProcessState.ExitCode(); got != test.status {
			t.Errorf("%q: exit status %d, want %d", test.args, got, test.status)
		}
		lines := slices.Collect(strings.Lines(out.String()))
		if !slices.EqualFunc(lines, test.lines, strings.HasPrefix) {
			t.Errorf("%q: standard error %q, want lines that begin with %q", test.args, lines, test.lines)
		}
	}
}

// main must take its arguments from the command line and print to standard output.
func TestMainPrintsVersion(t *testing.T) {
	file, err := os.Create(filepath.Join(t.TempDir(), "out"))
	if err != nil {
		t.Fatal(err)
	}
	args, stdout := os.Args, os.Stdout
	os.Args, os.Stdout = []string{"windflow", "version"}, file
	main()
	os.Args, os.Stdout = args, stdout
	if err := file.Close(); err != nil {
		t.Fatal(err)
	}
	text, err := os.ReadFile(file.Name())
	if err != nil || string(text) != version()+"\n" {
		t.Errorf("output %q, error %v, want %q", text, err, version())
	}
}
