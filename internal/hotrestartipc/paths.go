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

// maxSocketPath is the maximum length of a Unix socket's path. The address has one more byte, a terminating zero.
const maxSocketPath = 107

// processNumberBits limits the process numbers in file names and in file contents.
const processNumberBits = 48

const (
	socketSuffix  = ".sock"
	lockSuffix    = ".lock"
	counterSuffix = ".roster"
	cordonSuffix  = ".bans"
	// publishSuffix is the suffix of the temporary link by which a socket is published to processes of version 1.
	publishSuffix = ".own"
)

// errPathTooLong is returned for a folder whose path leaves no room for the name of a socket.
var errPathTooLong = errors.New("path too long for a Unix socket")

// SocketPath returns the path of the socket, in folder dir, of the router with the given name. The name is hashed,
// since it may have any length and any characters.
func SocketPath(dir, name string) (string, error) {
	hash := fnv.New32a()
	_, _ = hash.Write([]byte(name))
	path := filepath.Join(dir, fmt.Sprintf("wf-%08x%s", hash.Sum32(), socketSuffix))
	if len(path) > maxSocketPath {
		return "", fmt.Errorf("%s: %w: %d bytes, want at most %d", path, errPathTooLong, len(path), maxSocketPath)
	}
	return path, nil
}

// slotPaths gives the paths of the files of one router's slots. Its value is their common prefix.
type slotPaths string

func newSlotPaths(dir, name string) (slotPaths, error) {
	path, err := SocketPath(dir, name)
	if err != nil {
		return "", err
	}
	return slotPaths(strings.TrimSuffix(path, socketSuffix)), nil
}

// socket returns the path of a process's socket. For LegacyPredecessor it is the path that processes of version 1 use.
func (p slotPaths) socket(process hotrestart.ProcessNumber) string {
	if process == hotrestart.LegacyPredecessor {
		return string(p) + socketSuffix
	}
	return fmt.Sprintf("%s.%d%s", string(p), process, socketSuffix)
}

// lockFile returns the path of the file that a process keeps locked while it is alive.
func (p slotPaths) lockFile(process hotrestart.ProcessNumber) string {
	return fmt.Sprintf("%s.%d%s", string(p), process, lockSuffix)
}

// counterFile returns the path of the file with the highest process number acquired so far.
func (p slotPaths) counterFile() string { return string(p) + counterSuffix }

// published returns the path of the temporary link by which a socket is published to processes of version 1.
func (p slotPaths) published() string { return string(p) + publishSuffix }

func (p slotPaths) cordons() cordonFolder { return cordonFolder(string(p) + cordonSuffix) }

// processes returns in ascending order the numbers of the processes that have a lock file, alive or not.
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
