package hotrestartipc

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"slices"
	"strings"
	"syscall"
	"testing"

	"golang.org/x/tools/txtar"

	"windflow/internal/decide/hotrestart"
	"windflow/internal/golden"
)

const (
	goldenFolder = "folder.txtar"
	goldenRouter = "n0 127.0.0.1:3306"
)

// shortFolder returns an empty folder with a path short enough for a Unix socket.
func shortFolder(t *testing.T) string {
	t.Helper()
	dir, err := os.MkdirTemp("", "wf")
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = os.RemoveAll(dir) })
	return dir
}

func acquireGoldenSlot(t *testing.T, dir string) *ProcessSlot {
	t.Helper()
	p, err := AcquireSlot(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(p.Close)
	return p
}

// setCordon stores whether an engine is cordoned.
func setCordon(t *testing.T, p *ProcessSlot, engine string, cordoned bool) {
	t.Helper()
	if err := p.SetCordon(engine, cordoned); err != nil {
		t.Fatal(err)
	}
}

// listFolder returns the files in a folder and its subfolders with their content. Each is named "PATH MODE".
func listFolder(t *testing.T, dir string) []txtar.File {
	t.Helper()
	var files []txtar.File
	err := filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if err != nil || path == dir {
			return err
		}
		info, err := d.Info()
		if err != nil {
			return err
		}
		var text []byte
		if info.Mode().IsRegular() {
			if text, err = os.ReadFile(path); err != nil {
				return err
			}
		}
		name, err := filepath.Rel(dir, path)
		files = append(files, txtar.File{Name: fmt.Sprintf("%s %v", name, info.Mode()), Data: text})
		return err
	})
	if err != nil {
		t.Fatal(err)
	}
	return files
}

// Checks that two processes that acquire slots and store cordons write the recorded files, with the same content and
// modes. Guards against a change that a process of another version could not read.
func TestGoldenFolderIsWritten(t *testing.T) {
	dir := shortFolder(t)
	first := acquireGoldenSlot(t, dir)
	setCordon(t, first, "s-00000002", true)
	setCordon(t, first, "s-00000003", true)
	setCordon(t, first, "s-00000003", false)
	second := acquireGoldenSlot(t, dir)
	setCordon(t, second, "s-00c41f7a", true)
	if err := second.PublishToLegacy(); err != nil {
		t.Fatal(err)
	}
	golden.Equal(t, goldenFolder, txtar.Format(&txtar.Archive{Files: listFolder(t, dir)}))
}

// restoreFolder writes the regular files and folders of the recorded folder, and locks the files of the given
// processes as if they were alive.
func restoreFolder(t *testing.T, dir string, living ...hotrestart.ProcessNumber) {
	t.Helper()
	archive, err := txtar.ParseFile(golden.Path(goldenFolder))
	if err != nil {
		t.Fatal(err)
	}
	for _, f := range archive.Files {
		name, mode, _ := strings.Cut(f.Name, " ")
		path := filepath.Join(dir, name)
		switch mode[0] {
		case 'd':
			err = os.Mkdir(path, 0o700)
		case '-':
			err = os.WriteFile(path, f.Data, 0o600)
		}
		if err != nil {
			t.Fatal(err)
		}
	}
	for _, process := range living {
		holdLock(t, dir, process)
	}
}

func holdLock(t *testing.T, dir string, process hotrestart.ProcessNumber) {
	t.Helper()
	path, err := SocketPath(dir, goldenRouter)
	if err != nil {
		t.Fatal(err)
	}
	lock, err := os.OpenFile(fmt.Sprintf("%s.%d.lock", strings.TrimSuffix(path, ".sock"), process), os.O_RDWR, 0)
	if err != nil {
		t.Fatal(err)
	}
	t.Cleanup(func() { _ = lock.Close() })
	if err := flock(lock, syscall.LOCK_EX); err != nil {
		t.Fatal(err)
	}
}

// Checks that a process that starts with the recorded folder acquires the next slot, finds which processes are alive,
// and reads the cordons. Guards against a change that makes files of an earlier version unreadable.
func TestGoldenFolderIsRead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir, hotrestart.FirstProcess+1)
	p := acquireGoldenSlot(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.FirstProcess+1 ||
		p.Alive(hotrestart.FirstProcess) {
		t.Errorf("process %d after %d, first process alive: %v; want process %d after %d, first process not alive",
			p.Process, p.Predecessor(), p.Alive(hotrestart.FirstProcess),
			hotrestart.FirstProcess+2, hotrestart.FirstProcess+1)
	}
	got, err := p.Cordoned()
	if want := []string{"s-00000002", "s-00c41f7a"}; err != nil || !slices.Equal(got, want) {
		t.Errorf("cordoned engines are %q (error: %v), want %q", got, err, want)
	}
}

// Checks that when no process of the recorded folder is alive, its cordons are removed and its process numbers are not
// used again.
func TestGoldenFolderOfEndedProcesses(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir)
	p := acquireGoldenSlot(t, dir)
	if p.Process != hotrestart.FirstProcess+2 || p.Predecessor() != hotrestart.NoProcess {
		t.Errorf("process %d with predecessor %d, want process %d without one",
			p.Process, p.Predecessor(), hotrestart.FirstProcess+2)
	}
	if got, err := p.Cordoned(); err != nil || len(got) > 0 {
		t.Errorf("cordoned engines are %q (error: %v), want none", got, err)
	}
}

// Checks that the file with the last process number is enough to keep a number from being used again, without any lock
// file.
func TestGoldenCounterFileIsRead(t *testing.T) {
	dir := shortFolder(t)
	restoreFolder(t, dir)
	locks, err := filepath.Glob(filepath.Join(dir, "*.lock"))
	if err != nil || len(locks) != 2 {
		t.Fatalf("lock files are %q (error: %v), want 2", locks, err)
	}
	for _, lock := range locks {
		if err := os.Remove(lock); err != nil {
			t.Fatal(err)
		}
	}
	if p := acquireGoldenSlot(t, dir); p.Process != hotrestart.FirstProcess+2 {
		t.Errorf("acquired process number %d, want %d", p.Process, hotrestart.FirstProcess+2)
	}
}
