package keeper

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"
	"time"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	berrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"windflow/internal/decide/configlog"
)

const (
	// keptSnapshots are kept on disk; the newest counts, the one before is for the case that a write of it is cut short.
	keptSnapshots = 2
	// voteRoom is reserved on the disk for term and vote, and voteTurns writes at the start make the pages that they
	// go round in.
	voteRoom  = 256 << 10
	voteTurns = 16
	lockWait  = time.Second
)

// keyMade is in the file of entries from its making on.
var keyMade = []byte("made")

var boltOptions = &bbolt.Options{Timeout: lockWait, FreelistType: bbolt.FreelistMapType}

// stores are what raft keeps on disk. Term and vote lie apart from the entries: raft ends the process when it can't
// write them, so they must not run into a full disk with the entries.
type stores struct {
	entries   *raftboltdb.BoltStore
	votes     *raftboltdb.BoltStore
	snapshots *raft.FileSnapshotStore
}

func openStores(dir string, log hclog.Logger) (*stores, error) {
	votes, err := openVotes(filepath.Join(dir, voteFile))
	if err != nil {
		return nil, fmt.Errorf("--dir: %s: %s: %w", dir, voteFile, err)
	}
	entries, err := raftboltdb.New(raftboltdb.Options{Path: filepath.Join(dir, logFile), BoltOptions: boltOptions})
	if err != nil {
		_ = votes.Close()
		return nil, fmt.Errorf("--dir: %s: %s: %w", dir, logFile, err)
	}
	snapshots, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, log)
	if err == nil {
		if _, none := entries.GetUint64(keyMade); none != nil {
			err = entries.SetUint64(keyMade, 1)
		}
	}
	if err != nil {
		_ = votes.Close()
		_ = entries.Close()
		return nil, fmt.Errorf("--dir: %s: %w", dir, err)
	}
	return &stores{entries: entries, votes: votes, snapshots: snapshots}, nil
}

func openVotes(path string) (*raftboltdb.BoltStore, error) {
	votes, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: boltOptions})
	if err != nil {
		return nil, err
	}
	file, err := os.OpenFile(path, os.O_RDWR, 0)
	if err == nil {
		// A file system without reservation gives no error that matters: the turns below take the pages by themselves.
		if err = unix.Fallocate(int(file.Fd()), 0, 0, voteRoom); errors.Is(err, unix.EOPNOTSUPP) {
			err = nil
		}
		err = errors.Join(err, file.Close())
	}
	for i := uint64(0); i < voteTurns && err == nil; i++ {
		err = votes.SetUint64([]byte("turn"), i)
	}
	if err != nil {
		_ = votes.Close()
		return nil, err
	}
	return votes, nil
}

func (s *stores) close() {
	_ = s.entries.Close()
	_ = s.votes.Close()
}

// checksummedLog gives no entry out that differs from what was written: a damaged one must not go on to other keepers.
type checksummedLog struct{ raft.LogStore }

func (c checksummedLog) GetLog(index uint64, l *raft.Log) error {
	if err := c.LogStore.GetLog(index, l); err != nil {
		return err // as it is: raft compares it with ErrLogNotFound
	}
	if l.Type == raft.LogCommand {
		if err := verifyCommand(l.Data); err != nil {
			return fmt.Errorf("entry %d: %w", index, err)
		}
	}
	return nil
}

// sound looks through what raft left in a folder, and says what is damaged; "" for nothing. last is the place of the last
// entry, in the log or in a snapshot. An error is one of the machine's, not of the content.
func sound(dir string) (last uint64, why string, err error) {
	for _, file := range []string{voteFile, logFile} {
		path := filepath.Join(dir, file)
		if _, err := os.Lstat(path); errors.Is(err, os.ErrNotExist) {
			return 0, file + " is missing", nil
		}
		if why, err := soundFile(path); why != "" || err != nil {
			return 0, why, err
		}
	}
	newest, why, err := soundSnapshots(dir)
	if why != "" || err != nil {
		return 0, why, err
	}
	last, term, why, err := soundEntries(filepath.Join(dir, logFile), newest)
	if why != "" || err != nil {
		return 0, why, err
	}
	if newest > 0 {
		term = max(term, 1)
	}
	why, err = soundTerm(filepath.Join(dir, voteFile), term)
	return max(last, newest), why, err
}

// soundTerm looks whether the term that was written down is one in which the last entry can have come.
func soundTerm(path string, term uint64) (why string, err error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: boltOptions})
	if err != nil {
		return "", err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	now, err := store.GetUint64([]byte("CurrentTerm"))
	if errors.Is(err, raftboltdb.ErrKeyNotFound) {
		now, err = 0, nil
	}
	if now < term {
		why = fmt.Sprintf("%s is at term %d, the last entry came in term %d", voteFile, now, term)
	}
	return why, err
}

// soundFile reads each page of a bbolt file that is in use. Pages past the end of a cut file fault, and bbolt panics on
// some that make no sense; both are damage here.
func soundFile(path string) (why string, err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if p := recover(); p != nil {
			why, err = fmt.Sprintf("%s: %v", filepath.Base(path), p), nil
		}
	}()
	db, err := bbolt.Open(path, 0o600, boltOptions)
	switch {
	case err == nil:
	case errors.Is(err, berrors.ErrTimeout):
		return "", fmt.Errorf("%s is in use by another process", path)
	case pathError(err):
		return "", err
	default:
		return fmt.Sprintf("%s: %v", filepath.Base(path), err), nil
	}
	sum := uint32(0) // of no use but that each byte is read
	err = db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, b *bbolt.Bucket) error {
			return b.ForEach(func(_, v []byte) error {
				sum = crc32.Update(sum, castagnoli, v)
				return nil
			})
		})
	})
	if err = errors.Join(err, db.Close()); err != nil {
		return fmt.Sprintf("%s: %v", filepath.Base(path), err), nil
	}
	return "", nil
}

func pathError(err error) bool {
	var p *os.PathError
	return errors.As(err, &p) || errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EFBIG)
}

// soundSnapshots reads the newest snapshot against its checksum and gives the index that it stands for; 0 without one.
func soundSnapshots(dir string) (newest uint64, why string, err error) {
	if _, err := os.Lstat(filepath.Join(dir, stateDir)); errors.Is(err, os.ErrNotExist) {
		return 0, "", nil
	}
	store, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, hclog.NewNullLogger())
	if err != nil {
		return 0, "", err
	}
	list, err := store.List()
	if err != nil {
		return 0, "", err
	}
	if len(list) == 0 {
		return 0, "", nil
	}
	_, r, err := store.Open(list[0].ID)
	if err != nil {
		return 0, fmt.Sprintf("snapshot %s: %v", list[0].ID, err), nil
	}
	m := newStateMachine(configlog.Retention{})
	if err := m.Restore(r); err != nil {
		return 0, fmt.Sprintf("snapshot %s: %v", list[0].ID, err), nil
	}
	return list[0].Index, "", nil
}

// soundEntries looks whether the entries that follow the newest snapshot are all there and as they were written, and gives
// the place and the term of the last.
func soundEntries(path string, newest uint64) (last, term uint64, why string, err error) {
	store, err := raftboltdb.New(raftboltdb.Options{Path: path, BoltOptions: boltOptions})
	if err != nil {
		return 0, 0, "", err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if _, err := store.GetUint64(keyMade); err != nil {
		return 0, 0, logFile + " has lost its content", nil // bbolt takes an empty file for a new one
	}
	first, err := store.FirstIndex()
	if err != nil {
		return 0, 0, "", err
	}
	if last, err = store.LastIndex(); err != nil {
		return 0, 0, "", err
	}
	if first > newest+1 {
		return 0, 0, fmt.Sprintf("%s: entries %d to %d are missing", logFile, newest+1, first-1), nil
	}
	entries := checksummedLog{store}
	for i := max(first, 1); i <= last; i++ {
		var l raft.Log
		if err := entries.GetLog(i, &l); err != nil {
			return 0, 0, fmt.Sprintf("%s: entry %d: %v", logFile, i, err), nil
		}
		if l.Index != i {
			return 0, 0, fmt.Sprintf("%s: entry %d says that it is %d", logFile, i, l.Index), nil
		}
		term = l.Term
	}
	return last, term, "", nil
}
