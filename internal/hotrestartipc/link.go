// Package hotrestartipc joins the two processes of a router that is being upgraded: a Unix socket, on which the new process
// finds the old one, and framed messages that go both ways while both live. What the messages mean is their owners'.
package hotrestartipc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"hash/fnv"
	"log/slog"
	"net"
	"os"
	"path/filepath"
	"sync"
	"syscall"
	"time"

	jsoniter "github.com/json-iterator/go"
)

const (
	// framing is that of frames, which has not changed; what messages mean is agreed on in hello and state (package
	// takeover, Version).
	framing = 1
	// maxFrame bounds a message: a state holds some thousands of ids.
	maxFrame = 8 << 20
	// maxQueued bounds what waits for a peer that does not read; past it the link ends.
	maxQueued = 16384
	// writeWithin is how long a peer may keep one message from being written. A process that was stopped for some
	// seconds goes on with the link as it was: one that ends while both live is the harder case.
	writeWithin = 30 * time.Second
	// maxPath is what the address of a Unix socket holds, less the zero behind it.
	maxPath = 107
	// maxFiles is how many descriptors one message may bring.
	maxFiles = 8
)

// A frame is length:4 framing:1 files:1 and a Message as JSON; length counts what follows it, big-endian. The
// descriptors of a frame go with its first byte.
const headerLength = 6

// Message is one message. Body is what its Kind says.
type Message struct {
	Kind  string              `json:"kind"`
	Body  jsoniter.RawMessage `json:"body,omitempty"`
	Files []*os.File          `json:"-"` // the receiver closes them
}

var json = jsoniter.ConfigCompatibleWithStandardLibrary

// NewMessage makes a message; files stay the caller's, who may close them after the link's Send.
func NewMessage(kind string, body any, files ...*os.File) Message {
	text, err := json.Marshal(body)
	if err != nil {
		panic(err) // the bodies are this program's own types
	}
	return Message{Kind: kind, Body: text, Files: files}
}

// Decode reads the message's body.
func (m Message) Decode(into any) error { return json.Unmarshal(m.Body, into) }

// SocketPath is where the router of that name is found. The name is hashed: it may be of any length and hold anything.
func SocketPath(dir, name string) (string, error) {
	h := fnv.New32a()
	_, _ = h.Write([]byte(name))
	path := filepath.Join(dir, fmt.Sprintf("wf-%08x.sock", h.Sum32()))
	if len(path) > maxPath {
		return "", fmt.Errorf("%s: the path of a Unix socket has %d bytes at most", path, maxPath)
	}
	return path, nil
}

// Link is a connection to the other process.
type Link struct {
	conn *net.UnixConn
	log  *slog.Logger
	out  chan Message
	done chan struct{}
	once sync.Once
	hear func(Message)
	gone func(error)
}

// Dial finds the process that waits at path; an error says that there is none, or none that answers.
func Dial(path string, within time.Duration) (*net.UnixConn, error) {
	conn, err := net.DialTimeout("unix", path, within)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// StartLink runs a link. hear gets each message that comes, and gone, at the end and once, why the link ended; both are
// called from a goroutine of the link's. A peer that is no process of the same user is not heard.
func StartLink(conn *net.UnixConn, hear func(Message), gone func(error), log *slog.Logger) *Link {
	l := &Link{conn: conn, log: log, out: make(chan Message, maxQueued), done: make(chan struct{}), hear: hear, gone: gone}
	go l.read()
	go l.write()
	return l
}

// Send queues a message and never blocks. Its files are dup'ed: the caller may close its own at once.
func (l *Link) Send(m Message) {
	files := make([]*os.File, 0, len(m.Files))
	for _, f := range m.Files {
		fd := -1
		bad := withFD(f, func(of int) (err error) {
			fd, err = syscall.Dup(of)
			return err
		})
		if bad != nil {
			closeAll(files)
			l.end(bad)
			return
		}
		syscall.CloseOnExec(fd)
		files = append(files, os.NewFile(uintptr(fd), f.Name()))
	}
	m.Files = files
	select {
	case l.out <- m:
	default:
		closeAll(files)
		l.end(errors.New("the other process does not read"))
	}
}

// Pending is the number of messages that wait to be written.
func (l *Link) Pending() int { return len(l.out) }

// Close ends the link once what was sent has been written, or its time is up.
func (l *Link) Close() {
	select {
	case l.out <- Message{}:
	default:
		l.end(net.ErrClosed)
	}
}

func (l *Link) end(err error) {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
		go l.gone(err)
	})
}

func (l *Link) write() {
	for {
		var m Message
		select {
		case m = <-l.out:
		case <-l.done:
			return
		}
		if m.Kind == "" {
			l.end(net.ErrClosed)
			return
		}
		text, err := json.Marshal(m)
		if err == nil {
			b := binary.BigEndian.AppendUint32(nil, uint32(len(text)+2))
			b = append(append(b, framing, byte(len(m.Files))), text...)
			_ = l.conn.SetWriteDeadline(time.Now().Add(writeWithin))
			err = l.writeAll(b, m.Files)
		}
		closeAll(m.Files)
		if err != nil {
			l.end(err)
			return
		}
	}
}

func (l *Link) writeAll(b []byte, files []*os.File) error {
	if len(files) > 0 {
		var fds []int
		for _, f := range files {
			err := withFD(f, func(fd int) error { fds = append(fds, fd); return nil })
			if err != nil {
				return err
			}
		}
		n, _, err := l.conn.WriteMsgUnix(b[:1], syscall.UnixRights(fds...), nil)
		if err != nil {
			return err
		}
		b = b[n:]
	}
	_, err := l.conn.Write(b)
	return err
}

func (l *Link) read() {
	err := sameUser(l.conn)
	var buf []byte
	var files []*os.File
	chunk, oob := make([]byte, 64<<10), make([]byte, syscall.CmsgSpace(4*maxFiles))
	for err == nil {
		var n, oobn int
		n, oobn, _, _, err = l.conn.ReadMsgUnix(chunk, oob)
		if err == nil && n == 0 {
			err = errors.New("the other process ended the link")
		}
		if err != nil {
			break // n and oobn may be -1
		}
		files = append(files, received(oob[:oobn])...)
		buf = append(buf, chunk[:n]...)
		for err == nil {
			var m *Message
			var used int
			if m, used, err = parse(buf); m == nil {
				break
			}
			have := int(buf[5])
			if have > len(files) {
				err = errors.New("a message without its descriptors")
				break
			}
			m.Files, files = files[:have:have], files[have:]
			buf = buf[used:]
			l.hear(*m)
		}
	}
	closeAll(files)
	l.end(err)
}

// parse reads one frame; it gives nil while more is to come.
func parse(b []byte) (*Message, int, error) {
	if len(b) < headerLength {
		return nil, 0, nil
	}
	n := int(binary.BigEndian.Uint32(b))
	switch {
	case n < 2 || n > maxFrame:
		return nil, 0, fmt.Errorf("a frame of %d bytes", n)
	case b[4] != framing:
		return nil, 0, fmt.Errorf("the other process frames as version %d, this one %d", b[4], framing)
	case len(b) < 4+n:
		return nil, 0, nil
	}
	m := &Message{}
	if err := json.Unmarshal(b[headerLength:4+n], m); err != nil || m.Kind == "" {
		return nil, 0, errors.New("a frame that can't be read")
	}
	return m, 4 + n, nil
}

// received gives the descriptors of a control message.
func received(oob []byte) (files []*os.File) {
	messages, err := syscall.ParseSocketControlMessage(oob)
	if err != nil {
		return nil
	}
	for _, m := range messages {
		fds, err := syscall.ParseUnixRights(&m)
		if err != nil {
			continue
		}
		for _, fd := range fds {
			syscall.CloseOnExec(fd)
			files = append(files, os.NewFile(uintptr(fd), "handed over"))
		}
	}
	return files
}

// withFD calls use with a file's descriptor. File.Fd is not used: it may set the descriptor to blocking mode, and with
// it the socket for all processes that share it.
func withFD(f *os.File, use func(fd int) error) error {
	raw, err := f.SyscallConn()
	if err != nil {
		return err
	}
	var bad error
	if err := raw.Control(func(fd uintptr) { bad = use(int(fd)) }); err != nil {
		return err
	}
	return bad
}

func closeAll(files []*os.File) {
	for _, f := range files {
		_ = f.Close()
	}
}

// sameUser guards against another user's process at the other end, where the folder is shared.
func sameUser(conn *net.UnixConn) error {
	raw, err := conn.SyscallConn()
	if err != nil {
		return err
	}
	var cred *syscall.Ucred
	var bad error
	if err := raw.Control(func(fd uintptr) {
		cred, bad = syscall.GetsockoptUcred(int(fd), syscall.SOL_SOCKET, syscall.SO_PEERCRED)
	}); err != nil {
		return err
	}
	if bad != nil {
		return bad
	}
	if int(cred.Uid) != os.Getuid() && cred.Uid != 0 {
		return fmt.Errorf("the process at the other end belongs to user %d", cred.Uid)
	}
	return nil
}
