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

// editContent changes the bytes of one file.
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

// damageSnapshots flips a byte in each snapshot's content.
func damageSnapshots(t *testing.T, dir string) {
	t.Helper()
	found, err := filepath.Glob(filepath.Join(dir, "snapshots", "*", "state.bin"))
	if err != nil || len(found) == 0 {
		t.Fatal("no snapshot in ", dir, err)
	}
	for _, path := range found {
		editContent(t, path, func(b []byte) []byte { b[20] ^= 0xff; return b })
	}
}

// folderDamage changes a keeper's folder.
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

// entryValue is a value of the last change in the folders of unusableFolders.
const entryValue = "a value that is looked for"

// folderCase is a folder with a damage, and the reason for which it is set aside; "" if it is used.
type folderCase struct {
	name   string
	damage folderDamage
	reason string
}

func folderCases() []folderCase {
	return []folderCase{
		{"nothing", func(*testing.T, string) {}, ""},
		{"an early stage", replaceText("keeper.json", "member", "founding"), ""},
		{"log cut off", editFile("raft.db", truncateTo(4*os.Getpagesize())), "damaged: raft.db"},
		{"log of zeros", editFile("raft.db", fillWithZeros), "damaged: raft.db"},
		{"log empty", editFile("raft.db", truncateTo(0)), "damaged: raft.db"},
		{"an entry", replaceText("raft.db", entryValue, "a value that is looked f0r"), "does not match its checksum"},
		{"no log", removeFile("raft.db"), "damaged: raft.db is missing"},
		{"no votes", removeFile("vote.db"), "damaged: vote.db is missing"},
		{"votes of zeros", editFile("vote.db", fillWithZeros), "damaged: vote.db"},
		{"votes empty", editFile("vote.db", truncateTo(0)), "damaged: vote.db"},
		{"a snapshot", damageSnapshots, "damaged: snapshot"},
		{"no snapshot", removeFile("snapshots"), "damaged: raft.db: entries 1 to"},
		{"marker", editFile("keeper.json", truncateTo(5)), "damaged: keeper.json"},
		{"stage", replaceText("keeper.json", "member", "guest"), `damaged: keeper.json: stage "guest"`},
		{"no marker", removeFile("keeper.json"), "foreign: keeper.json is missing"},
		{"another format", replaceText("keeper.json", `"format":1`, `"format":9`), "foreign: format 9"},
		{"another group's", replaceText("keeper.json", `"windflow"`, `"other"`), `foreign: of cluster "other"`},
		{"another keeper's", replaceText("keeper.json", `"k1"`, `"k2"`), `foreign: of keeper "k2"`},
	}
}

// Each damage is recognized at the start and named in log and status; none of the files is lost.
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

// checkFolderCase starts and kills the only keeper of the group on its folder.
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
			g.t.Errorf("%s: %+v", c.name, s.Folder)
		}
		return
	}
	if len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], c.reason) {
		g.t.Errorf("%s: aside %q, want %q", c.name, s.Folder.Aside, c.reason)
		return
	}
	mustContain(g.t, p.logText(), "folder set aside")
	name, _, _ := strings.Cut(s.Folder.Aside[0], ":")
	for _, file := range before {
		if _, err := os.Lstat(filepath.Join(p.options.Dir, name, file.Name())); err != nil && file.Name() != "lock" {
			g.t.Errorf("%s: %v", c.name, err)
		}
	}
}

// A keeper that sets its folder aside catches up from the others under the same id, and votes again.
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
		waitUntil(t, "the right to vote again", func() bool {
			s := g.status(victim)
			return s.Folder.Votes && s.Folder.Stage == "member"
		})
		if s := g.status(victim); len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], c.reason) {
			t.Errorf("aside %q, want %q", s.Folder.Aside, c.reason)
		}
		mustContain(t, g.members[victim].logText(), "folder set aside", "joining existing group without a folder")
		g.checkEqualState(g.change(victim, put(fmt.Sprint("after", n), "/settings/over-share-worth", "0")))
	}
}

// A keeper that lost its folder doesn't vote until it has what the leader had: otherwise its vote could make a keeper
// the leader that lacks an accepted change.
func TestKeeperWithoutFolderDoesNotVote(t *testing.T) {
	t.Parallel()
	g := startGroup(t, 3, func(_ int, o *keeper.Options) { o.ChangeTimeout = 2500 * time.Millisecond })
	g.checkEqualState(g.change(0, put("first", "/settings/over-share-worth", "1")))
	leader := g.leader()
	lagging, lost := (leader+1)%3, (leader+2)%3
	// The leader and the keeper that will lose its folder have the change.
	g.links[[2]int{leader, lagging}][0].setBlocked(forward, true)
	g.change(leader, put("second", "/settings/over-share-worth", "2"))
	g.waitForRevision(lost, 2)
	g.kill(lost)
	remove(t, g.members[lost].options.Dir)
	// It restarts, learns that the group exists, and receives none of the leader's entries.
	g.links[[2]int{leader, lost}][0].setBlocked(forward, true)
	g.members[lost].start()
	waitUntil(t, "the empty keeper joining the group", func() bool { return g.status(lost).Folder.Stage == "joining" })
	g.kill(leader)
	var failure reply
	if code := g.post(lagging, "/v1/changes", put("third", "/settings/over-share-worth", "3"), &failure); code != 503 ||
		failure.Kind != "no-majority" {
		t.Errorf("the two that lack revision 2 answered %d %+v", code, failure)
	}
	if s := g.status(lost); s.Folder.Votes || s.Revision != 0 {
		t.Errorf("%+v", s)
	}
	for _, o := range []int{lagging, lost} {
		g.links[[2]int{leader, o}][0].setBlocked(forward, false)
	}
	g.members[leader].start()
	g.leader()
	if rev := g.change(lagging, put("fourth", "/settings/over-share-worth", "4")); rev < 3 {
		t.Error("revision", rev)
	}
	if c := g.waitForRevision(lost, 2); string(c.Entries["/settings/over-share-worth"]) != "2" {
		t.Errorf("revision 2: %s", c.Entries)
	}
	waitUntil(t, "the right to vote again", func() bool { return g.status(lost).Folder.Votes })
}

// After a majority has lost its folders nothing is changed until an operator accepts the loss; then the state of the
// last keeper is retained.
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
		waitUntil(t, "the empty keepers joining the group", func() bool { return g.status(i).Folder.Stage == "joining" })
	}
	var failure reply
	if code := g.post(2, "/v1/changes", put("second", "/settings/over-share-worth", "2"), &failure); code != 503 {
		t.Errorf("%d %+v", code, failure)
	}
	g.members[0].terminate(syscall.SIGTERM)
	g.members[0].options.AcceptLoss = true
	g.members[0].start()
	if leader := g.leader(); leader != 2 {
		t.Errorf("%s leads, which had nothing", g.members[leader].options.ID)
	}
	g.checkEqualState(g.change(0, put("third", "/settings/over-share-worth", "3")))
	if c := g.waitForRevision(0, 1); string(c.Entries["/settings/over-share-worth"]) != "1" {
		t.Errorf("revision 1: %s", c.Entries)
	}
	for _, i := range []int{0, 1} {
		waitUntil(t, "membership", func() bool { return g.status(i).Folder.Stage == "member" })
	}
}

// The newest snapshot is damaged, and the entries before it are compacted.
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
	// The leader sends a snapshot to a keeper that starts empty.
	g.members[victim].terminate(syscall.SIGTERM)
	remove(t, g.members[victim].options.Dir)
	leader := g.members[g.leader()].options.Dir
	waitUntil(t, "a snapshot of the leader", func() bool { return snapshots(leader) > 0 })
	g.members[victim].start()
	g.waitForRevision(victim, 40)
	waitUntil(t, "the right to vote again", func() bool { return g.status(victim).Folder.Votes })
	g.members[victim].terminate(syscall.SIGTERM)
	damageSnapshots(t, g.members[victim].options.Dir)
	g.members[victim].start()
	g.checkEqualState(40)
	if s := g.status(victim); len(s.Folder.Aside) != 1 || !strings.Contains(s.Folder.Aside[0], "damaged: snapshot") {
		t.Errorf("%+v", s.Folder)
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

// A second process on a folder ends with an error that names the folder, and the first continues.
func TestFolderLock(t *testing.T) {
	g := startGroup(t, 1, nil)
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	second := &process{t: t, options: g.members[0].options, logFile: filepath.Join(t.TempDir(), "second.log")}
	second.options.HTTPAddr, second.options.RaftAddr = keeper.LoopbackHost()+":7401", keeper.LoopbackHost()+":7402"
	mustContain(t, second.expectFailure(), "--dir", g.members[0].options.Dir, "in use by another process")
	if rev := g.change(0, put("second", "/settings/over-share-worth", "2")); rev != 2 {
		t.Error("revision", rev)
	}
	if s := g.status(0); len(s.Folder.Aside) != 0 {
		t.Errorf("%+v", s)
	}
}

// Files in the folder that are not a keeper's stay.
func TestUnknownFilesAreKept(t *testing.T) {
	g := newGroup(t, 1, nil)
	dir := g.members[0].options.Dir
	if err := os.MkdirAll(dir, 0o700); err != nil {
		t.Fatal(err)
	}
	unknownFile := filepath.Join(dir, "letter.txt")
	if err := os.WriteFile(unknownFile, []byte("dear"), 0o600); err != nil {
		t.Fatal(err)
	}
	g.members[0].start()
	g.leader()
	g.change(0, put("first", "/settings/over-share-worth", "1"))
	if text, err := os.ReadFile(unknownFile); err != nil || string(text) != "dear" {
		t.Error(string(text), err)
	}
	_ = filepath.WalkDir(dir, func(path string, d fs.DirEntry, err error) error {
		if strings.HasPrefix(d.Name(), "aside-") {
			t.Error(path)
		}
		return err
	})
}
