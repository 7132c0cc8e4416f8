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
	// keptSnapshots is the number of snapshots kept on disk: the newest, and the one before it in case that writing the
	// newest was interrupted.
	keptSnapshots = 2
	// reservedVoteBytes is the disk space that is allocated in advance for term and vote.
	reservedVoteBytes = 256 << 10
	// reservingWrites is the number of writes at startup. They create the database pages that later writes reuse.
	reservingWrites = 16
	// databaseLockTimeout bounds the wait for a database that another process has open.
	databaseLockTimeout = time.Second
)

var (
	// createdKey is written to the log database when it is created. A database without it has lost its content; see
	// verifyEntries.
	createdKey = []byte("made")
	// reservingKey is the key that the reserving writes set; see reserveVotePages.
	reservingKey = []byte("turn")
	// currentTermKey is the key under which raft stores the term.
	currentTermKey = []byte("CurrentTerm")
)

var databaseOptions = &bbolt.Options{Timeout: databaseLockTimeout, FreelistType: bbolt.FreelistMapType}

// stores holds the data that raft keeps on disk. Term and vote have a file of their own with reserved space, apart from
// the log entries: raft panics if it cannot write them, so it must be possible to write them when the disk is too full
// for log entries.
type stores struct {
	entries   *raftboltdb.BoltStore
	votes     *raftboltdb.BoltStore
	snapshots *raft.FileSnapshotStore
}

// openStores opens the stores in dir, creating them if necessary. Errors name the flag --dir.
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

// reserveVotePages ensures that term and vote can still be written when the disk is full.
func reserveVotePages(path string, votes *raftboltdb.BoltStore) error {
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err != nil {
		return err
	}
	err = unix.Fallocate(int(file.Fd()), 0, 0, reservedVoteBytes)
	if errors.Is(err, unix.EOPNOTSUPP) {
		err = nil // without fallocate, the writes below allocate the pages
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

// checksummedLog verifies the checksum of each command that it reads, so that a damaged entry is not sent to other
// keepers.
type checksummedLog struct{ raft.LogStore }

// GetLog implements raft.LogStore.
func (c checksummedLog) GetLog(index uint64, entry *raft.Log) error {
	if err := c.LogStore.GetLog(index, entry); err != nil {
		return err // not wrapped, because raft compares it with ErrLogNotFound by ==
	}
	if entry.Type == raft.LogCommand {
		if err := verifyCommand(entry.Data); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
	}
	return nil
}
