package hotrestartipc

import (
	"errors"
	"fmt"
	"hash/fnv"
	"path/filepath"
	"slices"
	"strconv"
	"strings"

	"windflow/internal/decide/hotrestart"
)

// maxSocketPath is the longest path of a Unix socket: its address holds one byte more, for the zero behind it.
const maxSocketPath = 107

// processNumberBits bounds the process numbers in the names and contents of files.
const processNumberBits = 48

const (
	socketSuffix  = ".sock"
	lockSuffix    = ".lock"
	counterSuffix = ".roster"
	cordonSuffix  = ".bans"
	// publishSuffix is that of the name under which a socket is prepared for processes of version 1.
	publishSuffix = ".own"
)

// errPathTooLong rejects a folder whose path leaves no room for a socket's name.
var errPathTooLong = errors.New("path too long for a Unix socket")

// SocketPath returns where the router of that name is found in a folder. The name is hashed, since it may be of any
// length and hold any characters.
func SocketPath(dir, name string) (string, error) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	path := filepath.Join(dir, fmt.Sprintf("wf-%08x%s", hash.Sum32(), socketSuffix))
	if len(path) > maxSocketPath {
		return "", fmt.Errorf("%s: %w: %d bytes at most", path, errPathTooLong, maxSocketPath)
	}
	return path, nil
}

// slotPaths are the paths of the files of one router's slots; the value is what all of them begin with.
type slotPaths string

func newSlotPaths(dir, name string) (slotPaths, error) {
	path, err := SocketPath(dir, name)
	if err != nil {
		return "", err
	}
	return slotPaths(strings.TrimSuffix(path, socketSuffix)), nil
}

// socket returns the path of a process's socket. That of LegacyPredecessor is the one which processes of version 1 use.
func (p slotPaths) socket(process hotrestart.ProcessNumber) string {
	if process == hotrestart.LegacyPredecessor {
		return string(p) + socketSuffix
	}
	return fmt.Sprintf("%s.%d%s", string(p), process, socketSuffix)
}

// lockFile returns the path of the file that a process keeps locked while it lives.
func (p slotPaths) lockFile(process hotrestart.ProcessNumber) string {
	return fmt.Sprintf("%s.%d%s", string(p), process, lockSuffix)
}

// roster returns the path of the file that holds the greatest process number so far.
func (p slotPaths) counterFile() string { return string(p) + counterSuffix }

// published returns the path under which a socket is prepared for processes of version 1.
func (p slotPaths) published() string { return string(p) + publishSuffix }

func (p slotPaths) cordons() cordonFolder { return cordonFolder(string(p) + cordonSuffix) }

// processes returns the numbers of the processes that have a lock file, alive or not, in their order.
func (p slotPaths) processes() (numbers []hotrestart.ProcessNumber) {
	names, _ := filepath.Glob(string(p) + ".*" + lockSuffix)
	for _, name := range names {
		text := strings.TrimSuffix(strings.TrimPrefix(name, string(p)+"."), lockSuffix)
		if number, ok := parseProcessNumber(text); ok && number >= hotrestart.FirstProcess {
			numbers = append(numbers, number)
		}
	}
	slices.Sort(numbers)
	return numbers
}

func parseProcessNumber(text string) (hotrestart.ProcessNumber, bool) {
	number, err := strconv.ParseUint(text, 10, processNumberBits)
	return hotrestart.ProcessNumber(number), err == nil
}
