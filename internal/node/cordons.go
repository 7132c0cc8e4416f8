package node

import (
	"errors"
	"log/slog"
	"maps"
	"slices"
	"time"

	"windflow/dispatch"
	"windflow/internal/hotrestartipc"
	"windflow/internal/router"
	"windflow/internal/settings"
)

const (
	msgCordon      = "ban"    // cordonMessage: an operator's order
	msgCordonReply = "banned" // cordonMessage: it is in force
	// cordonTimeoutMS bounds the wait for the other process's reply to a cordon; the operator is answered then.
	cordonTimeoutMS = 300.0
	// cordonPollInterval is how often the folder of cordons is read. The rule on cordons leaves a second.
	cordonPollInterval = 250 * time.Millisecond
	// maxQueuedFolderWork is how much work with the folder waits at most.
	maxQueuedFolderTasks = 64
)

// errFolderBlocked says that earlier work with the folder of cordons does not come to an end.
var errFolderBlocked = errors.New("the disk does not answer")

// cordonMessage passes an operator's order to the other process, which sends it back with its answer.
type cordonMessage struct {
	Number     int               `json:"n"`
	ID         dispatch.EngineID `json:"id"`
	Cordon     bool              `json:"exclude"`
	Known      bool              `json:"known"`
	MemoryOnly bool              `json:"unnoted,omitempty"` // it is in no folder; since version 2
}

// cordonStore keeps the engines that operators cordoned. A cordon is stored in a folder that all processes of the
// router read, so that it is in force in each of them, and is passed on as a message too, so that an operator's
// answer is true in both at once.
type cordonStore struct {
	log         *slog.Logger
	loop        *router.Loop
	slot        *hotrestartipc.ProcessSlot // has the folder; nil for none
	services    *services
	partner     *partnerLink
	cordoned    map[dispatch.EngineID]bool // as the folder has them
	memoryOnly  bool                       // the folder can't be written: cordons go by messages alone
	folderTasks chan func()                // work with the folder, in order
	pending     pendingReplies[bool]
}

func newCordonStore(log *slog.Logger, loop *router.Loop, services *services, partner *partnerLink) *cordonStore {
	return &cordonStore{
		log: log, loop: loop, services: services, partner: partner,
		cordoned:    map[dispatch.EngineID]bool{},
		folderTasks: make(chan func(), maxQueuedFolderTasks),
		pending:     newPendingReplies[bool](loop),
	}
}

// list returns the engines that are cordoned, by their ids.
func (s *cordonStore) list() []dispatch.EngineID { return slices.Sorted(maps.Keys(s.cordoned)) }

// run does what waits for files, so that the loop does not, until done is closed.
func (s *cordonStore) run(done <-chan struct{}) {
	poll := time.NewTicker(cordonPollInterval)
	defer poll.Stop()
	for {
		select {
		case f := <-s.folderTasks:
			f()
		case <-poll.C:
			if s.slot != nil {
				s.read()
			}
		case <-done:
			return
		}
	}
}

// enqueue queues work with the folder after what was queued before; where that does not end, it calls
// blocked instead.
func (s *cordonStore) enqueue(task, blocked func()) {
	select {
	case s.folderTasks <- task:
	default:
		blocked()
	}
}

// order carries out an operator's order on an engine, and answers once it is in force in all processes of this router:
// false for an engine that none of them knows.
func (s *cordonStore) setCordon(engine string, cordon bool, answer func(known bool)) {
	id, err := settings.ParseEngineID(engine)
	if err != nil {
		answer(false)
		return
	}
	known := s.services.core.KnowsEngine(id)
	s.store(id, cordon, known, func() { s.forward(id, cordon, known, answer) })
}

// store writes a cordon, or its end, where all processes of this router see it, then applies it here, then continues.
func (s *cordonStore) store(id dispatch.EngineID, cordon, known bool, done func()) {
	apply := func() {
		if known {
			s.apply(id, cordon)
		}
		done()
	}
	if s.slot == nil || !known {
		apply()
		return
	}
	engine := settings.FormatEngineID(id)
	notStored := func(err error) {
		s.log.Warn("cordon store failed", "engine", engine, "error", err)
		s.memoryOnly = true // the folder would undo it
		apply()
	}
	s.enqueue(func() {
		err := s.slot.SetCordon(engine, cordon)
		s.loop.Post(func() {
			if err != nil {
				notStored(err)
				return
			}
			apply()
		})
	}, func() { notStored(errFolderBlocked) })
}

func (s *cordonStore) apply(id dispatch.EngineID, cordon bool) {
	if cordon {
		s.services.core.Cordon(id)
		s.cordoned[id] = true
		return
	}
	s.services.core.Uncordon(id)
	delete(s.cordoned, id)
}

// passOn tells the other process of an operator's order, and answers the operator once it is in force there too.
func (s *cordonStore) forward(id dispatch.EngineID, cordon, known bool, answer func(known bool)) {
	if !s.partner.connected() {
		answer(known)
		return
	}
	number := s.pending.add(cordonTimeoutMS, false, func(knownThere bool) { answer(known || knownThere) })
	s.partner.send(msgCordon, cordonMessage{Number: number, ID: id, Cordon: cordon, MemoryOnly: s.memoryOnly})
}

// ordered carries out an operator's order to the other process, and replies once it is in force here.
func (s *cordonStore) handleRequest(from *peer, request cordonMessage) {
	request.Known = s.services.core.KnowsEngine(request.ID)
	reply := func() { from.send(msgCordonReply, request) }
	if from.version >= 2 && !request.MemoryOnly && !s.memoryOnly {
		// The other process has stored it, and must not be overtaken by a second note of this one's; what is read of
		// the folder from now on has it.
		s.refresh(reply)
		return
	}
	s.memoryOnly = s.memoryOnly || request.MemoryOnly
	s.store(request.ID, request.Cordon, request.Known, reply)
}

// replied takes the other process's answer to an order.
func (s *cordonStore) handleReply(_ *peer, reply cordonMessage) {
	s.pending.resolve(reply.Number, reply.Known)
}

// partnerLost ends the wait for a process whose link has ended.
func (s *cordonStore) partnerLost() { s.pending.resolveAll(false) }

// refresh reads the folder, where there is one, and calls done in the loop once what it has is in force.
func (s *cordonStore) refresh(done func()) {
	if s.slot == nil {
		done()
		return
	}
	s.enqueue(func() {
		s.read()
		s.loop.Post(done)
	}, done)
}

// read posts the stored cordons to the loop, which adopts them. It is called where files may be waited for.
func (s *cordonStore) read() {
	names, err := s.slot.Cordoned()
	if err != nil {
		return
	}
	stored := map[dispatch.EngineID]bool{}
	for _, name := range names {
		if id, err := settings.ParseEngineID(name); err == nil {
			stored[id] = true
		}
	}
	s.loop.Post(func() { s.adopt(stored) })
}

// adopt carries out the cordons that operators ordered at other processes of this router.
func (s *cordonStore) adopt(stored map[dispatch.EngineID]bool) {
	if s.memoryOnly || maps.Equal(stored, s.cordoned) {
		return
	}
	previous := s.cordoned
	s.cordoned = stored
	if !s.services.built() {
		return // they are in force once it is built
	}
	for id := range previous {
		if !stored[id] {
			s.services.core.Uncordon(id)
		}
	}
	s.services.core.AdoptCordons(s.list())
	s.log.Info("cordons adopted", "cordoned", len(stored))
}
