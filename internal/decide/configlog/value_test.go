package configlog

import (
	"encoding/json"
	"strings"
	"testing"
)

// A value that is truncated at any position is an error and is not decoded as a shorter value.
func TestDecodeValueRejectsTruncatedInput(t *testing.T) {
	const text = `{"a":[1,{"b":"c"}],"d":null}`
	decode := func(text string) (any, error) {
		decoder := json.NewDecoder(strings.NewReader(text))
		decoder.UseNumber()
		return decodeValue(decoder, 0)
	}
	if _, err := decode(text); err != nil {
		t.Fatal(err)
	}
	for length := range len(text) {
		value, err := decode(text[:length])
		if err == nil || !strings.HasPrefix(err.Error(), "the value is not valid JSON: ") {
			t.Errorf("%s: decoded as %v, error %v", text[:length], value, err)
		}
	}
}
