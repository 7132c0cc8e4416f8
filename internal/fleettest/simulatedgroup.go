package fleettest

import (
	"encoding/json"
	"fmt"
	"os"
	"os/exec"
	"sort"
	"strings"
	"sync"
	"time"
)

// SimulatedRoutersPerProcess is the maximum number of simulated routers that run in one process.
const SimulatedRoutersPerProcess = 60

// SimulatedRouters are the simulated routers of a test.
type SimulatedRouters struct {
	Processes []*Process

	harness *Harness
	mu      sync.Mutex
	changed chan struct{} // closed and replaced on each status message
	state   map[int]*RouterStatus
	totals  []Totals
}

// RouterStatus is the last reported status of a simulated router.
type RouterStatus struct {
	LastEvent uint64 // number of the last endpoint event
	Revisions
}

// Revisions are the configuration revisions that a router has put in force, in the order of time.
type Revisions struct {
	Hash       string // of the last revision
	inForce    []revisionTime
	regression string // describes a return to an earlier revision; empty if there was none
}

// revisionTime is a revision with the time when it was put in force.
type revisionTime struct {
	revision uint64
	at       time.Time
}

// Last returns the revision in force, or 0 for none.
func (r *Revisions) Last() uint64 {
	if len(r.inForce) == 0 {
		return 0
	}
	return r.inForce[len(r.inForce)-1].revision
}

// Since returns the time when the given revision or a later one was put in force, or false if none was.
func (r *Revisions) Since(revision uint64) (time.Time, bool) {
	i := sort.Search(len(r.inForce), func(i int) bool { return r.inForce[i].revision >= revision })
	if i == len(r.inForce) {
		return time.Time{}, false
	}
	return r.inForce[i].at, true
}

// record adds a revision that was put in force.
func (r *Revisions) record(revision uint64, hash string, at time.Time) {
	if revision <= r.Last() {
		r.regression = fmt.Sprintf("from revision %d to %d", r.Last(), revision)
	}
	r.inForce, r.Hash = append(r.inForce, revisionTime{revision, at}), hash
}

// SimulatedRouters starts simulated routers, up to SimulatedRoutersPerProcess in each process, and waits until they run.
func (h *Harness) SimulatedRouters(specs []SimulatedRouterSpec) *SimulatedRouters {
	h.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		h.T.Fatal(err)
	}
	routers := &SimulatedRouters{harness: h, changed: make(chan struct{}), state: map[int]*RouterStatus{}}
	for _, s := range specs {
		routers.state[s.Number] = &RouterStatus{}
	}
	for len(specs) > 0 {
		n := min(SimulatedRoutersPerProcess, len(specs))
		first, err := json.Marshal(specs[:n])
		if err != nil {
			h.T.Fatal(err)
		}
		cmd := exec.Command(exe)
		cmd.Env = append(os.Environ(), roleEnv+"="+roleSimulatedRouters)
		p := h.Start(fmt.Sprintf("simulated routers %d to %d", specs[0].Number, specs[n-1].Number), cmd)
		p.WriteLine(string(first))
		routers.Processes = append(routers.Processes, p)
		specs = specs[n:]
	}
	for _, p := range routers.Processes {
		p.Ready()
		go routers.readStatus(p)
	}
	return routers
}

func (group *SimulatedRouters) readStatus(p *Process) {
	for line := range p.ready {
		var message statusMessage
		if err := json.Unmarshal([]byte(line), &message); err != nil {
			group.harness.T.Errorf("%s: %q: %v", p.Name, line, err)
			return
		}
		group.mu.Lock()
		if s := group.state[message.Router]; message.Totals != nil {
			group.totals = append(group.totals, *message.Totals)
		} else {
			s.LastEvent = max(s.LastEvent, message.List)
			if message.Revision > 0 {
				s.record(message.Revision, message.Hash, time.Unix(0, message.AtNS))
			}
		}
		close(group.changed)
		group.changed = make(chan struct{})
		group.mu.Unlock()
	}
}

// Await waits until check returns an empty text. check receives the status of each router by the router's number, and
// returns a description of what is still missing. The statuses do not change during the call.
func (group *SimulatedRouters) Await(check func(map[int]*RouterStatus) string) {
	group.harness.T.Helper()
	timeout := time.NewTimer(WaitTimeout)
	defer timeout.Stop()
	for {
		group.mu.Lock()
		missing, changed := check(group.state), group.changed
		group.mu.Unlock()
		if missing == "" {
			return
		}
		select {
		case <-changed:
		case <-timeout.C:
			var logs []string
			for _, p := range group.Processes {
				logs = append(logs, p.Log())
			}
			group.harness.T.Fatalf("after %v: %s\n%s", WaitTimeout, missing, strings.Join(logs, "\n"))
		}
	}
}

// AwaitList waits until all routers have received the endpoint event with the given number or a later one.
func (group *SimulatedRouters) AwaitList(number uint64) {
	group.harness.T.Helper()
	group.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if s.LastEvent < number {
				return fmt.Sprintf("simulated router %d is at event %d, want %d", n, s.LastEvent, number)
			}
		}
		return ""
	})
}

// Totals returns the sum of the totals of all routers so far.
func (group *SimulatedRouters) Totals() (sum Totals) {
	group.harness.T.Helper()
	group.mu.Lock()
	group.totals = nil
	group.mu.Unlock()
	for _, p := range group.Processes {
		p.WriteLine("totals")
	}
	group.Await(func(map[int]*RouterStatus) string {
		if n := len(group.totals); n < len(group.Processes) {
			return fmt.Sprintf("%d of %d processes have reported their totals", n, len(group.Processes))
		}
		sum = Totals{}
		for _, t := range group.totals {
			sum.add(t)
		}
		return ""
	})
	return sum
}

// DiscoveryProcess is a discovery server in a separate process, so that its cost can be measured.
type DiscoveryProcess struct {
	*Process
	Addr string
}

// DiscoveryProcess starts a process with a discovery server that has a list of n engines.
func (h *Harness) DiscoveryProcess(n int) *DiscoveryProcess {
	h.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		h.T.Fatal(err)
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), roleEnv+"="+roleDiscovery)
	p := h.Start("discovery", cmd)
	p.WriteLine(fmt.Sprint(n))
	return &DiscoveryProcess{Process: p, Addr: p.Ready()}
}

// SetChangeRate sets the rate at which the server publishes changes, each of one engine.
func (d *DiscoveryProcess) SetChangeRate(perSecond float64) {
	d.harness.T.Helper()
	d.WriteLine(fmt.Sprint("rate ", perSecond))
}
