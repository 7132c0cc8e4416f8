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

// Errors of the command line must name the flag. Without an address, the keeper must not start.
func TestCommandLine(t *testing.T) {
	dir := t.TempDir()
	invalid := filepath.Join(dir, "bad.json")
	if err := os.WriteFile(invalid, []byte(`{"listen":"127.0.0.1:1"}`), 0o600); err != nil {
		t.Fatal(err)
	}
	const peers = " --peers k1=127.0.0.1:7402/127.0.0.1:7401"
	const base = " --base " + example
	for _, test := range []struct{ args, err string }{
		{"serve", "--base: is missing"},
		{"serve --base none.json", "--base: none.json"},
		{"serve --base " + invalid, "--base: " + invalid + ": "},
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
		root.SetArgs(strings.Fields(test.args))
		if err := root.Execute(); err == nil || !strings.Contains(err.Error(), test.err) {
			t.Errorf("%q: error %v, want %q", test.args, err, test.err)
		}
	}
}

// Guards against an import that makes the router's program contain the code of the keepers and of their replication
// libraries. It also checks that the keeper's program contains them, so that the list is not outdated.
func TestRouterLinksNoReplication(t *testing.T) {
	for command, wanted := range map[string]bool{"windflow/cmd/windflow": false, "windflow/cmd/windflowkeeper": true} {
		out, err := exec.Command("go", "list", "-deps", command).Output()
		if err != nil {
			t.Fatal(command, err)
		}
		deps := strings.Split(string(out), "\n")
		for _, library := range []string{
			"github.com/hashicorp/raft", "github.com/hashicorp/raft-boltdb/v2",
			"go.etcd.io/bbolt", "windflow/internal/keeper",
		} {
			linked := false
			for _, dep := range deps {
				linked = linked || dep == library || strings.HasPrefix(dep, library+"/")
			}
			if linked != wanted {
				t.Errorf("%s links %s: %v, want %v", command, library, linked, wanted)
			}
		}
	}
}

// runningKeeper is a process of the built program that forms a group of one keeper.
type runningKeeper struct {
	t       *testing.T
	command *exec.Cmd
	baseURL string
	stderr  *bytes.Buffer
}

// startKeeperProcess builds the program and starts it. The process is killed at the end of the test if it still runs.
func startKeeperProcess(t *testing.T) *runningKeeper {
	t.Helper()
	dir := t.TempDir()
	program := filepath.Join(dir, "windflowkeeper")
	if out, err := exec.Command("go", "build", "-o", program, ".").CombinedOutput(); err != nil {
		t.Fatalf("go build: %v: %s", err, out)
	}
	ready, readyWriter, err := os.Pipe()
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = ready.Close() }()
	// A group of one does not use the peer addresses.
	command := exec.Command(program, "serve", "--id", "k1", "--dir", filepath.Join(dir, "k1"),
		"--http", "127.0.0.1:0", "--raft", "127.0.0.1:0",
		"--peers", "k1=127.0.0.1:7402/127.0.0.1:7401", "--base", example)
	command.Env = append(os.Environ(), readyEnv+"=3")
	command.ExtraFiles = []*os.File{readyWriter}
	var stderr bytes.Buffer
	command.Stderr = &stderr
	if err := command.Start(); err != nil {
		t.Fatal(err)
	}
	_ = readyWriter.Close()
	t.Cleanup(func() {
		if command.ProcessState == nil {
			_ = command.Process.Kill()
			_ = command.Wait()
		}
	})
	line, err := bufio.NewReader(ready).ReadString('\n')
	address, ok := strings.CutPrefix(strings.TrimSpace(line), "ready ")
	if err != nil || !ok {
		t.Fatalf("readiness line %q, error %v, want \"ready ADDRESS\"; standard error: %s", line, err, stderr.String())
	}
	return &runningKeeper{t: t, command: command, baseURL: "http://" + address, stderr: &stderr}
}

// checkChange posts a change and checks the status of the response and a part of its body.
func (k *runningKeeper) checkChange(body string, status int, part string) {
	k.t.Helper()
	response, err := http.Post(k.baseURL+"/v1/changes", "application/json", strings.NewReader(body))
	if err != nil {
		k.t.Fatal(err)
	}
	text, err := io.ReadAll(response.Body)
	_ = response.Body.Close()
	if err != nil || response.StatusCode != status || !strings.Contains(string(text), part) {
		k.t.Errorf("%s: %d %s, want %d %s", body, response.StatusCode, text, status, part)
	}
}

// Covers the built program: it reports readiness, accepts a valid change, rejects changes that are invalid or that
// expect another revision, and ends without an error on SIGTERM.
func TestKeeperProcess(t *testing.T) {
	keeper := startKeeperProcess(t)
	keeper.checkChange(`{"id":"a","put":{"/settings/over-share-worth":0.25}}`, 200, `"revision":1`)
	keeper.checkChange(`{"id":"b","put":{"/settings/over-share-worth":"much"}}`, 422,
		`"pointer":"/settings/over-share-worth"`)
	keeper.checkChange(`{"id":"c","put":{"/listen":"127.0.0.1:1"}}`, 422, `"pointer":"/listen"`)
	keeper.checkChange(`{"id":"d","expect":0,"put":{"/settings/over-share-worth":0.5}}`, 409, `"revision":1`)
	var status struct {
		Revision uint64 `json:"revision"`
	}
	response, err := http.Get(keeper.baseURL + "/v1/status")
	if err != nil {
		t.Fatal(err)
	}
	defer func() { _ = response.Body.Close() }()
	if err := json.NewDecoder(response.Body).Decode(&status); err != nil || status.Revision != 1 {
		t.Errorf("status %+v, error %v, want revision 1", status, err)
	}
	if err := keeper.command.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if err := keeper.command.Wait(); err != nil {
		t.Errorf("after SIGTERM: error %v, want none; standard error: %s", err, keeper.stderr.String())
	}
}
