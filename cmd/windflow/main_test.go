package main

import (
	"bytes"
	"os"
	"path/filepath"
	"strings"
	"testing"
)

// What a new user types, and what is printed.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	write := func(name, text string) string {
		path := filepath.Join(dir, name)
		if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
			t.Fatal(err)
		}
		return path
	}
	bad := write("own.json", `{"flightsql":{"listen":5}}`)
	platform := write("platform.json", `{"listen":"127.0.0.1:1","board":"127.0.0.1:1"}`)
	t.Setenv("PROXY_CONFIG", "")
	for _, c := range []struct {
		args string
		out  string // in what is printed
		err  string // in the error; empty for none
	}{
		{"", "", "PROXY_CONFIG"},
		{"serve", "", "PROXY_CONFIG"},
		{"--log-format xml", "", "--log-format"},
		{"version", "windflow", ""},
		{"config schema", `"flightsql"`, ""},
		{"config check ../../deploy/windflow.json ../../deploy/example.json", "example.json: ok", ""},
		{"config check " + bad, "", bad + ": /flightsql/listen: "},
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
		root.SetArgs(strings.Fields(c.args))
		err := root.Execute()
		if (err == nil) != (c.err == "") || err != nil && !strings.Contains(err.Error(), c.err) {
			t.Errorf("%q: error %v, want %q", c.args, err, c.err)
		}
		if !strings.Contains(out.String(), c.out) {
			t.Errorf("%q: printed %q, want %q", c.args, out.String(), c.out)
		}
	}
}
