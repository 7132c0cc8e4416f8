package configclient

import (
	"bytes"
	"context"
	"crypto/sha256"
	"encoding/hex"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"io/fs"
	"log/slog"
	"net/url"
	"os"
	"path/filepath"
	"time"

	"windflow/internal/decide/configlog"
)

const (
	// copyHeader begins the first line of a copy. That line ends with the SHA-256 of the rest of the file.
	copyHeader = "windflow configuration 1 "
	// maxCopyBytes bounds the bytes that are read of a copy.
	maxCopyBytes = maxAnswerBytes + 4<<10
	// writeRetryInterval is the time after which a failed write of a copy is retried.
	writeRetryInterval = 10 * time.Second
)

// copyStore saves the last revision in force to a file that belongs to this router. During a hot restart both processes
// of the router write the same file.
type copyStore struct {
	path, router string
	counters     *Counters
	log          *slog.Logger
	pending      chan configlog.SavedRevision // the latest one, until it is written
	failing      bool                         // the latest write failed
}

func newCopyStore(dir, router string, counters *Counters, log *slog.Logger) *copyStore {
	return &copyStore{
		path:     filepath.Join(dir, url.PathEscape(router)+".revision"),
		router:   router,
		counters: counters,
		log:      log,
		pending:  make(chan configlog.SavedRevision, 1),
	}
}

// copyContent is the JSON content of a copy after its first line.
type copyContent struct {
	Router string                  `json:"router"`
	Saved  configlog.SavedRevision `json:"saved"`
}

// load reads the copy. The error wraps fs.ErrNotExist if there is no copy, and configlog.ErrDamaged if its content is
// not a valid copy of this router.
func (s *copyStore) load() (configlog.SavedRevision, error) {
	file, err := os.Open(s.path)
	if err != nil {
		return configlog.SavedRevision{}, err
	}
	defer func() { _ = file.Close() }()
	text, err := io.ReadAll(io.LimitReader(file, maxCopyBytes+1))
	if err != nil {
		return configlog.SavedRevision{}, err
	}
	return s.decode(text)
}

// decode checks and decodes the content of a copy. Its errors wrap configlog.ErrDamaged.
func (s *copyStore) decode(text []byte) (none configlog.SavedRevision, err error) {
	line, body, _ := bytes.Cut(text, []byte("\n"))
	checksum, found := bytes.CutPrefix(line, []byte(copyHeader))
	if !found {
		return none, fmt.Errorf("%w: the first line does not begin with %q", configlog.ErrDamaged, copyHeader)
	}
	if string(checksum) != hexChecksum(body) {
		return none, fmt.Errorf("%w: the checksum in the first line is not that of the content", configlog.ErrDamaged)
	}
	var content copyContent
	if err := json.Unmarshal(body, &content); err != nil {
		return none, fmt.Errorf("%w: %w", configlog.ErrDamaged, err)
	}
	if content.Router != s.router {
		return none, fmt.Errorf("%w: the copy belongs to router %q, expected %q",
			configlog.ErrDamaged, content.Router, s.router)
	}
	return content.Saved, nil
}

func hexChecksum(body []byte) string {
	sum := sha256.Sum256(body)
	return hex.EncodeToString(sum[:])
}

// loadOrSetAside returns the copy if there is a valid one, and sets a damaged one aside.
func (s *copyStore) loadOrSetAside() (saved configlog.SavedRevision, found bool) {
	saved, err := s.load()
	switch {
	case err == nil:
		return saved, true
	case errors.Is(err, configlog.ErrDamaged):
		s.setAside(err)
	case !errors.Is(err, fs.ErrNotExist):
		s.log.Error("configuration copy read failed", "file", s.path, "error", err)
	}
	return configlog.SavedRevision{}, false
}

// setAside renames a copy that cannot be used, so that it can be inspected later.
func (s *copyStore) setAside(reason error) {
	s.counters.CopiesSetAside.Add(1)
	aside := s.path + ".aside"
	err := os.Rename(s.path, aside)
	s.log.Error("configuration copy set aside", "file", s.path, "aside", aside, "reason", reason, "error", err)
}

// save schedules a revision to be written in the background, in place of one that is not written yet.
func (s *copyStore) save(saved configlog.SavedRevision) {
	for {
		select {
		case s.pending <- saved:
			return
		default:
		}
		select {
		case <-s.pending:
		default:
		}
	}
}

// run writes pending revisions until ctx ends; then it writes the last pending one and returns.
func (s *copyStore) run(ctx context.Context) {
	var failed *configlog.SavedRevision
	retries := time.NewTicker(writeRetryInterval)
	defer retries.Stop()
	write := func(saved configlog.SavedRevision) {
		failed = nil
		if !s.writeAndLog(saved) {
			failed = &saved
		}
	}
	for {
		select {
		case saved := <-s.pending:
			write(saved)
		case <-retries.C:
			if failed != nil {
				write(*failed)
			}
		case <-ctx.Done():
			select {
			case saved := <-s.pending:
				write(saved)
			default:
			}
			return
		}
	}
}

// writeAndLog writes a copy and reports whether that succeeded. It logs the first of several failures in a row and the
// first success after them.
func (s *copyStore) writeAndLog(saved configlog.SavedRevision) bool {
	err := s.write(saved)
	if err != nil {
		s.counters.CopyWriteErrors.Add(1)
		if !s.failing {
			s.log.Error("configuration copy write failed", "file", s.path, "error", err)
		}
	} else if s.failing {
		s.log.Info("configuration copy write recovered", "file", s.path, "revision", saved.Revision)
	}
	s.failing = err != nil
	return err == nil
}

// write replaces the copy completely or not at all. It keeps a copy of a later revision, which the other process of
// this router has written.
func (s *copyStore) write(saved configlog.SavedRevision) error {
	if existing, err := s.load(); err == nil && existing.Revision > saved.Revision {
		return nil
	}
	body, err := json.Marshal(copyContent{Router: s.router, Saved: saved})
	if err != nil {
		return err
	}
	return replaceFile(s.path, append([]byte(copyHeader+hexChecksum(body)+"\n"), body...))
}

// replaceFile writes and syncs a temporary file and renames it to path, so that path never has partial content.
func replaceFile(path string, text []byte) error {
	dir := filepath.Dir(path)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	file, err := os.CreateTemp(dir, filepath.Base(path)+".new*")
	if err != nil {
		return err
	}
	err = writeSyncClose(file, text)
	if err == nil {
		err = os.Rename(file.Name(), path)
	}
	if err != nil {
		_ = os.Remove(file.Name())
		return err
	}
	return syncDir(dir)
}

// writeSyncClose writes, syncs and closes a file and returns the first error. It closes the file in any case.
func writeSyncClose(file *os.File, text []byte) error {
	_, err := file.Write(text)
	if err == nil {
		err = file.Sync()
	}
	if closeErr := file.Close(); err == nil {
		err = closeErr
	}
	return err
}

// syncDir syncs a directory. Without it, a rename in the directory may be lost in a power failure.
func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	defer func() { _ = dir.Close() }()
	return dir.Sync()
}
