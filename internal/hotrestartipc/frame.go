package hotrestartipc

import (
	"encoding/binary"
	"errors"
	"fmt"
	"net"
	"os"
)

// A frame has a header and a Message as JSON. The header is the length (4 bytes, big-endian), the version (1 byte) and
// the number of files (1 byte); the length counts the bytes after itself. The descriptors of a frame are sent with its
// first byte.
const (
	lengthSize      = 4
	versionOffset   = 4
	fileCountOffset = 5
	headerLength    = 6
	// countedHeaderLength is the part of the header that the length counts.
	countedHeaderLength = headerLength - lengthSize
	// frameVersion is the version of this layout, which has never changed. The version of the messages' content is
	// negotiated in hello and state (hotrestart.ProtocolVersion).
	frameVersion = 1
	// maxFrameLength limits the length of a frame. A state message holds several thousand idempotency ids.
	maxFrameLength = 8 << 20
	// maxFiles is the maximum number of descriptors that one message may carry.
	maxFiles = 8
	// readChunkSize is how many bytes are read from a connection at once.
	readChunkSize = 64 << 10
)

// Errors caused by the peer. Each of them ends the link.
var (
	errPeerClosed         = errors.New("link closed by the other process")
	errFrameLength        = errors.New("invalid frame length")
	errFrameVersion       = errors.New("unsupported frame version")
	errMalformedFrame     = errors.New("malformed frame")
	errMissingDescriptors = errors.New("frame without all of its descriptors")
)

// encodeFrame returns a message as a frame, without its descriptors, which are sent separately.
func encodeFrame(message Message) ([]byte, error) {
	text, err := json.Marshal(message)
	if err != nil {
		return nil, fmt.Errorf("encode message %s: %w", message.Kind, err)
	}
	frame := binary.BigEndian.AppendUint32(nil, uint32(len(text)+countedHeaderLength))
	frame = append(frame, frameVersion, byte(len(message.Files)))
	return append(frame, text...), nil
}

// parseFrame decodes the first frame in a buffer and returns the number of bytes it uses. The message is nil if the
// frame is incomplete.
func parseFrame(buffer []byte) (*Message, int, error) {
	if len(buffer) < headerLength {
		return nil, 0, nil
	}
	length := int(binary.BigEndian.Uint32(buffer))
	end := lengthSize + length
	switch {
	case length < countedHeaderLength || length > maxFrameLength:
		return nil, 0, fmt.Errorf("%w: %d bytes, want %d to %d",
			errFrameLength, length, countedHeaderLength, maxFrameLength)
	case buffer[versionOffset] != frameVersion:
		return nil, 0, fmt.Errorf("%w: %d, want %d", errFrameVersion, buffer[versionOffset], frameVersion)
	case len(buffer) < end:
		return nil, 0, nil
	}
	message := &Message{}
	if err := json.Unmarshal(buffer[headerLength:end], message); err != nil {
		return nil, 0, fmt.Errorf("%w: %w", errMalformedFrame, err)
	}
	if message.Kind == "" {
		return nil, 0, fmt.Errorf("%w: message without a kind", errMalformedFrame)
	}
	return message, end, nil
}

// frameReader reads frames and their descriptors from a connection.
type frameReader struct {
	conn    *net.UnixConn
	chunk   []byte
	control []byte // control messages, which carry descriptors
	buffer  []byte // bytes read but not decoded yet
	files   []*os.File
}

func newFrameReader(conn *net.UnixConn) *frameReader {
	return &frameReader{conn: conn, chunk: make([]byte, readChunkSize), control: make([]byte, controlSpace(maxFiles))}
}

// fill waits for more bytes and their descriptors.
func (r *frameReader) fill() error {
	n, controlLength, _, _, err := r.conn.ReadMsgUnix(r.chunk, r.control)
	if err != nil {
		return err // the lengths may be -1 after an error
	}
	if n == 0 {
		return errPeerClosed
	}
	r.files = append(r.files, receivedFiles(r.control[:controlLength])...)
	r.buffer = append(r.buffer, r.chunk[:n]...)
	return nil
}

// next returns the next complete message, or nil if there is none. The caller has to close its files.
func (r *frameReader) next() (*Message, error) {
	message, used, err := parseFrame(r.buffer)
	if message == nil {
		return nil, err
	}
	count := int(r.buffer[fileCountOffset])
	if count > len(r.files) {
		return nil, fmt.Errorf("%w: %d received, want %d", errMissingDescriptors, len(r.files), count)
	}
	message.Files, r.files = r.files[:count:count], r.files[count:]
	r.buffer = r.buffer[used:]
	return message, nil
}

// close closes the files that were received but belong to no complete message.
func (r *frameReader) close() { closeAll(r.files) }
