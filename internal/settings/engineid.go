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

// FormatEngineID returns an engine's ID as the platform writes it.
func FormatEngineID(id dispatch.EngineID) string {
	return fmt.Sprintf("%s%0*x", engineIDPrefix, engineIDDigits, uint32(id))
}

// ParseEngineID reads an engine's ID as the platform writes it.
func ParseEngineID(text string) (dispatch.EngineID, error) {
	hex, ok := strings.CutPrefix(text, engineIDPrefix)
	id, err := strconv.ParseUint(hex, 16, 32)
	if !ok || err != nil || len(hex) != engineIDDigits {
		return 0, fmt.Errorf("%q is not s- and 8 hex digits", text)
	}
	return dispatch.EngineID(id), nil
}
