package arrowipc

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"

	"github.com/klauspost/compress/zstd"
	"github.com/pierrec/lz4/v4"
)

const (
	// bufferAlignment is the alignment of buffers in a body, in bytes.
	bufferAlignment = 8
	// maxConcurrentDecompressions bounds the memory for the tables and blocks of decoders.
	maxConcurrentDecompressions = 2
)

var errTooLong = errors.New("more bytes than declared")

// Decompressor decompresses the buffers of batches. It is safe for concurrent use.
type Decompressor struct {
	zstd *zstd.Decoder
	lz4  chan *lz4.Reader
}

// NewDecompressor returns a decompressor.
func NewDecompressor() (*Decompressor, error) {
	decoder, err := zstd.NewReader(nil, zstd.WithDecoderConcurrency(maxConcurrentDecompressions),
		zstd.WithDecoderLowmem(true), zstd.WithDecodeAllCapLimit(true))
	if err != nil {
		return nil, err
	}
	decompressor := &Decompressor{zstd: decoder, lz4: make(chan *lz4.Reader, maxConcurrentDecompressions)}
	for range maxConcurrentDecompressions {
		decompressor.lz4 <- lz4.NewReader(nil)
	}
	return decompressor, nil
}

// Decompress returns the header and body of a compressed message with the same content, which is not compressed. The
// body has size bytes, which is the result of DecodedBytes. The new message is inspected as well: parts of a malformed
// header may overlap, so that a change of one part changes another.
func (n *Inspector) Decompress(d *Decompressor, message Message, size int) (header, body []byte, err error) {
	header, body, err = d.rebuild(message, size)
	if err != nil {
		return nil, nil, err
	}
	rebuilt, err := n.Inspect(header, body)
	if err == nil && rebuilt.Codec != NotCompressed {
		err = malformed("a header whose parts overlap")
	}
	return header, body, err
}

// rebuild returns the header and body of a message that is not compressed.
func (d *Decompressor) rebuild(message Message, size int) (header, body []byte, err error) {
	rebuilt := Message{header: bytes.Clone(message.header), buffers: message.buffers, count: message.count}
	binary.LittleEndian.PutUint16(rebuilt.header[message.compressionSlot:], 0) // the field is absent
	body = make([]byte, size)
	offset := 0
	err = message.eachBuffer(func(i int, content []byte) error {
		length := int(declaredSize(content))
		if len(content) > 0 {
			if err := d.decompress(message.Codec, body[offset:offset:offset+length], content); err != nil {
				return malformed("buffer %d cannot be decompressed: %v", i, err)
			}
		}
		description := rebuilt.description(i)
		binary.LittleEndian.PutUint64(description, uint64(offset))
		binary.LittleEndian.PutUint64(description[bufferLengthOffset:], uint64(length))
		offset += alignedSize(length)
		return nil
	})
	return rebuilt.header, body, err
}

// decompress fills the capacity of target with the content of a buffer. A buffer with fewer or more bytes is an error.
func (d *Decompressor) decompress(codec Codec, target, content []byte) error {
	size, source := cap(target), content[lengthPrefix:]
	if int64(binary.LittleEndian.Uint64(content)) == storedAsIs {
		copy(target[:size], source)
		return nil
	}
	if codec == LZ4Frame {
		return d.decompressLZ4(target[:size], source)
	}
	filled, err := d.zstd.DecodeAll(source, target)
	if err == nil && len(filled) < size {
		err = io.ErrUnexpectedEOF
	}
	return err
}

func (d *Decompressor) decompressLZ4(target, source []byte) error {
	reader := <-d.lz4
	defer func() {
		reader.Reset(nil)
		d.lz4 <- reader
	}()
	reader.Reset(bytes.NewReader(source))
	if _, err := io.ReadFull(reader, target); err != nil {
		return err
	}
	if n, _ := reader.Read(make([]byte, 1)); n > 0 {
		return errTooLong
	}
	return nil
}
