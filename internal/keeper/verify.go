package keeper

import (
	"errors"
	"fmt"
	"hash/crc32"
	"os"
	"path/filepath"
	"runtime/debug"

	"github.com/hashicorp/go-hclog"
	"github.com/hashicorp/raft"
	raftboltdb "github.com/hashicorp/raft-boltdb/v2"
	"go.etcd.io/bbolt"
	bbolterrors "go.etcd.io/bbolt/errors"
	"golang.org/x/sys/unix"

	"windflow/internal/decide/configlog"
)

// damageError describes damaged content of a folder. Other errors of the functions below are system errors, such as a
// missing permission, which say nothing about the content.
type damageError struct{ reason string }

func (e *damageError) Error() string { return e.reason }

func damaged(format string, args ...any) error { return &damageError{fmt.Sprintf(format, args...)} }

// lastEntry identifies the last entry of a log; it is zero for an empty log.
type lastEntry struct{ index, term uint64 }

// verifyStores reads all raft data in a folder, and returns a damageError if it cannot be used. lastIndex is the index
// of the last entry in the log or in the newest snapshot.
func verifyStores(dir string) (lastIndex uint64, err error) {
	votePath, logPath := filepath.Join(dir, voteFile), filepath.Join(dir, logFile)
	for _, path := range []string{votePath, logPath} {
		if _, err := os.Lstat(path); errors.Is(err, os.ErrNotExist) {
			return 0, damaged("%s is missing", filepath.Base(path))
		}
		if err := verifyDatabase(path); err != nil {
			return 0, err
		}
	}
	snapshotIndex, err := verifySnapshots(dir)
	if err != nil {
		return 0, err
	}
	last, err := verifyEntries(logPath, snapshotIndex)
	if err != nil {
		return 0, err
	}
	minTerm := last.term
	if snapshotIndex > 0 {
		minTerm = max(minTerm, 1)
	}
	if err := verifyTerm(votePath, minTerm); err != nil {
		return 0, err
	}
	return max(last.index, snapshotIndex), nil
}

// verifyTerm returns a damageError if the stored term is lower than minTerm, the term of the last entry.
func verifyTerm(path string, minTerm uint64) (err error) {
	store, err := openBoltStore(path)
	if err != nil {
		return err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	term, err := store.GetUint64(currentTermKey)
	if err != nil && !errors.Is(err, raftboltdb.ErrKeyNotFound) {
		return err
	}
	if term < minTerm {
		return damaged("%s has term %d, but the last entry has term %d", voteFile, term, minTerm)
	}
	return nil
}

// verifyDatabase reads each page in use of a bbolt file. Reading past the end of a truncated file causes a memory
// fault, and bbolt panics on some invalid pages; verifyDatabase returns a damageError for both.
func verifyDatabase(path string) (err error) {
	defer debug.SetPanicOnFault(debug.SetPanicOnFault(true))
	defer func() {
		if cause := recover(); cause != nil {
			err = damaged("%s: %v", filepath.Base(path), cause)
		}
	}()
	db, err := bbolt.Open(path, 0o600, databaseOptions)
	switch {
	case err == nil:
	case errors.Is(err, bbolterrors.ErrTimeout):
		return fmt.Errorf("%s is in use by another process", path)
	case isSystemError(err):
		return err
	default:
		return damaged("%s: %v", filepath.Base(path), err)
	}
	if err := errors.Join(readAllValues(db), db.Close()); err != nil {
		return damaged("%s: %v", filepath.Base(path), err)
	}
	return nil
}

func readAllValues(db *bbolt.DB) error {
	checksum := uint32(0) // unused; computing it reads every byte
	return db.View(func(tx *bbolt.Tx) error {
		return tx.ForEach(func(_ []byte, bucket *bbolt.Bucket) error {
			return bucket.ForEach(func(_, value []byte) error {
				checksum = crc32.Update(checksum, castagnoli, value)
				return nil
			})
		})
	})
}

func isSystemError(err error) bool {
	var pathError *os.PathError
	return errors.As(err, &pathError) || errors.Is(err, unix.ENOSPC) || errors.Is(err, unix.EFBIG)
}

// verifySnapshots reads the newest snapshot and verifies its checksum. It returns the index of the last entry in the
// snapshot, or 0 if there is no snapshot.
func verifySnapshots(dir string) (newestIndex uint64, err error) {
	if _, err := os.Lstat(filepath.Join(dir, snapshotDir)); errors.Is(err, os.ErrNotExist) {
		return 0, nil
	}
	store, err := raft.NewFileSnapshotStoreWithLogger(dir, keptSnapshots, hclog.NewNullLogger())
	if err != nil {
		return 0, err
	}
	snapshots, err := store.List()
	if err != nil || len(snapshots) == 0 {
		return 0, err
	}
	newest := snapshots[0]
	_, content, err := store.Open(newest.ID)
	if err != nil {
		return 0, damaged("snapshot %s: %v", newest.ID, err)
	}
	if err := newStateMachine(configlog.Retention{}).Restore(content); err != nil {
		return 0, damaged("snapshot %s: %v", newest.ID, err)
	}
	return newest.Index, nil
}

// verifyEntries checks that the log continues the newest snapshot without a gap and that no entry is damaged.
func verifyEntries(path string, snapshotIndex uint64) (last lastEntry, err error) {
	store, err := openBoltStore(path)
	if err != nil {
		return lastEntry{}, err
	}
	defer func() { err = errors.Join(err, store.Close()) }()
	if _, err := store.GetUint64(createdKey); err != nil {
		// bbolt initializes an empty file as a new database without this key.
		return lastEntry{}, damaged("%s has lost its content", logFile)
	}
	firstIndex, err := store.FirstIndex()
	if err != nil {
		return lastEntry{}, err
	}
	lastIndex, err := store.LastIndex()
	if err != nil {
		return lastEntry{}, err
	}
	if firstIndex > snapshotIndex+1 {
		return lastEntry{}, damaged("%s: entries %d to %d are missing", logFile, snapshotIndex+1, firstIndex-1)
	}
	last.index = lastIndex
	entries := checksummedLog{store}
	for i := max(firstIndex, 1); i <= lastIndex; i++ {
		var entry raft.Log
		if err := entries.GetLog(i, &entry); err != nil {
			return lastEntry{}, damaged("%s: entry %d: %v", logFile, i, err)
		}
		if entry.Index != i {
			return lastEntry{}, damaged("%s: entry %d has index %d", logFile, i, entry.Index)
		}
		last.term = entry.Term
	}
	return last, nil
}
