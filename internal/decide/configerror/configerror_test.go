package configerror

import (
	"errors"
	"fmt"
	"testing"
)

func TestFrom(t *testing.T) {
	rejected := Invalidf("/board", "is %d", 8)
	for _, test := range []struct {
		err     error
		kind    Kind
		pointer string
		reason  string
	}{
		{rejected, Invalid, "/board", "is 8"},
		{fmt.Errorf("keeper k1: %w", &Error{Kind: Conflict, Reason: "another revision", Revision: 3}), Conflict, "", "another revision"},
		{errors.New("no file"), Invalid, "", "no file"},
	} {
		got := From(test.err)
		if got.Kind != test.kind || got.Pointer != test.pointer || got.Reason != test.reason {
			t.Errorf("%v: %+v", test.err, got)
		}
	}
	if got := From(nil); got != nil {
		t.Errorf("no error: %+v", got)
	}
	if text := rejected.Error(); text != "/board: is 8" {
		t.Error(text)
	}
}
