package settings

import "strings"

// splitPointer returns the unescaped names in a JSON pointer (RFC 6901). It returns nil for the empty pointer and for a
// text that does not begin with a slash.
func splitPointer(pointer string) []string {
	path, ok := strings.CutPrefix(pointer, "/")
	if !ok {
		return nil
	}
	names := strings.Split(path, "/")
	if !strings.Contains(path, "~") {
		return names
	}
	for i, name := range names {
		names[i] = strings.ReplaceAll(strings.ReplaceAll(name, "~1", "/"), "~0", "~")
	}
	return names
}

// joinPointer is the inverse of splitPointer.
func joinPointer(names []string) string {
	var pointer strings.Builder
	for _, name := range names {
		pointer.WriteByte('/')
		pointer.WriteString(escapePointerName(name))
	}
	return pointer.String()
}

// escapePointerName escapes a name for a JSON pointer.
func escapePointerName(name string) string {
	return strings.ReplaceAll(strings.ReplaceAll(name, "~", "~0"), "/", "~1")
}
