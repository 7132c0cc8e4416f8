package mysql

import (
	"errors"
	"fmt"
	"strings"
)

// parseFields splits the text of a query into the name=value fields of its leading comment and the statement after it.
// found reports whether the query starts with a comment; a version comment (/*! ... */) does not count. An unterminated
// comment, a part without "=" and a repeated field are errors.
func parseFields(text string) (fields map[string]string, statement string, found bool, err error) {
	trimmed := strings.TrimLeft(text, " \t\r\n")
	if !strings.HasPrefix(trimmed, "/*") || strings.HasPrefix(trimmed, "/*!") {
		return nil, text, false, nil
	}
	comment, statement, closed := strings.Cut(trimmed[2:], "*/")
	if !closed {
		return nil, "", true, errors.New("the comment with the fields has no end")
	}
	fields = map[string]string{}
	for part := range strings.SplitSeq(comment, ",") {
		name, value, ok := strings.Cut(strings.TrimSpace(part), "=")
		if !ok {
			return nil, "", true, fmt.Errorf("%.40q in the comment is not of the form name=value", part)
		}
		name = strings.TrimSpace(name)
		if _, repeated := fields[name]; repeated {
			return nil, "", true, fmt.Errorf("field %.40s stands twice", name)
		}
		fields[name] = strings.TrimSpace(value)
	}
	return fields, strings.TrimSpace(statement), true, nil
}
