package fleettest

import (
	"encoding/json"
	"fmt"
	"net"
	"os"
	"os/exec"
	"path/filepath"
	"sync/atomic"
	"syscall"
	"testing"
	"time"
)

// Config is what differs between the routers of a harness; all else is the platform's configuration of a plain site.
type Config struct {
	Name            string
	Index           int    // of the router in its fleet
	Routers         int    // of the fleet; 0: 1
	Discovery       string // address
	Engines         []Engine
	Listen          string // empty: a free port on loopback
	Sockets         int    // 0: 1024
	MemoryMB        int    // 0: 192
	Tenants         int
	OverQuotaWeight float64        // the setting that reloads change
	Installation    map[string]any // sections of the installation's settings; nil: none
}

// Text returns the configuration as the platform writes it.
func (c Config) Text() []byte {
	type object = map[string]any
	class := func(name, semantics string, goal, deadline int, stretch, credit, late float64) object {
		return object{
			"name": name, "semantics": semantics, "goal-time-ns": goal * 1_000_000, "deadline-ns": deadline * 1_000_000,
			"aim-stretch": stretch, "credit": credit, "late-value": late,
		}
	}
	tenants := make([]object, c.Tenants)
	for i := range tenants {
		tenants[i] = object{"name": fmt.Sprintf("tenant-%05d", i), "quota-rps": 11.5, "share": 0.25}
	}
	orDefault := func(n, value int) int {
		if n == 0 {
			return value
		}
		return n
	}
	text, err := json.Marshal(object{
		"name": c.Name, "listen": c.Listen, "seed": fmt.Sprintf("%x", 0x1f+c.Index), "board": c.Discovery,
		"known":  KnownEvents(c.Engines),
		"limits": object{"cores": 1, "memory_mb": orDefault(c.MemoryMB, 192), "sockets": orDefault(c.Sockets, 1024)},
		"settings": object{
			"balancers": orDefault(c.Routers, 1), "me": c.Index, "zone": Zones[c.Index%len(Zones)], "failure-domains": Zones,
			"kinds":     Kinds,
			"period-ns": 5_000_000, "parties": tenants, "over-share-worth": c.OverQuotaWeight,
			"classes": []object{
				class("lookup", "idempotent", 1000, 5000, 2, 1, 0),
				class("report", "idempotent", 1500, 20000, 2.5, 10, 0.4), class("load", "at_most_once", 3000, 25000, 3, 7.5, 0.5),
			},
			"limits": object{
				"attempts-cap": 5, "second-copies": true, "retry-after": true, "max-retry-after-ns": 2_000_000_000,
				"connect-timeout-ns": 250_000_000, "conn-idle-ns": 30_000_000_000,
			},
			"rules": object{
				"cold-from": 0.36, "cold-ns": 12_000_000_000, "overload-factor": 2,
				"overload-for-ns": 1_500_000_000,
			},
			"specifics": object{
				"class-load": []bool{false, false, true}, "yields-to-loads": []bool{true, true, false},
				"width-by-class": []int{1, 4, 2}, "cores-by-kind": []int{8}, "kind-memory-mb": []int{16384}, "max-grant-share": 0.4,
				"grants-count": true, "priorities": true, "overbooked": "trim",
			},
		},
	})
	if err != nil {
		panic(fmt.Sprint("a configuration that is no JSON: ", err))
	}
	return text
}

// Router is a process of the built program.
type Router struct {
	*Process
	Config
	path string
}

// The lines of a router's log that tests wait for.
const (
	LineReloaded           = "msg=reloaded"
	LineReloadRejected     = `msg="reload rejected"`
	LineEndpointEvent      = `msg="endpoint list updated"`
	LineDiscoveryConnected = `msg="discovery connected"`
	lineRevisionInForce    = `msg="configuration applied"`
)

// Router starts a router, and does not wait until it is ready.
func (h *Harness) Router(config Config) *Router {
	h.T.Helper()
	if config.Listen == "" {
		config.Listen = FreeAddress(h.T)
	}
	router := &Router{Config: config, path: filepath.Join(h.Dir, config.Name+".json")}
	router.write(h.T)
	cmd := exec.Command(filepath.Join(Programs(h.T), "windflow"))
	if config.Installation != nil {
		text, err := json.Marshal(config.Installation)
		settingsPath := filepath.Join(h.Dir, config.Name+".own.json")
		if err == nil {
			err = os.WriteFile(settingsPath, text, 0o600)
		}
		if err != nil {
			h.T.Fatal(err)
		}
		cmd.Args = append(cmd.Args, "--settings", settingsPath)
	}
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+router.path)
	router.Process = h.Start(config.Name, cmd, LineReloaded, LineReloadRejected, LineEndpointEvent,
		LineDiscoveryConnected)
	return router
}

// write replaces the file that the router reads atomically.
func (p *Router) write(tb testing.TB) {
	tb.Helper()
	err := os.WriteFile(p.path+".new", p.Text(), 0o600)
	if err == nil {
		err = os.Rename(p.path+".new", p.path)
	}
	if err != nil {
		tb.Fatal(err)
	}
}

// Reload writes the current configuration and signals the router to read it; it does not wait.
func (p *Router) Reload() {
	p.harness.T.Helper()
	p.write(p.harness.T)
	p.Signal(syscall.SIGHUP)
}

// AwaitRevision waits until the router has a configuration revision or a later one in force, and returns since when,
// by its log.
func (p *Router) AwaitRevision(revision uint64) time.Time {
	p.harness.T.Helper()
	var since time.Time
	p.await(fmt.Sprint("revision ", revision), func() bool {
		if p.revisions.regression != "" {
			p.harness.T.Errorf("%s went back: %s", p.Process.Name, p.revisions.regression)
		}
		at, ok := p.revisions.Since(revision)
		since = at
		return ok || p.revisions.regression != ""
	})
	return since
}

var loopbackIPs atomic.Uint32

// nextLoopbackIP returns a loopback address that no other listener of this process has, nor one of another process that
// runs tests.
func nextLoopbackIP() string {
	n, pid := loopbackIPs.Add(1), os.Getpid()
	return fmt.Sprintf("127.%d.%d.%d", 16+pid%180, uint32(pid/180%8)*30+n/250%30, 1+n%250)
}

// listen listens at an address of its own: routers of tests that run beside this one go on dialling the ports of
// servers that have ended, and the system assigns a port again.
func listen() (net.Listener, error) { return net.Listen("tcp", nextLoopbackIP()+":0") }

// FreeAddress returns a loopback address for a process to listen at. Each has an IP address of its own, which the system
// uses for no outgoing connection, so that it stays free until the process listens, and while it is restarted.
func FreeAddress(tb testing.TB) string {
	tb.Helper()
	for range 1000 {
		addr := nextLoopbackIP() + ":7500"
		if listener, err := net.Listen("tcp", addr); err == nil {
			_ = listener.Close()
			return addr
		}
	}
	tb.Fatal("no address on loopback is free")
	return ""
}
