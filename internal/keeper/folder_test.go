package keeper_test

import (
	"fmt"
	"io/fs"
	"os"
	"path/filepath"
	"strings"
	"syscall"
	"testing"
	"time"

	"windflow/internal/keeper"
)

// editContent replaces the content of a file with the result of change.
func editContent(t *testing.T, path string, change func(b []byte) []byte) {
	t.Helper()
	b, err := os.ReadFile(path)
	if err != nil {
		t.Fatal(err)
	}
	if err := os.WriteFile(path, change(b), 0o600); err != nil {
		t.Fatal(err)
	}
}

func snapshots(dir string) int {
	found, _ := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	return len(found)
}

// damageSnapshots inverts a byte in the content of each snapshot.
func damageSnapshots(t *testing.T, dir string) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	if err != nil || len(found) == 0 {
		t.Fatalf("no snapshot in %s: %v", dir, err)
	}
	for _, path := range found {
		editContent(t, path, func(b []byte) []byte { b[20] ^= 0xff; return b })
	}
}

// folderDamage damages or changes the files in a keeper's folder.
type folderDamage func(t *testing.T, dir string)

func editFile(name string, edit func(content []byte) []byte) folderDamage {
	return func(t *testing.T, dir string) {
		t.Helper()
		editContent(t, filepath.Join(dir, name), edit)
	}
}

func replaceText(name, from, to string) folderDamage {
	return func(t *testing.T, dir string) {
		t.Helper()
		editContent(t, filepath.Join(dir, name), func(content []byte) []byte {
			if !strings.Contains(string(content), from) {
				t.Errorf("%q is not in %s", from, name)
			}
			return []byte(strings.ReplaceAll(string(content), from, to))
		})
	}
}

func removeFile(name string) folderDamage {
	return func(t *testing.T, dir string) {
		t.Helper()
		remove(t, filepath.Join(dir, name))
	}
}

func truncateTo(size int) func([]byte) []byte {
	return func(content []byte) []byte { return content[:size] }
}

func fillWithZeros(content []byte) []byte { clear(content); return content }

// entryValue is a value in the last change of the folder that folderCases damages.
const entryValue = "a value to corrupt"

// folderCase damages a folder. reason is part of the expected reason for setting the files aside, or empty if the
// keeper has to use the folder.
type folderCase struct {
	name   string
	damage folderDamage
	reason string
}

func folderCases() []folderCase {
	return []folderCase{
		{"undamaged", func(*testing.T, string) {}, ""},
		{"stage not yet updated", replaceText("keeper.json", "member", "founding"), ""},
		{"truncated log", editFile("raft.db", truncateTo(4*os.Getpagesize())), "damaged: raft.db"},
		{"zeroed log", editFile("raft.db", fillWithZeros), "damaged: raft.db"},
		{"empty log", editFile("raft.db", truncateTo(0)), "damaged: raft.db"},
		{"corrupted entry", replaceText("raft.db", entryValue, "a value to c0rrupt"), "does not match its checksum"},
		{"missing log", removeFile("raft.db"), "damaged: raft.db is missing"},
		{"missing vote file", removeFile("vote.db"), "damaged: vote.db is missing"},
		{"zeroed vote file", editFile("vote.db", fillWithZeros), "damaged: vote.db"},
		{"empty vote file", editFile("vote.db", truncateTo(0)), "damaged: vote.db"},
		{"corrupted snapshot", damageSnapshots, "damaged: snapshot"},
		{"missing snapshot", removeFile("snapshots"), "damaged: raft.db: entries 1 to"},
		{"truncated identity", editFile("keeper.json", truncateTo(5)), "damaged: keeper.json"},
		{"unknown stage", replaceText("keeper.json", "member", "guest"), `damaged: keeper.json: unknown stage "guest"`},
		{"missing identity", removeFile("keeper.json"), "foreign: keeper.json is missing"},
		{"unknown format", replaceText("keeper.json", `"format":1`, `"format":9`), "foreign: format 9"},
		{"folder of another group", replaceText("keeper.json", `"windflow"`, `"other"`), `foreign: of cluster "other"`},
		{"folder of another keeper", replaceText("keeper.json", `"k1"`, `"k2"`), `foreign: of keeper "k2"`},
	}
}

// A keeper detects each kind of damage when it starts, reports it in its log and its status, and keeps all files in a
// subfolder.
func TestDamagedAndForeignFolders(t *testing.T) {
	g := startGroup(t, 1, func(_ int, o *keeper.Options) {
		o.SnapshotThreshold, o.SnapshotInterval = 8, 50*time.Millisecond
	})
	p := g.members[0]
	intact := p.options.Dir
	for n := range 20 {
		g.change(0, put(fmt.Sprint("c", n), "/settings/over-share-worth", fmt.Sprint(n)))
	}
	waitUntil(t, "a snapshot", func() bool { return snapshots(intact) > 0 })
	g.change(0, put("board", "/board", `"`+entryValue+`"`))
	waitUntil(t, "membership", func() bool { return g.status(0).Folder.Stage == "member" })
	p.terminate(syscall.SIGTERM)
	for _, c := range folderCases() {
		p.options.Dir = filepath.Join(t.TempDir(), "copy")
		if err := os.CopyFS(p.options.Dir, os.DirFS(intact)); err != nil {
			t.Fatal(err)
		}
		c.damage(t, p.options.Dir)
		g.checkFolderCase(c)
	}
}

// checkFolderCase starts the only keeper of the group on its damaged folder, kills it and checks whether its files were
// set aside.
func (g *group) checkFolderCase(c folderCase) {
	g.t.Helper()
	p := g.members[0]
	before, err := os.ReadDir(p.options.Dir)
	if err != nil {
		g.t.Fatal(err)
	}
	p.start()
	s := g.status(0)
	p.terminate(syscall.SIGKILL)
	if c.reason == "" {
		if len(s.Folder.Aside) != 0 || s.Folder.Stage != "member" {
			g.t.Errorf("%s: the folder is not used as it is: %+v", c.name, s.Folder)
		}
		return
	}
	if len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], c.reason) {
		g.t.Errorf("%s: set aside %q, want a single one with %q", c.name, s.Folder.Aside, c.reason)
		return
	}
	mustContain(g.t, p.logText(), "folder set aside")
	name, _, _ := strings.Cut(s.Folder.Aside[0], ":")
	for _, file := range before {
		if _, err := os.Lstat(filepath.Join(p.options.Dir, name, file.Name())); err != nil && file.Name() != "lock" {
			g.t.Errorf("%s: a file was not kept: %v", c.name, err)
		}
	}
}

// A keeper that set its files aside keeps its id, catches up from the other keepers and votes again. The files are
// damaged in one case and belong to another keeper in the other.
func TestFolderSetAside(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.SnapshotThreshold = 8 })
	for n := range 30 {
		g.change(0, put(fmt.Sprint("c", n), "/settings/over-share-worth", fmt.Sprint(n)))
	}
	victim := (g.leader() + 1) % 3
	other := (victim + 1) % 3
	dir := g.members[victim].options.Dir
	for n, c := range []struct {
		damage func()
		reason string
	}{
		{func() {
			editContent(t, filepath.Join(dir, "raft.db"), func(b []byte) []byte { return b[:4*os.Getpagesize()] })
		}, "damaged: raft.db"},
		{func() {
			remove(t, dir)
			g.members[other].terminate(syscall.SIGTERM)
			if err := os.CopyFS(dir, os.DirFS(g.members[other].options.Dir)); err != nil {
				t.Fatal(err)
			}
			g.members[other].start()
			g.leader()
		}, "foreign: of keeper"},
	} {
		last := g.waitForRevision(victim, uint64(30+n)).Revision
		g.members[victim].terminate(syscall.SIGTERM)
		c.damage()
		g.members[victim].start()
		g.waitForRevision(victim, last)
		waitUntil(t, "voting being resumed", func() bool {
			s := g.status(victim)
			return s.Folder.Votes && s.Folder.Stage == "member"
		})
		if s := g.status(victim); len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], c.reason) {
			t.Errorf("set aside %q, want a single one with %q", s.Folder.Aside, c.reason)
		}
		mustContain(t, g.members[victim].logText(), "folder set aside", "joining existing group without a folder")
		g.checkEqualState(g.change(victim, put(fmt.Sprint("after", n), "/settings/over-share-worth", "0")))
	}
}

// A keeper that lost its folder does not vote until it has all entries that the leader had. Otherwise its vote could
// elect a leader that lacks a committed change.
func TestKeeperWithoutFolderDoesNotVote(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 2500 * time.Millisecond })
	g.checkEqualState(g.change(0, put("first", "/settings/over-share-worth", "1")))
	leader := g.leader()
	lagging, lost := (leader+1)%3, (leader+2)%3
	// Only the leader and the keeper that will lose its folder receive the second change.
	g.links[[2]int{leader, lagging}][0].setBlocked(forward, true)
	g.change(leader, put("second", "/settings/over-share-worth", "2"))
	g.waitForRevision(lost, 2)
	g.kill(lost)
	remove(t, g.members[lost].options.Dir)
	// The keeper without its folder restarts and learns that the group exists, but receives no entries from the leader.
	g.links[[2]int{leader, lost}][0].setBlocked(forward, true)
	g.members[lost].start()
	waitUntil(t, "the empty keeper to join the group", func() bool { return g.status(lost).Folder.Stage == "joining" })
	g.kill(leader)
	var failure reply
	if code := g.post(lagging, "/v1/changes", put("third", "/settings/over-share-worth", "3"), &failure); code != 503 ||
		failure.Kind != "no-majority" {
		t.Errorf("without a keeper that has revision 2: status %d, want 503 and no-majority: %+v", code, failure)
	}
	if s := g.status(lost); s.Folder.Votes || s.Revision != 0 {
		t.Errorf("status of the keeper without its folder: %+v; want no vote and revision 0", s)
	}
	for _, o := range []int{lagging, lost} {
		g.links[[2]int{leader, o}][0].setBlocked(forward, false)
	}
	g.members[leader].start()
	g.leader()
	if rev := g.change(lagging, put("fourth", "/settings/over-share-worth", "4")); rev < 3 {
		t.Errorf("revision %d, want at least 3", rev)
	}
	if c := g.waitForRevision(lost, 2); string(c.Entries["/settings/over-share-worth"]) != "2" {
		t.Errorf("entries of revision 2: %s, want over-share-worth 2", c.Entries)
	}
	waitUntil(t, "voting being resumed", func() bool { return g.status(lost).Folder.Votes })
}

// After a majority of the keepers has lost its folders, no change is committed until an operator accepts the loss. Then
// the group continues with the state of the remaining keeper.
func TestPermanentLossOfMajority(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 2 * time.Second })
	g.checkEqualState(g.change(0, put("first", "/settings/over-share-worth", "1")))
	for i := range g.members {
		g.members[i].terminate(syscall.SIGTERM)
	}
	for _, i := range []int{0, 1} {
		remove(t, g.members[i].options.Dir)
	}
	for _, p := range g.members {
		p.start()
	}
	for _, i := range []int{0, 1} {
		waitUntil(t, "the empty keepers to join the group", func() bool { return g.status(i).Folder.Stage == "joining" })
	}
	var failure reply
	if code := g.post(2, "/v1/changes", put("second", "/settings/over-share-worth", "2"), &failure); code != 503 {
		t.Errorf("change without a majority: status %d, want 503: %+v", code, failure)
	}
	g.members[0].terminate(syscall.SIGTERM)
	g.members[0].options.AcceptLoss = true
	g.members[0].start()
	if leader := g.leader(); leader != 2 {
		t.Errorf("%s leads, want %s, which has kept its folder", g.members[leader].options.ID, g.members[2].options.ID)
	}
	g.checkEqualState(g.change(0, put("third", "/settings/over-share-worth", "3")))
	if c := g.waitForRevision(0, 1); string(c.Entries["/settings/over-share-worth"]) != "1" {
		t.Errorf("entries of revision 1: %s, want over-share-worth 1", c.Entries)
	}
	for _, i := range []int{0, 1} {
		waitUntil(t, "membership", func() bool { return g.status(i).Folder.Stage == "member" })
	}
}

// A keeper whose newest snapshot is damaged catches up from the others; the log entries before the snapshot no longer
// exist.
func TestDamagedSnapshot(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) {
		o.SnapshotThreshold, o.SnapshotInterval = 8, 100*time.Millisecond
	})
	for n := range 40 {
		g.change(0, put(fmt.Sprint("c", n), "/settings/over-share-worth", fmt.Sprint(n)))
	}
	victim := (g.leader() + 1) % 3
	g.waitForRevision(victim, 40)
	// The keeper restarts with an empty folder, so that the leader sends it a snapshot.
	g.members[victim].terminate(syscall.SIGTERM)
	remove(t, g.members[victim].options.Dir)
	leader := g.members[g.leader()].options.Dir
	waitUntil(t, "a snapshot of the leader", func() bool { return snapshots(leader) > 0 })
	g.members[victim].start()
	g.waitForRevision(victim, 40)
	waitUntil(t, "voting being resumed", func() bool { return g.status(victim).Folder.Votes })
	g.members[victim].terminate(syscall.SIGTERM)
	damageSnapshots(t, g.members[victim].options.Dir)
	g.members[victim].start()
	g.checkEqualState(40)
	if s := g.status(victim); len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], "damaged: snapshot") {
		t.Errorf("the damaged snapshot was not set aside: %+v", s.Folder)
	}
}

func remove(t *testing.T, path string) {
	t.Helper()
	if _, err := os.Lstat(path); err != nil {
		t.Fatal(err)
	}
	if err := os.RemoveAll(path); err != nil {
		t.Fatal(err)
	}
}

// A second keeper process on the same folder exits with an error that names the folder, and the first one keeps
// running.
func TestFolderLock(t *testing.T) {
	g := startGroup(t, 1, nil)
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	second := &process{t: t, options: g.members[0].options, logFile: filepath.Join(t.TempDir(), "second.log")}
	second.options.HTTPAddr, second.options.RaftAddr = keeper.LoopbackHost()+":7401", keeper.LoopbackHost()+":7402"
	mustContain(t, second.expectFailure(), "--dir", g.members[0].options.Dir, "in use by another process")
	if rev := g.change(0, put("second", "/settings/over-share-worth", "2")); rev != 2 {
		t.Errorf("revision %d, want 2", rev)
	}
	if s := g.status(0); len(s.Folder.Aside) != 0 {
		t.Errorf("files were set aside: %+v", s)
	}
}

// Files in the folder that do not belong to the keeper are left in place.
func TestUnknownFilesAreKept(t *testing.T) {
	g := newGroup(t, 1, nil)
	dir := g.members[0].options.Dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	unknownFile := filepath.Join(dir, "notes.txt")
	if err := os.WriteFile(unknownFile, []byte("notes"), 0o600); err != nil {
		t.Fatal(err)
	}
	g.members[0].start()
	g.leader()
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	if text, err := os.ReadFile(unknownFile); err != nil || string(text) != "notes" {
		t.Errorf("the unknown file has content %q: %v", text, err)
	}
	_ = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if strings.HasPrefix(d.Name(), "aside-") {
			t.Errorf("files were set aside: %s", path)
		}
		return err
	})
}
