// Package record writes and reads typed records of what a router observed and did. They are stored in segment files,
// which windflowctl prints and from which it makes incident reports. A record never contains the text of a statement,
// because it may contain the names of donors. Ids in records are the ids that the protocols use.
//
// A segment is a sequence of frames. A frame has the fields length (4 bytes), checksum (4 bytes), kind (1 byte) and
// payload; integers are big-endian. The length is that of kind and payload, the checksum is their CRC-32C
// (Castagnoli), and the payload is CBOR (RFC 8949) with integer keys. The first frame contains a Header. A segment that
// a crash truncated can be read up to its last complete frame. docs/design/records.md compares this format with others.
package record
