package configlog

import (
	"encoding/json"
	"fmt"
	"maps"
)

// violation is a property that a world saw broken.
type violation struct{ property, how string }

func (v *violation) Error() string { return v.property + ": " + v.how }

// The properties that a world looks for at each step.
const (
	noMix     = "no follower holds a mix"
	noneBack  = "no follower goes back within a life"
	notFalse  = "everywhere is never said falsely"
	onceOnly  = "a repeated change is one"
	noLoop    = "what was refused isn't taken again"
	allMeet   = "all meet when the faults stop"
	leaseMS   = 6000.0
	worldKeep = 6 // revisions that the logs keep
)

// client is what the world asks of a follower; a broken variant changes some of it.
type client interface {
	Status() FollowerStatus
	Offer(Update) (map[string]json.RawMessage, bool, error)
	Accept()
	Reject(pointer, reason string)
	Restore(SavedRevision) (map[string]json.RawMessage, bool, error)
	Saved() SavedRevision
	SelectKeeper(n int) int
	CallFailed(nowMS, jitter float64) float64
	Unchanged()
}

// variant is the parts that a world plays with.
type variant struct {
	follower func(*Follower) client
	apply    func(*Log, Change) Result
	judge    func(l *Log, rev uint64, heard []Lease, unreached []string) ConvergenceStatus
	settled  func(l *Leases, nowMS float64) bool
}

// whole is what the package gives.
func whole() variant {
	return variant{
		follower: func(f *Follower) client { return f },
		apply:    (*Log).Apply,
		judge:    (*Log).Convergence,
		settled:  (*Leases).IsComplete,
	}
}

// command is one entry of what the keepers replicate.
type command struct {
	change   Change
	name     string // of a follower that joins, instead of a change
	instance string
}

// keeper is one of the control processes.
type keeper struct {
	name    string
	log     *Log
	applied int // of the world's commands
	leases  *Leases
	up      bool
	cut     bool // from the majority
	disk    []byte
	diskAt  int
}

// router is one follower, over all its lives.
type router struct {
	name    string
	life    int
	client  client
	alive   bool
	cut     bool // from all keepers
	picky   bool // it refuses each content with an odd value at /settings/d
	inForce map[string]json.RawMessage
	rev     uint64
	pending map[string]json.RawMessage
	offered bool
	copy    *SavedRevision // on its disk
	heardMS float64
	heard   bool           // answered in this life
	refused map[string]int // times by revision and hash
	to      uint64         // the revision that is offered
}

// message is a call or an answer on its way.
type message struct {
	router, life, keeper int
	report               FollowerStatus
	update               Update
	answer               bool
}

// world plays keepers and routers on one clock, with everything between them in messages that come when they are drawn.
type world struct {
	variant
	draw     drawer
	nowMS    float64
	commands []command
	truth    *model // what the commands make
	leader   *Log   // has always applied all of them
	keepers  []*keeper
	routers  []*router
	mail     []message
}

func newWorld(draw drawer, v variant) *world {
	w := &world{variant: v, draw: draw, truth: newModel(worldKeep), leader: NewLog(Retention{Revisions: worldKeep})}
	for i := range 3 {
		w.keepers = append(w.keepers, &keeper{name: fmt.Sprint("k", i), log: NewLog(Retention{Revisions: worldKeep}), leases: NewLeases(leaseMS), up: true})
	}
	for i := range 1 + draw(3, "routers") {
		r := &router{name: fmt.Sprint("r", i), picky: i == 2}
		w.routers = append(w.routers, r)
		w.begin(r)
	}
	w.commit(command{change: Change{ID: "filler", Put: map[string]json.RawMessage{"/settings/filler": json.RawMessage(fmt.Sprintf("%q", fmt.Sprintf("%300d", 0)))}}})
	return w
}

// commit appends what a majority has agreed on. Keepers apply it when they come to it.
func (w *world) commit(c command) {
	w.commands = append(w.commands, c)
	w.run(w.leader, c)
	if c.name == "" {
		w.truth.apply(c.change)
	}
}

// catchUp has a keeper apply so many commands more.
func (w *world) catchUp(k *keeper, most int) {
	for ; most > 0 && k.applied < len(w.commands); most-- {
		w.run(k.log, w.commands[k.applied])
		k.applied++
	}
}

func (w *world) run(l *Log, c command) {
	if c.name != "" {
		l.AddMember(c.name, c.instance)
		return
	}
	w.apply(l, c.change)
}

// begin starts a router's next life, with what its disk has.
func (w *world) begin(r *router) {
	r.life++
	r.client = w.follower(NewFollower(r.name, NewInstance(int64(w.nowMS), uint64(r.life))))
	r.alive, r.heard, r.offered = true, false, false
	r.inForce, r.rev, r.refused = map[string]json.RawMessage{}, 0, map[string]int{}
	if r.copy != nil {
		if content, ok, err := r.client.Restore(*r.copy); ok && err == nil {
			r.pending, r.offered, r.to = content, true, r.copy.Revision
			w.decide(r)
		}
	}
}

// decide has a router bring in force what it was offered, or refuse it.
func (w *world) decide(r *router) {
	if !r.offered {
		return
	}
	r.offered = false
	if v := string(r.pending["/settings/d"]); r.picky && (v == "1" || v == "3") {
		r.refused[fmt.Sprint(r.to, HashEntries(r.pending))]++
		r.client.Reject("/settings/d", "it is odd")
		return
	}
	r.inForce = maps.Clone(r.pending)
	r.client.Accept()
}

// call has a router ask the keeper that it would.
func (w *world) call(i int) {
	r := w.routers[i]
	if r.alive && !r.offered {
		w.mail = append(w.mail, message{router: i, life: r.life, keeper: r.client.SelectKeeper(len(w.keepers)), report: r.client.Status()})
	}
}

// deliver brings a message to where it goes; one that can't be taken is lost.
func (w *world) deliver(m message) {
	r, k := w.routers[m.router], w.keepers[m.keeper]
	if !m.answer {
		if update, ok := w.serve(k, r, m); ok {
			m.answer, m.update = true, update
			w.mail = append(w.mail, m)
			return
		}
		if r.alive && r.life == m.life {
			r.client.CallFailed(w.nowMS, 0.5)
		}
		return
	}
	if !r.alive || r.cut { // an answer to a former life comes to the next: a sound follower takes no harm
		return
	}
	content, ok, err := r.client.Offer(m.update)
	if err != nil {
		r.client.CallFailed(w.nowMS, 0.5)
	}
	if ok {
		r.pending, r.offered, r.to = content, true, m.update.To
	}
}

// serve is a keeper's part: it hears, sees to the roster, and answers.
func (w *world) serve(k *keeper, r *router, m message) (Update, bool) {
	if !k.up || r.cut {
		return Update{}, false
	}
	k.leases.Renew(w.nowMS, m.report)
	if !k.log.HasMember(m.report.Name, m.report.Instance) {
		if k.cut {
			return Update{}, false
		}
		w.commit(command{name: m.report.Name, instance: m.report.Instance})
		w.catchUp(k, len(w.commands))
	}
	if r.alive && r.life == m.life {
		r.heard, r.heardMS = true, w.nowMS
	}
	return k.log.NextUpdate(m.report), true
}

// wait lets time pass; keepers that run say so each second.
func (w *world) wait(ms float64) {
	for ; ms > 0; ms -= 1000 {
		w.nowMS += min(ms, 1000)
		for _, k := range w.keepers {
			if k.up {
				k.leases.Tick(w.nowMS)
			}
		}
	}
}

// verdict is what the leader says of a revision.
func (w *world) verdict(rev uint64) ConvergenceStatus {
	var heard []Lease
	var unreached []string
	for _, k := range w.keepers {
		if !k.up || k.cut {
			unreached = append(unreached, k.name)
			continue
		}
		// Leases that aren't whole are of use, but their keeper counts as unreached beside them.
		heard = append(heard, k.leases.Live(w.nowMS)...)
		if !w.settled(k.leases, w.nowMS) {
			unreached = append(unreached, k.name)
		}
	}
	return w.judge(w.leader, rev, heard, unreached)
}

// crash ends a keeper, which loses its leases, and what it has applied since its snapshot.
func (w *world) crash(k *keeper) {
	k.up, k.log, k.applied = false, NewLog(Retention{Revisions: worldKeep}), 0
}

// wake starts a keeper from its snapshot.
func (w *world) wake(k *keeper) error {
	k.up, k.leases = true, NewLeases(leaseMS)
	if k.disk == nil {
		return nil
	}
	k.applied = k.diskAt
	return k.log.UnmarshalBinary(k.disk)
}
