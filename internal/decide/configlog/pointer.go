package configlog

import (
	"fmt"
	"iter"
	"strings"
	"unicode"
	"unicode/utf8"
)

// tenantsPath is the path of the entries of tenants, which the platform's settings call parties.
const tenantsPath = "/settings/parties/"

// perRouterSettings are the settings that belong to one router and can't be the same everywhere.
var perRouterSettings = map[string]string{"me": "the place of the router", "zone": "the zone of the router"}

// CheckPointer returns why a pointer can't name an entry, or nil. Settings that belong to a single router are not
// allowed: only /board, what is below /settings except me and zone, and /settings/parties/NAME can be put. Names of
// settings are lower-case letters, digits, '-', '_' and '.', because the reader of settings ignores case.
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
			return fmt.Errorf("in a JSON pointer 0 or 1 follows a ~ (RFC 6901)")
		}
	}
	return nil
}

func checkTenantName(name string) error {
	switch {
	case name == "":
		return fmt.Errorf("the party has no name")
	case strings.Contains(name, "/"):
		return fmt.Errorf(
			"a party is put as a whole, with its pointer %sNAME (a / in a name is written ~1)",
			tenantsPath,
		)
	}
	return nil
}

// checkSettingPath checks the pointer of an entry that is no tenant.
func checkSettingPath(pointer string) error {
	names := strings.Split(pointer, "/")[1:]
	switch {
	case pointer == "/board":
		return nil
	case names[0] != "settings":
		return fmt.Errorf("only /board and what lies below /settings can be put; the rest is each router's own")
	case len(names) == 1:
		return fmt.Errorf("the settings are put entry by entry, below /settings")
	case perRouterSettings[names[1]] != "":
		return fmt.Errorf("%s is its own", perRouterSettings[names[1]])
	case pointer == "/settings/parties":
		return fmt.Errorf("parties are put one by one, as %sNAME", tenantsPath)
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
		return fmt.Errorf("%q is no name of a setting: those have lower-case letters, digits, '-', '_' and '.'", name)
	case name == "":
		return fmt.Errorf("a name in the pointer is empty")
	case name == "-":
		return fmt.Errorf("'-' names no entry, but the place after the last one")
	case len(name) > 1 && name[0] == '0' && strings.Trim(name, digits) == "":
		return fmt.Errorf("%q is no place in a list: those have no zeros in front", name)
	}
	return nil
}

// TenantName returns the name of the tenant that a pointer addresses, and false for a pointer that addresses none.
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
