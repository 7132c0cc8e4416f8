package node

import (
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	"github.com/apache/arrow-go/v18/arrow/flight"
	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// hotRestart is a hot restart of a router with each protocol and a BGP session, and the clients that see it.
type hotRestart struct {
	t                  *testing.T
	harness            *routerHarness
	neighbour          *bgpNeighbour
	engine, cordoned   *blockingEngine
	oldAdmin, newAdmin string
	predecessor        *exec.Cmd

	slow, killed, idle *mysqlClient // sessions of the predecessor
	fresh              *mysqlClient // a session of the successor
	killedSession      string       // the connection id of killed
	answers            chan error   // to slow requests

	flightAddress string
	oldFlight     *fsql.Client
	ticket        *flight.Ticket // of a load, from the predecessor
}

func newHotRestart(t *testing.T) *hotRestart {
	t.Helper()
	h := &hotRestart{
		t: t, neighbour: newBGPNeighbour(), engine: newBlockingEngine(), cordoned: newBlockingEngine(),
		oldAdmin: freePort(t), newAdmin: freePort(t), flightAddress: freePort(t), answers: make(chan error, 2),
	}
	h.harness = newRouterHarness(t, h.engine, h.cordoned)
	path := filepath.Join(filepath.Dir(h.harness.config), "windflow.json")
	text := fmt.Sprintf(`{"flightsql": {"listen": %q}, "bgp": {"peer": %q, "peer_as": 64512,
		"local_as": 64513, "router_id": "10.0.0.1", "prefixes": ["10.1.0.1/32"], "next_hop": "10.0.0.1", "hold_time_s": 3}}`,
		h.flightAddress, h.neighbour.serve(t))
	if err := os.WriteFile(path, []byte(text), 0o600); err != nil {
		t.Fatal(err)
	}
	h.harness.env = append(h.harness.env, "WINDFLOW_TEST_ROUTER=settings="+path)
	return h
}

// startOld starts the predecessor, and has clients and an operator use it.
func (h *hotRestart) startOld() {
	h.t.Helper()
	h.predecessor = h.harness.startProcess(h.oldAdmin)
	h.harness.waitReady(h.oldAdmin)
	if what := <-h.neighbour.updates; what != "announce" || <-h.neighbour.sessions != 1 {
		h.t.Fatal("the first update is a", what)
	}
	if h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000002") != 200 ||
		h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000009") != 404 {
		h.t.Error("a cordon was not taken, or one of an engine that was never listed was")
	}
	h.slow, h.killed, h.idle = h.harness.dial(), h.harness.dial(), h.harness.dial()
	requireServed(h.t, h.idle, query("load", 7, "SELECT 1"))
	h.killedSession = h.connectionID(h.killed)
	h.startSlow(h.killed, 8, 0, 1317)
	h.oldFlight = h.dialFlight()
	call := metadata.AppendToOutgoingContext(context.Background(),
		"method", "load", "rid", "00000000000000ff", "budget", "20000")
	info, err := h.oldFlight.Execute(call, "SELECT 1")
	if err != nil {
		h.t.Fatal(err)
	}
	h.ticket = info.Endpoint[0].Ticket
}

// connectionID queries a session's id.
func (h *hotRestart) connectionID(client *mysqlClient) (id string) {
	h.t.Helper()
	if err := client.write(0, append([]byte{3}, "SELECT CONNECTION_ID()"...)); err != nil {
		h.t.Fatal(err)
	}
	for i := range 5 { // columns, their definition, EOF, a row, EOF
		packet, err := client.packet()
		if err != nil {
			h.t.Fatal(err)
		}
		if i == 3 {
			id = string(packet[1:])
		}
	}
	return id
}

// startSlow sends a request that runs until the engine is released, and whose answer is to be rows and an error's code.
func (h *hotRestart) startSlow(client *mysqlClient, id, wantRows, wantCode int) {
	go func() {
		rows, code, err := client.exchange(query("lookup", id, "slow"))
		if err == nil && (rows != wantRows || code != wantCode) {
			err = fmt.Errorf("request %d: %d rows, error %d", id, rows, code)
		}
		h.answers <- err
	}()
	<-h.engine.started
}

func (h *hotRestart) dialFlight() *fsql.Client {
	h.t.Helper()
	client, err := fsql.NewClient(h.flightAddress, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		h.t.Fatal(err)
	}
	h.t.Cleanup(func() { _ = client.Close() })
	return client
}

// startNew starts the successor, in whose session a request of the predecessor is killed.
func (h *hotRestart) startNew() {
	h.t.Helper()
	h.harness.startProcess(h.newAdmin)
	h.harness.waitReady(h.newAdmin)
	if got := h.harness.callAdmin("GET", h.oldAdmin, "/api/ready"); got != 503 {
		h.t.Errorf("the old process's readiness check returns %d", got)
	}
	h.fresh = h.harness.dial() // the predecessor accepts no more, so this one is the successor's
	if err := h.fresh.write(0, append([]byte{3}, "KILL QUERY "+h.killedSession...)); err != nil {
		h.t.Fatal(err)
	}
	if packet, err := h.fresh.packet(); err != nil || packet[0] != 0 {
		h.t.Errorf("KILL QUERY of a session of the old process: % x, %v", packet, err)
	}
	if err := <-h.answers; err != nil {
		h.t.Error("the killed one:", err)
	}
}

// checkIDsAndCordon checks that the successor knows the ids and the cordon of the predecessor.
func (h *hotRestart) checkIDsAndCordon() {
	h.t.Helper()
	h.startSlow(h.slow, 9, 1, 0)
	// The predecessor grants the claim of another load behind its message about id 9, on the same link: once that
	// load is served, the message has come.
	for id := 50; ; id++ {
		if rows, code, err := h.fresh.exchange(query("load", id, "SELECT 2")); rows == 1 && code == 0 && err == nil {
			break
		} else if code != 1040 || id == 70 {
			h.t.Fatal("a load of the new process:", rows, code, err)
		}
	}
	for id, description := range map[int]string{7: "a load that ran before", 9: "a request that is open in the old process"} {
		if _, code, err := h.fresh.exchange(query("load", id, "SELECT 2")); code != 1064 || err != nil {
			h.t.Errorf("the id of %s: error %d, %v", description, code, err)
		}
	}
	before := h.cordoned.totalRuns()
	for id := 100; id < 130; id++ {
		requireServed(h.t, h.fresh, query("lookup", id, "SELECT 3"))
	}
	if before != 0 || h.cordoned.totalRuns() != 0 {
		h.t.Error("the cordon was forgotten")
	}
}

// checkTicket checks that a ticket of the predecessor, fetched from the successor, is consumed in both.
func (h *hotRestart) checkTicket() {
	h.t.Helper()
	newFlight := h.dialFlight()
	reader, err := newFlight.DoGet(context.Background(), h.ticket)
	if err != nil {
		h.t.Fatal("the ticket of the old process:", err)
	}
	reader.Release()
	for name, client := range map[string]*fsql.Client{"old": h.oldFlight, "new": newFlight} {
		if _, err := client.DoGet(context.Background(), h.ticket); status.Code(err) != codes.NotFound {
			h.t.Errorf("the ticket, a second time, from the %s process: %v", name, err)
		}
	}
}

// endOld ends the predecessor, which closes idle sessions and answers the open request first.
func (h *hotRestart) endOld() {
	h.t.Helper()
	if err := h.predecessor.Process.Signal(syscall.SIGTERM); err != nil {
		h.t.Fatal(err)
	}
	if _, err := h.idle.packet(); !errors.Is(err, io.EOF) {
		h.t.Error("an idle session of the old process was not closed:", err)
	}
	select {
	case err := <-h.answers:
		h.t.Fatal("the open request was answered early:", err)
	default:
	}
	close(h.engine.released)
	if err := <-h.answers; err != nil {
		h.t.Error("the open request:", err)
	}
	if err := h.predecessor.Wait(); err != nil {
		h.t.Error("the old process:", err)
	}
}

// checkUncordon checks that the successor ends a cordon that was ordered at the predecessor.
func (h *hotRestart) checkUncordon() {
	h.t.Helper()
	if h.harness.callAdmin("POST", h.newAdmin, "/api/include/s-00000002") != 200 {
		h.t.Error("the new process does not know the engine that was cordoned in the old one")
	}
	for range 30 {
		id := 1000 + h.cordoned.totalRuns() + h.engine.totalRuns()
		requireServed(h.t, h.fresh, query("lookup", id, "SELECT 4"))
	}
	if h.cordoned.totalRuns() == 0 {
		h.t.Error("the engine got nothing after the end of its cordon")
	}
}

// A hot restart with two real processes. It guards against all that would show that they are two: a request rejected
// or left without its answer, a cordon that is forgotten, an id that runs twice, a kill that does not arrive, a
// ticket that is consumed twice, a BGP session that ends.
func TestHotRestart(t *testing.T) {
	restart := newHotRestart(t)
	restart.startOld()
	restart.startNew()
	restart.checkIDsAndCordon()
	restart.checkTicket()
	restart.endOld()
	restart.checkUncordon()
	restart.neighbour.checkSessionContinues(t)
}

// Should the new process end first, the old one continues as before: it accepts, is ready, and can be restarted hot. So
// it does where the admin API is on the same address in both.
func TestSuccessorEnds(t *testing.T) {
	one := newBlockingEngine()
	harness := newRouterHarness(t, one)
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	harness.dial()
	for round := range 2 {
		next := harness.startProcess(adminAddress)
		// The address is the same for both, so the log of the processes would show which one answers; the socket
		// does too: the new one has taken it once it can be killed in place of the old one.
		harness.waitFor("the successor's socket", func() bool {
			paths, _ := filepath.Glob(filepath.Join(strings.TrimPrefix(harness.env[1], "TMPDIR="), "wf-????????.sock"))
			if len(paths) != 1 {
				return false
			}
			c, err := net.DialUnix("unix", nil, &net.UnixAddr{Name: paths[0], Net: "unix"})
			if err != nil {
				return false
			}
			defer c.Close()
			raw, _ := c.SyscallConn()
			pid := 0
			_ = raw.Control(func(fd uintptr) {
				if cred, err := syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED); err == nil {
					pid = int(cred.Pid)
				}
			})
			return pid == next.Process.Pid
		})
		harness.waitReady(adminAddress)
		if err := next.Process.Kill(); err != nil {
			t.Fatal(err)
		}
		_ = next.Wait()
		harness.waitReady(adminAddress)
		checkServed(t, harness.dial(), query("lookup", 1+round, "SELECT 1"))
	}
}
