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

// PerProcess is how many hollow routers run in one process.
const PerProcess = 60

// Hollows are hollow routers, as the test sees them.
type Hollows struct {
	Processes []*Process

	rig    *Rig
	mu     sync.Mutex
	news   chan struct{} // closed and replaced with each word
	state  map[int]*Standing
	totals []Totals
}

// Standing is what a hollow router said.
type Standing struct {
	List uint64 // event of the board
	Revisions
}

// Revisions are those of the configuration that a router said it has in force, in the order in which it said so.
type Revisions struct {
	Hash  string // of the last one
	taken []taken
	back  string // that it went back, if it ever did
}

type taken struct {
	revision uint64
	at       time.Time
}

// Last is the revision in force; 0 for none.
func (r *Revisions) Last() uint64 {
	if len(r.taken) == 0 {
		return 0
	}
	return r.taken[len(r.taken)-1].revision
}

// Since is when a revision or a later one came in force; false if none has.
func (r *Revisions) Since(revision uint64) (time.Time, bool) {
	i := sort.Search(len(r.taken), func(i int) bool { return r.taken[i].revision >= revision })
	if i == len(r.taken) {
		return time.Time{}, false
	}
	return r.taken[i].at, true
}

func (r *Revisions) take(revision uint64, hash string, at time.Time) {
	if revision <= r.Last() {
		r.back = fmt.Sprintf("from revision %d to %d", r.Last(), revision)
	}
	r.taken, r.Hash = append(r.taken, taken{revision, at}), hash
}

// Hollows starts hollow routers, PerProcess to a process, and waits until they run.
func (r *Rig) Hollows(specs []HollowSpec) *Hollows {
	r.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		r.T.Fatal(err)
	}
	h := &Hollows{rig: r, news: make(chan struct{}), state: map[int]*Standing{}}
	for _, s := range specs {
		h.state[s.Number] = &Standing{}
	}
	for len(specs) > 0 {
		n := min(PerProcess, len(specs))
		first, err := json.Marshal(specs[:n])
		if err != nil {
			r.T.Fatal(err)
		}
		cmd := exec.Command(exe)
		cmd.Env = append(os.Environ(), roleEnv+"="+roleHollow)
		p := r.Start(fmt.Sprintf("hollow %d to %d", specs[0].Number, specs[n-1].Number), cmd)
		p.Say(string(first))
		h.Processes = append(h.Processes, p)
		specs = specs[n:]
	}
	for _, p := range h.Processes {
		p.Ready()
		go h.hear(p)
	}
	return h
}

func (h *Hollows) hear(p *Process) {
	for line := range p.ready {
		var w word
		if err := json.Unmarshal([]byte(line), &w); err != nil {
			h.rig.T.Errorf("%s: %q: %v", p.Name, line, err)
			return
		}
		h.mu.Lock()
		if s := h.state[w.Router]; w.Totals != nil {
			h.totals = append(h.totals, *w.Totals)
		} else {
			s.List = max(s.List, w.List)
			if w.Revision > 0 {
				s.take(w.Revision, w.Hash, time.Unix(0, w.AtNS))
			}
		}
		close(h.news)
		h.news = make(chan struct{})
		h.mu.Unlock()
	}
}

// Await waits until something holds of the routers' standing. tell is called with it unchanging, and says what is missing;
// an empty text ends the wait.
func (h *Hollows) Await(tell func(map[int]*Standing) string) {
	h.rig.T.Helper()
	late := time.NewTimer(Patience)
	defer late.Stop()
	for {
		h.mu.Lock()
		missing, news := tell(h.state), h.news
		h.mu.Unlock()
		if missing == "" {
			return
		}
		select {
		case <-news:
		case <-late.C:
			var logs []string
			for _, p := range h.Processes {
				logs = append(logs, p.Log())
			}
			h.rig.T.Fatalf("%s within %v\n%s", missing, Patience, strings.Join(logs, "\n"))
		}
	}
}

// AwaitList waits until all have an event of the board.
func (h *Hollows) AwaitList(number uint64) {
	h.rig.T.Helper()
	h.Await(func(state map[int]*Standing) string {
		for n, s := range state {
			if s.List < number {
				return fmt.Sprintf("hollow router %d is at event %d, want %d", n, s.List, number)
			}
		}
		return ""
	})
}

// Totals sums what all have done so far.
func (h *Hollows) Totals() (sum Totals) {
	h.rig.T.Helper()
	h.mu.Lock()
	h.totals = nil
	h.mu.Unlock()
	for _, p := range h.Processes {
		p.Say("totals")
	}
	h.Await(func(map[int]*Standing) string {
		if n := len(h.totals); n < len(h.Processes) {
			return fmt.Sprintf("%d of %d processes gave their totals", n, len(h.Processes))
		}
		sum = Totals{}
		for _, t := range h.totals {
			sum.add(t)
		}
		return ""
	})
	return sum
}

// BoardProcess is a stand-in board in a process of its own, whose cost can be measured.
type BoardProcess struct {
	*Process
	Addr string
}

// BoardProcess starts a board with a list of n engines.
func (r *Rig) BoardProcess(n int) *BoardProcess {
	r.T.Helper()
	exe, err := os.Executable()
	if err != nil {
		r.T.Fatal(err)
	}
	cmd := exec.Command(exe)
	cmd.Env = append(os.Environ(), roleEnv+"="+roleBoard)
	p := r.Start("board", cmd)
	p.Say(fmt.Sprint(n))
	return &BoardProcess{Process: p, Addr: p.Ready()}
}

// Rate has the board change one engine as often a second.
func (b *BoardProcess) Rate(aSecond float64) {
	b.rig.T.Helper()
	b.Say(fmt.Sprint("rate ", aSecond))
}
