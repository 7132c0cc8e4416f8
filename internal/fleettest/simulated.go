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

// roleEnv is the environment variable for the role that the test binary runs if a test started it as a process.
const roleEnv = "WINDFLOW_FLEET_ROLE"

const (
	roleSimulatedRouters = "simulated-routers"
	roleDiscovery        = "discovery"
)

// runRole runs a role until the end of the standard input, which the test closes when it ends. The first line of the
// input describes what to run.
func runRole(role string) error {
	fd, err := strconv.Atoi(os.Getenv("WINDFLOW_READY_FD"))
	if err != nil {
		return fmt.Errorf("WINDFLOW_READY_FD: %w", err)
	}
	out := &statusWriter{file: os.NewFile(uintptr(fd), "status")}
	in := bufio.NewScanner(os.Stdin)
	in.Buffer(nil, 16<<20)
	if !in.Scan() {
		return errors.New("standard input has no first line")
	}
	switch role {
	case roleSimulatedRouters:
		return runSimulatedRouters(in, out)
	case roleDiscovery:
		return runDiscoveryServer(in, out)
	}
	return fmt.Errorf("unknown role %q", role)
}

// statusWriter writes lines to the readiness descriptor, for the test that started this process.
type statusWriter struct {
	mu   sync.Mutex
	file *os.File
}

func (w *statusWriter) writeLine(line string) {
	w.mu.Lock()
	defer w.mu.Unlock()
	_, _ = w.file.WriteString(line + "\n")
}

func (w *statusWriter) write(message statusMessage) {
	text, err := json.Marshal(message)
	if err != nil {
		panic(err)
	}
	w.writeLine(string(text))
}

// statusMessage is a line that a process of simulated routers writes to its test: the status of one router, or Totals.
type statusMessage struct {
	Router   int     `json:"r"`
	List     uint64  `json:"list,omitempty"`     // number of its last endpoint event
	Revision uint64  `json:"revision,omitempty"` // in force, with its Hash
	Hash     string  `json:"hash,omitempty"`
	AtNS     int64   `json:"at,omitempty"` // Unix nanoseconds
	Totals   *Totals `json:"totals,omitempty"`
}

// Totals counts the statements of simulated routers by outcome, and the engines in their endpoint lists.
type Totals struct {
	Taken, Served, Rejected, Failed int64
	Engines                         int // sum of the lengths of their endpoint lists
}

func (t *Totals) add(o Totals) {
	t.Taken, t.Served, t.Rejected, t.Failed = t.Taken+o.Taken, t.Served+o.Served, t.Rejected+o.Rejected, t.Failed+o.Failed
	t.Engines += o.Engines
}

// SimulatedRouterSpec describes a simulated router.
type SimulatedRouterSpec struct {
	Number              int             `json:"number"`            // identifies the router in status messages
	Config              json.RawMessage `json:"config"`            // as the platform writes it
	StatementsPerSecond float64         `json:"rate"`              // that the router submits to itself; 0 for none
	WorkMS              float64         `json:"work_ms"`           // how long an engine runs a statement
	Keepers             json.RawMessage `json:"keepers,omitempty"` // section of the installation's settings; nil for none
}

// simulatedRouter is a router without sockets for clients and engines. It consists of a loop, a discovery watcher and
// the core with dispatch. It submits statements to itself, and simulated engines serve them after a fixed time.
type simulatedRouter struct {
	spec       SimulatedRouterSpec
	config     *settings.Node
	loop       *router.Loop
	net        *netio.Poller
	core       *router.Core
	watcher    *discovery.Watcher
	stop       chan struct{}
	ended      chan struct{}
	out        *statusWriter
	submitted  uint64
	stopClient func() // nil without a configuration client
}

// newSimulatedRouter starts a simulated router, which reports its status to out.
func newSimulatedRouter(spec SimulatedRouterSpec, out *statusWriter) (*simulatedRouter, error) {
	simulated := &simulatedRouter{
		spec: spec, out: out, loop: router.NewLoop(clock.NewSystem()), stop: make(chan struct{}),
		ended: make(chan struct{}),
	}
	var err error
	if simulated.config, err = settings.ParseNode(spec.Config); err != nil {
		return nil, err
	}
	decisions, err := simulated.config.Settings.DispatchConfig(simulated.config.SeedValue)
	if err != nil {
		return nil, err
	}
	known, last, err := settings.ParseEndpoints(simulated.config.KnownEndpoints)
	if err != nil {
		return nil, err
	}
	log := slog.New(slog.DiscardHandler)
	if simulated.core, err = router.New(simulated.loop, decisions, timedEngines{simulated}, log); err != nil {
		return nil, err
	}
	if simulated.net, err = netio.New(simulated.loop, "", nil, log); err != nil {
		return nil, err
	}
	simulated.core.UpdateEndpoints(known.List, known.Addresses)
	simulated.loop.Post(func() {
		simulated.watcher = discovery.Watch(simulated.loop, simulated.net, simulated.config.DiscoveryAddress,
			simulated.names(), last, simulated.onUpdate, simulated.config.SeedValue, log)
		if spec.StatementsPerSecond > 0 {
			simulated.submitNext()
		}
	})
	go func() {
		defer close(simulated.ended)
		simulated.loop.Run(simulated.stop)
	}()
	if spec.Keepers != nil {
		simulated.stopClient, err = simulated.startConfigClient()
	}
	return simulated, err
}

func (r *simulatedRouter) names() discovery.RecordNames {
	return discovery.RecordNames{Zones: r.config.Settings.Zones, Kinds: r.config.Settings.Kinds}
}

// onUpdate applies an update of the endpoint list and reports it.
func (r *simulatedRouter) onUpdate(update discovery.Update) {
	r.core.UpdateEndpoints(update.List, update.Addresses)
	r.out.write(statusMessage{Router: r.spec.Number, List: r.watcher.LastEvent(), AtNS: time.Now().UnixNano()})
}

// configure applies another configuration in the same way as a reload of a router. If it returns an error, nothing has
// changed.
func (r *simulatedRouter) configure(cfg *settings.Node) error {
	decisions, err := cfg.Settings.DispatchConfig(r.config.SeedValue)
	if err != nil {
		return err
	}
	if _, err := r.core.Configure(decisions); err != nil {
		return err
	}
	r.config = cfg
	r.watcher.Configure(cfg.DiscoveryAddress, r.names())
	return nil
}

// submitNext submits a statement and schedules the next one.
func (r *simulatedRouter) submitNext() {
	r.submitted++
	_, _ = r.core.Submit(&router.Request{
		ID: fmt.Sprintf("%016x", r.submitted), Class: "lookup", Statement: "SELECT 1",
		TableGroup: dispatch.TableGroupOf(uint32(r.submitted % 64)), SentAtMS: r.loop.Now(), BudgetMS: 2000,
	}, discardResponses{})
	r.loop.After(1000/r.spec.StatementsPerSecond, r.submitNext)
}

func (r *simulatedRouter) totals() Totals {
	c := r.core.Counters
	return Totals{
		Taken: c.Received, Served: c.Served, Rejected: c.Rejected, Failed: c.Failed,
		Engines: r.core.ListedEngines(),
	}
}

func (r *simulatedRouter) close() {
	if r.stopClient != nil {
		r.stopClient()
	}
	close(r.stop)
	<-r.ended
	r.net.Stop()
}

// discardResponses ignores the responses to statements. The core's counters have their outcomes.
type discardResponses struct{}

func (discardResponses) Served(*router.Result) {}
func (discardResponses) Rejected(float64)      {}
func (discardResponses) Failed(router.Reason)  {}

// timedEngines simulates all engines of a router. It serves each attempt after the time WorkMS of the router's spec.
type timedEngines struct{ router *simulatedRouter }

type timedAttempt struct{ timer *router.Timer }

func (e timedEngines) Start(_ router.Call, done func(router.End)) router.Attempt {
	return timedAttempt{e.router.loop.After(e.router.spec.WorkMS, func() {
		done(router.End{Outcome: dispatch.Served, Result: &router.Result{WorkMS: e.router.spec.WorkMS}})
	})}
}
func (e timedEngines) Forget(router.Engine)          {}
func (e timedEngines) CancelUnstarted(router.Engine) {}

func (a timedAttempt) SetPriority(int)    {}
func (a timedAttempt) Cancel()            {}
func (a timedAttempt) Abandon()           { a.timer.Stop() }
func (a timedAttempt) CancelUnsent() bool { return false }

// runSimulatedRouters runs the routers that the first line describes as a JSON list of SimulatedRouterSpec. It writes
// "ready", and a message with the totals for each line "totals", until the end of the input.
func runSimulatedRouters(input *bufio.Scanner, out *statusWriter) error {
	var specs []SimulatedRouterSpec
	if err := json.Unmarshal(input.Bytes(), &specs); err != nil {
		return err
	}
	var routers []*simulatedRouter
	for _, s := range specs {
		r, err := newSimulatedRouter(s, out)
		if err != nil {
			return fmt.Errorf("simulated router %d: %w", s.Number, err)
		}
		routers = append(routers, r)
	}
	out.writeLine("ready")
	for input.Scan() {
		switch command := input.Text(); command {
		case "totals":
			sum := Totals{}
			for _, h := range routers {
				got := make(chan Totals)
				h.loop.Post(func() { got <- h.totals() })
				sum.add(<-got)
			}
			out.write(statusMessage{Totals: &sum})
		default:
			return fmt.Errorf("%q is not a command", command)
		}
	}
	for _, h := range routers {
		h.close()
	}
	return input.Err()
}

// runDiscoveryServer runs a discovery server in this process until the end of the input, and writes "ready" with its
// address. The first line is the number of engines in its list. A line "rate N" sets the rate at which the server
// publishes changes, each of one engine, to N per second.
func runDiscoveryServer(input *bufio.Scanner, out *statusWriter) error {
	n, err := strconv.Atoi(input.Text())
	if err != nil {
		return err
	}
	engines := Engines(n)
	server, err := startDiscoveryServer(engines)
	if err != nil {
		return err
	}
	out.writeLine("ready " + server.Addr)
	rate := make(chan float64)
	go changeAtRate(server, engines, rate) // returns when rate is closed
	defer close(rate)
	for input.Scan() {
		command, argument, _ := strings.Cut(input.Text(), " ")
		perSecond, err := strconv.ParseFloat(argument, 64)
		if command != "rate" || err != nil {
			return fmt.Errorf("%q is not a command", input.Text())
		}
		rate <- perSecond
	}
	return input.Err()
}

// changeAtRate publishes changes at the last received rate, in changes per second, until the channel is closed.
func changeAtRate(server *DiscoveryServer, engines []Engine, rates <-chan float64) {
	ticker := time.NewTicker(time.Hour)
	ticker.Stop()
	for i := 0; ; {
		select {
		case rate, open := <-rates:
			ticker.Stop()
			if !open {
				return
			}
			if rate > 0 {
				ticker.Reset(time.Duration(float64(time.Second) / rate))
			}
		case <-ticker.C:
			i++
			server.Change(ToggledEngine(engines, i))
		}
	}
}

// ToggledEngine returns the engine with its new state for the i-th change of a series. The series first drains each
// engine of the list in turn, then makes each of them live again, and so on.
func ToggledEngine(engines []Engine, i int) Engine {
	e := engines[i%len(engines)]
	if i/len(engines)%2 == 0 {
		e.State = dispatch.Draining
	}
	return e
}
