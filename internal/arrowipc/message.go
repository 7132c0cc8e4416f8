package arrowipc

import (
	"encoding/binary"

	flatbuffers "github.com/google/flatbuffers/go"
)

// Fields of the tables in Message.fbs, in their order, and members of the unions in it.
const (
	messageHeaderKind, messageHeader, messageMetadata     = 1, 2, 4
	headerSchema, headerDictionary, headerBatch           = 1, 2, 3
	dictionaryData                                        = 1
	batchRows, batchNodes, batchBuffers, batchCompression = 0, 1, 2, 3
	batchVariadicCounts                                   = 4
	compressionCodec                                      = 0
	nodeSize, bufferSize, variadicCountSize               = 16, 16, 8
	bufferLengthOffset                                    = 8
)

// Codec is the compression of the buffers of a batch.
type Codec int8

// Codecs of a batch. The values after NotCompressed are those of CompressionType in Message.fbs.
const (
	NotCompressed Codec = -1
	LZ4Frame      Codec = 0
	Zstandard     Codec = 1
)

// lengthPrefix is the size of the length that a compressed buffer begins with, and storedAsIs is the length that stands
// for a buffer that is not compressed.
const (
	lengthPrefix = 8
	storedAsIs   = -1
)

// Message is an inspected message.
type Message struct {
	// Codec is the compression of the buffers.
	Codec           Codec
	header          []byte
	body            []byte
	buffers         flatbuffers.UOffsetT // position in header of the descriptions of the buffers
	count           int                  // number of buffers
	compressionSlot int                  // position in header of the vtable entry of the compression
}

// Inspector inspects the messages of one stream, in their order. Its zero value is ready for use.
type Inspector struct {
	viewColumns     int  // columns of the schema whose values are views, which have data buffers in any number
	viewDictionary  bool // the schema has a dictionary whose values are views
	schemaInspected bool
}

// Inspect checks the header (a FlatBuffers Message) and body of a message. It does not copy them. The error names what
// is out of range; for a column, its name and type.
func (n *Inspector) Inspect(header, body []byte) (message Message, err error) {
	defer func() {
		if p := recover(); p != nil { // an offset points beyond the message
			err = malformed("%v", p)
		}
	}()
	message = Message{Codec: NotCompressed, header: header, body: body}
	root := rootTable(header)
	checker := &schemaChecker{}
	if err := checker.checkMetadata(root, messageMetadata); err != nil {
		return message, err
	}
	content, ok := root.child(messageHeader)
	if !ok {
		return message, malformed("no header")
	}
	switch kind := root.octet(messageHeaderKind); {
	case kind == headerSchema && !n.schemaInspected:
		n.schemaInspected = true
		err = checker.check(content)
		n.viewColumns, n.viewDictionary = checker.viewColumns, checker.viewDictionary
		return message, err
	case kind == headerDictionary && n.schemaInspected:
		if content, ok = content.child(dictionaryData); !ok {
			return message, malformed("a dictionary without values")
		}
		viewColumns := 0
		if n.viewDictionary {
			viewColumns = 1
		}
		return message, message.checkBatch(content, viewColumns)
	case kind == headerBatch && n.schemaInspected:
		return message, message.checkBatch(content, n.viewColumns)
	default:
		return message, malformed("unexpected header of kind %d", kind)
	}
}

// checkBatch checks a record batch, or the values of a dictionary, that has a number of columns of views.
func (m *Message) checkBatch(batch table, viewColumns int) error {
	if rows := batch.integer(batchRows); rows < 0 {
		return malformed("a batch with %d rows", rows)
	}
	if _, _, err := batch.vector(batchNodes, nodeSize); err != nil {
		return err
	}
	var err error
	if m.buffers, m.count, err = batch.vector(batchBuffers, bufferSize); err != nil {
		return err
	}
	if err := m.checkVariadicCounts(batch, viewColumns); err != nil {
		return err
	}
	if compression, ok := batch.child(batchCompression); ok {
		m.Codec = Codec(compression.octet(compressionCodec))
		m.compressionSlot = batch.slot(batchCompression)
		if m.Codec != LZ4Frame && m.Codec != Zstandard {
			return malformed("unknown compression %d", m.Codec)
		}
	}
	return m.eachBuffer(func(_ int, content []byte) error {
		if m.Codec != NotCompressed && len(content) > 0 && len(content) < lengthPrefix {
			return malformed("a compressed buffer of %d bytes has no length", len(content))
		}
		return nil
	})
}

// checkVariadicCounts checks the numbers of data buffers of the columns of views, for which Arrow allocates memory
// first. Arrow reads one for each of these columns, also beyond the end of the vector, unless there is no vector.
func (m *Message) checkVariadicCounts(batch table, viewColumns int) error {
	start, length, err := batch.vector(batchVariadicCounts, variadicCountSize)
	if err != nil {
		return err
	}
	if batch.position(batchVariadicCounts) != 0 && length < viewColumns {
		return malformed("the data buffers of %d columns of views, expected those of %d", length, viewColumns)
	}
	for i := range length {
		count := batch.GetInt64(start + flatbuffers.UOffsetT(i*variadicCountSize))
		if count < 0 || count > int64(m.count) {
			return malformed("a column with %d data buffers in a batch with %d buffers", count, m.count)
		}
	}
	return nil
}

// eachBuffer calls visit with the bytes of each buffer. A buffer that does not lie within the body is an error.
func (m *Message) eachBuffer(visit func(i int, content []byte) error) error {
	for i := range m.count {
		description := m.description(i)
		offset := int64(binary.LittleEndian.Uint64(description))
		length := int64(binary.LittleEndian.Uint64(description[bufferLengthOffset:]))
		total := int64(len(m.body))
		if offset < 0 || length < 0 || offset > total || length > total-offset {
			return malformed("a buffer of %d bytes at %d in a body of %d", length, offset, total)
		}
		if err := visit(i, m.body[offset:offset+length]); err != nil {
			return err
		}
	}
	return nil
}

// description returns the bytes of the header that describe a buffer: its offset and its length.
func (m *Message) description(i int) []byte {
	return m.header[int(m.buffers)+i*bufferSize:][:bufferSize]
}

// DecodedBytes returns the length of the body once it is not compressed, as the message declares it, and an error if it
// exceeds the limit.
func (m *Message) DecodedBytes(limit int) (int, error) {
	if m.Codec == NotCompressed {
		if len(m.body) > limit {
			return 0, malformed("the body has %d bytes, at most %d are allowed", len(m.body), limit)
		}
		return len(m.body), nil
	}
	total := int64(0)
	err := m.eachBuffer(func(_ int, content []byte) error {
		size := declaredSize(content)
		if size < 0 || size > int64(limit)-total {
			return malformed("a compressed buffer declares %d bytes, at most %d are allowed in all", size, limit)
		}
		total += int64(alignedSize(int(size)))
		return nil
	})
	return int(total), err
}

// declaredSize returns the size of a buffer of a compressed batch once it is not compressed.
func declaredSize(content []byte) int64 {
	if len(content) == 0 {
		return 0
	}
	size := int64(binary.LittleEndian.Uint64(content))
	if size == storedAsIs {
		return int64(len(content) - lengthPrefix)
	}
	return size
}

// alignedSize returns the bytes that a buffer takes in a body that Decompress builds.
func alignedSize(size int) int {
	return (size + bufferAlignment - 1) / bufferAlignment * bufferAlignment
}
