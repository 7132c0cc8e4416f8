package settings

import (
	"encoding/json"
	"errors"
	"fmt"
	"strings"

	jsoniter "github.com/json-iterator/go"
)

// ErrNotJSON is a text that is not exactly one JSON value.
var ErrNotJSON = errors.New("not valid JSON")

// Decode reads JSON into a value. The error is one line that names the field by its name in JSON.
func Decode(text []byte, into any) error {
	err := jsoniter.ConfigCompatibleWithStandardLibrary.Unmarshal(text, into)
	if err == nil {
		return nil
	}
	// json-iterator's errors have Go's names of fields and types; encoding/json knows the name in JSON.
	var typeError *json.UnmarshalTypeError
	if errors.As(json.Unmarshal(text, into), &typeError) {
		return fmt.Errorf("field %s: a %s does not fit", typeError.Field, typeError.Value)
	}
	if !jsoniter.Valid(text) {
		return ErrNotJSON
	}
	line, _, _ := strings.Cut(strings.ToValidUTF8(err.Error(), "?"), "\n")
	return errors.New(line)
}
