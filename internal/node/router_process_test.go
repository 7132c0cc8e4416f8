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

// TestMain runs the program itself where a test has started this binary as a router.
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

// slowEngine is a stand-in whose statements with "slow" in them run until they are released; it notes what ran.
type slowEngine struct {
	mu       sync.Mutex
	ran      map[string]int
	slow     map[string]bool
	released chan struct{}
	started  chan string // ids of slow ones
}

func (e *slowEngine) serve(t *testing.T) string {
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

func (e *slowEngine) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	id := r.Header.Get("Call-Id")
	if r.Method == http.MethodPost {
		body, _ := io.ReadAll(r.Body)
		e.mu.Lock()
		e.ran[id]++
		e.slow[id] = strings.Contains(string(body), "slow")
		e.mu.Unlock()
		if strings.Contains(string(body), "slow") {
			e.started <- id
		}
	} else {
		id = strings.Split(r.URL.Path, "/")[2]
	}
	e.mu.Lock()
	slow := e.slow[id]
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

func (e *slowEngine) total() int {
	e.mu.Lock()
	defer e.mu.Unlock()
	n := 0
	for _, k := range e.ran {
		n += k
	}
	return n
}

// fleet is what the processes of one router are started with.
type fleet struct {
	t       *testing.T
	config  string // path
	clients net.Listener
	env     []string
	wrap    func(*exec.Cmd) // changes how a process is started
}

// edit changes the configuration.
func (f *fleet) edit(change func(string) string) {
	f.t.Helper()
	text, err := os.ReadFile(f.config)
	if err == nil {
		err = os.WriteFile(f.config, []byte(change(string(text))), 0o600)
	}
	if err != nil {
		f.t.Fatal(err)
	}
}

func (f *fleet) start(control string) *exec.Cmd {
	f.t.Helper()
	exe, err := os.Executable()
	if err != nil {
		f.t.Fatal(err)
	}
	file, err := f.clients.(*net.TCPListener).File()
	if err != nil {
		f.t.Fatal(err)
	}
	defer file.Close()
	if other := os.Getenv("WINDFLOW_TEST_BINARY"); other != "" { // an earlier version, by hand
		exe = other
	}
	cmd := exec.Command(exe)
	cmd.ExtraFiles = []*os.File{file} // descriptor 3
	cmd.Env = append(append(os.Environ(), f.env...), "PROXY_CONTROL="+control)
	cmd.Stderr = os.Stderr
	if !testing.Verbose() {
		cmd.Stderr = nil
	}
	if f.wrap != nil {
		f.wrap(cmd)
	}
	if err := cmd.Start(); err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() {
		_ = cmd.Process.Kill()
		_ = cmd.Wait()
	})
	return cmd
}

// call makes one call at a door and gives its status, 0 where nobody is there.
func (f *fleet) call(method, control, path string) int {
	r, err := http.NewRequest(method, "http://"+control+path, nil)
	if err != nil {
		f.t.Fatal(err)
	}
	r.Close = true
	answer, err := http.DefaultClient.Do(r)
	if err != nil {
		return 0
	}
	_ = answer.Body.Close()
	return answer.StatusCode
}

func (f *fleet) waitFor(what string, ok func() bool) {
	f.t.Helper()
	for range 2000 {
		if ok() {
			return
		}
		time.Sleep(10 * time.Millisecond)
	}
	f.t.Fatal("it never came to this: " + what)
}

func (f *fleet) ready(control string) {
	f.t.Helper()
	f.waitFor("ready at "+control, func() bool { return f.call("GET", control, "/api/ready") == 200 })
}

func (f *fleet) client() *mysqlClient {
	f.t.Helper()
	c, err := dialMySQL(f.clients.Addr().String())
	if err != nil {
		f.t.Fatal(err)
	}
	f.t.Cleanup(func() { _ = c.c.Close() })
	return c
}

// freePort gives an address on which nobody listens now.
func freePort(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	defer lis.Close()
	return lis.Addr().String()
}

// newFleet writes the configuration of a router with two engines; the clients' socket is the test's, as the platform's.
func newFleet(t *testing.T, engines ...*slowEngine) *fleet {
	t.Helper()
	f := &fleet{t: t, config: filepath.Join(t.TempDir(), "config.json")}
	var err error
	if f.clients, err = net.Listen("tcp", "127.0.0.1:0"); err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = f.clients.Close() })
	var members []string
	for i, e := range engines {
		members = append(members, fmt.Sprintf(
			`{"id":"s-0000000%d","host_port":"%s","locality":"a","flavor":"std","phase":"active","size":1}`, i+1, e.serve(t)))
	}
	text := fmt.Sprintf(`{"name":"n0","listen":"%s","seed":"1f","limits":{"cores":1,"memory_mb":192,"sockets":1024},
		"board":"%s","known":{"rev":1,"notices":[{"rev":1,"pool":{"revision":1,"complete":true,"members":[%s]}}]},
		"settings":%s}`, f.clients.Addr(), noticeBoard(t), strings.Join(members, ","), mixedSettings)
	if err := os.WriteFile(f.config, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	dir, err := os.MkdirTemp("", "wf") // short: the path of a Unix socket has its bound
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	f.env = []string{"PROXY_CONFIG=" + f.config, "TMPDIR=" + dir, "PROXY_PASSED_SOCKET=3", "WINDFLOW_TEST_ROUTER=settings="}
	return f
}

func newSlowEngine() *slowEngine {
	return &slowEngine{
		ran: map[string]int{}, slow: map[string]bool{}, released: make(chan struct{}),
		started: make(chan string, 16),
	}
}

func query(class string, id int, statement string) string {
	return fmt.Sprintf("/* method=%s,rid=%016x,budget=20000 */ %s", class, id, statement)
}
