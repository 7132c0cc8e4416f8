package hotrestartipc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
)

// A frame is length:4 version:1 files:1 and a Message as JSON; length counts what follows it, big-endian. The
// descriptors of a frame are sent with its first byte.
const (
	lengthSize      = 4
	versionOffset   = 4
	fileCountOffset = 5
	headerLength    = 6
	// lengthOfRest is the part of a header that its length counts.
	countedHeaderLength = headerLength - lengthSize
	// frameVersion is the version of this layout, which has not changed. What messages mean is negotiated in hello and
	// state (hotrestart.ProtocolVersion).
	frameVersion = 1
	// maxFrameLength bounds a message: a state holds some thousands of idempotency ids.
	maxFrameLength = 8 << 20
	// maxFiles is how many descriptors one message may carry.
	maxFiles = 8
	// readChunk is how much is read from a connection at once.
	readChunkSize = 64 << 10
)

// Errors of a link's peer; each ends the link.
var (
	errPeerClosed         = errors.New("link closed by the other process")
	errFrameLength        = errors.New("frame length out of range")
	errFrameVersion       = errors.New("unknown frame version")
	errMalformedFrame     = errors.New("malformed frame")
	errMissingDescriptors = errors.New("message without its descriptors")
)

// encodeFrame returns a message as a frame; its descriptors are sent beside it.
func encodeFrame(message Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message %s: %w", message.Kind, err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)+countedHeaderLength))
	frame = append(frame, frameVersion, byte(len(message.Files)))
	return append(frame, text...), nil
}

// parseFrame decodes the first frame of a buffer and returns how many bytes it takes; the message is nil while the
// frame is incomplete.
func parseFrame(buffer []byte) (*Message, int, error) {
	if len(buffer) < headerLength {
		return nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(buffer))
	end := lengthSize + length
	switch {
	case length < countedHeaderLength || length > maxFrameLength:
		return nil, 0, fmt.Errorf("%w: %d bytes", errFrameLength, length)
	case buffer[versionOffset] != frameVersion:
		return nil, 0, fmt.Errorf("%w: %d, and this process speaks %d", errFrameVersion, buffer[versionOffset], frameVersion)
	case len(buffer) < end:
		return nil, 0, nil
	}
	message := &Message{}
	if err := json.Unmarshal(buffer[headerLength:end], message); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	if message.Kind == "" {
		return nil, 0, fmt.Errorf("%w: no kind", errMalformedFrame)
	}
	return message, end, nil
}

// frameReader reads frames, with their descriptors, from a connection.
type frameReader struct {
	conn    *net.UnixConn
	chunk   []byte
	control []byte // control messages, which carry descriptors
	buffer  []byte // what was read and is not decoded yet
	files   []*os.File
}

func newFrameReader(conn *net.UnixConn) *frameReader {
	return &frameReader{conn: conn, chunk: make([]byte, readChunkSize), control: make([]byte, controlSpace(maxFiles))}
}

// fill waits for more bytes.
func (r *frameReader) fill() error {
	n, controlLength, _, _, err := r.conn.ReadMsgUnix(r.chunk, r.control)
	if err != nil {
		return err // the lengths may be -1
	}
	if n == 0 {
		return errPeerClosed
	}
	r.files = append(r.files, receivedFiles(r.control[:controlLength])...)
	r.buffer = append(r.buffer, r.chunk[:n]...)
	return nil
}

// next returns the next complete message, or nil. The receiver closes its files.
func (r *frameReader) next() (*Message, error) {
	message, used, err := parseFrame(r.buffer)
	if message == nil {
		return nil, err
	}
	count := int(r.buffer[fileCountOffset])
	if count > len(r.files) {
		return nil, errMissingDescriptors
	}
	message.Files, r.files = r.files[:count:count], r.files[count:]
	r.buffer = r.buffer[used:]
	return message, nil
}

// close closes the files that belong to no complete message.
func (r *frameReader) close() { closeAll(r.files) }
