package configlog

import (
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strconv"
	"strings"
	"unicode"
	"unicode/utf8"
)

// Bounds of what a Log takes, in bytes of UTF-8 unless said otherwise. A change beyond one is refused with FaultInvalid.
const (
	MaxIDBytes       = 128      // of a change's ID and of a follower's name
	MaxNoteBytes     = 1024     // of a change's note, and of a refusal's reason
	MaxPointerBytes  = 512      // of one pointer
	MaxValueBytes    = 64 << 10 // of one value in its canonical form
	MaxChangeBytes   = 1 << 20  // of all pointers and values of one change
	MaxDocumentBytes = 4 << 20  // of all pointers and values of the document
	MaxEntries       = 50_000   // entries of the document
	MaxMembers       = 10_000   // names of followers that are remembered
	MaxRememberedIDs = 4_096    // latest IDs that are remembered, so that a repeated call is one change
	maxDepth         = 64       // lists and objects within each other in a value
	partiesPath      = "/settings/parties/"
)

// own are the settings that belong to one router and can't be the same everywhere.
var own = map[string]string{"me": "the place of the router", "zone": "the zone of the router"}

// CheckPointer says why a pointer can't name an entry, or nothing. It guards the places that are each router's own: only
// /board, what lies below /settings but me and zone, and /settings/parties/NAME can be put. Names of settings are lower-case
// letters, digits, '-', '_' and '.', because the reader of settings takes "Zone" for "zone" too.
func CheckPointer(pointer string) error {
	switch {
	case pointer == "":
		return fmt.Errorf("the whole document can't be put, only its entries")
	case len(pointer) > MaxPointerBytes:
		return fmt.Errorf("the pointer has %d bytes, more than %d", len(pointer), MaxPointerBytes)
	case !utf8.ValidString(pointer):
		return fmt.Errorf("the pointer is no UTF-8")
	case pointer[0] != '/':
		return fmt.Errorf("a JSON pointer begins with /")
	case strings.ContainsFunc(pointer, unicode.IsControl):
		return fmt.Errorf("the pointer has a control character")
	}
	for i := 0; i < len(pointer); i++ {
		if pointer[i] == '~' && (i+1 == len(pointer) || pointer[i+1] != '0' && pointer[i+1] != '1') {
			return fmt.Errorf("in a JSON pointer 0 or 1 follows a ~ (RFC 6901)")
		}
	}
	if name, ok := strings.CutPrefix(pointer, partiesPath); ok {
		switch {
		case name == "":
			return fmt.Errorf("the party has no name")
		case strings.Contains(name, "/"):
			return fmt.Errorf("a party is put as a whole, with its pointer %sNAME (a / in a name is written ~1)", partiesPath)
		}
		return nil
	}
	names := strings.Split(pointer, "/")[1:]
	switch {
	case pointer == "/board":
		return nil
	case names[0] != "settings":
		return fmt.Errorf("only /board and what lies below /settings can be put; the rest is each router's own")
	case len(names) == 1:
		return fmt.Errorf("the settings are put entry by entry, below /settings")
	case own[names[1]] != "":
		return fmt.Errorf("%s is its own", own[names[1]])
	case pointer == "/settings/parties":
		return fmt.Errorf("parties are put one by one, as %sNAME", partiesPath)
	}
	for _, n := range names[1:] {
		if err := checkName(n); err != nil {
			return err
		}
	}
	return nil
}

func checkName(n string) error {
	digits := true
	for _, c := range []byte(n) {
		digits = digits && '0' <= c && c <= '9'
		if !('a' <= c && c <= 'z' || '0' <= c && c <= '9' || c == '-' || c == '_' || c == '.') {
			return fmt.Errorf("%q is no name of a setting: those have lower-case letters, digits, '-', '_' and '.'", n)
		}
	}
	switch {
	case n == "":
		return fmt.Errorf("a name in the pointer is empty")
	case n == "-":
		return fmt.Errorf("'-' names no entry, but the place after the last one")
	case digits && len(n) > 1 && n[0] == '0':
		return fmt.Errorf("%q is no place in a list: those have no zeros in front", n)
	}
	return nil
}

// TenantName gives the name of the party that a pointer addresses, and false for a pointer that addresses none.
func TenantName(pointer string) (string, bool) {
	name, ok := strings.CutPrefix(pointer, partiesPath)
	if !ok || name == "" || strings.Contains(name, "/") {
		return "", false
	}
	return strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~"), true
}

// canonical gives the one form in which a value is kept, so that equal content has equal bytes: no blanks, names of objects
// sorted, numbers in their shortest form. The form is also a fixed point of encoding/json, which escapes <, > and & where it
// writes a RawMessage: a value arrives with the bytes that were hashed.
func canonical(pointer string, raw json.RawMessage) (json.RawMessage, error) {
	if len(raw) > MaxChangeBytes {
		return nil, fmt.Errorf("the value has %d bytes, more than %d", len(raw), MaxValueBytes)
	}
	if !utf8.Valid(raw) {
		return nil, fmt.Errorf("the value is no UTF-8")
	}
	if !json.Valid(raw) {
		return nil, fmt.Errorf("the value is not valid JSON")
	}
	d := json.NewDecoder(bytes.NewReader(raw))
	d.UseNumber()
	v, err := read(d, 0)
	if err != nil {
		return nil, err
	}
	if err := checkKind(pointer, v); err != nil {
		return nil, err
	}
	out, err := json.Marshal(v)
	if err != nil {
		return nil, fmt.Errorf("the value can't be written: %w", err)
	}
	if len(out) > MaxValueBytes {
		return nil, fmt.Errorf("the value has %d bytes, more than %d", len(out), MaxValueBytes)
	}
	return out, nil
}

// checkKind guards what the pointer alone says of a value. All else is the check of the whole configuration.
func checkKind(pointer string, v any) error {
	if v == nil {
		return fmt.Errorf("null is no value; remove takes an entry out")
	}
	if _, ok := v.(string); !ok && pointer == "/board" {
		return fmt.Errorf("the board is a string, address:port")
	}
	if !strings.HasPrefix(pointer, partiesPath) {
		return nil
	}
	party, ok := v.(map[string]any)
	if !ok {
		return fmt.Errorf("a party is an object")
	}
	for field := range party {
		if strings.EqualFold(field, "name") {
			return fmt.Errorf("the name of a party stands in its pointer, not in its value")
		}
	}
	return nil
}

// read gives the next value, with its numbers in their shortest form. It takes a text that is valid JSON, and refuses what
// that allows but nobody can rely on: a name that stands twice in an object.
func read(d *json.Decoder, depth int) (any, error) {
	t, err := d.Token()
	if err != nil {
		return nil, fmt.Errorf("the value is not valid JSON: %w", err)
	}
	if n, ok := t.(json.Number); ok {
		return shortestNumber(string(n))
	}
	open, ok := t.(json.Delim)
	if !ok {
		return t, nil
	}
	if depth == maxDepth {
		return nil, fmt.Errorf("more than %d lists and objects lie within each other", maxDepth)
	}
	list, object := []any{}, map[string]any{}
	for d.More() {
		name := ""
		if open == '{' {
			t, err := d.Token()
			if err != nil {
				return nil, fmt.Errorf("the value is not valid JSON: %w", err)
			}
			name = t.(string)
			if _, twice := object[name]; twice {
				return nil, fmt.Errorf("the name %.40q stands twice in an object", name)
			}
		}
		v, err := read(d, depth+1)
		if err != nil {
			return nil, err
		}
		if open == '{' {
			object[name] = v
		} else {
			list = append(list, v)
		}
	}
	if _, err := d.Token(); err != nil {
		return nil, fmt.Errorf("the value is not valid JSON: %w", err)
	}
	if open == '{' {
		return object, nil
	}
	return list, nil
}

// shortestNumber keeps whole numbers digit by digit, because nanoseconds can pass what a float64 holds.
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

// checkLabel guards IDs and names: they go into logs, paths of URLs and answers.
func checkLabel(field, s string) error {
	switch {
	case s == "":
		return fmt.Errorf("field %s is missing", field)
	case len(s) > MaxIDBytes:
		return fmt.Errorf("field %s has %d bytes, more than %d", field, len(s), MaxIDBytes)
	case !utf8.ValidString(s) || strings.ContainsFunc(s, unicode.IsControl):
		return fmt.Errorf("field %s has a control character or is no UTF-8", field)
	}
	return nil
}
