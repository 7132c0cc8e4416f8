package router

import (
	"errors"
	"fmt"
	"math"
	"strconv"

	"windflow/dispatch"
)

// Request is a query as a front hands it over, in no wire's terms.
type Request struct {
	ID         string  `json:"ID"` // the client's, 16 hex digits
	Class      string  `json:"Class"`
	Tenant     string  `json:"Tenant"`
	Statement  string  `json:"Statement"` // without the fields
	TableGroup int64   `json:"Group"`     // group of tables, as dispatch.GroupOf numbers it; 0 if there is none
	SentAtMS   float64 `json:"Sent"`
	BudgetMS   float64 `json:"Budget"`     // milliseconds from Sent that the client waits
	EstimateMS float64 `json:"EstimateMS"` // 0 if unknown
	NeedMB     float64 `json:"NeedMB"`     // 0 if unknown
	Retry      bool    `json:"Again"`
	Update     bool    `json:"Update"` // the client asked for an update, not for rows
}

// The names of a request's fields, the same on every front.
const (
	FieldClass    = "method"
	FieldID       = "rid"
	FieldBudget   = "budget"
	FieldTenant   = "acct"
	FieldRetry    = "again"
	FieldEstimate = "est"
	FieldNeed     = "mem"
)

// maxBudget bounds what a client may ask for, in milliseconds: an hour.
const maxBudget = 3_600_000

// NewRequest checks the fields and reads the statement's group of tables. field gives a field's text, or ""
// where it is absent. Its error names the field; such a request must never reach an engine.
func NewRequest(field func(string) string, statement string, sent float64) (*Request, error) {
	r := &Request{
		Class: field(FieldClass), ID: field(FieldID), Tenant: field(FieldTenant),
		Statement: statement, SentAtMS: sent,
	}
	if r.Class == "" {
		return nil, fmt.Errorf("field %s is missing", FieldClass)
	}
	if !isRequestID(r.ID) {
		return nil, fmt.Errorf("field %s: %q is not 16 hex digits", FieldID, clip(r.ID))
	}
	for _, n := range []struct {
		name     string
		into     *float64
		required bool
		most     float64
	}{
		{FieldBudget, &r.BudgetMS, true, maxBudget},
		{FieldEstimate, &r.EstimateMS, false, 1e9},
		{FieldNeed, &r.NeedMB, false, 1e9},
	} {
		text := field(n.name)
		if text == "" && !n.required {
			continue
		}
		v, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(v) || v < 0 || v > n.most || n.required && v == 0 {
			return nil, fmt.Errorf("field %s: %q is not a number from 0 to %g", n.name, clip(text), n.most)
		}
		*n.into = v
	}
	switch again := field(FieldRetry); again {
	case "", "0":
	case "1":
		r.Retry = true
	default:
		return nil, fmt.Errorf("field %s: %q is neither 1 nor absent", FieldRetry, clip(again))
	}
	switch {
	case statement == "":
		return nil, errors.New("the statement is empty")
	case severalStatements(statement):
		return nil, errors.New("several statements; a query is one")
	}
	if n, ok := tableGroup(statement); ok {
		r.TableGroup = dispatch.TableGroupOf(n)
	}
	return r, nil
}

func isRequestID(id string) bool {
	if len(id) != 16 {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// clip shortens foreign text for an error or a log line.
func clip(s string) string {
	if len(s) > 40 {
		return s[:40] + "..."
	}
	return s
}
