package configlog

import (
	"fmt"
	"iter"
	"strings"
	"unicode"
	"unicode/utf8"
)

// tenantsPath is the prefix of the pointers of tenants, which the settings call parties.
const tenantsPath = "/settings/parties/"

// perRouterSettings describes the settings that differ between routers and therefore can't be in the shared document.
var perRouterSettings = map[string]string{"me": "the router's index", "zone": "the router's zone"}

// CheckPointer returns an error if a pointer can't address an entry of the shared document. Allowed are /board,
// pointers below /settings except /settings/me and /settings/zone, which belong to a single router, and
// /settings/parties/NAME. Setting names consist of lower-case letters, digits, '-', '_' and '.': the settings reader
// ignores case, so names that differ only in case would refer to the same setting.
func CheckPointer(pointer string) error {
	switch {
	case pointer == "":
		return fmt.Errorf("the pointer is empty: the document can't be put as a whole, only its entries")
	case len(pointer) > MaxPointerBytes:
		return fmt.Errorf("the pointer has %d bytes; the limit is %d", len(pointer), MaxPointerBytes)
	case !utf8.ValidString(pointer):
		return fmt.Errorf("the pointer is not valid UTF-8")
	case pointer[0] != '/':
		return fmt.Errorf("a JSON pointer must begin with /")
	case strings.ContainsFunc(pointer, unicode.IsControl):
		return fmt.Errorf("the pointer has a control character")
	}
	if err := checkEscapes(pointer); err != nil {
		return err
	}
	if name, ok := strings.CutPrefix(pointer, tenantsPath); ok {
		return checkTenantName(name)
	}
	return checkSettingPath(pointer)
}

func checkEscapes(pointer string) error {
	for i := range len(pointer) {
		if pointer[i] == '~' && (i+1 == len(pointer) || pointer[i+1] != '0' && pointer[i+1] != '1') {
			return fmt.Errorf("in a JSON pointer, ~ must be followed by 0 or 1 (RFC 6901)")
		}
	}
	return nil
}

func checkTenantName(name string) error {
	switch {
	case name == "":
		return fmt.Errorf("the pointer has no party name after %s", tenantsPath)
	case strings.Contains(name, "/"):
		return fmt.Errorf(
			"a party can only be put as a whole, at %sNAME (write a / in the name as ~1)",
			tenantsPath,
		)
	}
	return nil
}

// checkSettingPath checks a pointer that does not address a tenant.
func checkSettingPath(pointer string) error {
	names := strings.Split(pointer, "/")[1:]
	switch {
	case pointer == "/board":
		return nil
	case names[0] != "settings":
		return fmt.Errorf("only /board and what lies below /settings can be put; the rest is each router's own")
	case len(names) == 1:
		return fmt.Errorf("the settings can't be put as a whole, only entries below /settings")
	case perRouterSettings[names[1]] != "":
		return fmt.Errorf("%s can't be put: each router sets it in its own file", perRouterSettings[names[1]])
	case pointer == "/settings/parties":
		return fmt.Errorf("parties must be put one by one, at %sNAME", tenantsPath)
	}
	for _, name := range names[1:] {
		if err := checkSettingName(name); err != nil {
			return err
		}
	}
	return nil
}

const (
	digits           = "0123456789"
	settingNameChars = "abcdefghijklmnopqrstuvwxyz" + digits + "-_."
)

func checkSettingName(name string) error {
	switch {
	case strings.Trim(name, settingNameChars) != "":
		return fmt.Errorf("%q is not a setting name: only lower-case letters, digits, '-', '_' and '.' are allowed",
			name)
	case name == "":
		return fmt.Errorf("the pointer has an empty name")
	case name == "-":
		return fmt.Errorf("'-' refers to the position after the last array element, not to an entry")
	case len(name) > 1 && name[0] == '0' && strings.Trim(name, digits) == "":
		return fmt.Errorf("%q is not an array index: leading zeros are not allowed", name)
	}
	return nil
}

// TenantName returns the unescaped name of the tenant that a pointer addresses, or false if it does not address a
// tenant.
func TenantName(pointer string) (string, bool) {
	name, ok := strings.CutPrefix(pointer, tenantsPath)
	if !ok || name == "" || strings.Contains(name, "/") {
		return "", false
	}
	return strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~"), true
}

// ancestors yields the proper prefixes of a pointer, shortest first.
func ancestors(pointer string) iter.Seq[string] {
	return func(yield func(string) bool) {
		for i := 1; i < len(pointer); {
			n := strings.IndexByte(pointer[i:], '/')
			if n < 0 || !yield(pointer[:i+n]) {
				return
			}
			i += n + 1
		}
	}
}
