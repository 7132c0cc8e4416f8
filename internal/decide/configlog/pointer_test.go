package configlog

import (
	"encoding/json"
	"strings"
	"testing"
)

// CheckPointer accepts pointers to shared entries and rejects malformed pointers and settings of a single router.
func TestCheckPointer(t *testing.T) {
	for _, p := range []string{
		"/board", "/settings/over-share-worth", "/settings/rules/look-back-ns", "/settings/limits/attempts-cap",
		"/settings/classes/0/credit", "/settings/parties/a", "/settings/parties/Me", "/settings/parties/a~1b~0c",
		"/settings/meet",
	} {
		if err := CheckPointer(p); err != nil {
			t.Errorf("%s: %v", p, err)
		}
	}
	for _, p := range []string{
		"", "board", "/", "/name", "/listen", "/seed", "/limits", "/limits/sockets", "/control", "/known", "/board/x",
		"/Board", "/settings", "/settings/", "/settings/me", "/settings/zone", "/settings/Zone", "/settings/zone/x",
		"/settings/a//b",
		"/settings/parties", "/settings/Parties/a", "/settings/parties/", "/settings/parties/a/quota-rps",
		"/settings/a~2", "/settings/a~",
		"/settings/\x00", "/settings/parties/\n", "/settings/parties/\xff", "/settings/classes/-", "/settings/classes/01",
		"/settings/parties/" + strings.Repeat("x", MaxPointerBytes),
	} {
		if err := CheckPointer(p); err == nil {
			t.Errorf("%q is accepted", p)
		}
	}
	if name, ok := TenantName("/settings/parties/a~1b~01"); name != "a/b~1" || !ok {
		t.Errorf("tenant name %q, %v", name, ok)
	}
	if name, ok := TenantName("/settings/parties/a/b"); ok {
		t.Errorf("a pointer below a tenant has the tenant name %q", name)
	}
}

// Equal values have one canonical form, which encoding an update as JSON does not change.
func TestCanonicalValues(t *testing.T) {
	const withSpaces = ` { "b" : 1 , "a" : [ ] } `
	for in, want := range map[string]string{
		withSpaces:                    `{"a":[],"b":1}`,
		`0.50`:                        `0.5`,
		`1e3`:                         `1000`,
		`-0`:                          `0`,
		`-0.0`:                        `0`,
		`9223372036854775807`:         `9223372036854775807`,
		`1.0`:                         `1`,
		`"a<b&\u00e9\/\u2028"`:        `"a\u003cb\u0026é/\u2028"`,
		`[true,false,null,{"x":1e0}]`: `[true,false,null,{"x":1}]`,
		`1e300`:                       `1e+300`,
	} {
		got, err := canonicalValue("/settings/x", json.RawMessage(in))
		if err != nil || string(got) != want {
			t.Errorf("%s: canonical form %s, error %v, want %s", in, got, err, want)
		}
		again, err := canonicalValue("/settings/x", got)
		if err != nil || string(again) != want {
			t.Errorf("the canonical form %s changes to %s, error %v", want, again, err)
		}
		text, err := json.Marshal(Update{Put: map[string]json.RawMessage{"/settings/x": got}})
		var decoded Update
		if err != nil || json.Unmarshal(text, &decoded) != nil || string(decoded.Put["/settings/x"]) != want {
			t.Errorf("%s is decoded from an update as %s", want, decoded.Put["/settings/x"])
		}
	}
	for in, pointer := range map[string]string{
		"":                                       "/settings/x",
		"{":                                      "/settings/x",
		"1 2":                                    "/settings/x",
		"null":                                   "/settings/x",
		"1e400":                                  "/settings/x",
		"\"\xff\"":                               "/settings/x",
		`{"a":1,"a":2}`:                          "/settings/x",
		`"` + strings.Repeat("x", MaxValueBytes): "/settings/x",
		strings.Repeat(" ", MaxChangeBytes+1):    "/settings/x",
		`"` + strings.Repeat("x", 65536) + `"`:   "/settings/x",
		strings.Repeat("[", 65) + strings.Repeat("]", 65): "/settings/x",
		"7":                          "/board",
		"[]":                         "/settings/parties/a",
		`{"quota-rps":1,"Name":"b"}`: "/settings/parties/a",
	} {
		if got, err := canonicalValue(pointer, json.RawMessage(in)); err == nil {
			t.Errorf("the invalid value %.40s at %s is accepted as %.40s", in, pointer, got)
		}
	}
}
