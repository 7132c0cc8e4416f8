package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode/utf8"
)

// canonicalValue returns a JSON value in canonical form: without white space, with sorted object names and with numbers
// in their shortest form. Equal values then have equal bytes. encoding/json, which escapes <, > and & when it encodes a
// RawMessage, leaves the canonical form unchanged, so that a follower receives the bytes that were hashed.
func canonicalValue(pointer string, raw json.RawMessage) (json.RawMessage, error) {
	if len(raw) > MaxChangeBytes {
		return nil, fmt.Errorf("the value has %d bytes; the limit is %d", len(raw), MaxValueBytes)
	}
	if !utf8.Valid(raw) {
		return nil, fmt.Errorf("the value is not valid UTF-8")
	}
	if !json.Valid(raw) {
		return nil, fmt.Errorf("the value is not valid JSON")
	}
	decoder := json.NewDecoder(bytes.NewReader(raw))
	decoder.UseNumber()
	value, err := decodeValue(decoder, 0)
	if err != nil {
		return nil, err
	}
	if err := checkValueType(pointer, value); err != nil {
		return nil, err
	}
	out, err := json.Marshal(value)
	if err != nil {
		return nil, fmt.Errorf("the value can't be encoded: %w", err)
	}
	if len(out) > MaxValueBytes {
		return nil, fmt.Errorf("the value has %d bytes; the limit is %d", len(out), MaxValueBytes)
	}
	return out, nil
}

// checkValueType checks the requirements on a value that follow from its pointer alone. All others are validated with
// the complete configuration.
func checkValueType(pointer string, value any) error {
	if value == nil {
		return fmt.Errorf("the value is null; use remove to remove an entry")
	}
	if _, ok := value.(string); !ok && pointer == "/board" {
		return fmt.Errorf("the board must be a string of the form address:port")
	}
	if !strings.HasPrefix(pointer, tenantsPath) {
		return nil
	}
	tenant, ok := value.(map[string]any)
	if !ok {
		return fmt.Errorf("a party must be a JSON object")
	}
	for field := range tenant {
		if strings.EqualFold(field, "name") {
			return fmt.Errorf("a party must not have the field %q: its name is part of the pointer", field)
		}
	}
	return nil
}

// decodeValue decodes the next value and brings its numbers into their shortest form. The input must be valid JSON. A
// duplicate name in an object is an error although JSON allows it, because decoders differ in which of the values they
// use.
func decodeValue(decoder *json.Decoder, depth int) (any, error) {
	token, err := decoder.Token()
	if err != nil {
		return nil, invalidJSONError(err)
	}
	switch token := token.(type) {
	case json.Number:
		return shortestNumber(string(token))
	case json.Delim:
		if depth == maxValueDepth {
			return nil, fmt.Errorf("arrays and objects are nested more than %d levels deep", maxValueDepth)
		}
		if token == '{' {
			return decodeObject(decoder, depth+1)
		}
		return decodeArray(decoder, depth+1)
	}
	return token, nil
}

// decodeObject decodes the rest of an object after its opening brace.
func decodeObject(decoder *json.Decoder, depth int) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, invalidJSONError(err)
		}
		name, ok := token.(string)
		if !ok {
			return nil, invalidJSONError(fmt.Errorf("the object name %v is not a string", token))
		}
		if _, duplicate := object[name]; duplicate {
			return nil, fmt.Errorf("the name %.40q occurs twice in an object", name)
		}
		if object[name], err = decodeValue(decoder, depth); err != nil {
			return nil, err
		}
	}
	return object, skipClosing(decoder)
}

// decodeArray decodes the rest of an array after its opening bracket.
func decodeArray(decoder *json.Decoder, depth int) (any, error) {
	list := []any{}
	for decoder.More() {
		value, err := decodeValue(decoder, depth)
		if err != nil {
			return nil, err
		}
		list = append(list, value)
	}
	return list, skipClosing(decoder)
}

func skipClosing(decoder *json.Decoder) error {
	if _, err := decoder.Token(); err != nil {
		return invalidJSONError(err)
	}
	return nil
}

func invalidJSONError(err error) error { return fmt.Errorf("the value is not valid JSON: %w", err) }

// shortestNumber returns the shortest form of a number. Integers keep all their digits, because a float64 can't
// represent every number of nanoseconds exactly.
func shortestNumber(s string) (any, error) {
	if !strings.ContainsAny(s, ".eE") {
		if s == "-0" {
			s = "0"
		}
		return json.Number(s), nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return "", fmt.Errorf("the number %.40s is out of the range of a float64", s)
	}
	if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return json.Number(strconv.FormatInt(int64(f), 10)), nil
	}
	out, err := json.Marshal(f)
	return json.Number(out), err
}
