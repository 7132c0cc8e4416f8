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

// canonicalValue returns the one form in which a value is stored, so that equal content has equal bytes: no blanks,
// names of objects sorted, numbers in their shortest form. The form is also a fixed point of encoding/json, which
// escapes <, > and & where it writes a RawMessage: a value arrives with the bytes that were hashed.
func canonicalValue(pointer string, raw json.RawMessage) (json.RawMessage, error) {
	if len(raw) > MaxChangeBytes {
		return nil, fmt.Errorf("the value has %d bytes, more than %d", len(raw), MaxValueBytes)
	}
	if !utf8.Valid(raw) {
		return nil, fmt.Errorf("the value is no UTF-8")
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
		return nil, fmt.Errorf("the value can't be written: %w", err)
	}
	if len(out) > MaxValueBytes {
		return nil, fmt.Errorf("the value has %d bytes, more than %d", len(out), MaxValueBytes)
	}
	return out, nil
}

// checkValueType checks what the pointer alone says of a value. Everything else is validated with the complete
// configuration.
func checkValueType(pointer string, value any) error {
	if value == nil {
		return fmt.Errorf("null is no value; remove takes an entry out")
	}
	if _, ok := value.(string); !ok && pointer == "/board" {
		return fmt.Errorf("the board is a string, address:port")
	}
	if !strings.HasPrefix(pointer, tenantsPath) {
		return nil
	}
	tenant, ok := value.(map[string]any)
	if !ok {
		return fmt.Errorf("a party is an object")
	}
	for field := range tenant {
		if strings.EqualFold(field, "name") {
			return fmt.Errorf("the name of a party stands in its pointer, not in its value")
		}
	}
	return nil
}

// decodeValue returns the next value, with its numbers in their shortest form. The text has to be valid JSON. A name
// that occurs twice in an object is an error, though JSON allows it: readers differ in which of the two they use.
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
			return nil, fmt.Errorf("more than %d lists and objects lie within each other", maxValueDepth)
		}
		if token == '{' {
			return decodeObject(decoder, depth+1)
		}
		return decodeArray(decoder, depth+1)
	}
	return token, nil
}

// decodeObject returns the object whose opening brace is read already.
func decodeObject(decoder *json.Decoder, depth int) (any, error) {
	object := map[string]any{}
	for decoder.More() {
		token, err := decoder.Token()
		if err != nil {
			return nil, invalidJSONError(err)
		}
		name, ok := token.(string)
		if !ok {
			return nil, invalidJSONError(fmt.Errorf("%v is no name", token))
		}
		if _, duplicate := object[name]; duplicate {
			return nil, fmt.Errorf("the name %.40q stands twice in an object", name)
		}
		if object[name], err = decodeValue(decoder, depth); err != nil {
			return nil, err
		}
	}
	return object, skipClosing(decoder)
}

// decodeArray returns the list whose opening bracket is read already.
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

// shortestNumber returns the shortest form of a number. Integers keep their digits, because nanoseconds can exceed
// what a float64 represents exactly.
func shortestNumber(s string) (any, error) {
	if !strings.ContainsAny(s, ".eE") {
		if s == "-0" {
			s = "0"
		}
		return json.Number(s), nil
	}
	f, err := strconv.ParseFloat(s, 64)
	if err != nil {
		return "", fmt.Errorf("the number %.40s is beyond what a float64 holds", s)
	}
	if f == math.Trunc(f) && math.Abs(f) < 1<<53 {
		return json.Number(strconv.FormatInt(int64(f), 10)), nil
	}
	out, err := json.Marshal(f)
	return json.Number(out), err
}
