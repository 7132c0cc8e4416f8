package node

import (
	"fmt"
	"io"
	"log/slog"
	"net"
	"net/http"
	"strings"
	"syscall"
	"testing"

	"windflow/internal/installation"
	"windflow/internal/settings"
)

// startReleasableEngine starts a fake engine and returns its address. The engine answers statements that contain "slow"
// and GET calls once release is closed, and other statements at once.
func startReleasableEngine(t *testing.T, release <-chan struct{}) (address string) {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	server := &http.Server{Handler: http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		body, _ := io.ReadAll(r.Body)
		if strings.Contains(string(body), "slow") || r.Method == http.MethodGet {
			<-release
		}
		w.Header().Set("X-Parts", "1")
		fmt.Fprint(w, "a\tb\tc\n")
	})}
	go func() { _ = server.Serve(lis) }()
	t.Cleanup(func() { _ = server.Close() })
	return lis.Addr().String()
}

// After SIGTERM the router continues to accept and answer requests, on open and on new connections, while any request
// is open, and then ends by itself. Guards against requests that are lost in a planned restart.
func TestDrainAnswersAcceptedRequests(t *testing.T) {
	release := make(chan struct{})
	engine := startReleasableEngine(t, release)
	n := startRouter(t, []string{fmt.Sprintf(
		`{"id":"s-00000001","host_port":"%s","locality":"a","flavor":"std","phase":"active","size":1}`, engine)})

	early, err := dialMySQL(n.listeners.clientsAddress)
	if err != nil {
		t.Fatal(err)
	}
	serve := func(m *mysqlClient, id int, statement string) error {
		rows, code, err := m.exchange(fmt.Sprintf("/* method=lookup,rid=%016x,budget=60000 */ %s", id, statement))
		if err != nil {
			return fmt.Errorf("%s: %w", statement, err)
		}
		if rows != 1 || code != 0 {
			return fmt.Errorf("%s: %d rows, error %d", statement, rows, code)
		}
		return nil
	}
	slow := make(chan error, 1)
	go func() { slow <- serve(early, 1, "slow") }()
	open := make(chan int)
	for taken := 0; taken == 0; taken = <-open {
		n.loop.Post(func() { open <- n.services.core.OpenRequests() })
	}
	signaled := make(chan struct{})
	n.loop.Post(func() {
		n.signal(syscall.SIGTERM)
		n.signal(syscall.SIGTERM) // a second signal has no effect
		close(signaled)
	})
	<-signaled
	late, err := dialMySQL(n.listeners.clientsAddress)
	if err != nil {
		t.Fatal("a new connection after SIGTERM:", err)
	}
	for id := range 3 {
		if err := serve(late, 10+id, "quick"); err != nil {
			t.Error("after SIGTERM:", err)
		}
	}
	select {
	case <-n.life.done:
		t.Fatal("the router ended while a request was open")
	default:
	}
	close(release)
	if err := <-slow; err != nil {
		t.Error("the request that was open:", err)
	}
	<-n.life.done // the router ends without a further signal
}

// The router starts with the example configuration, which the README uses.
func TestExampleConfiguration(t *testing.T) {
	cfg, err := settings.ReadNode("../../deploy/example.json")
	if err != nil {
		t.Fatal(err)
	}
	cfg.Listen = "127.0.0.1:0"
	n, err := start(cfg, &installation.Settings{}, slog.New(slog.DiscardHandler))
	if err != nil {
		t.Fatal(err)
	}
	n.close()
}
