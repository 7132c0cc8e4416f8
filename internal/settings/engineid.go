package settings

import (
	"fmt"
	"strconv"
	"strings"

	"windflow/dispatch"
)

const (
	engineIDPrefix = "s-"
	engineIDDigits = 8
)

// FormatEngineID returns an engine's ID in the platform's form: "s-" and 8 hex digits.
func FormatEngineID(id dispatch.EngineID) string {
	return fmt.Sprintf("%s%0*x", engineIDPrefix, engineIDDigits, uint32(id))
}

// ParseEngineID parses an engine's ID in the platform's form. It accepts exactly the texts of FormatEngineID, and upper
// case hex digits.
func ParseEngineID(text string) (dispatch.EngineID, error) {
	hex, ok := strings.CutPrefix(text, engineIDPrefix)
	id, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != engineIDDigits {
		return 0, fmt.Errorf("%q is not \"s-\" followed by 8 hex digits", text)
	}
	return dispatch.EngineID(id), nil
}
