package router

import (
	"strconv"
	"strings"
)

// stagingSchema is the name of the staging schemas. It may be followed by an underscore and a number, as in staging_4.
// That number is not a table group.
const stagingSchema = "staging"

// tableGroup returns the table group that a statement reads or writes: the number after the last underscore in the name
// of a schema. ok is false if there is none. Names in string literals and comments are ignored, and so are staging
// schemas. The qualifier of a name where a table is expected (after FROM, JOIN, INTO, UPDATE or TABLE, or after a comma
// in such a list) takes precedence over the qualifier of any other name, which may be an alias.
func tableGroup(statement string) (group uint32, ok bool) {
	scanner := statementScanner{text: statement}
	atTable := false
	for {
		token := scanner.next()
		switch {
		case token == "":
			return group, ok
		case token == ".":
			continue
		case scanner.dotFollows():
			number, found := schemaGroup(token)
			if found && atTable {
				return number, true
			}
			if found && !ok {
				group, ok = number, true
			}
			for scanner.dotFollows() { // skip the remainder of the qualified name
				scanner.next()
				scanner.next()
			}
			continue
		}
		atTable = tableFollows(token, atTable)
	}
}

// tableFollows reports whether a name after the token is that of a table. For a token that does not determine that, it
// returns previous, its result for the previous token.
func tableFollows(token string, previous bool) bool {
	switch strings.ToUpper(token) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	case "WHERE", "SET", "SELECT", "GROUP", "ORDER", "HAVING", "LIMIT", "VALUES", "ON", "USING", "(", ")":
		return false
	}
	return previous
}

// hasMultipleStatements reports whether a semicolon is followed by anything but white space, comments and semicolons.
// Such a text would be several queries under one request id, and the fields would describe only one of them.
func hasMultipleStatements(statement string) bool {
	scanner := statementScanner{text: statement}
	ended := false
	for token := scanner.next(); token != ""; token = scanner.next() {
		if ended && token != ";" {
			return true
		}
		ended = ended || token == ";"
	}
	return false
}

// schemaGroup returns the table group in the name of a schema, and whether there is one.
func schemaGroup(schema string) (uint32, bool) {
	underscore := strings.LastIndexByte(schema, '_')
	if underscore < 1 || strings.EqualFold(schema[:underscore], stagingSchema) {
		return 0, false
	}
	number, err := strconv.ParseUint(schema[underscore+1:], 10, 32)
	return uint32(number), err == nil
}
