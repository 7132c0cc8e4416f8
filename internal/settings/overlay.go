package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"fmt"
	"maps"
	"reflect"
	"slices"
	"strconv"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"windflow/internal/decide/configerror"
)

// Value is the JSON text of an entry's value.
type Value = json.RawMessage

// partiesAt is where the parties are put by their names.
const partiesAt = "/settings/parties/"

// own are the fields that belong to each router by itself, so that no entry may name them.
var own = []string{"/name", "/listen", "/seed", "/limits", "/control", "/known", "/settings/me", "/settings/zone"}

// Overlay gives a platform file with entries laid over it: JSON pointer (RFC 6901) to value. Without entries that is the
// file itself, byte for byte. The error of an entry is a *configerror.Error.
//
// An entry may name `/board` and what is below `/settings` and known to this program; what is each router's own may not be
// named. The parties are named one by one, `/settings/parties/NAME`; with any such entry the list consists of these only, by
// the order of their names. An item of another list is named by its number, and has to be there.
func Overlay(platform []byte, entries map[string]Value) ([]byte, error) {
	if len(entries) == 0 {
		return platform, nil
	}
	if !json.Valid(platform) {
		return nil, ErrNotJSON
	}
	parties := map[string]Value{}
	doc := &tree{raw: platform}
	for _, pointer := range slices.Sorted(maps.Keys(entries)) {
		value := entries[pointer]
		if err := CheckEntry(pointer, value); err != nil {
			return nil, err
		}
		for i := range pointer {
			if pointer[i] != '/' {
				continue
			}
			if _, above := entries[pointer[:i]]; above {
				return nil, configerror.Invalidf(pointer, "is part of the entry %s", pointer[:i])
			}
		}
		steps := stepsOf(pointer)
		if strings.HasPrefix(pointer, partiesAt) {
			parties[steps[2]] = value
			continue
		}
		if err := doc.put(steps, value); err != nil {
			return nil, configerror.Invalidf(pointer, "%s", err)
		}
	}
	if len(parties) > 0 {
		list, err := listOf(parties)
		if err != nil {
			return nil, err
		}
		if err := doc.put([]string{"settings", "parties"}, list); err != nil {
			return nil, configerror.Invalidf(partiesAt+escape(slices.Sorted(maps.Keys(parties))[0]), "%s", err)
		}
	}
	return doc.append(nil), nil
}

// CheckEntry tells whether an entry may be, whatever it is laid over: its pointer names a field that entries may set, and
// its value is JSON of the field's type. The error is a *configerror.Error.
func CheckEntry(pointer string, value Value) error {
	fault := func(form string, args ...any) error { return configerror.Invalidf(pointer, form, args...) }
	steps := stepsOf(pointer)
	if len(steps) == 0 {
		return fault("is no JSON pointer (RFC 6901) below the whole")
	}
	for _, s := range steps {
		if s == "" {
			return fault("has an empty name in it")
		}
	}
	if escaped := "/" + strings.Join(escapeAll(steps), "/"); escaped != pointer {
		return fault("is not how RFC 6901 escapes it: %s", escaped)
	}
	for _, o := range own {
		if pointer == o || strings.HasPrefix(pointer, o+"/") {
			return fault("is each router's own")
		}
	}
	if !json.Valid(value) {
		return fault("the value is not valid JSON")
	}
	if string(bytes.TrimSpace(value)) == "null" {
		return fault("null is no value; an entry that is not wanted is removed")
	}
	if pointer == "/board" {
		return fits(pointer, value, reflect.TypeFor[string]())
	}
	if steps[0] != "settings" || len(steps) < 2 {
		return fault("is not for entries: these are /board and what is below /settings")
	}
	if steps[1] == "parties" {
		if len(steps) != 3 {
			return fault("parties are put one by one and whole, as %sNAME", partiesAt)
		}
		return checkParty(pointer, steps[2], value)
	}
	form := reflect.TypeFor[Settings]()
	for i, s := range steps[1:] {
		switch form.Kind() {
		case reflect.Struct:
			f, ok := fieldOf(form, s)
			if !ok {
				return fault("no field %s is known at /%s", s, strings.Join(escapeAll(steps[:i+1]), "/"))
			}
			form = f
		case reflect.Slice:
			if _, err := indexOf(s); err != nil {
				return fault("%v", err)
			}
			form = form.Elem()
		default:
			return fault("/%s is a value of its own", strings.Join(escapeAll(steps[:i+1]), "/"))
		}
	}
	return fits(pointer, value, form)
}

// fits tells whether a value can be read as a type, whole: what would not be heeded is not put in force either. The error is
// a *configerror.Error.
func fits(pointer string, value Value, form reflect.Type) error {
	d := json.NewDecoder(bytes.NewReader(value))
	d.DisallowUnknownFields()
	err := d.Decode(reflect.New(form).Interface())
	var te *json.UnmarshalTypeError
	switch {
	case err == nil:
		return nil
	case errors.As(err, &te) && te.Field == "":
		return configerror.Invalidf(pointer, "a %s does not fit", te.Value)
	case errors.As(err, &te):
		return configerror.Invalidf(pointer, "field %s: a %s does not fit", te.Field, te.Value)
	}
	return configerror.Invalidf(pointer, "%s", strings.TrimPrefix(err.Error(), "json: "))
}

// party is what may stand in a party's entry.
type party struct {
	Name  *string  `json:"name"`
	Quota *float64 `json:"quota-rps"`
	Share *float64 `json:"share"`
}

// strict is the quick reader of the many parties; what it refuses is worded by fits.
var strict = jsoniter.Config{DisallowUnknownFields: true}.Froze()

// checkParty tells whether a party may be put. The error is a *configerror.Error.
func checkParty(pointer, name string, value Value) error {
	var p party
	if strict.Unmarshal(value, &p) != nil {
		if err := fits(pointer, value, reflect.TypeFor[party]()); err != nil {
			return err
		}
		if err := json.Unmarshal(value, &p); err != nil {
			return configerror.Invalidf(pointer, "%s", err)
		}
	}
	fault := func(reason string) error { return configerror.Invalidf(pointer, "%s", reason) }
	switch {
	case p.Name != nil && *p.Name != name:
		return fault(fmt.Sprintf("field name: %q is not the name in the pointer", *p.Name))
	case p.Quota == nil:
		return fault("field quota-rps is missing")
	case *p.Quota < 0:
		return fault("field quota-rps: is below 0")
	case p.Share != nil && *p.Share < 0:
		return fault("field share: is below 0")
	}
	return nil
}

// listOf gives the list of parties, by name. Each is an object that was checked, and not empty.
func listOf(parties map[string]Value) (Value, error) {
	list := []byte{'['}
	for i, name := range slices.Sorted(maps.Keys(parties)) {
		text, err := json.Marshal(name)
		if err != nil {
			return nil, configerror.Invalidf(partiesAt+escape(name), "%s", err)
		}
		if i > 0 {
			list = append(list, ',')
		}
		// A name in the object is the same one, so that it may stand there twice.
		list = append(append(append(list, `{"name":`...), text...), ',')
		list = append(list, bytes.TrimSpace(parties[name])[1:]...)
	}
	return append(list, ']'), nil
}

// fieldOf gives the type of the field that JSON calls by a name.
func fieldOf(form reflect.Type, name string) (reflect.Type, bool) {
	for f := range form.NumField() {
		if tag, _, _ := strings.Cut(form.Field(f).Tag.Get("json"), ","); tag == name {
			return form.Field(f).Type, true
		}
	}
	return nil, false
}

// tree is a JSON document of which only what was put into is taken apart.
type tree struct {
	raw    Value // as long as it is whole
	object map[string]*tree
	list   []*tree
}

// open takes a place apart; objects are made where there is nothing.
func (t *tree) open() error {
	if t.object != nil || t.list != nil {
		return nil
	}
	first := bytes.TrimSpace(t.raw)
	switch {
	case len(first) == 0 || string(first) == "null":
		t.object = map[string]*tree{}
	case first[0] == '{':
		var fields map[string]Value
		if err := json.Unmarshal(first, &fields); err != nil {
			return err
		}
		t.object = make(map[string]*tree, len(fields))
		for name, raw := range fields {
			t.object[name] = &tree{raw: raw}
		}
	case first[0] == '[':
		var items []Value
		if err := json.Unmarshal(first, &items); err != nil {
			return err
		}
		t.list = make([]*tree, len(items))
		for i, raw := range items {
			t.list[i] = &tree{raw: raw}
		}
	default:
		return errors.New("is below a value that is no object")
	}
	return nil
}

// put sets the value at the place that the steps lead to.
func (t *tree) put(steps []string, value Value) error {
	for _, step := range steps {
		if err := t.open(); err != nil {
			return err
		}
		if t.object != nil {
			name := t.keyOf(step)
			if t.object[name] == nil {
				t.object[name] = &tree{}
			}
			t = t.object[name]
			continue
		}
		i, err := indexOf(step)
		if err != nil {
			return err
		}
		if i >= len(t.list) {
			return fmt.Errorf("there is no item %d in a list of %d", i, len(t.list))
		}
		t = t.list[i]
	}
	*t = tree{raw: value}
	return nil
}

// keyOf gives the key under which an object holds a field: Go's JSON takes another case for it too, where it is the only one.
func (t *tree) keyOf(name string) string {
	if t.object[name] != nil {
		return name
	}
	for _, key := range slices.Sorted(maps.Keys(t.object)) {
		if strings.EqualFold(key, name) {
			return key
		}
	}
	return name
}

// append writes the document; what was not taken apart stays as it was written.
func (t *tree) append(b []byte) []byte {
	switch {
	case t.object != nil:
		b = append(b, '{')
		for i, name := range slices.Sorted(maps.Keys(t.object)) {
			if i > 0 {
				b = append(b, ',')
			}
			text, _ := json.Marshal(name) // a string always can be
			b = append(append(b, text...), ':')
			b = t.object[name].append(b)
		}
		return append(b, '}')
	case t.list != nil:
		b = append(b, '[')
		for i, item := range t.list {
			if i > 0 {
				b = append(b, ',')
			}
			b = item.append(b)
		}
		return append(b, ']')
	case len(t.raw) == 0:
		return append(b, "null"...)
	}
	return append(b, t.raw...)
}

// indexOf reads the number of an item.
func indexOf(s string) (int, error) {
	i, err := strconv.Atoi(s)
	if err != nil || i < 0 || strconv.Itoa(i) != s {
		return 0, fmt.Errorf("%q is not the number of an item", s)
	}
	return i, nil
}

// stepsOf gives the names on the way that a JSON pointer says; none where it is no pointer below the whole.
func stepsOf(pointer string) []string {
	rest, ok := strings.CutPrefix(pointer, "/")
	if !ok {
		return nil
	}
	steps := strings.Split(rest, "/")
	if !strings.Contains(rest, "~") {
		return steps
	}
	for i, s := range steps {
		steps[i] = strings.ReplaceAll(strings.ReplaceAll(s, "~1", "/"), "~0", "~")
	}
	return steps
}

func escape(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}

func escapeAll(names []string) []string {
	all := make([]string, len(names))
	for i, n := range names {
		all[i] = escape(n)
	}
	return all
}
