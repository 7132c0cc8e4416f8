package keeper

import (
	"encoding/json"
	"fmt"
	"io"
	"slices"
	"sync"

	"github.com/hashicorp/raft"

	"windflow/internal/decide/configerror"
	"windflow/internal/decide/configlog"
)

// maxSnapshotBytes bounds how much of a snapshot is read.
const maxSnapshotBytes = 1 << 30

// stateMachine is the replicated state: the log of revisions and the roster of followers. Only raft changes it, with
// entries that a majority has stored; the calls of operators and followers read it.
type stateMachine struct {
	changed *notifier

	mu  sync.Mutex
	log *configlog.Log
}

func newStateMachine(retention configlog.Retention) *stateMachine {
	return &stateMachine{log: configlog.NewLog(retention), changed: newNotifier()}
}

// nextChange returns a channel that is closed when the state changes.
func (m *stateMachine) nextChange() <-chan struct{} { return m.changed.wait() }

// changeOutcome is the result of Apply for a change.
type changeOutcome struct {
	configlog.Result
	// BaseMoved reports that the change was not applied, because it was checked against a revision that is no longer
	// current.
	BaseMoved bool
}

// Apply implements raft.FSM: it applies a committed entry. For a Change it returns a changeOutcome, for a Forget a bool
// that is true if the follower was on the roster, and for a Join nil. It panics on an entry that cannot be decoded: if
// the entry were skipped, this keeper would have different content than the others under the same revision.
func (m *stateMachine) Apply(entry *raft.Log) any {
	decoded, err := decodeCommand(entry.Data)
	if err != nil {
		panic(fmt.Sprintf("keeper: entry %d: %v", entry.Index, err))
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.notify()
	switch {
	case decoded.Change != nil:
		return m.applyChange(decoded.Change)
	case decoded.Forget != "":
		return m.log.RemoveMember(decoded.Forget)
	}
	for _, process := range decoded.Join {
		m.log.AddMember(process.Name, process.Instance)
	}
	return nil
}

func (m *stateMachine) applyChange(change *changeCommand) changeOutcome {
	if change.Base != m.log.Revision() {
		return changeOutcome{Result: configlog.Result{Revision: m.log.Revision()}, BaseMoved: true}
	}
	return changeOutcome{Result: m.log.Apply(change.Change)}
}

// snapshotState is an encoded copy of the state. It implements raft.FSMSnapshot.
type snapshotState []byte

// Snapshot implements raft.FSM: it returns a copy of the state, which raft persists while it applies further entries.
func (m *stateMachine) Snapshot() (raft.FSMSnapshot, error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	encoded, err := m.log.MarshalBinary()
	return snapshotState(encoded), err
}

// Persist implements raft.FSMSnapshot: it writes the state to the sink.
func (s snapshotState) Persist(sink raft.SnapshotSink) error {
	if _, err := sink.Write(s); err != nil {
		_ = sink.Cancel()
		return err
	}
	return sink.Close()
}

// Release implements raft.FSMSnapshot. It does nothing, because the garbage collector frees the state.
func (s snapshotState) Release() {}

// Restore implements raft.FSM: it replaces the state with that of a snapshot.
func (m *stateMachine) Restore(snapshot io.ReadCloser) error {
	defer func() { _ = snapshot.Close() }()
	encoded, err := io.ReadAll(io.LimitReader(snapshot, maxSnapshotBytes))
	if err != nil {
		return err
	}
	log := configlog.NewLog(configlog.Retention{})
	if err := log.UnmarshalBinary(encoded); err != nil {
		return err
	}
	m.mu.Lock()
	defer m.mu.Unlock()
	defer m.changed.notify()
	m.log = log
	return nil
}

// logSummary describes the log of revisions.
type logSummary struct {
	Revision uint64         // current revision
	Oldest   uint64         // oldest revision that is kept
	Hash     configlog.Hash // of the current content
}

func (m *stateMachine) summary() logSummary {
	m.mu.Lock()
	defer m.mu.Unlock()
	return logSummary{Revision: m.log.Revision(), Oldest: m.log.OldestRevision(), Hash: m.log.Hash()}
}

// preview returns the content that a change would produce, and the revision that the change would be applied to.
func (m *stateMachine) preview(
	change configlog.Change,
) (base uint64, content map[string]json.RawMessage, changeErr *configerror.Error) {
	m.mu.Lock()
	defer m.mu.Unlock()
	content, changeErr = m.log.Preview(change)
	return m.log.Revision(), content, changeErr
}

// nextUpdate returns the next update for a follower and whether its process is on the roster. changed is closed when
// either result may have changed.
func (m *stateMachine) nextUpdate(
	status configlog.FollowerStatus,
) (update configlog.Update, registered bool, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.NextUpdate(status), m.log.HasMember(status.Name, status.Instance), m.changed.wait()
}

// contentAt returns the content at a revision; nil means the current one. It returns an error if the revision does not
// exist or is no longer kept. changed is closed when the state changes.
func (m *stateMachine) contentAt(
	revision *uint64,
) (content configContent, changeErr *configerror.Error, changed <-chan struct{}) {
	m.mu.Lock()
	defer m.mu.Unlock()
	changed = m.changed.wait()
	content.Revision = m.revisionOrCurrent(revision)
	if content.Entries, changeErr = m.log.EntriesAt(content.Revision); changeErr != nil {
		return content, changeErr, changed
	}
	content.Hash = m.hashAt(content.Revision, content.Entries)
	return content, nil, changed
}

func (m *stateMachine) revisionOrCurrent(revision *uint64) uint64 {
	if revision != nil {
		return *revision
	}
	return m.log.Revision()
}

func (m *stateMachine) hashAt(revision uint64, entries map[string]json.RawMessage) configlog.Hash {
	if revision == m.log.Revision() {
		return m.log.Hash()
	}
	history := m.log.History(revision, 1)
	if len(history) == 1 && history[0].Revision == revision {
		return history[0].Hash
	}
	return configlog.HashEntries(entries)
}

// history returns up to count revisions in ascending order, starting with the revision from.
func (m *stateMachine) history(from uint64, count int) []configlog.Revision {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.History(from, count)
}

// followerNames returns the names of the followers on the roster.
func (m *stateMachine) followerNames() []string {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Members()
}

// unregistered returns the processes that are not on the roster.
func (m *stateMachine) unregistered(processes []followerProcess) []followerProcess {
	m.mu.Lock()
	defer m.mu.Unlock()
	return slices.DeleteFunc(slices.Clone(processes), func(process followerProcess) bool {
		return m.log.HasMember(process.Name, process.Instance)
	})
}

// convergence returns which followers have put a revision into effect; nil means the current revision of this keeper.
func (m *stateMachine) convergence(revision *uint64, gathered gatheredLeases) configlog.ConvergenceStatus {
	m.mu.Lock()
	defer m.mu.Unlock()
	return m.log.Convergence(m.revisionOrCurrent(revision), gathered.leases, gathered.unreached)
}
