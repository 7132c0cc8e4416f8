package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
)

// violationError reports a property that does not hold in a simulation.
type violationError struct{ property, detail string }

func (v *violationError) Error() string { return v.property + ": " + v.detail }

// The properties that a simulation checks, and its parameters.
const (
	propertyNoMixedRevisions       = "no follower mixes the content of two revisions"
	propertyRevisionNeverDecreases = "the revision of a follower process never decreases"
	propertyNoFalseConvergence     = "no revision is wrongly reported as converged"
	propertyAppliedOnce            = "a repeated change is applied once"
	propertyNoRepeatedRejection    = "rejected content is not offered again"
	propertyEventualConvergence    = "all routers have the last revision after the faults end"
	leaseMS                        = 6000.0
	simulationRetention            = 6 // number of revisions that the logs retain
)

// client has the methods of a follower that the simulation calls. Mutants override some of them.
type client interface {
	Status() FollowerStatus
	Offer(Update) (map[string]json.RawMessage, bool, error)
	Accept()
	Reject(pointer, reason string)
	Restore(SavedRevision) (map[string]json.RawMessage, bool, error)
	Saved() SavedRevision
	SelectKeeper(n int) int
	CallFailed(nowMS, jitter float64) float64
	CallSucceeded()
}

// implementation holds the functions under test. Mutants replace some of them.
type implementation struct {
	follower    func(*Follower) client
	apply       func(*Log, Change) Result
	convergence func(l *Log, rev uint64, leases []Lease, unreached []string) ConvergenceStatus
	isComplete  func(l *Leases, nowMS float64) bool
}

// packageImplementation returns the functions of the package.
func packageImplementation() implementation {
	return implementation{
		follower:    func(f *Follower) client { return f },
		apply:       (*Log).Apply,
		convergence: (*Log).Convergence,
		isComplete:  (*Leases).IsComplete,
	}
}

// command is an entry of the log that the keepers replicate.
type command struct {
	change   Change
	name     string // set if the command adds a member instead of a change
	instance string
}

// keeper is a simulated keeper with its replica of the log.
type keeper struct {
	name        string
	log         *Log
	applied     int // number of applied commands of the simulation
	leases      *Leases
	up          bool
	partitioned bool   // from the majority
	disk        []byte // the snapshot on disk
	diskAt      int    // number of commands that the snapshot includes
}

// router is a simulated router with its current process.
type router struct {
	name             string
	incarnation      int // number of the current process
	client           client
	alive            bool
	partitioned      bool // from all keepers
	rejectsOddValues bool // it rejects any content with an odd value at /settings/d
	inForce          map[string]json.RawMessage
	revision         uint64
	pending          map[string]json.RawMessage // the entries of the candidate
	offered          bool                       // there is a candidate
	saved            *SavedRevision             // the copy on its disk
	answeredMS       float64
	answered         bool           // a keeper has answered this process
	rejections       map[string]int // number of rejections by revision and hash
	offeredRevision  uint64         // the revision of the candidate
}

// message is a call or an answer that has not been delivered.
type message struct {
	router, incarnation, keeper int
	status                      FollowerStatus
	update                      Update
	answer                      bool
}

// simulation runs keepers and routers on one clock; the messages between them are delivered in random order.
type simulation struct {
	implementation
	draw     drawFunc
	nowMS    float64
	commands []command
	model    *model // the expected result of the commands
	leader   *Log   // has applied all commands
	keepers  []*keeper
	routers  []*router
	messages []message
}

func newSimulation(draw drawFunc, impl implementation) *simulation {
	sim := &simulation{
		implementation: impl,
		draw:           draw,
		model:          newModel(simulationRetention),
		leader:         NewLog(Retention{Revisions: simulationRetention}),
	}
	for i := range 3 {
		sim.keepers = append(
			sim.keepers,
			&keeper{
				name:   fmt.Sprint("k", i),
				log:    NewLog(Retention{Revisions: simulationRetention}),
				leases: NewLeases(leaseMS),
				up:     true,
			},
		)
	}
	for i := range 1 + draw(3, "routers") {
		r := &router{name: fmt.Sprint("r", i), rejectsOddValues: i == 2}
		sim.routers = append(sim.routers, r)
		sim.startRouter(r)
	}
	sim.commit(
		command{
			change: Change{
				ID: "filler",
				Put: map[string]json.RawMessage{
					"/settings/filler": json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("%300d", 0))),
				},
			},
		},
	)
	return sim
}

// commit appends a command that a majority has accepted. The leader applies it at once, keepers later.
func (sim *simulation) commit(c command) {
	sim.commands = append(sim.commands, c)
	sim.run(sim.leader, c)
	if c.name == "" {
		sim.model.apply(c.change)
	}
}

// applyCommitted applies at most limit further commands at a keeper.
func (sim *simulation) applyCommitted(k *keeper, limit int) {
	for ; limit > 0 && k.applied < len(sim.commands); limit-- {
		sim.run(k.log, sim.commands[k.applied])
		k.applied++
	}
}

func (sim *simulation) run(l *Log, c command) {
	if c.name != "" {
		l.AddMember(c.name, c.instance)
		return
	}
	sim.apply(l, c.change)
}

// startRouter starts a router's next process, which restores the copy on its disk, if any.
func (sim *simulation) startRouter(r *router) {
	r.incarnation++
	r.client = sim.follower(NewFollower(r.name, NewInstanceID(int64(sim.nowMS), uint64(r.incarnation))))
	r.alive, r.answered, r.offered = true, false, false
	r.inForce, r.revision, r.rejections = map[string]json.RawMessage{}, 0, map[string]int{}
	if r.saved != nil {
		if content, ok, err := r.client.Restore(*r.saved); ok && err == nil {
			r.pending, r.offered, r.offeredRevision = content, true, r.saved.Revision
			sim.acceptOrReject(r)
		}
	}
}

// acceptOrReject makes a router accept or reject its candidate.
func (sim *simulation) acceptOrReject(r *router) {
	if !r.offered {
		return
	}
	r.offered = false
	if v := string(r.pending["/settings/d"]); r.rejectsOddValues && (v == "1" || v == "3") {
		r.rejections[fmt.Sprint(r.offeredRevision, HashEntries(r.pending))]++
		r.client.Reject("/settings/d", "it is odd")
		return
	}
	r.inForce = maps.Clone(r.pending)
	r.client.Accept()
}

// call sends a router's call to the keeper that it selects, unless it has a candidate.
func (sim *simulation) call(index int) {
	r := sim.routers[index]
	if r.alive && !r.offered {
		sim.messages = append(
			sim.messages,
			message{
				router:      index,
				incarnation: r.incarnation,
				keeper:      r.client.SelectKeeper(len(sim.keepers)),
				status:      r.client.Status(),
			},
		)
	}
}

// deliver delivers a message. It is lost if the receiver is down or partitioned.
func (sim *simulation) deliver(m message) {
	r, k := sim.routers[m.router], sim.keepers[m.keeper]
	if !m.answer {
		if update, ok := sim.answer(k, r, m); ok {
			m.answer, m.update = true, update
			sim.messages = append(sim.messages, m)
			return
		}
		if r.alive && r.incarnation == m.incarnation {
			r.client.CallFailed(sim.nowMS, 0.5)
		}
		return
	}
	if !r.alive || r.partitioned { // the current process must ignore answers to earlier ones
		return
	}
	content, ok, err := r.client.Offer(m.update)
	if err != nil {
		r.client.CallFailed(sim.nowMS, 0.5)
	}
	if ok {
		r.pending, r.offered, r.offeredRevision = content, true, m.update.To
	}
}

// answer makes a keeper renew the lease, add the member if necessary, and answer. ok is false if it does not answer.
func (sim *simulation) answer(k *keeper, r *router, m message) (update Update, ok bool) {
	if !k.up || r.partitioned {
		return Update{}, false
	}
	k.leases.Renew(sim.nowMS, m.status)
	if !k.log.HasMember(m.status.Name, m.status.Instance) {
		if k.partitioned {
			return Update{}, false
		}
		sim.commit(command{name: m.status.Name, instance: m.status.Instance})
		sim.applyCommitted(k, len(sim.commands))
	}
	if r.alive && r.incarnation == m.incarnation {
		r.answered, r.answeredMS = true, sim.nowMS
	}
	return k.log.NextUpdate(m.status), true
}

// advance advances the clock in steps of at most a second. Running keepers call Tick at each step.
func (sim *simulation) advance(ms float64) {
	for ; ms > 0; ms -= 1000 {
		sim.nowMS += min(ms, 1000)
		for _, k := range sim.keepers {
			if k.up {
				k.leases.Tick(sim.nowMS)
			}
		}
	}
}

// convergenceAt returns the leader's convergence status of a revision.
func (sim *simulation) convergenceAt(rev uint64) ConvergenceStatus {
	var leases []Lease
	var unreached []string
	for _, k := range sim.keepers {
		if !k.up || k.partitioned {
			unreached = append(unreached, k.name)
			continue
		}
		// Incomplete leases are used as well, but their keeper counts as unreached.
		leases = append(leases, k.leases.Live(sim.nowMS)...)
		if !sim.isComplete(k.leases, sim.nowMS) {
			unreached = append(unreached, k.name)
		}
	}
	return sim.convergence(sim.leader, rev, leases, unreached)
}

// crashKeeper stops a keeper, which loses its leases and everything that it applied after its snapshot.
func (sim *simulation) crashKeeper(k *keeper) {
	k.up, k.log, k.applied = false, NewLog(Retention{Revisions: simulationRetention}), 0
}

// startKeeper starts a keeper from its snapshot.
func (sim *simulation) startKeeper(k *keeper) error {
	k.up, k.leases = true, NewLeases(leaseMS)
	if k.disk == nil {
		return nil
	}
	k.applied = k.diskAt
	return k.log.UnmarshalBinary(k.disk)
}
