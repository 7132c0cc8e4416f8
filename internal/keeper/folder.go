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

// Files in a keeper's folder. The keeper does not touch other files.
const (
	identityFile = "keeper.json" // identity of the keeper that the folder belongs to
	logFile      = "raft.db"     // entries of the replicated log
	voteFile     = "vote.db"     // current term and latest vote
	snapshotDir  = "snapshots"
	lockFile     = "lock"
	asidePrefix  = "aside-"  // begins the name of a folder with files that were set aside; a time follows
	reasonFile   = "why.txt" // in a folder of files set aside: the reason
)

// asideTimeFormat is the format of the time in the name of a folder with files that were set aside.
const asideTimeFormat = "20060102T150405.000Z"

// keeperFiles are the files that are set aside together.
var keeperFiles = []string{identityFile, logFile, voteFile, snapshotDir}

// folderFormat is the version of the file formats. A folder of another version is not used but set aside.
const folderFormat = 1

// Stages of a keeper's membership, as recorded in its folder.
const (
	stageNew      = "new"      // the folder is empty and the keeper does not know yet whether the group exists
	stageFounding = "founding" // the keeper bootstrapped the group together with all others, which were new as well
	stageJoining  = "joining"  // the folder was lost while the group exists; the keeper does not vote yet
	stageMember   = "member"   // the keeper is a full member and votes
)

// folderIdentity is the content of identityFile.
type folderIdentity struct {
	Format  int    `json:"format"`
	Cluster string `json:"cluster"`
	ID      string `json:"id"`
	Stage   string `json:"stage"`
}

// folder is a keeper's directory on disk, locked by this process.
type folder struct {
	dir      string
	identity folderIdentity
	lock     *os.File
	log      *slog.Logger
}

// openFolder locks a folder, creating it if necessary, and checks its files. Files that are damaged or belong to
// another keeper or group are moved to the subfolder aside-TIME, and the keeper starts as if the folder were empty. It
// fails if another process has locked the folder. Errors name the flag --dir.
func openFolder(dir, cluster, id string, log *slog.Logger) (*folder, error) {
	if err := os.MkdirAll(dir, 0o700); err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	lock, err := os.OpenFile(filepath.Join(dir, lockFile), os.O_CREATE|os.O_RDWR, 0o600)
	if err != nil {
		return nil, fmt.Errorf("--dir: %w", err)
	}
	if err := unix.Flock(int(lock.Fd()), unix.LOCK_EX|unix.LOCK_NB); err != nil {
		_ = lock.Close()
		if errors.Is(err, unix.EWOULDBLOCK) {
			return nil, fmt.Errorf("--dir: %s is in use by another process; only one keeper can use a folder", dir)
		}
		return nil, fmt.Errorf("--dir: %s: lock: %w", dir, err)
	}
	identity := folderIdentity{Format: folderFormat, Cluster: cluster, ID: id, Stage: stageNew}
	f := &folder{dir: dir, identity: identity, lock: lock, log: log}
	if err := f.load(); err != nil {
		_ = lock.Close()
		return nil, err
	}
	return f, nil
}

// load reads the folder's identity, or sets its files aside if they must not be used.
func (f *folder) load() error {
	existing, err := f.existingFiles()
	if err != nil || len(existing) == 0 {
		return err
	}
	identity, err := f.verify()
	var unusable *unusableError
	switch {
	case err == nil:
		f.identity = identity
		return nil
	case errors.As(err, &unusable):
		return f.setAside(existing, unusable.reason)
	default:
		return fmt.Errorf("--dir: %s: %w", f.dir, err)
	}
}

func (f *folder) existingFiles() (existing []string, err error) {
	for _, name := range keeperFiles {
		switch _, err := os.Lstat(filepath.Join(f.dir, name)); {
		case err == nil:
			existing = append(existing, name)
		case !errors.Is(err, os.ErrNotExist):
			return nil, fmt.Errorf("--dir: %w", err)
		}
	}
	return existing, nil
}

// unusableError is the reason why the files in a folder must not be used and are set aside. For other errors of verify,
// such as a missing permission, setting the files aside would not help.
type unusableError struct{ reason string }

func (e *unusableError) Error() string { return e.reason }

func foreignFolder(format string, args ...any) error {
	return &unusableError{"foreign: " + fmt.Sprintf(format, args...)}
}

func damagedFolder(format string, args ...any) error {
	return &unusableError{"damaged: " + fmt.Sprintf(format, args...)}
}

// verify checks the files in the folder and returns its identity. It returns an unusableError if the files must not be
// used.
func (f *folder) verify() (folderIdentity, error) {
	found, err := f.readIdentity()
	if err != nil {
		return folderIdentity{}, err
	}
	switch found.Stage {
	case stageNew:
		return found, nil
	case stageFounding, stageJoining, stageMember:
	default:
		return folderIdentity{}, damagedFolder("%s: unknown stage %q", identityFile, found.Stage)
	}
	lastIndex, err := verifyStores(f.dir)
	var damage *damageError
	if errors.As(err, &damage) {
		return folderIdentity{}, damagedFolder("%s", damage.reason)
	}
	if err != nil {
		return folderIdentity{}, err
	}
	// The stage is written shortly after the first entries, so a crash in between leaves the earlier stage. New keepers
	// rely on the stage: if no keeper reported the stage of a member, they would bootstrap a second group.
	if found.Stage == stageFounding && lastIndex > 1 {
		found.Stage = stageMember
	}
	return found, nil
}

// readIdentity reads the identity file. It returns an unusableError unless the identity is that of this keeper.
func (f *folder) readIdentity() (found folderIdentity, err error) {
	text, err := os.ReadFile(filepath.Join(f.dir, identityFile))
	switch {
	case errors.Is(err, os.ErrNotExist):
		return found, foreignFolder("%s is missing", identityFile)
	case err != nil:
		return found, err
	}
	if err := json.Unmarshal(text, &found); err != nil {
		return found, damagedFolder("%s: %v", identityFile, err)
	}
	switch {
	case found.Format != folderFormat:
		return found, foreignFolder("format %d; this program supports format %d", found.Format, folderFormat)
	case found.Cluster != f.identity.Cluster:
		return found, foreignFolder("of cluster %q, not %q", found.Cluster, f.identity.Cluster)
	case found.ID != f.identity.ID:
		return found, foreignFolder("of keeper %q, not %q", found.ID, f.identity.ID)
	}
	return found, nil
}

// setAside moves files into a new subfolder aside-TIME, together with a file that states the reason.
func (f *folder) setAside(files []string, reason string) error {
	name := asidePrefix + time.Now().UTC().Format(asideTimeFormat)
	target := filepath.Join(f.dir, name)
	if err := os.Mkdir(target, 0o700); err != nil {
		return fmt.Errorf("--dir: set files aside: %w", err)
	}
	if err := os.WriteFile(filepath.Join(target, reasonFile), []byte(reason+"\n"), 0o600); err != nil {
		return fmt.Errorf("--dir: set files aside: %w", err)
	}
	for _, file := range files {
		if err := os.Rename(filepath.Join(f.dir, file), filepath.Join(target, file)); err != nil {
			return fmt.Errorf("--dir: set files aside: %w", err)
		}
	}
	f.log.Warn("folder set aside", "dir", f.dir, "aside", name, "reason", reason)
	return syncDir(f.dir)
}

// listAside lists the subfolders with files that were set aside, each as "NAME: REASON".
func (f *folder) listAside() []string {
	list := []string{}
	entries, _ := os.ReadDir(f.dir)
	for _, entry := range entries {
		if strings.HasPrefix(entry.Name(), asidePrefix) {
			reason, _ := os.ReadFile(filepath.Join(f.dir, entry.Name(), reasonFile))
			list = append(list, entry.Name()+": "+strings.TrimSpace(string(reason)))
		}
	}
	return list
}

// recordStage writes the stage to the identity file, and returns once it is on disk.
func (f *folder) recordStage(stage string) error {
	identity := f.identity
	identity.Stage = stage
	text, err := json.Marshal(identity)
	if err != nil {
		return err
	}
	path := filepath.Join(f.dir, identityFile)
	temporary := path + ".new"
	if err := writeSynced(temporary, append(text, '\n')); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	if err := os.Rename(temporary, path); err != nil {
		return fmt.Errorf("--dir: %w", err)
	}
	f.identity = identity
	return syncDir(f.dir)
}

// close releases the lock.
func (f *folder) close() { _ = f.lock.Close() }

func writeSynced(path string, text []byte) error {
	file, err := os.OpenFile(path, os.O_CREATE|os.O_TRUNC|os.O_WRONLY, 0o600)
	if err != nil {
		return err
	}
	_, err = file.Write(text)
	return errors.Join(err, file.Sync(), file.Close())
}

func syncDir(path string) error {
	dir, err := os.Open(path)
	if err != nil {
		return err
	}
	return errors.Join(dir.Sync(), dir.Close())
}
