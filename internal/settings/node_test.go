package settings

import (
	"strings"
	"testing"
)

// The error is one line with the name of the invalid field.
func TestParseNodeNamesTheField(t *testing.T) {
	valid := `{"name":"n","listen":"127.0.0.1:1","board":"127.0.0.1:2","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":1024},"settings":{"classes":[{"name":"a","deadline-ns":5}],"later":1}}`
	node, err := ParseNode([]byte(valid))
	if err != nil || node.SeedValue != 0x8c1f30d27a5be964 || node.Settings.Classes[0].DeadlineNS != 5 {
		t.Fatalf("a valid configuration is parsed as %+v, error %v", node, err)
	}
	for _, test := range []struct{ from, to, want string }{
		{`"127.0.0.1:1"`, `"here"`, "listen"},
		{`"127.0.0.1:2"`, `7`, "board"},
		{`"8c1f30d27a5be964"`, `"xyz"`, "seed"},
		{`"memory_mb":192`, `"memory_mb":"much"`, "limits.memory_mb"},
		{`"sockets":1024`, `"sockets":-1`, "sockets"},
		{`"deadline-ns":5`, `"deadline-ns":"soon"`, "classes.deadline-ns"},
		{`"settings":{`, `"settings":[{`, "JSON"},
		{`"settings"`, `"other"`, "settings"},
	} {
		_, err := ParseNode([]byte(strings.Replace(valid, test.from, test.to, 1)))
		if err == nil || !strings.Contains(err.Error(), test.want) || strings.Contains(err.Error(), "\n") {
			t.Errorf("%s: error %v, want %q", test.to, err, test.want)
		}
	}
}

// The error for an invalid number has the name of the field in the file, not the one in package dispatch.
func TestDispatchConfigNamesTheField(t *testing.T) {
	valid := `{"name":"n","listen":"127.0.0.1:1","board":"127.0.0.1:2","seed":"8c1f30d27a5be964",` +
		`"limits":{"memory_mb":192,"sockets":1024},"settings":{"kinds":["k"],"balancers":2,"period-ns":5,` +
		`"classes":[{"name":"a","goal-time-ns":3,"deadline-ns":5,"late-value":0.5}],"limits":{"conn-idle-ns":7},` +
		`"rules":{"cold-from":0.3},"specifics":{"cores-by-kind":[8],"width-by-class":[2]}}}`
	for _, test := range []struct{ from, to, want string }{
		{`"balancers":2`, `"balancers":2`, ""},
		{`"balancers":2`, `"balancers":-2`, "balancers"},
		{`"period-ns":5`, `"period-ns":-5`, "period-ns"},
		{`"goal-time-ns":3`, `"goal-time-ns":-3`, "classes[0].goal-time-ns"},
		{`"goal-time-ns":3,`, ``, "classes[0].goal-time-ns"},
		{`"late-value":0.5`, `"late-value":-1`, "classes[0].late-value"},
		{`"conn-idle-ns":7`, `"conn-idle-ns":-7`, "limits.conn-idle-ns"},
		{`"cold-from":0.3`, `"cold-from":-0.3`, "rules.cold-from"},
		{`[8]`, `[-8]`, "specifics.cores-by-kind[0]"},
		{`[2]`, `[2,2]`, "specifics.width-by-class"},
	} {
		node, err := ParseNode([]byte(strings.Replace(valid, test.from, test.to, 1)))
		if err != nil {
			t.Fatal(err)
		}
		_, err = node.Settings.DispatchConfig(node.SeedValue)
		if (err == nil) != (test.want == "") || err != nil && !strings.HasPrefix(err.Error(), test.want) {
			t.Errorf("%s: error %v, want %q", test.to, err, test.want)
		}
	}
}
