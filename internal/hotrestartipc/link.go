package hotrestartipc

import (
	"errors"
	"fmt"
	"net"
	"os"
	"sync"
	"syscall"
	"time"
)

const (
	// maxQueued limits the messages that wait for a peer that does not read. The link ends when the limit is exceeded.
	maxQueued = 16384
	// writeTimeout is how long writing one message may take. It is long enough for a process that was stopped for some
	// seconds to keep its link, since a link that ends while both processes are alive is harder to handle.
	writeTimeout = 30 * time.Second
)

// errPeerNotReading ends a link whose queue is full.
var errPeerNotReading = errors.New("send queue full: the other process does not read")

// Link is a connection to another process of the router. Its goroutines end when the connection ends or Close is
// called.
type Link struct {
	conn      *net.UnixConn
	queue     chan queueEntry
	done      chan struct{}
	once      sync.Once
	onMessage func(Message)
	onEnd     func(error)
}

// queueEntry is a message to write, or a request to close the link after the messages queued before it.
type queueEntry struct {
	message Message
	close   bool
}

// Dial connects to the process that listens at path. It returns an error if no process listens there or none answers
// within the timeout.
func Dial(path string, timeout time.Duration) (*net.UnixConn, error) {
	conn, err := net.DialTimeout("unix", path, timeout)
	if err != nil {
		return nil, err
	}
	return conn.(*net.UnixConn), nil
}

// StartLink starts a link on a connection and takes ownership of the connection. onMessage is called for each message
// received, and onEnd once, when the link ends, with the reason. Both are called from goroutines of the link. A link
// to a process of another user ends immediately.
func StartLink(conn *net.UnixConn, onMessage func(Message), onEnd func(error)) *Link {
	l := &Link{
		conn:      conn,
		queue:     make(chan queueEntry, maxQueued),
		done:      make(chan struct{}),
		onMessage: onMessage,
		onEnd:     onEnd,
	}
	go l.read()
	go l.write()
	return l
}

// Send queues a message and never blocks. It duplicates the message's files, so the caller may close them when Send
// returns.
func (l *Link) Send(message Message) {
	files, err := duplicateAll(message.Files)
	if err != nil {
		l.end(fmt.Errorf("duplicate descriptors: %w", err))
		return
	}
	message.Files = files
	select {
	case l.queue <- queueEntry{message: message}:
	default:
		closeAll(files)
		l.end(errPeerNotReading)
	}
}

// Pending returns the number of messages that wait to be written.
func (l *Link) Pending() int { return len(l.queue) }

// Close ends the link when the queued messages have been written or a write has timed out. If the queue is full, it
// ends the link immediately.
func (l *Link) Close() {
	select {
	case l.queue <- queueEntry{close: true}:
	default:
		l.end(net.ErrClosed)
	}
}

// end closes the connection and calls onEnd with the reason, once. onEnd runs in its own goroutine, so that Send and
// Close never call back into their caller.
func (l *Link) end(err error) {
	l.once.Do(func() {
		close(l.done)
		_ = l.conn.Close()
		go l.onEnd(err)
	})
}

// write writes the queued messages until the link ends.
func (l *Link) write() {
	for {
		select {
		case next := <-l.queue:
			if next.close {
				l.end(net.ErrClosed)
				return
			}
			err := l.writeMessage(next.message)
			closeAll(next.message.Files)
			if err != nil {
				l.end(err)
				return
			}
		case <-l.done:
			return
		}
	}
}

func (l *Link) writeMessage(message Message) error {
	frame, err := encodeFrame(message)
	if err != nil {
		return err
	}
	_ = l.conn.SetWriteDeadline(time.Now().Add(writeTimeout))
	if len(message.Files) > 0 {
		if frame, err = l.writeFirstByte(frame, message.Files); err != nil {
			return err
		}
	}
	_, err = l.conn.Write(frame)
	return err
}

// writeFirstByte writes the first byte of a frame together with the descriptors, and returns the rest of the frame.
func (l *Link) writeFirstByte(frame []byte, files []*os.File) ([]byte, error) {
	descriptors, err := descriptorsOf(files)
	if err != nil {
		return nil, err
	}
	n, _, err := l.conn.WriteMsgUnix(frame[:1], syscall.UnixRights(descriptors...), nil)
	if err != nil {
		return nil, err
	}
	return frame[n:], nil
}

// read receives messages until the link ends.
func (l *Link) read() {
	reader := newFrameReader(l.conn)
	defer reader.close()
	err := checkSameUser(l.conn)
	for err == nil {
		if err = reader.fill(); err == nil {
			err = l.deliver(reader)
		}
	}
	l.end(err)
}

// deliver calls onMessage for each complete message.
func (l *Link) deliver(reader *frameReader) error {
	for {
		message, err := reader.next()
		if message == nil {
			return err
		}
		l.onMessage(*message)
	}
}
