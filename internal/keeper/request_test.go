package keeper

import (
	"testing"
)

// The texts of decoding errors are part of the interface: they contain the former names of types that were renamed.
func TestDecodeErrorTexts(t *testing.T) {
	var (
		batch   []followerProcess
		request struct {
			ID string `json:"id"`
		}
	)
	for _, c := range []struct {
		body string
		out  any
		want string
	}{
		{`{}`, &batch, "json: cannot unmarshal object into Go value of type []keeper.seat"},
		{`[7]`, &batch, "json: cannot unmarshal number into Go value of type keeper.seat"},
		{`[{"name":7}]`, &batch, "field name: a number is no string"},
		{`{"id":7}`, &request, "field id: a number is no string"},
		{`{"no":7}`, &request, "field no is not known"},
		{`{"id":"a"} {}`, &request, "there is something after the JSON value"},
		{`{`, &request, "unexpected EOF"},
	} {
		err := decodeStrictly(c.body, c.out)
		if err == nil {
			t.Errorf("%s is accepted", c.body)
			continue
		}
		if got := describeDecodeError(err); got != c.want {
			t.Errorf("%s: %q, want %q", c.body, got, c.want)
		}
	}
	if err := decodeStrictly(`[{"name":"r1","instance":"i"}]`, &batch); err != nil || len(batch) != 1 {
		t.Errorf("valid batch decoded to %v, error %v", batch, err)
	}
}
