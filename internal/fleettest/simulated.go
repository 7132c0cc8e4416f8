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
	roleSimulatedRouters = "hollow"
	roleDiscovery        = "board"
)

// playRole plays a part until the standard input ends, which it does with the test.
func playRole(role string) error {
	fd, err := strconv.Atoi(os.Getenv("WINDFLOW_READY_FD"))
	if err != nil {
		return fmt.Errorf("WINDFLOW_READY_FD: %w", err)
	}
	out := &statusWriter{file: os.NewFile(uintptr(fd), "words")}
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 16<<20)
	if !in.Scan() {
		return errors.New("no first line")
	}
	switch role {
	case roleSimulatedRouters:
		return runSimulatedRouters(in, out)
	case roleDiscovery:
		return runDiscoveryServer(in, out)
	}
	return fmt.Errorf("no part is named %q", role)
}

// statusWriter writes lines to the test.
type statusWriter struct {
	mu   sync.Mutex
	file *os.File
}

func (w *statusWriter) writeLine(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.file.WriteString(line + "\n")
}

func (w *statusWriter) write(v statusMessage) {
	text, err := json.Marshal(v)
	if err != nil {
		panic(err)
	}
	w.writeLine(string(text))
}

// statusMessage is what a hollow router says.
type statusMessage struct {
	Router   int     `json:"r"`
	List     uint64  `json:"list,omitempty"`     // event of the board that it has
	Revision uint64  `json:"revision,omitempty"` // of the configuration in force, with Hash
	Hash     string  `json:"hash,omitempty"`
	AtNS     int64   `json:"at,omitempty"` // Unix nanoseconds
	Totals   *Totals `json:"totals,omitempty"`
}

// Totals are what hollow routers have done so far, and hold.
type Totals struct {
	Taken, Served, Rejected, Failed int64
	Engines                         int // in the lists, summed
}

func (t *Totals) add(o Totals) {
	t.Taken, t.Served, t.Rejected, t.Failed = t.Taken+o.Taken, t.Served+o.Served, t.Rejected+o.Rejected, t.Failed+o.Failed
	t.Engines += o.Engines
}

// SimulatedRouterSpec is one hollow router.
type SimulatedRouterSpec struct {
	Number              int             `json:"number"` // in what it says
	Config              json.RawMessage `json:"config"` // the platform's
	StatementsPerSecond float64         `json:"rate"`   // statements a second
	WorkMS              float64         `json:"work_ms"`
	Keepers             json.RawMessage `json:"keepers,omitempty"` // the section of the installation's settings
}

// simulatedRouter is a router without sockets for clients and engines: its own loop, follower of the board, and core with the
// module, on statements that it gives itself and engines that serve each after a while.
type simulatedRouter struct {
	spec       SimulatedRouterSpec
	config     *settings.Node
	loop       *router.Loop
	net        *netio.Net
	core       *router.Core
	watcher    *discovery.Watcher
	stop       chan struct{}
	ended      chan struct{}
	out        *statusWriter
	submitted  uint64
	stopClient func() // ends the follower of keepers; nil for none
}

func newSimulatedRouter(spec SimulatedRouterSpec, out *statusWriter) (*simulatedRouter, error) {
	h := &simulatedRouter{spec: spec, out: out, loop: router.NewLoop(clock.NewSystem()), stop: make(chan struct{}), ended: make(chan struct{})}
	var err error
	if h.config, err = settings.ParseNode(spec.Config); err != nil {
		return nil, err
	}
	decisions, err := h.config.Parsed.Config(h.config.SeedValue)
	if err != nil {
		return nil, err
	}
	known, last, err := settings.ParseKnown(h.config.Known)
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.DiscardHandler)
	if h.core, err = router.New(h.loop, decisions, timedEngines{h}, log); err != nil {
		return nil, err
	}
	if h.net, err = netio.New(h.loop, "", nil, log); err != nil {
		return nil, err
	}
	h.core.UpdateEndpoints(known.Events, known.Addrs)
	h.loop.Post(func() {
		h.watcher = discovery.Watch(h.loop, h.net, h.config.Board, h.names(), last, h.onUpdate, h.config.SeedValue, log)
		if spec.StatementsPerSecond > 0 {
			h.submitNext()
		}
	})
	go func() {
		defer close(h.ended)
		h.loop.Run(h.stop)
	}()
	if spec.Keepers != nil {
		h.stopClient, err = h.startConfigClient()
	}
	return h, err
}

func (h *simulatedRouter) names() discovery.Names {
	return discovery.Names{Zones: h.config.Parsed.Zones, Kinds: h.config.Parsed.Kinds}
}

func (h *simulatedRouter) onUpdate(l discovery.Update) {
	h.core.UpdateEndpoints(l.Events, l.Addrs)
	h.out.write(statusMessage{Router: h.spec.Number, List: h.watcher.LastEvent(), AtNS: time.Now().UnixNano()})
}

// configure puts another configuration in force, as a router's reload does; an error says that nothing changed.
func (h *simulatedRouter) configure(cfg *settings.Node) error {
	decisions, err := cfg.Parsed.Config(h.config.SeedValue)
	if err != nil {
		return err
	}
	if _, err := h.core.Configure(decisions); err != nil {
		return err
	}
	h.config = cfg
	h.watcher.Configure(cfg.Board, h.names())
	return nil
}

// submitNext gives the router its next statement, and sets the time for the one after it.
func (h *simulatedRouter) submitNext() {
	h.submitted++
	_, _ = h.core.Submit(&router.Request{
		ID: fmt.Sprintf("%016x", h.submitted), Class: "lookup", Statement: "SELECT 1",
		TableGroup: dispatch.TableGroupOf(uint32(h.submitted % 64)), SentAtMS: h.loop.Now(), BudgetMS: 2000,
	}, discardResponses{})
	h.loop.After(1000/h.spec.StatementsPerSecond, h.submitNext)
}

func (h *simulatedRouter) totals() Totals {
	c := h.core.Counters
	return Totals{Taken: c.Taken, Served: c.Served, Rejected: c.Rejected, Failed: c.Failed, Engines: h.core.ListedEngines()}
}

func (h *simulatedRouter) close() {
	if h.stopClient != nil {
		h.stopClient()
	}
	close(h.stop)
	<-h.ended
	h.net.Stop()
}

// discardResponses asks: the core's counters say how a statement ended.
type discardResponses struct{}

func (discardResponses) Served(*router.Result) {}
func (discardResponses) Rejected(float64)      {}
func (discardResponses) Failed(router.Reason)  {}

// timedEngines is all engines in one: each attempt is served after the same time.
type timedEngines struct{ router *simulatedRouter }

type timedAttempt struct{ timer *router.Timer }

func (i timedEngines) Start(_ router.Call, done func(router.End)) router.Attempt {
	return timedAttempt{i.router.loop.After(i.router.spec.WorkMS, func() {
		done(router.End{Outcome: dispatch.Served, Result: &router.Result{WorkMS: i.router.spec.WorkMS}})
	})}
}
func (i timedEngines) Forget(router.Engine)          {}
func (i timedEngines) CancelUnstarted(router.Engine) {}

func (s timedAttempt) SetPriority(int)    {}
func (s timedAttempt) Cancel()            {}
func (s timedAttempt) Abandon()           { s.timer.Stop() }
func (s timedAttempt) CancelUnsent() bool { return false }

// runSimulatedRouters runs the routers of the first line, says "ready", and answers "totals" until its input ends.
func runSimulatedRouters(in *bufio.Scanner, out *statusWriter) error {
	var specs []SimulatedRouterSpec
	if err := json.Unmarshal(in.Bytes(), &specs); err != nil {
		return err
	}
	var routers []*simulatedRouter
	for _, s := range specs {
		h, err := newSimulatedRouter(s, out)
		if err != nil {
			return fmt.Errorf("hollow router %d: %w", s.Number, err)
		}
		routers = append(routers, h)
	}
	out.writeLine("ready")
	for in.Scan() {
		switch command := in.Text(); command {
		case "totals":
			sum := Totals{}
			for _, h := range routers {
				got := make(chan Totals)
				h.loop.Post(func() { got <- h.totals() })
				sum.add(<-got)
			}
			out.write(statusMessage{Totals: &sum})
		default:
			return fmt.Errorf("%q is no command", command)
		}
	}
	for _, h := range routers {
		h.close()
	}
	return in.Err()
}

// runDiscoveryServer is a board in a process of its own; the first line is the number of engines. It says where it listens, and
// obeys "rate N": a change of one engine as often a second.
func runDiscoveryServer(in *bufio.Scanner, out *statusWriter) error {
	n, err := strconv.Atoi(in.Text())
	if err != nil {
		return err
	}
	engines := Engines(n)
	b, err := startDiscoveryServer(engines)
	if err != nil {
		return err
	}
	out.writeLine("ready " + b.Addr)
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
				b.Change(ToggledEngine(engines, i))
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

// ToggledEngine gives the i-th change of a row that has each engine of a list drain, and serve again the next time round.
func ToggledEngine(engines []Engine, i int) Engine {
	e := engines[i%len(engines)]
	if i/len(engines)%2 == 0 {
		e.State = dispatch.Draining
	}
	return e
}
