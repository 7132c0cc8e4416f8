package keeper

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	"golang.org/x/sys/unix"
)

const (
	// keptSnapshots are kept on disk; the newest counts, the one before is for a write of the newest that is cut short.
	keptSnapshots = 2
	// reservedVoteBytes are allocated on the disk for term and vote; reservingWrites at the start make the pages that
	// later writes use in turn.
	reservedVoteBytes = 256 << 10
	reservingWrites   = 16
	// databaseLockTimeout bounds the wait for another process that has a database open.
	databaseLockTimeout = time.Second
)

var (
	// createdKey is in the database of entries from its creation on.
	createdKey = []byte("made")
	// reservingKey is the key of the reserving writes.
	reservingKey = []byte("turn")
	// currentTermKey is the key under which raft stores the term.
	currentTermKey = []byte("CurrentTerm")
)

var databaseOptions = &bbolt.Options{Timeout: databaseLockTimeout, FreelistType: bbolt.FreelistMapType}

// stores are what raft keeps on disk. Term and vote are stored apart from the entries: raft ends the process when it
// can't write them, so they must not meet a full disk together with the entries.
type stores struct {
	entries   *raftboltdb.BoltStore
	votes     *raftboltdb.BoltStore
	snapshots *raft.FileSnapshotStore
}

// openStores opens the stores below dir. Errors name the flag --dir.
func openStores(dir string, log hclog.Logger) (*stores, error) {
	votes, err := openVotes(filepath.Join(dir, voteFile))
	if err != nil {
		return nil, fmt.Errorf("--dir: %s: %s: %w", dir, voteFile, err)
	}
	entries, err := openBoltStore(filepath.Join(dir, logFile))
	if err != nil {
		_ = votes.Close()
		return nil, fmt.Errorf("--dir: %s: %s: %w", dir, logFile, err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, log)
	if err == nil {
		if _, missing := entries.GetUint64(createdKey); missing != nil {
			err = entries.SetUint64(createdKey, 1)
		}
	}
	if err != nil {
		_ = votes.Close()
		_ = entries.Close()
		return nil, fmt.Errorf("--dir: %s: %w", dir, err)
	}
	return &stores{entries: entries, votes: votes, snapshots: snapshots}, nil
}

func openBoltStore(path string) (*raftboltdb.BoltStore, error) {
	return raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: databaseOptions})
}

func openVotes(path string) (*raftboltdb.BoltStore, error) {
	votes, err := openBoltStore(path)
	if err != nil {
		return nil, err
	}
	if err := reserveVotePages(path, votes); err != nil {
		_ = votes.Close()
		return nil, err
	}
	return votes, nil
}

// reserveVotePages makes sure that term and vote can be written later, also on a full disk.
func reserveVotePages(path string, votes *raftboltdb.BoltStore) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	err = unix.Fallocate(int(file.Fd()), 0, 0, reservedVoteBytes)
	if errors.Is(err, unix.EOPNOTSUPP) {
		err = nil // the writes below allocate the pages by themselves
	}
	if err := errors.Join(err, file.Close()); err != nil {
		return err
	}
	for i := range uint64(reservingWrites) {
		if err := votes.SetUint64(reservingKey, i); err != nil {
			return err
		}
	}
	return nil
}

func (s *stores) close() {
	_ = s.entries.Close()
	_ = s.votes.Close()
}

// checksummedLog returns no entry that differs from what was written: a damaged one must not reach other keepers.
type checksummedLog struct{ raft.LogStore }

// GetLog implements raft.LogStore.
func (c checksummedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := c.LogStore.GetLog(index, entry); err != nil {
		return err // not wrapped: raft compares it with ErrLogNotFound
	}
	if entry.Type == raft.LogCommand {
		if err := verifyCommand(entry.Data); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
	}
	return nil
}
