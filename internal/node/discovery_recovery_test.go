package node

import (
	"fmt"
	"net"
	"os/exec"
	"strings"
	"testing"
)

// While discovery is down, idle clients hold all the descriptors that the router allows them. The router can still
// reconnect to discovery and to engines, and accept clients that send requests. Guards against a limit on clients that
// leaves no descriptors for these connections.
func TestDiscoveryRecoversWithIdleClients(t *testing.T) {
	const sockets = 192
	removed, remaining := newBlockingEngine(), newBlockingEngine()
	harness := newRouterHarness(t, removed, remaining)
	harness.limitSockets(sockets)
	server := newClosedDiscovery(t)
	harness.editConfig(func(text string) string {
		i := strings.Index(text, `"board":"`) + len(`"board":"`)
		return text[:i] + server.addr + text[i+strings.IndexByte(text[i:], '"'):]
	})
	harness.prepare = func(cmd *exec.Cmd) { // the process limit on descriptors is the configured one
		cmd.Args = append([]string{"sh", "-c", fmt.Sprintf(`ulimit -n %d; exec "$0"`, sockets), cmd.Path}, cmd.Args[1:]...)
		cmd.Path = "/bin/sh"
	}
	adminAddress := freePort(t)
	harness.startProcess(adminAddress)
	harness.waitReady(adminAddress)
	for i := range 3 * sockets {
		c, err := net.Dial("tcp", harness.clientListener.Addr().String())
		if err != nil {
			t.Fatal(err)
		}
		defer c.Close()
		if i%2 == 0 { // half of the clients send a login, the others send nothing
			m := &mysqlClient{conn: c}
			_ = m.write(1, append([]byte{0x0d, 0xa2, 0x0f, 0, 0, 0, 0, 1, 45},
				append(make([]byte, 23), "app\x00\x00warehouse\x00mysql_native_password\x00"...)...))
		}
	}
	if n := harness.metric(adminAddress, discoveredMetric); n != 2 {
		t.Fatalf("%d engines are known before discovery is back, want 2", n)
	}
	server.open(1)
	harness.waitFor("the endpoint event has arrived", func() bool {
		return harness.metric(adminAddress, discoveredMetric) == 1
	})
	for id := range 5 {
		checkServed(t, harness.dial(), query("lookup", id+1, "SELECT 1"))
	}
	if removed.totalRuns() > 0 || remaining.totalRuns() != 5 {
		t.Errorf("the removed engine ran %d queries and the remaining one %d, want 0 and 5",
			removed.totalRuns(), remaining.totalRuns())
	}
}
