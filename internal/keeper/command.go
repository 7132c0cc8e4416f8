package keeper

import (
	"encoding/binary"
	"encoding/json"
	"errors"
	"fmt"
	"hash/crc32"

	"windflow/internal/decide/configlog"
)

// command is the payload of one entry of the replicated log. Exactly one field is set.
type command struct {
	Change *changeCommand    `json:"change,omitempty"`
	Join   []followerProcess `json:"join,omitempty"`   // follower processes to add to the roster
	Forget string            `json:"forget,omitempty"` // name of a follower to remove from the roster
}

// followerProcess identifies one process of a follower: a restarted follower keeps its name and gets a new instance.
type followerProcess struct {
	Name     string `json:"name"`
	Instance string `json:"instance"`
}

// changeCommand is a change that was checked against the content at revision Base. It has no effect if another revision
// is current when it is applied.
type changeCommand struct {
	Base   uint64           `json:"base"`
	Change configlog.Change `json:"change"`
}

const (
	// commandFormat is the first byte of each entry. The CRC-32C of the JSON and the JSON itself follow.
	commandFormat = 1
	// commandHeaderSize is the size in bytes of the format and the checksum.
	commandHeaderSize = 1 + 4
)

// castagnoli is the polynomial table of CRC-32C.
var castagnoli = crc32.MakeTable(crc32.Castagnoli)

func (c command) encode() ([]byte, error) {
	body, err := json.Marshal(c)
	if err != nil {
		return nil, err
	}
	out := make([]byte, commandHeaderSize, commandHeaderSize+len(body))
	out[0] = commandFormat
	binary.BigEndian.PutUint32(out[1:], crc32.Checksum(body, castagnoli))
	return append(out, body...), nil
}

// verifyCommand returns an error if an encoded command is truncated, has an unknown format or fails its checksum.
func verifyCommand(data []byte) error {
	if len(data) < commandHeaderSize {
		return errors.New("entry is truncated")
	}
	if data[0] != commandFormat {
		return fmt.Errorf("entry has format %d; this program supports format %d", data[0], commandFormat)
	}
	if crc32.Checksum(data[commandHeaderSize:], castagnoli) != binary.BigEndian.Uint32(data[1:]) {
		return errors.New("entry does not match its checksum")
	}
	return nil
}

func decodeCommand(data []byte) (c command, err error) {
	if err := verifyCommand(data); err != nil {
		return c, err
	}
	return c, json.Unmarshal(data[commandHeaderSize:], &c)
}
