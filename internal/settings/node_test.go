package settings

import (
	"strings"
	"testing"
)

func TestParseNodeNamesTheField(t *testing.T) {
	good := `{"name":"n","listen":"127.0.0.1:1","board":"127.0.0.1:2","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":1024},"settings":{"classes":[{"name":"a","deadline-ns":5}],"later":1}}`
	n, err := ParseNode([]byte(good))
	if err != nil || n.SeedValue != 0x8c1f30d27a5be964 || n.Parsed.Classes[0].Deadline != 5 {
		t.Fatalf("%+v, %v", n, err)
	}
	for _, k := range []struct{ from, to, want string }{
		{`"127.0.0.1:1"`, `"here"`, "listen"},
		{`"127.0.0.1:2"`, `7`, "board"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":-1`, "sockets"},
		{`"deadline-ns":5`, `"deadline-ns":"soon"`, "classes.deadline-ns"},
		{`"settings":{`, `"settings":[{`, "JSON"},
		{`"settings"`, `"other"`, "settings"},
	} {
		_, err := ParseNode([]byte(strings.Replace(good, k.from, k.to, 1)))
		if err == nil || !strings.Contains(err.Error(), k.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", k.to, err, k.want)
		}
	}
}
