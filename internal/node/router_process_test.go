package node

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"
)

// TestMain runs the router instead of the tests if a test has started this binary as a router process.
func TestMain(m *testing.M) {
	if os.Getenv("WINDFLOW_TEST_ROUTER") != "" {
		opts := Options{Debug: true, Settings: strings.TrimPrefix(os.Getenv("WINDFLOW_TEST_ROUTER"), "settings=")}
		if err := Run(opts); err != nil {
			fmt.Fprintln(os.Stderr, "windflow:", err)
			os.Exit(1)
		}
		os.Exit(0)
	}
	os.Exit(m.Run())
}

// blockingEngine is a fake engine. Statements that contain "slow" run until released is closed, others are answered at
// once. It counts the runs of each request.
type blockingEngine struct {
	mu       sync.Mutex
	runs     map[string]int  // by request id
	blocked  map[string]bool // by request id: the statement contains "slow"
	released chan struct{}   // closed by the test to release blocked statements
	started  chan string     // ids of blocked requests as they start
}

// serve starts the engine and returns its address.
func (e *blockingEngine) serve(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	s := &http.Server{Handler: e}
	go func() { _ = s.Serve(lis) }()
	t.Cleanup(func() { _ = s.Close() })
	return lis.Addr().String()
}

func (e *blockingEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Call-Id")
	if r.Method == http.MethodPost {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.runs[id]++
		e.blocked[id] = strings.Contains(string(body), "slow")
		e.mu.Unlock()
		if strings.Contains(string(body), "slow") {
			e.started <- id
		}
	} else {
		id = strings.Split(r.URL.Path, "/")[2]
	}
	e.mu.Lock()
	slow := e.blocked[id]
	e.mu.Unlock()
	if slow {
		select {
		case <-e.released:
		case <-time.After(100 * time.Millisecond):
			w.WriteHeader(http.StatusAccepted)
			return
		}
	}
	w.Header().Set("X-Parts", "1")
	fmt.Fprint(w, "a\tb\tc\n")
}

// totalRuns returns the number of runs of all requests.
func (e *blockingEngine) totalRuns() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range e.runs {
		n += k
	}
	return n
}

// routerHarness has the configuration, environment and client listener with which the processes of a router are
// started.
type routerHarness struct {
	t              *testing.T
	config         string // path of the platform's configuration
	clientListener net.Listener
	env            []string
	prepare        func(*exec.Cmd) // changes the command of a process before its start; may be nil
}

// editConfig rewrites the platform's configuration.
func (h *routerHarness) editConfig(change func(string) string) {
	h.t.Helper()
	text, err := os.ReadFile(h.config)
	if err == nil {
		err = os.WriteFile(h.config, []byte(change(string(text))), 0o600)
	}
	if err != nil {
		h.t.Fatal(err)
	}
}

// startProcess starts a router process with that admin address. The process is killed at the end of the test. If the
// environment variable WINDFLOW_TEST_BINARY is set, that binary is run, such as one of an earlier version.
func (h *routerHarness) startProcess(adminAddress string) *exec.Cmd {
	h.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		h.t.Fatal(err)
	}
	file, err := h.clientListener.(*net.TCPListener).File()
	if err != nil {
		h.t.Fatal(err)
	}
	defer file.Close()
	if other := os.Getenv("WINDFLOW_TEST_BINARY"); other != "" {
		exe = other
	}
	cmd := exec.Command(exe)
	cmd.ExtraFiles = []*os.File{file} // descriptor 3
	cmd.Env = append(append(os.Environ(), h.env...), "PROXY_CONTROL="+adminAddress)
	cmd.Stderr = os.Stderr
	if !testing.Verbose() {
		cmd.Stderr = nil
	}
	if h.prepare != nil {
		h.prepare(cmd)
	}
	if err := cmd.Start(); err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// callAdmin makes one call to an admin API and returns the HTTP status, or 0 if there is no answer.
func (h *routerHarness) callAdmin(method, adminAddress, path string) int {
	r, err := http.NewRequest(method, "http://"+adminAddress+path, nil)
	if err != nil {
		h.t.Fatal(err)
	}
	r.Close = true
	response, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = response.Body.Close()
	return response.StatusCode
}

// waitFor checks a condition every 10 ms, and ends the test if it does not hold within about 20 s. what describes the
// condition.
func (h *routerHarness) waitFor(what string, condition func() bool) {
	h.t.Helper()
	for range 2000 {
		if condition() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	h.t.Fatal("timed out while waiting for: " + what)
}

// waitReady waits until the readiness check of a process succeeds.
func (h *routerHarness) waitReady(adminAddress string) {
	h.t.Helper()
	h.waitFor("ready at "+adminAddress, func() bool { return h.callAdmin("GET", adminAddress, "/api/ready") == 200 })
}

// dial opens a MySQL session at the router, which is closed at the end of the test.
func (h *routerHarness) dial() *mysqlClient {
	h.t.Helper()
	c, err := dialMySQL(h.clientListener.Addr().String())
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = c.conn.Close() })
	return c
}

// freePort returns a loopback address with a port on which nobody listens at the moment.
func freePort(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// newRouterHarness writes the configuration of a router with those engines, whose ids are s-00000001 and so on. The
// test listens on the socket for clients and passes it to the processes, as the platform does.
func newRouterHarness(t *testing.T, engines ...*blockingEngine) *routerHarness {
	t.Helper()
	h := &routerHarness{t: t, config: filepath.Join(t.TempDir(), "config.json")}
	var err error
	if h.clientListener, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = h.clientListener.Close() })
	var members []string
	for i, e := range engines {
		members = append(members, fmt.Sprintf(
			`{"id":"s-0000000%d","host_port":"%s","locality":"a","flavor":"std","phase":"active","size":1}`, i+1, e.serve(t)))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"board":"%s","known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]},
		"settings":%s}`, h.clientListener.Addr(), startIdleDiscovery(t), strings.Join(members, ","), mixedSettings)
	if err := os.WriteFile(h.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "wf") // a short path, since the length of a Unix socket's path is limited
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	h.env = []string{
		"PROXY_CONFIG=" + h.config, "TMPDIR=" + dir, "PROXY_PASSED_SOCKET=3",
		"WINDFLOW_TEST_ROUTER=settings=",
	}
	return h
}

// newBlockingEngine returns an engine that has not started to serve.
func newBlockingEngine() *blockingEngine {
	return &blockingEngine{
		runs: map[string]int{}, blocked: map[string]bool{}, released: make(chan struct{}),
		started: make(chan string, 16),
	}
}

// query returns a query of a class with a request id and a budget of 20 s in its leading comment.
func query(class string, id int, statement string) string {
	return fmt.Sprintf("/* method=%s,rid=%016x,budget=20000 */ %s", class, id, statement)
}

// Names of metrics in the telemetry.
const (
	discoveredMetric = "svc.discovered"
	revisionMetric   = "svc.configuration_revision"
	rejectedMetric   = "svc.configuration_refused"
)

// metric returns the value of a metric in the telemetry, or -1 if the telemetry does not have it.
func (h *routerHarness) metric(adminAddress, name string) int {
	h.t.Helper()
	response, err := http.Get("http://" + adminAddress + "/api/telemetry")
	if err != nil {
		h.t.Fatal(err)
	}
	defer response.Body.Close()
	text, err := io.ReadAll(response.Body)
	if err != nil {
		h.t.Fatal(err)
	}
	for line := range strings.Lines(string(text)) {
		var n int
		if _, err := fmt.Sscanf(line, name+":%d|g", &n); err == nil {
			return n
		}
	}
	return -1
}
