package fleettest

import (
	"bufio"
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"strconv"
	"strings"
	"sync"
	"time"

	"windflow/dispatch"
	"windflow/internal/clock"
	"windflow/internal/discovery"
	"windflow/internal/netio"
	"windflow/internal/router"
	"windflow/internal/settings"
)

// roleEnv names the part that the test binary plays where it was started by a test.
const roleEnv = "WINDFLOW_FLEET_ROLE"

const (
	roleHollow = "hollow"
	roleBoard  = "board"
)

// play plays a part until the standard input ends, which it does with the test.
func play(role string) error {
	fd, err := strconv.Atoi(os.Getenv("WINDFLOW_READY_FD"))
	if err != nil {
		return fmt.Errorf("WINDFLOW_READY_FD: %w", err)
	}
	out := &words{f: os.NewFile(uintptr(fd), "words")}
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 16<<20)
	if !in.Scan() {
		return errors.New("no first line")
	}
	switch role {
	case roleHollow:
		return playHollow(in, out)
	case roleBoard:
		return playBoard(in, out)
	}
	return fmt.Errorf("no part is named %q", role)
}

// words writes lines to the test.
type words struct {
	mu sync.Mutex
	f  *os.File
}

func (w *words) say(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.f.WriteString(line + "\n")
}

func (w *words) tell(v word) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.say(string(text))
}

// word is what a hollow router says.
type word struct {
	Router   int     `json:"r"`
	List     uint64  `json:"list,omitempty"`     // event of the board that it has
	Revision uint64  `json:"revision,omitempty"` // of the configuration in force, with Hash
	Hash     string  `json:"hash,omitempty"`
	AtNS     int64   `json:"at,omitempty"` // Unix nanoseconds
	Totals   *Totals `json:"totals,omitempty"`
}

// Totals are what hollow routers have done so far, and hold.
type Totals struct {
	Taken, Served, Refused, Failed int64
	Engines                        int // in the lists, summed
}

func (t *Totals) add(o Totals) {
	t.Taken, t.Served, t.Refused, t.Failed = t.Taken+o.Taken, t.Served+o.Served, t.Refused+o.Refused, t.Failed+o.Failed
	t.Engines += o.Engines
}

// HollowSpec is one hollow router.
type HollowSpec struct {
	Number  int             `json:"number"` // in what it says
	Config  json.RawMessage `json:"config"` // the platform's
	Rate    float64         `json:"rate"`   // statements a second
	WorkMS  float64         `json:"work_ms"`
	Keepers json.RawMessage `json:"keepers,omitempty"` // the section of the installation's settings
}

// hollow is a router without sockets for clients and engines: its own loop, follower of the board, and core with the
// module, on statements that it gives itself and engines that serve each after a while.
type hollow struct {
	spec     HollowSpec
	cfg      *settings.Node
	loop     *router.Loop
	net      *netio.Net
	core     *router.Core
	board    *discovery.Watcher
	stop     chan struct{}
	ended    chan struct{}
	out      *words
	asked    uint64
	follower func() // ends the follower of keepers; nil for none
}

func newHollow(spec HollowSpec, out *words) (*hollow, error) {
	h := &hollow{spec: spec, out: out, loop: router.NewLoop(clock.NewSystem()), stop: make(chan struct{}), ended: make(chan struct{})}
	var err error
	if h.cfg, err = settings.ParseNode(spec.Config); err != nil {
		return nil, err
	}
	decisions, err := h.cfg.Parsed.Config(h.cfg.SeedValue)
	if err != nil {
		return nil, err
	}
	known, last, err := settings.ParseKnown(h.cfg.Known)
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.DiscardHandler)
	if h.core, err = router.New(h.loop, decisions, instantly{h}, log); err != nil {
		return nil, err
	}
	if h.net, err = netio.New(h.loop, "", nil, log); err != nil {
		return nil, err
	}
	h.core.UpdateEndpoints(known.Events, known.Addrs)
	h.loop.Post(func() {
		h.board = discovery.Watch(h.loop, h.net, h.cfg.Board, h.names(), last, h.listed, h.cfg.SeedValue, log)
		if spec.Rate > 0 {
			h.ask()
		}
	})
	go func() {
		defer close(h.ended)
		h.loop.Run(h.stop)
	}()
	if spec.Keepers != nil {
		h.follower, err = h.follow()
	}
	return h, err
}

func (h *hollow) names() discovery.Names {
	return discovery.Names{Zones: h.cfg.Parsed.Zones, Kinds: h.cfg.Parsed.Kinds}
}

func (h *hollow) listed(l discovery.Update) {
	h.core.UpdateEndpoints(l.Events, l.Addrs)
	h.out.tell(word{Router: h.spec.Number, List: h.board.LastEvent(), AtNS: time.Now().UnixNano()})
}

// configure puts another configuration in force, as a router's reload does; an error says that nothing changed.
func (h *hollow) configure(cfg *settings.Node) error {
	decisions, err := cfg.Parsed.Config(h.cfg.SeedValue)
	if err != nil {
		return err
	}
	if _, err := h.core.Configure(decisions); err != nil {
		return err
	}
	h.cfg = cfg
	h.board.Configure(cfg.Board, h.names())
	return nil
}

// ask gives the router its next statement, and sets the time for the one after it.
func (h *hollow) ask() {
	h.asked++
	_, _ = h.core.Submit(&router.Request{
		ID: fmt.Sprintf("%016x", h.asked), Class: "lookup", Statement: "SELECT 1",
		TableGroup: dispatch.TableGroupOf(uint32(h.asked % 64)), SentAtMS: h.loop.Now(), BudgetMS: 2000,
	}, nobody{})
	h.loop.After(1000/h.spec.Rate, h.ask)
}

func (h *hollow) totals() Totals {
	c := h.core.Counters
	return Totals{Taken: c.Taken, Served: c.Served, Refused: c.Rejected, Failed: c.Failed, Engines: h.core.ListedEngines()}
}

func (h *hollow) close() {
	if h.follower != nil {
		h.follower()
	}
	close(h.stop)
	<-h.ended
	h.net.Stop()
}

// nobody asks: the core's counters say how a statement ended.
type nobody struct{}

func (nobody) Served(*router.Result) {}
func (nobody) Rejected(float64)      {}
func (nobody) Failed(router.Reason)  {}

// instantly is all engines in one: each attempt is served after the same time.
type instantly struct{ h *hollow }

type served struct{ t *router.Timer }

func (i instantly) Start(_ router.Call, done func(router.End)) router.Attempt {
	return served{i.h.loop.After(i.h.spec.WorkMS, func() {
		done(router.End{Outcome: dispatch.Served, Result: &router.Result{WorkMS: i.h.spec.WorkMS}})
	})}
}
func (i instantly) Forget(router.Engine)          {}
func (i instantly) CancelUnstarted(router.Engine) {}

func (s served) SetPriority(int)    {}
func (s served) Cancel()            {}
func (s served) Abandon()           { s.t.Stop() }
func (s served) CancelUnsent() bool { return false }

// playHollow runs the routers of the first line, says "ready", and answers "totals" until its input ends.
func playHollow(in *bufio.Scanner, out *words) error {
	var specs []HollowSpec
	if err := json.Unmarshal(in.Bytes(), &specs); err != nil {
		return err
	}
	var routers []*hollow
	for _, s := range specs {
		h, err := newHollow(s, out)
		if err != nil {
			return fmt.Errorf("hollow router %d: %w", s.Number, err)
		}
		routers = append(routers, h)
	}
	out.say("ready")
	for in.Scan() {
		switch command := in.Text(); command {
		case "totals":
			sum := Totals{}
			for _, h := range routers {
				got := make(chan Totals)
				h.loop.Post(func() { got <- h.totals() })
				sum.add(<-got)
			}
			out.tell(word{Totals: &sum})
		default:
			return fmt.Errorf("%q is no command", command)
		}
	}
	for _, h := range routers {
		h.close()
	}
	return in.Err()
}

// playBoard is a board in a process of its own; the first line is the number of engines. It says where it listens, and
// obeys "rate N": a change of one engine as often a second.
func playBoard(in *bufio.Scanner, out *words) error {
	n, err := strconv.Atoi(in.Text())
	if err != nil {
		return err
	}
	engines := Engines(n)
	b, err := startBoard(engines)
	if err != nil {
		return err
	}
	out.say("ready " + b.Addr)
	rate := make(chan float64)
	go func() {
		var due <-chan time.Time
		var ticker *time.Ticker
		for i := 0; ; {
			select {
			case r, open := <-rate:
				if ticker != nil {
					ticker.Stop()
					due = nil
				}
				if !open {
					return
				}
				if r > 0 {
					ticker = time.NewTicker(time.Duration(float64(time.Second) / r))
					due = ticker.C
				}
			case <-due:
				i++
				b.Change(Toggled(engines, i))
			}
		}
	}()
	defer close(rate)
	for in.Scan() {
		word, figure, _ := strings.Cut(in.Text(), " ")
		r, err := strconv.ParseFloat(figure, 64)
		if word != "rate" || err != nil {
			return fmt.Errorf("%q is no command", in.Text())
		}
		rate <- r
	}
	return in.Err()
}

// Toggled gives the i-th change of a row that has each engine of a list drain, and serve again the next time round.
func Toggled(engines []Engine, i int) Engine {
	e := engines[i%len(engines)]
	if i/len(engines)%2 == 0 {
		e.State = dispatch.Draining
	}
	return e
}
