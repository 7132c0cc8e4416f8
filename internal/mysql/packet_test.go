package mysql

import (
	"bytes"
	"testing"
)

// A length-encoded integer has 1, 3, 4 or 9 bytes. The cases include the values on both sides of each change of length.
func TestLenencInt(t *testing.T) {
	for _, test := range []struct {
		value uint64
		want  []byte
	}{
		{0, []byte{0}},
		{250, []byte{250}},
		{251, []byte{0xfc, 251, 0}},
		{1<<16 - 1, []byte{0xfc, 0xff, 0xff}},
		{1 << 16, []byte{0xfd, 0, 0, 1}},
		{0x123456, []byte{0xfd, 0x56, 0x34, 0x12}},
		{1<<24 - 1, []byte{0xfd, 0xff, 0xff, 0xff}},
		{1 << 24, []byte{0xfe, 0, 0, 0, 1, 0, 0, 0, 0}},
		{0x0123456789abcdef, []byte{0xfe, 0xef, 0xcd, 0xab, 0x89, 0x67, 0x45, 0x23, 0x01}},
	} {
		var writer packetWriter
		writer.lenencInt(test.value)
		if !bytes.Equal(writer.buffer, test.want) {
			t.Errorf("%d: % x, want % x", test.value, writer.buffer, test.want)
		}
	}
}
