package dispatch

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"windflow/internal/tracetest"
)

// traceDriver sends a controller random events of all kinds, generated from a fixed seed, and adds all actions to a
// trace. During a hot restart it drives two controllers, which exchange their usage of the engines.
type traceDriver struct {
	t           *testing.T
	hash        *tracetest.Hash
	rng         *rand.Rand
	config      Config
	now         time.Duration
	controllers []*traceController
	engines     []Endpoint
	maxEngines  int    // maximum number of engines ever added
	lostZone    string // zone whose engines do not accept connections; empty for none
	lastID      int
}

// traceController is a controller with its open requests and its timer.
type traceController struct {
	index      int
	controller *Controller
	requests   []*traceRequest
	timerAt    time.Duration // time at which the timer fires; 0 for no timer
	timerTag   int64
}

// traceRequest is a request without an answer, or one whose attempts have not all ended.
type traceRequest struct {
	id          RequestID
	attempts    []EngineID // engine of each attempt
	outstanding []int      // indices of the attempts without an outcome
	answered    bool
}

// traceEngines is the number of engines at the start of a trace, unless a traceSetting changes it.
const traceEngines = 9

func newTraceDriver(t *testing.T, h *tracetest.Hash, config Config, seed uint64, engines int) *traceDriver {
	t.Helper()
	d := &traceDriver{
		t: t, hash: h, rng: rand.New(rand.NewPCG(seed, 2026)), config: config, now: time.Hour, maxEngines: 3 * engines,
	}
	for i := range engines {
		d.engines = append(d.engines, d.newEngine(EngineID(i+1)))
	}
	d.start()
	return d
}

// newEngine returns an engine of a random kind: small, large or not configured.
func (d *traceDriver) newEngine(id EngineID) Endpoint {
	kind := []string{"small", "large", "unknown"}[d.rng.IntN(3)]
	cell := int(id) % 4
	return Endpoint{
		ID: id, Cell: cell, Zone: fmt.Sprint("z", cell/2), Kind: kind, CapacityWeight: float64(1 + d.rng.IntN(8)),
	}
}

// start adds a controller and sends it the endpoint list.
func (d *traceDriver) start() *traceController {
	controller, err := New(d.config)
	if err != nil {
		d.t.Fatal(err)
	}
	c := &traceController{index: len(d.controllers), controller: controller}
	d.controllers = append(d.controllers, c)
	d.handle(c, EndpointList{Mode: ListComplete, Endpoints: d.listed()})
	return c
}

func (d *traceDriver) listed() (list []Endpoint) {
	for _, e := range d.engines {
		if e.State != Removed {
			list = append(list, e)
		}
	}
	return list
}

func (d *traceDriver) handle(c *traceController, event Event) {
	for _, action := range c.controller.Handle(d.now, event, nil) {
		traceAction(d.hash, c.index, action)
		d.applyAction(c, action)
	}
}

func (d *traceDriver) applyAction(c *traceController, action Action) {
	switch action := action.(type) {
	case StartAttempt:
		if req := c.request(action.Request); req != nil {
			req.outstanding = append(req.outstanding, len(req.attempts))
			req.attempts = append(req.attempts, action.Engine)
		}
	case Reject:
		c.recordAnswer(action.Request)
	case FailRequest:
		c.recordAnswer(action.Request)
	case SetTimer:
		c.timerAt, c.timerTag = d.now+action.After, action.Tag
	case SetResources, CancelAttempt, Subscribe: // cause no event
	}
}

func (c *traceController) request(id RequestID) *traceRequest {
	for _, req := range c.requests {
		if req.id == id {
			return req
		}
	}
	return nil
}

func (c *traceController) recordAnswer(id RequestID) {
	if req := c.request(id); req != nil {
		req.answered = true
	}
}

// dropFinished removes the requests that are answered and have no outstanding attempt.
func (c *traceController) dropFinished() {
	open := c.requests[:0]
	for _, req := range c.requests {
		if !req.answered || len(req.outstanding) > 0 {
			open = append(open, req)
		}
	}
	c.requests = open
}

// run sends the given number of random events, each to a random controller. It traces the state of all controllers
// every 500 events and at the end.
func (d *traceDriver) run(steps int) {
	for i := range steps {
		d.advance()
		d.step(d.controllers[d.rng.IntN(len(d.controllers))])
		if i%500 == 499 {
			d.traceState()
		}
	}
	d.traceState()
}

// advance lets a random time pass and fires the timers that become due.
func (d *traceDriver) advance() {
	until := d.now + time.Duration(d.rng.IntN(int(12*ms)))
	if d.rng.IntN(400) == 0 {
		until += time.Duration(d.rng.IntN(int(4 * time.Second)))
	}
	for _, c := range d.controllers {
		if c.timerAt > 0 && c.timerAt <= until {
			d.now = max(d.now, c.timerAt)
			c.timerAt = 0
			d.handle(c, TimerFired{Tag: c.timerTag})
		}
	}
	d.now = max(d.now, until)
}

// traceState adds the state of all controllers to the trace.
func (d *traceDriver) traceState() {
	for _, c := range d.controllers {
		var view View
		c.controller.FillView(d.now, &view)
		traceViewOf(d.hash, &view)
		traceSnapshotOf(d.hash, c.controller.Snapshot())
		traceUsageOf(d.hash, c.controller.Usage(d.now))
		d.hash.Int(int64(c.controller.AvoidedEngines(d.now)))
		c.dropFinished()
	}
}

// step sends a controller a random event.
func (d *traceDriver) step(c *traceController) {
	switch n := d.rng.IntN(200); {
	case n < 70:
		d.arrive(c)
	case n < 150:
		d.endAttempt(c)
	case n < 162:
		d.reportProgress(c)
	case n < 170:
		d.handle(c, EngineLoad{Engine: d.anyEngine(), Report: *d.randomReport()})
	case n < 174:
		d.startResponse(c)
	case n < 179:
		d.cancelForClient(c)
	case n < 190:
		d.changeEngine(c)
	case n < 193:
		d.sendList(c)
	case n < 195:
		d.toggleCordon(c)
	case n < 197:
		d.hotRestart(c)
	case n < 198:
		d.configure(c)
	default:
		d.sendInvalid(c)
	}
}

// arrive sends a controller a new request. Request identifiers are unique across all controllers.
func (d *traceDriver) arrive(c *traceController) {
	class := d.config.Classes[d.rng.IntN(len(d.config.Classes))]
	d.lastID++
	arrival := Arrival{
		Request: RequestID(fmt.Sprint("q", d.lastID)), Class: class.Name, TimeLeft: class.Deadline,
		Resent: d.rng.IntN(8) == 0,
	}
	arrival.Tenant = []string{"", "a", "b", "stranger"}[d.rng.IntN(4)]
	if d.rng.IntN(2) == 0 {
		arrival.Key = fmt.Sprint("key", d.rng.IntN(6))
	}
	if d.rng.IntN(2) == 0 {
		arrival.TableGroup = TableGroupOf(uint32(d.rng.IntN(5)))
	}
	if d.rng.IntN(3) > 0 {
		arrival.Estimate = time.Duration(d.rng.ExpFloat64() * float64(200*ms))
		arrival.NeedMB = d.rng.ExpFloat64() * 300
	}
	if d.rng.IntN(10) == 0 {
		arrival.TimeLeft = time.Duration(d.rng.Float64() * float64(class.Deadline))
	}
	c.requests = append(c.requests, &traceRequest{id: arrival.Request})
	d.handle(c, arrival)
}

// outstanding returns a random request with an outstanding attempt, and the index of one such attempt in
// req.outstanding. It returns nil if 20 random requests had none.
func (d *traceDriver) outstanding(c *traceController) (req *traceRequest, index int) {
	for range 20 {
		if len(c.requests) == 0 {
			return nil, 0
		}
		req = c.requests[d.rng.IntN(len(c.requests))]
		if len(req.outstanding) > 0 {
			return req, d.rng.IntN(len(req.outstanding))
		}
	}
	return nil, 0
}

// endAttempt ends a random outstanding attempt. Most attempts are served, but few on engine 3 and none in the lost
// zone.
func (d *traceDriver) endAttempt(c *traceController) {
	req, index := d.outstanding(c)
	if req == nil {
		return
	}
	attempt := req.outstanding[index]
	req.outstanding = append(req.outstanding[:index], req.outstanding[index+1:]...)
	outcome := Served
	if d.rng.IntN(4) == 0 || req.attempts[attempt] == 3 && d.rng.IntN(8) > 0 {
		outcome = Outcome(d.rng.IntN(int(NotSent) + 1))
	}
	if d.lostZone != "" && d.engines[req.attempts[attempt]-1].Zone == d.lostZone {
		outcome = ConnectFailed
	}
	event := AttemptEnd{
		Request: req.id, Attempt: attempt, Outcome: outcome,
		Took: time.Duration(d.rng.ExpFloat64() * float64(300*ms)),
	}
	event.Last = outcome == Served && !req.answered
	req.answered = req.answered || event.Last
	if d.rng.IntN(2) == 0 {
		event.Report = d.randomReport()
	}
	if outcome == Served && d.rng.IntN(3) > 0 {
		event.Work = time.Duration(d.rng.ExpFloat64() * float64(250*ms))
		event.NeedMB = d.rng.ExpFloat64() * 400
	}
	d.handle(c, event)
}

// randomReport returns a load report in which some values are unknown (-1).
func (d *traceDriver) randomReport() *LoadReport {
	report := &LoadReport{
		InFlight: float64(d.rng.IntN(20)),
		Waiting:  float64(d.rng.IntN(3)),
		Busy:     d.rng.Float64(),
		Disk:     d.rng.Float64(),
		Memory:   1.2 * d.rng.Float64(),
		Failing:  d.rng.Float64(),
	}
	for _, value := range []*float64{
		&report.InFlight, &report.Waiting, &report.Busy, &report.Disk, &report.Memory, &report.Failing,
	} {
		if d.rng.IntN(6) == 0 {
			*value = -1
		}
	}
	return report
}

// anyEngine returns the identifier of a random engine, or sometimes of an engine that does not exist.
func (d *traceDriver) anyEngine() EngineID { return EngineID(1 + d.rng.IntN(len(d.engines)+1)) }

func (d *traceDriver) reportProgress(c *traceController) {
	req, index := d.outstanding(c)
	if req == nil {
		return
	}
	event := AttemptProgress{Request: req.id, Attempt: req.outstanding[index], Kind: ProgressKind(d.rng.IntN(4))}
	switch event.Kind {
	case ProgressAlive:
	case ProgressFraction:
		event.Amount = d.rng.Float64()
	case ProgressSpilling:
		event.Amount = d.rng.ExpFloat64() * 500
	case ProgressBlocked:
		event.Amount = float64(1 + d.rng.IntN(2))
	}
	d.handle(c, event)
}

func (d *traceDriver) startResponse(c *traceController) {
	if req, index := d.outstanding(c); req != nil {
		d.handle(c, ResponseStarted{Request: req.id, Attempt: req.outstanding[index]})
	}
}

// cancelForClient reports that the client of a random request is gone.
func (d *traceDriver) cancelForClient(c *traceController) {
	if len(c.requests) > 0 {
		req := c.requests[d.rng.IntN(len(c.requests))]
		req.answered = true
		d.handle(c, ClientGone{Request: req.id})
	}
}
