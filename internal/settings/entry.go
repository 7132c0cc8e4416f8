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
	// tenantsPath begins the pointer of a tenant's entry; the tenant's name follows.
	tenantsPath = "/settings/parties/"
)

// routerFields are the pointers of the fields that differ between routers and that entries must not set.
var routerFields = []string{
	"/name", "/listen", "/seed", "/limits", "/control", "/known", "/settings/me", "/settings/zone",
}

// checkEntry checks an entry independently of the file to which it is applied: its pointer must be that of a field that
// entries may set, and its value must be JSON of the field's type. The error is a *configerror.Error.
func checkEntry(pointer string, value Value) error {
	names := splitPointer(pointer)
	if err := checkPointer(pointer, names); err != nil {
		return err
	}
	if !json.Valid(value) {
		return configerror.Invalidf(pointer, "the value is not valid JSON")
	}
	if string(bytes.TrimSpace(value)) == "null" {
		return configerror.Invalidf(pointer, "null is not a valid value; to unset the field, remove the entry")
	}
	switch {
	case pointer == discoveryPath:
		return checkType(pointer, value, reflect.TypeFor[string]())
	case names[0] != "settings" || len(names) < 2:
		return configerror.Invalidf(pointer, "entries can only set /board and fields below /settings")
	case names[1] != "parties":
		return checkSetting(pointer, names, value)
	case len(names) != 3:
		return configerror.Invalidf(pointer, "parties must be set one by one and as a whole, as %sNAME", tenantsPath)
	}
	return checkTenant(pointer, names[2], value)
}

// checkPointer rejects pointers that do not have the form of RFC 6901, and those of fields that differ between routers.
func checkPointer(pointer string, names []string) error {
	if len(names) == 0 {
		return configerror.Invalidf(pointer, "is not a JSON pointer (RFC 6901) to a part of the document")
	}
	for _, name := range names {
		if name == "" {
			return configerror.Invalidf(pointer, "contains an empty name")
		}
	}
	if escaped := joinPointer(names); escaped != pointer {
		return configerror.Invalidf(pointer, "is not escaped as in RFC 6901; expected %s", escaped)
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

// checkSetting checks an entry below /settings, other than a tenant's, against the type of the field in Settings.
func checkSetting(pointer string, names []string, value Value) error {
	fieldType := reflect.TypeFor[Settings]()
	for i, name := range names[1:] {
		parent := joinPointer(names[:i+1])
		switch {
		case fieldType.Kind() == reflect.Struct:
			field, ok := fieldByJSONName(fieldType, name)
			if !ok {
				return configerror.Invalidf(pointer, "unknown field %s in %s", name, parent)
			}
			fieldType = field
		case fieldType.Kind() == reflect.Slice:
			if _, err := parseIndex(name); err != nil {
				return configerror.Invalidf(pointer, "%s", err)
			}
			fieldType = fieldType.Elem()
		default:
			return configerror.Invalidf(pointer, "%s is neither an object nor a list", parent)
		}
	}
	return checkType(pointer, value, fieldType)
}

// fieldByJSONName returns the type of the struct field with a name in JSON.
func fieldByJSONName(structType reflect.Type, name string) (reflect.Type, bool) {
	for i := range structType.NumField() {
		field := structType.Field(i)
		if tag, _, _ := strings.Cut(field.Tag.Get("json"), ","); tag == name {
			return field.Type, true
		}
	}
	return nil, false
}

// checkType checks that a value can be decoded completely into a type. Unknown fields are errors, because a value that
// the program ignores would not take effect. The error is a *configerror.Error.
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
		return configerror.Invalidf(pointer, "unexpected JSON %s", typeError.Value)
	}
	return configerror.Invalidf(pointer, "field %s: unexpected JSON %s", typeError.Field, typeError.Value)
}

// tenantEntry is the value of a tenant's entry. A field that is absent is nil.
type tenantEntry struct {
	Name  *string  `json:"name"`
	Quota *float64 `json:"quota-rps"`
	Share *float64 `json:"share"`
}

// strictJSON decodes the entries of tenants, of which there may be many, faster than encoding/json. Where it fails,
// checkType provides the error.
var strictJSON = jsoniter.Config{DisallowUnknownFields: true}.Froze()

// checkTenant checks the entry of the tenant with a name. The error is a *configerror.Error.
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
		return configerror.Invalidf(pointer, "field name: %q is not the name in the pointer, %q", *tenant.Name, name)
	case tenant.Quota == nil:
		return configerror.Invalidf(pointer, "field quota-rps is missing")
	case *tenant.Quota < 0:
		return configerror.Invalidf(pointer, "field quota-rps: %v is below 0", *tenant.Quota)
	case tenant.Share != nil && *tenant.Share < 0:
		return configerror.Invalidf(pointer, "field share: %v is below 0", *tenant.Share)
	}
	return nil
}

// tenantPointer returns the pointer of a tenant's entry.
func tenantPointer(name string) string { return tenantsPath + escapePointerName(name) }
