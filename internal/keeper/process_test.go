package keeper_test

import (
	"bufio"
	"context"
	"encoding/json"
	"fmt"
	"log/slog"
	"os"
	"os/exec"
	"os/signal"
	"strings"
	"syscall"
	"testing"
	"time"

	"windflow/internal/decide/configerror"
	"windflow/internal/keeper"
)

// processEnv is the environment variable with the options of a keeper as JSON. If it is set, the test binary runs that
// keeper instead of the tests.
const processEnv = "WINDFLOW_TEST_KEEPER"

// rejectedPointer is the entry for which the Check of these keepers rejects the value -1.
const rejectedPointer = "/settings/rules/look-back-ns"

func TestMain(m *testing.M) {
	if text := os.Getenv(processEnv); text != "" {
		if err := runKeeper(text); err != nil {
			fmt.Fprintln(os.Stderr, "keeper:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

func runKeeper(text string) error {
	var o keeper.Options
	if err := json.Unmarshal([]byte(text), &o); err != nil {
		return err
	}
	signal.Ignore(syscall.SIGXFSZ)
	o.Log = slog.New(slog.NewTextHandler(os.Stderr, nil))
	o.Check = func(entries map[string]json.RawMessage) *configerror.Error {
		if v, ok := entries[rejectedPointer]; ok && string(v) == "-1" {
			return &configerror.Error{Kind: configerror.Invalid, Pointer: rejectedPointer, Reason: "is below zero"}
		}
		return nil
	}
	o.OnReady = func(http string) {
		f := os.NewFile(3, "ready")
		_, _ = f.WriteString("ready " + http + "\n")
		_ = f.Close()
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM)
	defer stop()
	return keeper.Run(ctx, o)
}

// process is one keeper of a group that runs as a separate process.
type process struct {
	t       *testing.T
	options keeper.Options
	env     []string
	cmd     *exec.Cmd
	exited  chan struct{}
	logFile string
}

// launch starts the keeper's process. The returned channel receives the line that the keeper writes once it accepts
// calls.
func (p *process) launch() (ready <-chan string) {
	p.t.Helper()
	o := p.options
	o.Log, o.Check, o.OnReady = nil, nil, nil
	text, err := json.Marshal(encodableOptions(o))
	if err != nil {
		p.t.Fatal(err)
	}
	r, w, err := os.Pipe()
	if err != nil {
		p.t.Fatal(err)
	}
	log, err := os.OpenFile(p.logFile, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o600)
	if err != nil {
		p.t.Fatal(err)
	}
	p.cmd = exec.Command(os.Args[0])
	p.cmd.Env = append(append(os.Environ(), processEnv+"="+string(text)), p.env...)
	p.cmd.ExtraFiles = []*os.File{w}
	p.cmd.Stderr, p.cmd.Stdout = log, log
	if err := p.cmd.Start(); err != nil {
		p.t.Fatal(err)
	}
	_ = w.Close()
	_ = log.Close()
	exited := make(chan struct{})
	p.exited = exited
	cmd := p.cmd
	go func() {
		_ = cmd.Wait()
		close(exited)
	}()
	line := make(chan string, 1)
	go func() {
		text, _ := bufio.NewReader(r).ReadString('\n')
		_ = r.Close()
		line <- text
	}()
	return line
}

// encodableOptions returns the fields of the options that can be encoded as JSON.
func encodableOptions(o keeper.Options) map[string]any {
	return map[string]any{
		"ID": o.ID, "Cluster": o.Cluster, "Dir": o.Dir, "HTTPAddr": o.HTTPAddr, "RaftAddr": o.RaftAddr, "Peers": o.Peers,
		"MaxPollWait": o.MaxPollWait, "LeaseDuration": o.LeaseDuration, "ChangeTimeout": o.ChangeTimeout,
		"MaxWaitingFollowers": o.MaxWaitingFollowers, "Retention": o.Retention, "AcceptLoss": o.AcceptLoss,
		"SnapshotThreshold": o.SnapshotThreshold, "SnapshotInterval": o.SnapshotInterval,
	}
}

// start starts the keeper and waits until it accepts HTTP calls.
func (p *process) start() {
	p.t.Helper()
	ready := p.launch()
	select {
	case line := <-ready:
		if line != "ready "+p.options.HTTPAddr+"\n" {
			<-p.exited
			p.t.Fatalf("%s: readiness line %q is not as expected; %s", p.options.ID, line, p.logText())
		}
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s is not ready within %v; %s", p.options.ID, waitTimeout, p.logText())
	}
}

// expectFailure starts the keeper, waits until it exits with an error, and returns its log.
func (p *process) expectFailure() string {
	p.t.Helper()
	p.launch()
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		p.t.Fatalf("%s is still running; %s", p.options.ID, p.logText())
	}
	if p.cmd.ProcessState.Success() {
		p.t.Fatalf("%s exited without an error", p.options.ID)
	}
	return p.logText()
}

func (p *process) logText() string {
	text, _ := os.ReadFile(p.logFile)
	if n := len(text) - 20000; n > 0 {
		text = text[n:]
	}
	return string(text)
}

func (p *process) signal(s syscall.Signal) {
	p.t.Helper()
	if err := p.cmd.Process.Signal(s); err != nil {
		p.t.Errorf("%s: signal %v: %v; %s", p.options.ID, s, err, p.logText())
	}
}

func (p *process) alive() bool {
	select {
	case <-p.exited:
		return false
	default:
		return p.cmd != nil
	}
}

// terminate sends a signal that terminates the process, and waits until it has exited.
func (p *process) terminate(s syscall.Signal) {
	p.t.Helper()
	p.signal(s)
	select {
	case <-p.exited:
	case <-time.After(waitTimeout):
		_ = p.cmd.Process.Kill()
		p.t.Fatalf("%s does not exit; %s", p.options.ID, p.logText())
	}
}

// waitUntil polls done until it returns true. It fails the test after waitTimeout with a message that names the
// condition.
func waitUntil(t *testing.T, condition string, done func() bool) {
	t.Helper()
	timeout := time.NewTimer(waitTimeout)
	defer timeout.Stop()
	retry := time.NewTicker(10 * time.Millisecond)
	defer retry.Stop()
	for !done() {
		select {
		case <-retry.C:
		case <-timeout.C:
			t.Fatalf("timeout after %v waiting for %s", waitTimeout, condition)
		}
	}
}

// waitTimeout bounds each wait of a test. A test that reaches it fails.
const waitTimeout = 30 * time.Second

func mustContain(t *testing.T, text string, parts ...string) {
	t.Helper()
	for _, part := range parts {
		if !strings.Contains(text, part) {
			t.Errorf("%q is not in %s", part, text)
		}
	}
}
