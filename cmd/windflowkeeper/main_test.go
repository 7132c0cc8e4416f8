package main

import (
	"bufio"
	"bytes"
	"encoding/json"
	"io"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
)

const example = "../../deploy/example.json"

// What a new user types, and what is said to it. Nothing listens without an address.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	bad := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(bad, []byte(`{"listen":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const peers = " --peers k1=127.0.0.1:7402/127.0.0.1:7401"
	const base = " --base " + example
	for _, c := range []struct{ args, err string }{
		{"serve", "--base: is missing"},
		{"serve --base none.json", "--base: none.json"},
		{"serve --base " + bad, "--base: " + bad + ": "},
		{"serve" + base, "--id: is missing"},
		{"serve --id k1" + base, "--dir: is missing"},
		{"serve --id k1 --dir " + dir + base + peers, "--http: is missing"},
		{"serve --id k1 --http 127.0.0.1:0 --dir " + dir + base + peers, "--raft: is missing"},
		{"serve --id k1 --http 127.0.0.1:0 --raft 127.0.0.1:0 --dir " + dir + base, "--peers: is missing"},
		{"serve --id k2 --http 127.0.0.1:0 --raft 127.0.0.1:0 --dir " + dir + base + peers, "--id: k2 is not among --peers"},
		{"serve --id k1 --http nowhere --raft 127.0.0.1:0 --dir " + dir + base + peers, "--http: "},
		{"serve --peers k1" + base, `--peers: "k1"`},
		{"serve --peers k1=127.0.0.1:1/127.0.0.1" + base, "--peers: k1: "},
		{"serve --log-format xml" + base, "--log-format"},
		{"serve x", "unknown command"},
	} {
		root := command()
		var out bytes.Buffer
		root.SetOut(&out)
		root.SetErr(&out)
		root.SetArgs(strings.Fields(c.args))
		if err := root.Execute(); err == nil || !strings.Contains(err.Error(), c.err) {
			t.Errorf("%q: error %v, want %q", c.args, err, c.err)
		}
	}
}

// The router links nothing of the keepers' replication.
func TestRouterLinksNoReplication(t *testing.T) {
	for command, wanted := range map[string]bool{"windflow/cmd/windflow": false, "windflow/cmd/windflowkeeper": true} {
		out, err := exec.Command("go", "list", "-deps", command).Output()
		if err != nil {
			t.Fatal(command, err)
		}
		deps := strings.Split(string(out), "\n")
		for _, library := range []string{"github.com/hashicorp/raft", "github.com/hashicorp/raft-boltdb/v2", "go.etcd.io/bbolt", "windflow/internal/keeper"} {
			linked := false
			for _, d := range deps {
				linked = linked || d == library || strings.HasPrefix(d, library+"/")
			}
			if linked != wanted {
				t.Errorf("%s links %s: %v", command, library, linked)
			}
		}
	}
}

// The built program, alone: its line of readiness, a change, one that a router couldn't use, and its end.
func TestProgram(t *testing.T) {
	dir := t.TempDir()
	program := filepath.Join(dir, "windflowkeeper")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("%v: %s", err, out)
	}
	r, w, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = r.Close() }()
	// The peers' addresses are of no use to a group of one.
	cmd := exec.Command(program, "serve", "--id", "k1", "--dir", filepath.Join(dir, "k1"), "--http", "127.0.0.1:0", "--raft", "127.0.0.1:0",
		"--peers", "k1=127.0.0.1:7402/127.0.0.1:7401", "--base", example)
	cmd.Env = append(os.Environ(), readyEnv+"=3")
	cmd.ExtraFiles = []*os.File{w}
	var said bytes.Buffer
	cmd.Stderr = &said
	if err := cmd.Start(); err != nil {
		t.Fatal(err)
	}
	_ = w.Close()
	t.Cleanup(func() {
		if cmd.ProcessState == nil {
			_ = cmd.Process.Kill()
			_ = cmd.Wait()
		}
	})
	line, err := bufio.NewReader(r).ReadString('\n')
	base, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
	if err != nil || !ok {
		t.Fatalf("%q: %v: %s", line, err, said.String())
	}
	for _, c := range []struct {
		body string
		code int
		part string
	}{
		{`{"id":"a","put":{"/settings/over-share-worth":0.25}}`, 200, `"revision":1`},
		{`{"id":"b","put":{"/settings/over-share-worth":"much"}}`, 422, `"pointer":"/settings/over-share-worth"`},
		{`{"id":"c","put":{"/listen":"127.0.0.1:1"}}`, 422, `"pointer":"/listen"`},
		{`{"id":"d","expect":0,"put":{"/settings/over-share-worth":0.5}}`, 409, `"revision":1`},
	} {
		a, err := http.Post("http://"+base+"/v1/changes", "application/json", strings.NewReader(c.body))
		if err != nil {
			t.Fatal(err)
		}
		text, err := io.ReadAll(a.Body)
		_ = a.Body.Close()
		if err != nil || a.StatusCode != c.code || !strings.Contains(string(text), c.part) {
			t.Errorf("%s: %d %s, want %d %s", c.body, a.StatusCode, text, c.code, c.part)
		}
	}
	var s struct {
		Revision uint64 `json:"revision"`
	}
	a, err := http.Get("http://" + base + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = a.Body.Close() }()
	if err := json.NewDecoder(a.Body).Decode(&s); err != nil || s.Revision != 1 {
		t.Error(s, err)
	}
	if err := cmd.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := cmd.Wait(); err != nil {
		t.Errorf("%v: %s", err, said.String())
	}
}
