package settings

import (
	"bytes"
	"encoding/json"
	"errors"
	"reflect"
	"strings"

	jsoniter "github.com/json-iterator/go"

	"windflow/internal/decide/configerror"
)

// Value is the JSON text of an entry's value.
type Value = json.RawMessage

const (
	discoveryPath = "/board"
	// tenantsPath is followed by the name of a tenant.
	tenantsPath = "/settings/parties/"
)

// routerFields are the fields that belong to a single router, so that no entry may name them.
var routerFields = []string{
	"/name", "/listen", "/seed", "/limits", "/control", "/known", "/settings/me", "/settings/zone",
}

// checkEntry returns why an entry is not valid, whatever it is laid over, or nil: its pointer has to name a field
// that entries may set, and its value has to be JSON of the field's type. The error is a *configerror.Error.
func checkEntry(pointer string, value Value) error {
	names := splitPointer(pointer)
	if err := checkPointer(pointer, names); err != nil {
		return err
	}
	if !json.Valid(value) {
		return configerror.Invalidf(pointer, "the value is not valid JSON")
	}
	if string(bytes.TrimSpace(value)) == "null" {
		return configerror.Invalidf(pointer, "null is no value; an entry that is not wanted is removed")
	}
	switch {
	case pointer == discoveryPath:
		return checkType(pointer, value, reflect.TypeFor[string]())
	case names[0] != "settings" || len(names) < 2:
		return configerror.Invalidf(pointer, "is not for entries: these are /board and what is below /settings")
	case names[1] != "parties":
		return checkSetting(pointer, names, value)
	case len(names) != 3:
		return configerror.Invalidf(pointer, "parties are put one by one and whole, as %sNAME", tenantsPath)
	}
	return checkTenant(pointer, names[2], value)
}

// checkPointer rejects pointers in another form than RFC 6901's and those of a single router's fields.
func checkPointer(pointer string, names []string) error {
	if len(names) == 0 {
		return configerror.Invalidf(pointer, "is no JSON pointer (RFC 6901) below the whole")
	}
	for _, name := range names {
		if name == "" {
			return configerror.Invalidf(pointer, "has an empty name in it")
		}
	}
	if escaped := joinPointer(names); escaped != pointer {
		return configerror.Invalidf(pointer, "is not how RFC 6901 escapes it: %s", escaped)
	}
	if isRouterField(pointer) {
		return configerror.Invalidf(pointer, "is each router's own")
	}
	return nil
}

func isRouterField(pointer string) bool {
	for _, field := range routerFields {
		if pointer == field || strings.HasPrefix(pointer, field+"/") {
			return true
		}
	}
	return false
}

// checkSetting checks an entry below /settings that is no tenant, by the type of the field in Settings.
func checkSetting(pointer string, names []string, value Value) error {
	fieldType := reflect.TypeFor[Settings]()
	for i, name := range names[1:] {
		parent := joinPointer(names[:i+1])
		switch {
		case fieldType.Kind() == reflect.Struct:
			field, ok := fieldByJSONName(fieldType, name)
			if !ok {
				return configerror.Invalidf(pointer, "no field %s is known at %s", name, parent)
			}
			fieldType = field
		case fieldType.Kind() == reflect.Slice:
			if _, err := parseIndex(name); err != nil {
				return configerror.Invalidf(pointer, "%s", err)
			}
			fieldType = fieldType.Elem()
		default:
			return configerror.Invalidf(pointer, "%s is a value of its own", parent)
		}
	}
	return checkType(pointer, value, fieldType)
}

// fieldByJSONName returns the type of the field that has a name in JSON.
func fieldByJSONName(structType reflect.Type, name string) (reflect.Type, bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == name {
			return field.Type, true
		}
	}
	return nil, false
}

// checkType returns why a value can't be read completely as a type. Unknown fields are errors: what would be ignored
// is not put in force either. The error is a *configerror.Error.
func checkType(pointer string, value Value, want reflect.Type) error {
	decoder := json.NewDecoder(bytes.NewReader(value))
	decoder.DisallowUnknownFields()
	err := decoder.Decode(reflect.New(want).Interface())
	if err == nil {
		return nil
	}
	var typeError *json.UnmarshalTypeError
	switch {
	case !errors.As(err, &typeError):
		return configerror.Invalidf(pointer, "%s", strings.TrimPrefix(err.Error(), "json: "))
	case typeError.Field == "":
		return configerror.Invalidf(pointer, "a %s does not fit", typeError.Value)
	}
	return configerror.Invalidf(pointer, "field %s: a %s does not fit", typeError.Field, typeError.Value)
}

// tenantEntry is the value of a tenant's entry.
type tenantEntry struct {
	Name  *string  `json:"name"`
	Quota *float64 `json:"quota-rps"`
	Share *float64 `json:"share"`
}

// strictJSON is the faster reader, for the many tenants; checkType writes the errors.
var strictJSON = jsoniter.Config{DisallowUnknownFields: true}.Froze()

// checkTenant checks a tenant's entry. The error is a *configerror.Error.
func checkTenant(pointer, name string, value Value) error {
	var tenant tenantEntry
	if strictJSON.Unmarshal(value, &tenant) != nil {
		if err := checkType(pointer, value, reflect.TypeFor[tenantEntry]()); err != nil {
			return err
		}
		if err := json.Unmarshal(value, &tenant); err != nil {
			return configerror.Invalidf(pointer, "%s", err)
		}
	}
	switch {
	case tenant.Name != nil && *tenant.Name != name:
		return configerror.Invalidf(pointer, "field name: %q is not the name in the pointer", *tenant.Name)
	case tenant.Quota == nil:
		return configerror.Invalidf(pointer, "field quota-rps is missing")
	case *tenant.Quota < 0:
		return configerror.Invalidf(pointer, "field quota-rps: is below 0")
	case tenant.Share != nil && *tenant.Share < 0:
		return configerror.Invalidf(pointer, "field share: is below 0")
	}
	return nil
}

// tenantPointer returns the pointer of a tenant's entry.
func tenantPointer(name string) string { return tenantsPath + escapePointerName(name) }
