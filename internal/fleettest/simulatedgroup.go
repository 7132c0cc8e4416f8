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

// SimulatedRoutersPerProcess is how many simulated routers run in one process.
const SimulatedRoutersPerProcess = 60

// SimulatedRouters are the simulated routers of a test.
type SimulatedRouters struct {
	Processes []*Process

	harness *Harness
	mu      sync.Mutex
	changed chan struct{} // closed and replaced with each status message
	state   map[int]*RouterStatus
	totals  []Totals
}

// RouterStatus is the last status of a simulated router.
type RouterStatus struct {
	LastEvent uint64 // last endpoint event
	Revisions
}

// Revisions are the configuration revisions that a router has put in force, in that order.
type Revisions struct {
	Hash       string // of the last revision
	adopted    []adoption
	regression string // describes a return of the router to an earlier one
}

type adoption struct {
	revision uint64
	at       time.Time
}

// Last is the revision in force, 0 for none.
func (r *Revisions) Last() uint64 {
	if len(r.adopted) == 0 {
		return 0
	}
	return r.adopted[len(r.adopted)-1].revision
}

// Since is when a revision or a later one was put in force; false if none was.
func (r *Revisions) Since(revision uint64) (time.Time, bool) {
	i := sort.Search(len(r.adopted), func(i int) bool { return r.adopted[i].revision >= revision })
	if i == len(r.adopted) {
		return time.Time{}, false
	}
	return r.adopted[i].at, true
}

func (r *Revisions) adopt(revision uint64, hash string, at time.Time) {
	if revision <= r.Last() {
		r.regression = fmt.Sprintf("from revision %d to %d", r.Last(), revision)
	}
	r.adopted, r.Hash = append(r.adopted, adoption{revision, at}), hash
}

// SimulatedRouters starts simulated routers, SimulatedRoutersPerProcess to a process, and waits until they run.
func (r *Harness) SimulatedRouters(specs []SimulatedRouterSpec) *SimulatedRouters {
	r.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		r.T.Fatal(err)
	}
	routers := &SimulatedRouters{harness: r, changed: make(chan struct{}), state: map[int]*RouterStatus{}}
	for _, s := range specs {
		routers.state[s.Number] = &RouterStatus{}
	}
	for len(specs) > 0 {
		n := min(SimulatedRoutersPerProcess, len(specs))
		first, err := json.Marshal(specs[:n])
		if err != nil {
			r.T.Fatal(err)
		}
		cmd := exec.Command(exe)
		cmd.Env = append(os.Environ(), roleEnv+"="+roleSimulatedRouters)
		p := r.Start(fmt.Sprintf("simulated routers %d to %d", specs[0].Number, specs[n-1].Number), cmd)
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

func (h *SimulatedRouters) readStatus(p *Process) {
	for line := range p.ready {
		var w statusMessage
		if err := json.Unmarshal([]byte(line), &w); err != nil {
			h.harness.T.Errorf("%s: %q: %v", p.Name, line, err)
			return
		}
		h.mu.Lock()
		if s := h.state[w.Router]; w.Totals != nil {
			h.totals = append(h.totals, *w.Totals)
		} else {
			s.LastEvent = max(s.LastEvent, w.List)
			if w.Revision > 0 {
				s.adopt(w.Revision, w.Hash, time.Unix(0, w.AtNS))
			}
		}
		close(h.changed)
		h.changed = make(chan struct{})
		h.mu.Unlock()
	}
}

// Await waits until a condition of the routers' states is met. check is called while they do not change, and returns
// what is missing; an empty text ends the wait.
func (h *SimulatedRouters) Await(check func(map[int]*RouterStatus) string) {
	h.harness.T.Helper()
	late := time.NewTimer(WaitTimeout)
	defer late.Stop()
	for {
		h.mu.Lock()
		missing, changed := check(h.state), h.changed
		h.mu.Unlock()
		if missing == "" {
			return
		}
		select {
		case <-changed:
		case <-late.C:
			var logs []string
			for _, p := range h.Processes {
				logs = append(logs, p.Log())
			}
			h.harness.T.Fatalf("%s within %v\n%s", missing, WaitTimeout, strings.Join(logs, "\n"))
		}
	}
}

// AwaitList waits until all have an endpoint event.
func (h *SimulatedRouters) AwaitList(number uint64) {
	h.harness.T.Helper()
	h.Await(func(state map[int]*RouterStatus) string {
		for n, s := range state {
			if s.LastEvent < number {
				return fmt.Sprintf("simulated router %d is at event %d, want %d", n, s.LastEvent, number)
			}
		}
		return ""
	})
}

// Totals adds up what all have done so far.
func (h *SimulatedRouters) Totals() (sum Totals) {
	h.harness.T.Helper()
	h.mu.Lock()
	h.totals = nil
	h.mu.Unlock()
	for _, p := range h.Processes {
		p.WriteLine("totals")
	}
	h.Await(func(map[int]*RouterStatus) string {
		if n := len(h.totals); n < len(h.Processes) {
			return fmt.Sprintf("%d of %d processes reported their totals", n, len(h.Processes))
		}
		sum = Totals{}
		for _, t := range h.totals {
			sum.add(t)
		}
		return ""
	})
	return sum
}

// DiscoveryProcess is a discovery server in a process of its own, whose cost can be measured.
type DiscoveryProcess struct {
	*Process
	Addr string
}

// DiscoveryProcess starts a discovery server with a list of n engines.
func (r *Harness) DiscoveryProcess(n int) *DiscoveryProcess {
	r.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		r.T.Fatal(err)
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), roleEnv+"="+roleDiscovery)
	p := r.Start("discovery", cmd)
	p.WriteLine(fmt.Sprint(n))
	return &DiscoveryProcess{Process: p, Addr: p.Ready()}
}

// SetChangeRate sets how many changes of one engine a second the server publishes.
func (b *DiscoveryProcess) SetChangeRate(perSecond float64) {
	b.harness.T.Helper()
	b.WriteLine(fmt.Sprint("rate ", perSecond))
}
