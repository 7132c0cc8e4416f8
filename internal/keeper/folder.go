package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"log/slog"
	"os"
	"path/filepath"
	"strings"
	"time"

	"golang.org/x/sys/unix"
)

// What lies in a keeper's folder. Anything else there is left alone.
const (
	markFile  = "keeper.json" // whose folder it is
	logFile   = "raft.db"     // entries of the replicated log
	voteFile  = "vote.db"     // term and vote
	stateDir  = "snapshots"
	lockFile  = "lock"
	asideName = "aside-" // with a time: what was set aside
	whyFile   = "why.txt"
)

var ours = []string{markFile, logFile, voteFile, stateDir}

// folderFormat is the version of all that; a folder with another one is foreign.
const folderFormat = 1

// How far a keeper's folder has come.
const (
	stageNew      = "new"      // nothing in it yet; the keeper doesn't know whether the group exists
	stageFounding = "founding" // begun together with all others, which had nothing either
	stageJoining  = "joining"  // lost and begun anew beside a living group; takes no part in elections yet
	stageMember   = "member"
)

// folderIdentity is the content of markFile.
type folderIdentity struct {
	Format  int    `json:"format"`
	Cluster string `json:"cluster"`
	ID      string `json:"id"`
	Stage   string `json:"stage"`
}

// folder is a keeper's place on disk, locked by this process.
type folder struct {
	dir      string
	identity folderIdentity
	lock     *os.File
	log      *slog.Logger
}

// openFolder locks a folder and looks at what is in it. What belongs to another keeper or group, or is damaged, is moved
// into a folder aside-TIME below it, and the keeper begins with nothing.
func openFolder(dir, cluster, id string, log *slog.Logger) (*folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	f := &folder{dir: dir, lock: lock, log: log, identity: folderIdentity{Format: folderFormat, Cluster: cluster, ID: id, Stage: stageNew}}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("--dir: %s is in use by another process; a folder has one keeper at a time", dir)
		}
		return nil, fmt.Errorf("--dir: %s: lock: %w", dir, err)
	}
	if err := f.inspect(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

// inspect reads what is there, and sets it aside where it must not be used.
func (f *folder) inspect() error {
	found, err := f.existingFiles()
	if err != nil || len(found) == 0 {
		return err
	}
	why, err := f.unusableReason()
	if err != nil {
		return fmt.Errorf("--dir: %s: %w", f.dir, err)
	}
	if why == "" {
		return nil
	}
	return f.setAside(found, why)
}

func (f *folder) existingFiles() (found []string, err error) {
	for _, name := range ours {
		switch _, err := os.Lstat(filepath.Join(f.dir, name)); {
		case err == nil:
			found = append(found, name)
		case !errors.Is(err, os.ErrNotExist):
			return nil, fmt.Errorf("--dir: %w", err)
		}
	}
	return found, nil
}

// unusableReason says why what is in the folder must not be used; "" if it may be. An error is one that setting aside would not
// mend, such as missing permission.
func (f *folder) unusableReason() (string, error) {
	text, err := os.ReadFile(filepath.Join(f.dir, markFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		return "foreign: " + markFile + " is missing", nil
	case err != nil:
		return "", err
	}
	var m folderIdentity
	if err := json.Unmarshal(text, &m); err != nil {
		return fmt.Sprintf("damaged: %s: %v", markFile, err), nil
	}
	switch {
	case m.Format != folderFormat:
		return fmt.Sprintf("foreign: format %d, this program knows %d", m.Format, folderFormat), nil
	case m.Cluster != f.identity.Cluster:
		return fmt.Sprintf("foreign: of cluster %q, not %q", m.Cluster, f.identity.Cluster), nil
	case m.ID != f.identity.ID:
		return fmt.Sprintf("foreign: of keeper %q, not %q", m.ID, f.identity.ID), nil
	}
	switch m.Stage {
	case stageNew:
	case stageFounding, stageJoining, stageMember:
		last, why, err := sound(f.dir)
		if err != nil {
			return "", err
		}
		if why != "" {
			return "damaged: " + why, nil
		}
		// The stage is written a moment after the first entries. Others that have nothing go by it: were they told that
		// nobody has anything, they would found a second group.
		if m.Stage == stageFounding && last > 1 {
			m.Stage = stageMember
		}
	default:
		return fmt.Sprintf("damaged: %s: stage %q", markFile, m.Stage), nil
	}
	f.identity = m
	return "", nil
}

func (f *folder) setAside(found []string, why string) error {
	stamp := asideName + time.Now().UTC().Format("20060102T150405.000Z")
	to := filepath.Join(f.dir, stamp)
	if err := os.Mkdir(to, 0o700); err != nil {
		return fmt.Errorf("--dir: set aside: %w", err)
	}
	if err := os.WriteFile(filepath.Join(to, whyFile), []byte(why+"\n"), 0o600); err != nil {
		return fmt.Errorf("--dir: set aside: %w", err)
	}
	for _, name := range found {
		if err := os.Rename(filepath.Join(f.dir, name), filepath.Join(to, name)); err != nil {
			return fmt.Errorf("--dir: set aside: %w", err)
		}
	}
	f.log.Warn("the folder can't be used and is set aside; this keeper begins with nothing", "dir", f.dir, "aside", stamp, "why", why)
	return syncDir(f.dir)
}

// listAside lists what was ever set aside, with why.
func (f *folder) listAside() []string {
	list := []string{}
	entries, _ := os.ReadDir(f.dir)
	for _, e := range entries {
		if strings.HasPrefix(e.Name(), asideName) {
			why, _ := os.ReadFile(filepath.Join(f.dir, e.Name(), whyFile))
			list = append(list, e.Name()+": "+strings.TrimSpace(string(why)))
		}
	}
	return list
}

// recordStage writes down how far the folder has come. It is on disk when this returns.
func (f *folder) recordStage(stage string) error {
	m := f.identity
	m.Stage = stage
	text, err := json.Marshal(m)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, markFile)
	if err := writeSynced(path+".new", append(text, '\n')); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	if err := os.Rename(path+".new", path); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	f.identity = m
	return syncDir(f.dir)
}

func writeSynced(path string, text []byte) error {
	w, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = w.Write(text)
	return errors.Join(err, w.Sync(), w.Close())
}

func syncDir(dir string) error {
	d, err := os.Open(dir)
	if err != nil {
		return err
	}
	return errors.Join(d.Sync(), d.Close())
}

// close gives the folder up.
func (f *folder) close() { _ = f.lock.Close() }
