package node

import (
	"context"
	"encoding/binary"
	"fmt"
	"io"
	"net"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"

	fsql "github.com/apache/arrow-go/v18/arrow/flight/flightsql"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/metadata"
	"google.golang.org/grpc/status"
)

// bgpNeighbour is a stand-in for the BGP neighbour: it takes sessions and notes what comes on them.
type bgpNeighbour struct {
	sessions chan int      // numbered from 1
	updates  chan string   // "announce" or "withdraw"
	beats    chan struct{} // KEEPALIVEs
	ended    chan int
}

func (n *bgpNeighbour) serve(t *testing.T) string {
	t.Helper()
	lis, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lis.Close() })
	go func() {
		for i := 1; ; i++ {
			c, err := lis.Accept()
			if err != nil {
				return
			}
			n.sessions <- i
			go n.speak(c, i)
		}
	}()
	return lis.Addr().String()
}

func (n *bgpNeighbour) speak(c net.Conn, i int) {
	defer func() { n.ended <- i }()
	defer c.Close()
	say := func(kind byte, body ...byte) {
		b := append(make([]byte, 0, 32), strings.Repeat("\xff", 16)...)
		b = binary.BigEndian.AppendUint16(b, uint16(19+len(body)))
		_, _ = c.Write(append(append(b, kind), body...))
	}
	for {
		var head [19]byte
		if _, err := io.ReadFull(c, head[:]); err != nil {
			return
		}
		body := make([]byte, int(binary.BigEndian.Uint16(head[16:]))-19)
		if _, err := io.ReadFull(c, body); err != nil {
			return
		}
		switch head[18] {
		case 1:
			say(1, 4, 0xfc, 0, 0, 3, 10, 0, 0, 9, 0) // AS 64512, hold time 3 s, id 10.0.0.9, no parameters
			say(4)
		case 2:
			what := "announce"
			if binary.BigEndian.Uint16(body) > 0 {
				what = "withdraw"
			}
			n.updates <- what
		case 4:
			say(4)
			select {
			case n.beats <- struct{}{}:
			default:
			}
		}
	}
}

// An upgrade with two real processes. It guards against all that would show that they are two: a request turned away
// or left without its answer, a cordon that is forgotten, an id that runs twice, a kill that does not arrive, a
// ticket that is spent twice, a BGP session that ends.
func TestHotRestart(t *testing.T) {
	one, two := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, one, two)
	peer := &bgpNeighbour{
		sessions: make(chan int, 8), updates: make(chan string, 8), beats: make(chan struct{}, 64),
		ended: make(chan int, 8),
	}
	dir := filepath.Dir(harness.config)
	flightAt := freePort(t)
	own := filepath.Join(dir, "windflow.json")
	if err := os.WriteFile(own, []byte(fmt.Sprintf(`{"flightsql": {"listen": %q}, "bgp": {"peer": %q, "peer_as": 64512,
		"local_as": 64513, "router_id": "10.0.0.1", "prefixes": ["10.1.0.1/32"], "next_hop": "10.0.0.1", "hold_time_s": 3}}`,
		flightAt, peer.serve(t))), 0o600); err != nil {
		t.Fatal(err)
	}
	harness.env = append(harness.env, "WINDFLOW_TEST_ROUTER=settings="+own)

	oldAdmin, newAdmin := freePort(t), freePort(t)
	old := harness.startProcess(oldAdmin)
	harness.waitReady(oldAdmin)
	if what := <-peer.updates; what != "announce" || <-peer.sessions != 1 {
		t.Fatal("the first update is a", what)
	}
	if harness.callAdmin("POST", oldAdmin, "/api/exclude/s-00000002") != 200 || harness.callAdmin("POST", oldAdmin, "/api/exclude/s-00000009") != 404 {
		t.Error("a cordon was not taken, or one of an engine that was never listed was")
	}
	slow, killed, idle := harness.dial(), harness.dial(), harness.dial()
	requireServed(t, idle, query("load", 7, "SELECT 1"))
	answer := make(chan error, 2)
	ask := func(c *mysqlClient, id, wantRows, wantCode int) {
		go func() {
			rows, code, err := c.ask(query("lookup", id, "slow"))
			if err == nil && (rows != wantRows || code != wantCode) {
				err = fmt.Errorf("request %d: %d rows, error %d", id, rows, code)
			}
			answer <- err
		}()
		<-one.started
	}
	var killedID string
	if err := killed.write(0, append([]byte{3}, "SELECT CONNECTION_ID()"...)); err != nil {
		t.Fatal(err)
	}
	for i := range 5 { // columns, their definition, EOF, a row, EOF
		p, err := killed.packet()
		if err != nil {
			t.Fatal(err)
		}
		if i == 3 {
			killedID = string(p[1:])
		}
	}
	ask(killed, 8, 0, 1317)
	flightOld, err := fsql.NewClient(flightAt, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer flightOld.Close()
	call := metadata.AppendToOutgoingContext(context.Background(), "method", "load", "rid", "00000000000000ff", "budget", "20000")
	info, err := flightOld.Execute(call, "SELECT 1")
	if err != nil {
		t.Fatal(err)
	}

	harness.startProcess(newAdmin)
	harness.waitReady(newAdmin)
	if got := harness.callAdmin("GET", oldAdmin, "/api/ready"); got != 503 {
		t.Errorf("the old process says %d when asked whether it is ready", got)
	}
	fresh := harness.dial() // the old process accepts no more, so this one is the new one's
	if err := fresh.write(0, append([]byte{3}, "KILL QUERY "+killedID...)); err != nil {
		t.Fatal(err)
	}
	if p, err := fresh.packet(); err != nil || p[0] != 0 {
		t.Errorf("KILL QUERY of a session of the old process: % x, %v", p, err)
	}
	if err := <-answer; err != nil {
		t.Error("the killed one:", err)
	}
	ask(slow, 9, 1, 0)
	// The old process answers the claim of another load behind its news of id 9, on the same link: once that load is
	// served, the news has come.
	for id := 50; ; id++ {
		if rows, code, err := fresh.ask(query("load", id, "SELECT 2")); rows == 1 && code == 0 && err == nil {
			break
		} else if code != 1040 || id == 70 {
			t.Fatal("a load of the new process:", rows, code, err)
		}
	}
	for id, why := range map[int]string{7: "a load that ran before", 9: "a request that is open in the old process"} {
		if _, code, err := fresh.ask(query("load", id, "SELECT 2")); code != 1064 || err != nil {
			t.Errorf("the id of %s: error %d, %v", why, code, err)
		}
	}
	before := two.totalRuns()
	for id := 100; id < 130; id++ {
		requireServed(t, fresh, query("lookup", id, "SELECT 3"))
	}
	if before != 0 || two.totalRuns() != 0 {
		t.Error("the cordon was forgotten")
	}

	// A ticket of the old process, fetched from the new one, is spent in both.
	flightNew, err := fsql.NewClient(flightAt, nil, nil, grpc.WithTransportCredentials(insecure.NewCredentials()))
	if err != nil {
		t.Fatal(err)
	}
	defer flightNew.Close()
	r, err := flightNew.DoGet(context.Background(), info.Endpoint[0].Ticket)
	if err != nil {
		t.Fatal("the ticket of the old process:", err)
	}
	r.Release()
	for name, c := range map[string]*fsql.Client{"old": flightOld, "new": flightNew} {
		if _, err := c.DoGet(context.Background(), info.Endpoint[0].Ticket); status.Code(err) != codes.NotFound {
			t.Errorf("the ticket, a second time, from the %s process: %v", name, err)
		}
	}

	if err := old.Process.Signal(syscall.SIGTERM); err != nil {
		t.Fatal(err)
	}
	if _, err := idle.packet(); err != io.EOF {
		t.Error("an idle session of the old process was not closed:", err)
	}
	select {
	case err := <-answer:
		t.Fatal("the open request was answered early:", err)
	default:
	}
	close(one.released)
	if err := <-answer; err != nil {
		t.Error("the open request:", err)
	}
	if err := old.Wait(); err != nil {
		t.Error("the old process:", err)
	}
	if harness.callAdmin("POST", newAdmin, "/api/include/s-00000002") != 200 {
		t.Error("the new process does not know the engine that was excluded in the old one")
	}
	for range 30 {
		requireServed(t, fresh, query("lookup", 1000+two.totalRuns()+one.totalRuns(), "SELECT 4"))
	}
	if two.totalRuns() == 0 {
		t.Error("the engine got nothing after the word back")
	}
	for len(peer.beats) > 0 {
		<-peer.beats
	}
	<-peer.beats // the session that the old process opened goes on
	<-peer.beats
	select {
	case n := <-peer.ended:
		t.Errorf("BGP session %d ended", n)
	default:
	}
	for len(peer.updates) > 0 {
		if what := <-peer.updates; what == "withdraw" {
			t.Error("an address was withdrawn")
		}
	}
	if n := len(peer.sessions); n > 0 {
		t.Errorf("%d further BGP sessions", n)
	}
}

// Should the new process end first, the old one goes on as before: it accepts, is ready, and can be upgraded. So it
// does where the admin API is on the same address in both.
func TestSuccessorEnds(t *testing.T) {
	one := newBlockingEngine()
	harness := newRouterHarness(t, one)
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	harness.dial()
	for round := range 2 {
		next := harness.startProcess(adminAddress)
		// The address is the same for both, so the log of the processes would tell which one answers; the meeting point
		// does too: the new one has taken it once it can be killed in the old one's place.
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
