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

// hotRestart is a hot restart of a router with both protocols and a BGP session, and the clients connected to it.
type hotRestart struct {
	t                  *testing.T
	harness            *routerHarness
	neighbour          *bgpNeighbour
	engine, cordoned   *blockingEngine
	oldAdmin, newAdmin string
	predecessor        *exec.Cmd

	slow, killed, idle *mysqlClient // sessions of the predecessor
	newClient          *mysqlClient // a session of the successor
	killedSession      string       // the connection id of killed
	answers            chan error   // outcomes of slow requests

	flightAddress string
	oldFlight     *fsql.Client
	ticket        *flight.Ticket // of a load, from the predecessor
}

// newHotRestart prepares the configuration; it starts no process.
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

// startOld starts the predecessor, cordons an engine, opens sessions, and gets the ticket of a load.
func (h *hotRestart) startOld() {
	h.t.Helper()
	h.predecessor = h.harness.startProcess(h.oldAdmin)
	h.harness.waitReady(h.oldAdmin)
	if kind := <-h.neighbour.updates; kind != "announce" || <-h.neighbour.sessions != 1 {
		h.t.Fatalf("first BGP update: %s, want announce in session 1", kind)
	}
	if h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000002") != 200 ||
		h.harness.callAdmin("POST", h.oldAdmin, "/api/exclude/s-00000009") != 404 {
		h.t.Error("a cordon was not accepted, or one of an unknown engine was")
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

// connectionID returns the id of a client's session.
func (h *hotRestart) connectionID(client *mysqlClient) (id string) {
	h.t.Helper()
	if err := client.write(0, append([]byte{3}, "SELECT CONNECTION_ID()"...)); err != nil {
		h.t.Fatal(err)
	}
	for i := range 5 { // column count, column definition, EOF, row, EOF
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

// startSlow sends a request that runs until the engine is released, and waits until it runs. The outcome is sent to
// answers: nil if the answer has wantRows rows and the error code wantCode, and an error otherwise.
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

// startNew starts the successor, and kills a request that runs in the predecessor through a session of the successor.
func (h *hotRestart) startNew() {
	h.t.Helper()
	h.harness.startProcess(h.newAdmin)
	h.harness.waitReady(h.newAdmin)
	if got := h.harness.callAdmin("GET", h.oldAdmin, "/api/ready"); got != 503 {
		h.t.Errorf("the readiness check of the old process returns %d, want 503", got)
	}
	h.newClient = h.harness.dial() // the predecessor accepts no more, so this one is the successor's
	if err := h.newClient.write(0, append([]byte{3}, "KILL QUERY "+h.killedSession...)); err != nil {
		h.t.Fatal(err)
	}
	if packet, err := h.newClient.packet(); err != nil || packet[0] != 0 {
		h.t.Errorf("KILL QUERY of a session of the old process: % x, %v", packet, err)
	}
	if err := <-h.answers; err != nil {
		h.t.Error("the killed request:", err)
	}
}

// checkIDsAndCordon checks that the successor knows the ids and the cordon of the predecessor.
func (h *hotRestart) checkIDsAndCordon() {
	h.t.Helper()
	h.startSlow(h.slow, 9, 1, 0)
	// The predecessor sends its message about id 9 before it grants the claim of another load, on the same link. Once a
	// load is served, the successor has received the message.
	for id := 50; ; id++ {
		if rows, code, err := h.newClient.exchange(query("load", id, "SELECT 2")); rows == 1 && code == 0 && err == nil {
			break
		} else if code != 1040 || id == 70 {
			h.t.Fatal("a load in the new process:", rows, code, err)
		}
	}
	for id, description := range map[int]string{
		7: "a load that ran in the old process",
		9: "a request that is open in the old process",
	} {
		if _, code, err := h.newClient.exchange(query("load", id, "SELECT 2")); code != 1064 || err != nil {
			h.t.Errorf("a load with the id of %s: error %d, %v; want error 1064", description, code, err)
		}
	}
	before := h.cordoned.totalRuns()
	for id := 100; id < 130; id++ {
		requireServed(h.t, h.newClient, query("lookup", id, "SELECT 3"))
	}
	if before != 0 || h.cordoned.totalRuns() != 0 {
		h.t.Error("the cordoned engine ran queries")
	}
}

// checkTicket checks that a load's ticket from the predecessor can be redeemed at the successor, and is then consumed
// in both.
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
			h.t.Errorf("redeeming the ticket again at the %s process: %v, want NotFound", name, err)
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
		h.t.Fatal("the open request was answered before the engine was released:", err)
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

// checkUncordon checks that the successor can end a cordon that was made at the predecessor.
func (h *hotRestart) checkUncordon() {
	h.t.Helper()
	if h.harness.callAdmin("POST", h.newAdmin, "/api/include/s-00000002") != 200 {
		h.t.Error("the new process does not know the engine that was cordoned in the old one")
	}
	for range 30 {
		id := 1000 + h.cordoned.totalRuns() + h.engine.totalRuns()
		requireServed(h.t, h.newClient, query("lookup", id, "SELECT 4"))
	}
	if h.cordoned.totalRuns() == 0 {
		h.t.Error("the engine ran no query after its cordon ended")
	}
}

// A hot restart with two real processes, in which both act as one router. Guards against a request that is rejected or
// not answered, a lost cordon, an id that runs twice, a kill that does not reach the other process, a ticket that is
// redeemed twice, and a BGP session that ends.
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

// If the new process ends first, the old one accepts again, is ready, and can be replaced by a further hot restart.
// Both processes have the same admin address here.
func TestSuccessorEnds(t *testing.T) {
	one := newBlockingEngine()
	harness := newRouterHarness(t, one)
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	harness.dial()
	for round := range 2 {
		next := harness.startProcess(adminAddress)
		// Both processes have the same admin address, so the readiness check does not show which one answers. The owner
		// of the hot restart socket does: once that is the new process, the new process can be killed.
		harness.waitFor("the successor owns the hot restart socket", func() bool {
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
