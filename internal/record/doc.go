// Package record stores what a router observed and did, for windflowctl and its incident report: typed records in
// segment files. A record never contains the text of a statement, which may name donors; ids are those on the wire.
//
// A segment is a sequence of frames. A frame is length:4 checksum:4 kind:1 payload, big-endian: the length counts
// kind and payload, the checksum is their CRC-32C (Castagnoli), and the payload is CBOR (RFC 8949) with integer keys.
// The first frame is a Header. A segment that was truncated by a crash is readable up to its last complete frame.
// docs/design/records.md compares the alternatives.
package record
