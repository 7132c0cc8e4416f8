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
	msgCordon      = "ban"    // cordonMessage: request
	msgCordonReply = "banned" // cordonMessage: reply once the change is in force
	// cordonTimeoutMS is how long a cordon waits for the other process's reply; after that the operator is answered
	// without it.
	cordonTimeoutMS = 300.0
	// cordonPollInterval is how often the cordon folder is read. A cordon has to be in force within a second.
	cordonPollInterval = 250 * time.Millisecond
	// maxQueuedFolderTasks is how many accesses to the cordon folder can be queued.
	maxQueuedFolderTasks = 64
)

// errFolderBlocked means that maxQueuedFolderTasks accesses to the cordon folder are waiting for a slow disk.
var errFolderBlocked = errors.New("cordon folder not written: its queue of disk accesses is full")

// cordonMessage passes the cordon of an engine, or its end, to the other process, which returns the message as its
// reply.
type cordonMessage struct {
	Number     int               `json:"n"`
	ID         dispatch.EngineID `json:"id"`
	Cordon     bool              `json:"exclude"`
	Known      bool              `json:"known"`
	MemoryOnly bool              `json:"unnoted,omitempty"` // not stored in the cordon folder; since protocol version 2
}

// cordonStore keeps the engines that operators cordoned. A cordon is stored in a folder that all processes of the
// router read, so that it comes into force in each of them. It is also sent to the other process as a message, so that
// it is in force in both processes when the operator is answered.
type cordonStore struct {
	log         *slog.Logger
	loop        *router.Loop
	slot        *hotrestartipc.ProcessSlot // provides the cordon folder; nil without a process slot
	services    *services
	partner     *partnerLink
	cordoned    map[dispatch.EngineID]bool // as stored in the folder
	memoryOnly  bool                       // the folder can't be written; cordons are exchanged by messages only
	folderTasks chan func()                // accesses to the folder, in order
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

// list returns the ids of the cordoned engines in ascending order.
func (s *cordonStore) list() []dispatch.EngineID { return slices.Sorted(maps.Keys(s.cordoned)) }

// run polls the cordon folder and runs the queued accesses to it until done is closed. It runs in a goroutine of its
// own, since the event loop must not wait for files.
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

// enqueue queues an access to the cordon folder. If the queue is full, it calls blocked instead.
func (s *cordonStore) enqueue(task, blocked func()) {
	select {
	case s.folderTasks <- task:
	default:
		blocked()
	}
}

// setCordon cordons an engine or ends its cordon, and calls answer once that is in force in all processes of this
// router. known is false if none of them knows the engine.
func (s *cordonStore) setCordon(engine string, cordon bool, answer func(known bool)) {
	id, err := settings.ParseEngineID(engine)
	if err != nil {
		answer(false)
		return
	}
	known := s.services.core.KnowsEngine(id)
	s.store(id, cordon, known, func() { s.forward(id, cordon, known, answer) })
}

// store writes a cordon, or its end, to the folder that all processes of this router read, applies it in this process,
// and calls done. If the folder can't be written, the change is still applied, and cordons are kept in memory from then
// on.
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
		s.memoryOnly = true // the next read of the folder would undo the change
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

// forward sends a cordon, or its end, to the other process, and calls answer once it is in force there too. Without
// another process it calls answer at once.
func (s *cordonStore) forward(id dispatch.EngineID, cordon, known bool, answer func(known bool)) {
	if !s.partner.connected() {
		answer(known)
		return
	}
	number := s.pending.add(cordonTimeoutMS, false, func(knownThere bool) { answer(known || knownThere) })
	s.partner.send(msgCordon, cordonMessage{Number: number, ID: id, Cordon: cordon, MemoryOnly: s.memoryOnly})
}

// handleRequest carries out a cordon, or its end, that the other process received from an operator, and replies once it
// is in force here.
func (s *cordonStore) handleRequest(from *peer, request cordonMessage) {
	request.Known = s.services.core.KnowsEngine(request.ID)
	reply := func() { from.send(msgCordonReply, request) }
	if from.version >= 2 && !request.MemoryOnly && !s.memoryOnly {
		// The other process has stored the change already, so that reading the folder is enough. Storing it here as well
		// could overwrite a later change by the other process.
		s.refresh(reply)
		return
	}
	s.memoryOnly = s.memoryOnly || request.MemoryOnly
	s.store(request.ID, request.Cordon, request.Known, reply)
}

// handleReply completes a request with the other process's reply.
func (s *cordonStore) handleReply(_ *peer, reply cordonMessage) {
	s.pending.resolve(reply.Number, reply.Known)
}

// partnerLost completes all pending requests after the link to the other process has ended.
func (s *cordonStore) partnerLost() { s.pending.resolveAll(false) }

// refresh reads the cordon folder, if there is one, and calls done in the event loop once the stored cordons are in
// force. If the folder is blocked, it calls done at once.
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

// read reads the cordon folder and has the event loop adopt its content. It waits for the disk, so it must not be
// called in the running loop.
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

// adopt puts the stored cordons in force. It has no effect while cordons are kept in memory only.
func (s *cordonStore) adopt(stored map[dispatch.EngineID]bool) {
	if s.memoryOnly || maps.Equal(stored, s.cordoned) {
		return
	}
	previous := s.cordoned
	s.cordoned = stored
	if !s.services.built() {
		return // build puts them in force
	}
	for id := range previous {
		if !stored[id] {
			s.services.core.Uncordon(id)
		}
	}
	s.services.core.AdoptCordons(s.list())
	s.log.Info("cordons adopted", "cordoned", len(stored))
}
