package fleettest

import (
	"fmt"
	"os"
	"os/exec"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"windflow/dispatch"
)

const (
	realRouters   = 4
	realFollowers = 4
	hollowRouters = 60
	listed        = 120
)

// specs are hollow routers of a fleet, each with the board that is given for it.
func specs(n, of int, engines []Engine, rate float64, board func(i int) string) []HollowSpec {
	list := make([]HollowSpec, n)
	for i := range list {
		c := Config{Name: fmt.Sprint("h", i), Index: i, Routers: of, Board: board(i), Engines: engines, Listen: "127.0.0.1:1"}
		list[i] = HollowSpec{Number: i, Config: c.Text(), Rate: rate, WorkMS: 20}
	}
	return list
}

// A fleet in small: real routers and hollow ones hear of a change of the list, lose the board, hear nothing of what it says
// meanwhile, and have it all once it is back. It guards the rig, and what each router does about its board.
func TestFleetFollowsTheBoardThroughACut(t *testing.T) {
	r := New(t)
	engines := Engines(listed)
	b := NewBoard(t, engines)
	relays := []*Relay{NewRelay(t, b.Addr), NewRelay(t, b.Addr)} // half of the fleet on either
	const fleet = realRouters + hollowRouters
	var routers []*Router
	for i := range realRouters {
		routers = append(routers, r.Router(Config{
			Name: fmt.Sprint("n", i), Index: hollowRouters + i, Routers: fleet,
			Board: relays[i%2].Addr, Engines: engines,
		}))
	}
	h := r.Hollows(specs(hollowRouters, fleet, engines, 5, func(i int) string { return relays[i%2].Addr }))
	for _, p := range routers {
		p.Ready()
	}
	b.AwaitLinks(t, fleet)

	drains := engines[0]
	drains.State = dispatch.Draining
	number := b.Change(drains)
	h.AwaitList(number)
	for _, p := range routers {
		p.Await(LineEvent, 1)
	}

	relays[0].Cut()
	b.AwaitLinks(t, fleet/2)
	gone := engines[1]
	gone.State = dispatch.Removed
	number = b.Change(gone)
	h.Await(func(state map[int]*Standing) string {
		for n, s := range state {
			if n%2 == 1 && s.List < number {
				return fmt.Sprintf("hollow router %d is at event %d, want %d", n, s.List, number)
			}
			if n%2 == 0 && s.List >= number {
				return fmt.Sprintf("hollow router %d heard event %d over a link that is cut", n, s.List)
			}
		}
		return ""
	})
	relays[0].Mend()
	h.AwaitList(number)
	b.AwaitLinks(t, fleet)
	for _, p := range routers {
		p.Await(LineEvent, 2)
	}
	if sum := h.Totals(); sum.Engines != hollowRouters*(listed-1) || sum.Served == 0 || sum.Failed > 0 {
		t.Errorf("%+v, want %d engines in all lists and nothing failed", sum, hollowRouters*(listed-1))
	}
	// A whole list takes the place of what they have.
	number = b.Replace(engines[10:])
	h.AwaitList(number)
	if sum := h.Totals(); sum.Engines != hollowRouters*(listed-10) {
		t.Errorf("%+v, want %d engines in all lists", sum, hollowRouters*(listed-10))
	}
}

// A board that falls silent without an end of the link is left, and followed again once it speaks.
func TestFollowersLeaveASilentBoard(t *testing.T) {
	r := New(t)
	engines := Engines(30)
	b := NewBoard(t, engines)
	relay := NewRelay(t, b.Addr)
	h := r.Hollows(specs(8, 8, engines, 0, func(int) string { return relay.Addr }))
	b.AwaitLinks(t, 8)
	relay.Silence(Down)
	before := b.Linked.Load()
	number := b.Change(Toggled(engines, 3))
	for b.Linked.Load() < before+8 { // each link that comes or goes is news
		b.mu.Lock()
		news := b.news
		b.mu.Unlock()
		select {
		case <-news:
		case <-time.After(Patience):
			t.Fatal("the followers stay on a board that says nothing")
		}
	}
	relay.Mend()
	h.AwaitList(number)
}

// The line of readiness comes when clients are taken, and not before: a client that dials on it is greeted.
func TestReadinessMeansThatClientsAreTaken(t *testing.T) {
	r := New(t)
	b := NewBoard(t, nil)
	for i := range 3 {
		p := r.Router(Config{Name: fmt.Sprint("n", i), Board: b.Addr, Engines: Engines(30)})
		if said := p.Ready(); said != "" {
			t.Errorf("ready with %q", said)
		}
		c, err := Dial(p.Listen)
		if err != nil {
			t.Fatal(err)
		}
		if err := c.Ping(); err != nil {
			t.Error(err)
		}
		_ = c.Close()
		if _, open := <-p.ready; open {
			t.Error("more than one line")
		}
	}
}

// A descriptor that can't be one is an error that names the variable.
func TestReadinessOnNoDescriptor(t *testing.T) {
	r := New(t)
	b := NewBoard(t, nil)
	c := Config{Name: "n0", Listen: FreePort(t), Board: b.Addr}
	path := filepath.Join(r.Dir, "n0.json")
	if err := os.WriteFile(path, c.Text(), 0o600); err != nil {
		t.Fatal(err)
	}
	cmd := exec.Command(filepath.Join(Programs(t), "windflow"))
	cmd.Env = append(os.Environ(), "PROXY_CONFIG="+path, "TMPDIR="+r.Dir, "WINDFLOW_READY_FD=two")
	out, err := cmd.CombinedOutput()
	if err == nil || !strings.Contains(string(out), `WINDFLOW_READY_FD: "two" is no descriptor`) {
		t.Errorf("%v\n%s", err, out)
	}
}

// The clock that costs are measured by and the system's own sum are the same.
func TestUsageIsTheSystemsSum(t *testing.T) {
	r := New(t)
	p := r.Router(Config{Name: "n0", Board: NewBoard(t, nil).Addr, Engines: Engines(300), Tenants: 1000})
	p.Ready()
	for i := range 40 {
		p.Reload()
		p.Await(LineReloaded, i+1)
	}
	least := p.Usage()
	n, err := ticks(p.PID)
	if err != nil {
		t.Fatal(err)
	}
	most := p.Usage()
	sum := time.Duration(n) * 10 * time.Millisecond
	if sum < least.CPU-20*time.Millisecond || sum > most.CPU+10*time.Millisecond || least.CPU < 20*time.Millisecond {
		t.Errorf("/proc says %v, the clock %v and then %v", sum, least.CPU, most.CPU)
	}
	if least.Resident < 5<<20 || least.Resident > 500<<20 {
		t.Errorf("%d bytes resident", least.Resident)
	}
}

// No program may carry the rig.
func TestNoProgramLinksTheRig(t *testing.T) {
	out, err := exec.Command("go", "list", "-deps", "windflow/cmd/...").Output()
	if err != nil {
		t.Fatal(err)
	}
	if !strings.Contains(string(out), "windflow/internal/node\n") || strings.Contains(string(out), "windflow/internal/fleettest\n") {
		t.Errorf("the programs are built from\n%s", out)
	}
}
