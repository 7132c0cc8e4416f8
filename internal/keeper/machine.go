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

// machine is the replicated state: the log of revisions and the roster of followers. Raft alone changes it; the calls of
// operators and followers read it. It holds only entries that a majority has.
type machine struct {
	mu      sync.Mutex
	log     *configlog.Log
	changed chan struct{} // closed and replaced at each change
}

func newMachine(t configlog.Retention) *machine {
	return &machine{log: configlog.NewLog(t), changed: make(chan struct{})}
}

// outcome is what Apply gives for a change.
type outcome struct {
	configlog.Result
	Moved bool // the revision in force is no longer the one that the change was checked against; nothing was done
}

// Apply carries a committed entry out. An entry that can't be read stops the keeper: were it passed over, then this keeper
// would hold something else than the others under the same revision.
func (m *machine) Apply(l *raft.Log) any {
	c, err := decodeCommand(l.Data)
	if err != nil {
		panic(fmt.Sprintf("keeper: entry %d: %v", l.Index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	var out any
	switch {
	case c.Change != nil:
		out = m.change(c.Change)
	case c.Forget != "":
		out = m.log.Forget(c.Forget)
	default:
		for _, s := range c.Join {
			m.log.Join(s.Name, s.Instance)
		}
	}
	m.wake()
	return out
}

func (m *machine) change(c *changeCommand) outcome {
	if c.Base != m.log.Revision() {
		return outcome{Result: configlog.Result{Revision: m.log.Revision()}, Moved: true}
	}
	return outcome{Result: m.log.Apply(c.Change)}
}

func (m *machine) wake() {
	close(m.changed)
	m.changed = make(chan struct{})
}

// state is a snapshot's bytes.
type state []byte

// Snapshot copies the state; raft writes it out beside further entries.
func (m *machine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	text, err := m.log.MarshalBinary()
	return state(text), err
}

func (s state) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

func (s state) Release() {}

// mostState bounds a snapshot that is read.
const mostState = 1 << 30

// Restore takes a snapshot's state in place of the present one.
func (m *machine) Restore(r io.ReadCloser) error {
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
	m.wake()
	return nil
}

// stand is what is in force.
type stand struct {
	Revision uint64
	Oldest   uint64
	Hash     configlog.Hash
}

func (m *machine) stand() stand {
	m.mu.Lock()
	defer m.mu.Unlock()
	return stand{Revision: m.log.Revision(), Oldest: m.log.Oldest(), Hash: m.log.Hash()}
}

func (m *machine) preview(c configlog.Change) (base uint64, content map[string]json.RawMessage, fault *configlog.ChangeError) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, fault = m.log.Preview(c)
	return m.log.Revision(), content, fault
}

// next gives what a follower needs, whether its process is on the roster, and what is closed when that may differ.
func (m *machine) next(r configlog.FollowerStatus) (u configlog.Update, known bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Next(r), m.log.Joined(r.Name, r.Instance), m.changed
}

// at gives the content at a revision; nil for the one in force. changed is closed when another one is in force.
func (m *machine) at(rev *uint64) (c content, fault *configlog.ChangeError, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	c.Revision = m.log.Revision()
	if rev != nil {
		c.Revision = *rev
	}
	if c.Entries, fault = m.log.At(c.Revision); fault != nil {
		return c, fault, m.changed
	}
	c.Hash = m.log.Hash()
	if c.Revision != m.log.Revision() {
		if h := m.log.History(c.Revision, 1); len(h) == 1 && h[0].Revision == c.Revision {
			c.Hash = h[0].Hash
		} else {
			c.Hash = configlog.HashOf(c.Entries)
		}
	}
	return c, nil, m.changed
}

func (m *machine) history(from uint64, most int) []configlog.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.History(from, most)
}

// names gives the roster.
func (m *machine) names() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Members()
}

// lacks gives those of some processes that are not on the roster.
func (m *machine) lacks(seats []seat) []seat {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(seats), func(s seat) bool { return m.log.Joined(s.Name, s.Instance) })
}
