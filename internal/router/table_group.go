package router

import (
	"strconv"
	"strings"
)

// stagingSchema is the schema whose number, if it has one, is not that of a table group.
const stagingSchema = "staging"

// tableGroup returns the number after the underscore in the name of the schema that a statement reads or writes, if
// there is one. Names in strings and comments don't count, nor does the schema staging. A name at a table's position
// (after FROM, JOIN, INTO, UPDATE or TABLE, or after a comma of such a list) takes precedence over a qualified name at
// any other position, which may be of an alias.
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

// tableFollows reports whether a name after the word is that of a table. Words that say nothing about that leave it as
// it was before the word.
func tableFollows(token string, before bool) bool {
	switch strings.ToUpper(token) {
	case "FROM", "JOIN", "INTO", "UPDATE", "TABLE":
		return true
	case "WHERE", "SET", "SELECT", "GROUP", "ORDER", "HAVING", "LIMIT", "VALUES", "ON", "USING", "(", ")":
		return false
	}
	return before
}

// hasMultipleStatements reports whether anything but white space and comments follows a semicolon. Such a text is two
// queries under one id, and the fields describe only one of them.
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

// schemaGroup returns the number in the name of a schema.
func schemaGroup(schema string) (uint32, bool) {
	underscore := strings.LastIndexByte(schema, '_')
	if underscore < 1 || strings.EqualFold(schema[:underscore], stagingSchema) {
		return 0, false
	}
	number, err := strconv.ParseUint(schema[underscore+1:], 10, 32)
	return uint32(number), err == nil
}
