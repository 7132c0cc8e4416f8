package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// ErrNotJSON reports that a text is not exactly one JSON value.
var ErrNotJSON = errors.New("not valid JSON")

// Decode decodes JSON into a value. The error is a single line; for a value of the wrong type, it has the name of the
// field in JSON.
func Decode(text []byte, into any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, into)
	if err == nil {
		return nil
	}
	// The errors of json-iterator have the Go names of fields and types; those of encoding/json have the names in JSON.
	var typeError *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, into), &typeError) {
		return fmt.Errorf("field %s: unexpected JSON %s", typeError.Field, typeError.Value)
	}
	if !jsoniter.Valid(text) {
		return ErrNotJSON
	}
	line, _, _ := strings.Cut(strings.ToValidUTF8(err.Error(), "?"), "\n")
	return errors.New(line)
}
