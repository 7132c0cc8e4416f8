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
	// copyHeader begins a copy's first line, which ends with the SHA-256 of what follows it.
	copyHeader = "windflow configuration 1 "
	// mostCopy bounds what is read of a copy, in bytes.
	mostCopy = mostAnswer + 4<<10
	// againAfter is the wait before a copy that could not be written is tried again.
	againAfter = 10 * time.Second
)

// copyStore keeps the copy of the last good revision, in a file of this router's own: two processes of it write the same one.
type copyStore struct {
	path, name string
	counters   *Counters
	log        *slog.Logger
	next       chan configlog.SavedRevision // the latest that is not written yet
	failing    bool
}

func newCopyStore(dir, name string, n *Counters, log *slog.Logger) *copyStore {
	return &copyStore{path: filepath.Join(dir, url.PathEscape(name)+".revision"), name: name, counters: n, log: log, next: make(chan configlog.SavedRevision, 1)}
}

// copied is what stands in the file, after its first line.
type copied struct {
	Router string                  `json:"router"`
	Saved  configlog.SavedRevision `json:"saved"`
}

// load reads a copy: fs.ErrNotExist where there is none, ErrDamaged where it is not what was written.
func (d *copyStore) load() (s configlog.SavedRevision, err error) {
	f, err := os.Open(d.path)
	if err != nil {
		return s, err
	}
	defer f.Close()
	text, err := io.ReadAll(io.LimitReader(f, mostCopy+1))
	if err != nil {
		return s, err
	}
	line, rest, _ := bytes.Cut(text, []byte("\n"))
	sum, ok := bytes.CutPrefix(line, []byte(copyHeader))
	if !ok {
		return s, fmt.Errorf("%w: it is no copy of a configuration", configlog.ErrDamaged)
	}
	if got := sha256.Sum256(rest); hex.EncodeToString(got[:]) != string(sum) {
		return s, fmt.Errorf("%w: the checksum is that of another content", configlog.ErrDamaged)
	}
	var c copied
	if err := json.Unmarshal(rest, &c); err != nil {
		return s, fmt.Errorf("%w: %w", configlog.ErrDamaged, err)
	}
	if c.Router != d.name {
		return s, fmt.Errorf("%w: it is that of router %q", configlog.ErrDamaged, c.Router)
	}
	return c.Saved, nil
}

// read gives the copy, if there is a good one; one that is not is set aside.
func (d *copyStore) read() (configlog.SavedRevision, bool) {
	s, err := d.load()
	switch {
	case err == nil:
		return s, true
	case errors.Is(err, configlog.ErrDamaged):
		d.setAside(err)
	case !errors.Is(err, fs.ErrNotExist):
		d.log.Error("the copy of the configuration can't be read", "file", d.path, "err", err)
	}
	return s, false
}

// setAside takes a copy that can't be used out of the way, for a look at it.
func (d *copyStore) setAside(why error) {
	d.counters.CopiesSetAside.Add(1)
	aside := d.path + ".aside"
	err := os.Rename(d.path, aside)
	d.log.Error("the copy of the configuration was set aside", "file", d.path, "as", aside, "why", why, "err", err)
}

// save has a revision written when the disk comes to it. A later one that comes before takes its place.
func (d *copyStore) save(s configlog.SavedRevision) {
	for {
		select {
		case d.next <- s:
			return
		default:
		}
		select {
		case <-d.next:
		default:
		}
	}
}

// run writes what is to be saved, until the client ends. What came last is written then too.
func (d *copyStore) run(ctx context.Context) {
	var failed *configlog.SavedRevision
	again := time.NewTicker(againAfter)
	defer again.Stop()
	put := func(s configlog.SavedRevision) {
		failed = nil
		if !d.keep(s) {
			failed = &s
		}
	}
	for {
		select {
		case s := <-d.next:
			put(s)
		case <-again.C:
			if failed != nil {
				put(*failed)
			}
		case <-ctx.Done():
			select {
			case s := <-d.next:
				put(s)
			default:
			}
			return
		}
	}
}

// keep writes a copy, and says once that it can't, and once that it can again.
func (d *copyStore) keep(s configlog.SavedRevision) bool {
	err := d.write(s)
	if err != nil {
		d.counters.CopyWriteErrors.Add(1)
		if !d.failing {
			d.log.Error("the copy of the configuration can't be written; the configuration is in force", "file", d.path, "err", err)
		}
	} else if d.failing {
		d.log.Info("the copy of the configuration is written again", "file", d.path, "revision", s.Revision)
	}
	d.failing = err != nil
	return err == nil
}

// write replaces the copy, whole or not at all. One that is later stays: the other process of this router wrote it.
func (d *copyStore) write(s configlog.SavedRevision) error {
	if there, err := d.load(); err == nil && there.Revision > s.Revision {
		return nil
	}
	rest, err := json.Marshal(copied{d.name, s})
	if err != nil {
		return err
	}
	dir := filepath.Dir(d.path)
	if err := os.MkdirAll(dir, 0o750); err != nil {
		return err
	}
	f, err := os.CreateTemp(dir, filepath.Base(d.path)+".new*")
	if err != nil {
		return err
	}
	sum := sha256.Sum256(rest)
	_, err = f.Write(append([]byte(copyHeader+hex.EncodeToString(sum[:])+"\n"), rest...))
	if err == nil {
		err = f.Sync()
	}
	if e := f.Close(); err == nil {
		err = e
	}
	if err == nil {
		err = os.Rename(f.Name(), d.path)
	}
	if err != nil {
		_ = os.Remove(f.Name())
		return err
	}
	where, err := os.Open(dir)
	if err != nil {
		return err
	}
	defer where.Close()
	return where.Sync() // else the rename may be lost with the power
}
