package keeper

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"windflow/internal/decide/configlog"
)

// stateMachine is the replicated state: the log of revisions and the roster of followers. Raft alone changes it; the calls of
// operators and followers read it. It holds only entries that a majority has.
type stateMachine struct {
	mu      sync.Mutex
	log     *configlog.Log
	changed chan struct{} // closed and replaced at each change
}

func newStateMachine(t configlog.Retention) *stateMachine {
	return &stateMachine{log: configlog.NewLog(t), changed: make(chan struct{})}
}

// changeOutcome is what Apply gives for a change.
type changeOutcome struct {
	configlog.Result
	BaseMoved bool // the revision in force is no longer the one that the change was checked against; nothing was done
}

// Apply carries a committed entry out. An entry that can't be read stops the keeper: were it passed over, then this keeper
// would hold something else than the others under the same revision.
func (m *stateMachine) Apply(l *raft.Log) any {
	c, err := decodeCommand(l.Data)
	if err != nil {
		panic(fmt.Sprintf("keeper: entry %d: %v", l.Index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out any
	switch {
	case c.Change != nil:
		out = m.applyChange(c.Change)
	case c.Forget != "":
		out = m.log.RemoveMember(c.Forget)
	default:
		for _, s := range c.Join {
			m.log.AddMember(s.Name, s.Instance)
		}
	}
	m.notify()
	return out
}

func (m *stateMachine) applyChange(c *changeCommand) changeOutcome {
	if c.Base != m.log.Revision() {
		return changeOutcome{Result: configlog.Result{Revision: m.log.Revision()}, BaseMoved: true}
	}
	return changeOutcome{Result: m.log.Apply(c.Change)}
}

func (m *stateMachine) notify() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// snapshotState is a snapshot's bytes.
type snapshotState []byte

// Snapshot copies the state; raft writes it out beside further entries.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.log.MarshalBinary()
	return snapshotState(text), err
}

func (s snapshotState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s snapshotState) Release() {}

// mostState bounds a snapshot that is read.
const mostState = 1 << 30

// Restore takes a snapshot's state in place of the present one.
func (m *stateMachine) Restore(r io.ReadCloser) error {
	defer func() { _ = r.Close() }()
	text, err := io.ReadAll(io.LimitReader(r, mostState))
	if err != nil {
		return err
	}
	log := configlog.NewLog(configlog.Retention{})
	if err := log.UnmarshalBinary(text); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	m.log = log
	m.notify()
	return nil
}

// logSummary is what is in force.
type logSummary struct {
	Revision uint64
	Oldest   uint64
	Hash     configlog.Hash
}

func (m *stateMachine) summary() logSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return logSummary{Revision: m.log.Revision(), Oldest: m.log.OldestRevision(), Hash: m.log.Hash()}
}

func (m *stateMachine) preview(c configlog.Change) (base uint64, content map[string]json.RawMessage, fault *configlog.ChangeError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, fault = m.log.Preview(c)
	return m.log.Revision(), content, fault
}

// nextUpdate gives what a follower needs, whether its process is on the roster, and what is closed when that may differ.
func (m *stateMachine) nextUpdate(r configlog.FollowerStatus) (u configlog.Update, known bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.NextUpdate(r), m.log.HasMember(r.Name, r.Instance), m.changed
}

// contentAt gives the content at a revision; nil for the one in force. changed is closed when another one is in force.
func (m *stateMachine) contentAt(rev *uint64) (c configContent, fault *configlog.ChangeError, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Revision = m.log.Revision()
	if rev != nil {
		c.Revision = *rev
	}
	if c.Entries, fault = m.log.EntriesAt(c.Revision); fault != nil {
		return c, fault, m.changed
	}
	c.Hash = m.log.Hash()
	if c.Revision != m.log.Revision() {
		if h := m.log.History(c.Revision, 1); len(h) == 1 && h[0].Revision == c.Revision {
			c.Hash = h[0].Hash
		} else {
			c.Hash = configlog.HashEntries(c.Entries)
		}
	}
	return c, nil, m.changed
}

func (m *stateMachine) history(from uint64, most int) []configlog.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.History(from, most)
}

// followerNames gives the roster.
func (m *stateMachine) followerNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Members()
}

// unregistered gives those of some processes that are not on the roster.
func (m *stateMachine) unregistered(seats []followerProcess) []followerProcess {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(seats), func(s followerProcess) bool { return m.log.HasMember(s.Name, s.Instance) })
}
