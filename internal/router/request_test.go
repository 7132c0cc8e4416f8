package router

import (
	"errors"
	"testing"

	"github.com/google/go-cmp/cmp"

	"windflow/dispatch"
)

func TestTableGroup(t *testing.T) {
	for _, test := range []struct {
		statement string
		want      int64 // -1 for none
	}{
		{"SELECT day, count(*), max(note) FROM sales_17.orders WHERE tag = '3f9c' GROUP BY day", 17},
		{"SELECT 'x FROM a_1.t' FROM b_2.t", 2},
		{"SELECT \"x'\" /* FROM a_1.t */ FROM b_2.t -- c_3.t", 2},
		{"# FROM a_1.t\nSELECT 1 FROM `b_2`.`t`", 2},
		{"INSERT INTO stock_5.days SELECT * FROM staging.days", 5},
		{"INSERT INTO sales_9.t SELECT * FROM staging_4.t", 9},
		{"select o_3.a from sales_8.orders as o_3", 8},
		{"UPDATE x_12.t SET a = 1", 12},
		{"SELECT 1 FROM a, b_6.c", 6},
		{"SELECT 'it''s \\' FROM a_1.t' FROM b_2 . t", 2},
		{"SELECT 1 FROM plain.t", -1},
		{"SELECT 1 FROM a_0.t", 0},
		{"SELECT a_3.x FROM a_0.t", 0},
		{"SELECT a_0.x, b_2.y", 0},
		{"SELECT 1 FROM a_4294967295.t", 4294967295},
		{"SELECT 1 FROM a_4294967296.t", -1},
		{"SELECT 1 FROM a_+1.t", -1},
		{"SELECT 1 FROM a_x.t JOIN b_7.t ON a_x.t.i = b_7.t.i", 7},
		{"", -1},
		{"'", -1},
		{"`", -1},
		{"/*", -1},
		{"a_1.", 1},
		{".", -1},
		{"``", -1},
	} {
		got := int64(-1)
		if n, ok := tableGroup(test.statement); ok {
			got = int64(n)
		}
		if got != test.want {
			t.Errorf("%q: table group %d, want %d", test.statement, got, test.want)
		}
	}
}

func TestMultipleStatements(t *testing.T) {
	for statement, want := range map[string]bool{
		"SELECT 1": false, "SELECT 1;": false, "SELECT 1 ; -- done\n": false, "SELECT ';x' FROM a_1.t": false,
		"SELECT 1 /* ;x */": false, "SELECT 1;;": false, "SELECT 1; DROP TABLE staging.batch": true, "; SELECT 1": true,
		"SELECT `a;b` FROM c": false, "": false,
	} {
		if got := hasMultipleStatements(statement); got != want {
			t.Errorf("%q: got %v, want %v", statement, got, want)
		}
	}
}

func FuzzTableGroup(f *testing.F) {
	f.Add("SELECT 1 FROM `a_1`.t")
	f.Fuzz(func(t *testing.T, s string) {
		if n, ok := tableGroup(s); !ok && n != 0 {
			t.Errorf("%q: table group %d, but ok is false", s, n)
		}
	})
}

func TestNewRequest(t *testing.T) {
	valid := map[string]string{
		"method": "lookup", "rid": "9b1f03aa5c7e2d41", "budget": "1500", "acct": "a",
		"est": "820.0", "mem": "96", "again": "1",
	}
	request, err := NewRequest(func(n string) string { return valid[n] }, "SELECT 1 FROM s_3.t", 5)
	want := &Request{
		ID: "9b1f03aa5c7e2d41", Class: "lookup", Tenant: "a", Statement: "SELECT 1 FROM s_3.t",
		TableGroup: dispatch.TableGroupOf(3), SentAtMS: 5, BudgetMS: 1500, EstimateMS: 820, NeedMB: 96, Retry: true,
	}
	if diff := cmp.Diff(want, request); diff != "" || err != nil {
		t.Error(err, diff)
	}
	for _, test := range []struct{ field, invalid, text string }{
		{"method", "", "field method is missing"},
		{"rid", "9b1f03aa5c7e2d4g", `field rid: "9b1f03aa5c7e2d4g" is not 16 hex digits`},
		{"budget", "0", `field budget: "0" is not a number from 0 to 3.6e+06`},
		{"est", "-1", `field est: "-1" is not a number from 0 to 1e+09`},
		{"mem", "1e99", `field mem: "1e99" is not a number from 0 to 1e+09`},
		{"again", "yes", `field again: "yes" is not 0 or 1`},
	} {
		_, err := NewRequest(func(name string) string {
			if name == test.field {
				return test.invalid
			}
			return valid[name]
		}, "SELECT 1", 5)
		var fieldError *FieldError
		if !errors.As(err, &fieldError) || fieldError.Field != test.field || err.Error() != test.text {
			t.Errorf("%s=%q: error %v", test.field, test.invalid, err)
		}
	}
}
