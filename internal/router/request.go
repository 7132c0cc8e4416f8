package router

import (
	"fmt"
	"math"
	"strconv"

	"windflow/dispatch"
)

// Request is a query or an update as a front submits it, independent of the wire protocol.
type Request struct {
	ID         string  `json:"ID"` // chosen by the client, 16 hex digits
	Class      string  `json:"Class"`
	Tenant     string  `json:"Tenant"`
	Statement  string  `json:"Statement"`  // without the comment or header that holds the request's fields
	TableGroup int64   `json:"Group"`      // result of dispatch.TableGroupOf; 0 if the statement names none
	SentAtMS   float64 `json:"Sent"`       // when the client sent the request, on the loop's clock
	BudgetMS   float64 `json:"Budget"`     // how long the client waits for the answer, counted from SentAtMS
	EstimateMS float64 `json:"EstimateMS"` // client's estimate of the processing time; 0 if unknown
	NeedMB     float64 `json:"NeedMB"`     // client's estimate of the memory needed; 0 if unknown
	Retry      bool    `json:"Again"`      // the client has sent the request before
	Update     bool    `json:"Update"`     // the client requested an update, not rows
}

// Names of a request's fields. They are the same in every protocol.
const (
	FieldClass    = "method"
	FieldID       = "rid"
	FieldBudget   = "budget"
	FieldTenant   = "acct"
	FieldRetry    = "again"
	FieldEstimate = "est"
	FieldNeed     = "mem"
)

const (
	// maxBudgetMS is the largest budget of a request: an hour.
	maxBudgetMS = 3_600_000
	// maxEstimate is the largest estimate of a request, in milliseconds for processing time and in MB for memory.
	maxEstimate = 1e9
	// requestIDLength is the number of hex digits of a request id.
	requestIDLength = 16
	// maxQuotedBytes is the maximum length of client text that an error or a log line quotes.
	maxQuotedBytes = 40
)

// NewRequest returns a request from its fields and its statement, from which it derives the table group. field returns
// the text of a field, or "" if it is absent. It fails with a FieldError if a required field is missing or a field is
// invalid, and with ErrEmptyStatement or ErrMultipleStatements if there is not exactly one statement.
func NewRequest(field func(string) string, statement string, sentAtMS float64) (*Request, error) {
	request := &Request{
		Class: field(FieldClass), ID: field(FieldID), Tenant: field(FieldTenant),
		Statement: statement, SentAtMS: sentAtMS,
	}
	if request.Class == "" {
		return nil, &FieldError{Field: FieldClass, Err: ErrFieldMissing}
	}
	if !isRequestID(request.ID) {
		return nil, &FieldError{Field: FieldID, Err: fmt.Errorf("%q is not 16 hex digits", truncate(request.ID))}
	}
	if err := request.readNumbers(field); err != nil {
		return nil, err
	}
	if err := request.readRetry(field(FieldRetry)); err != nil {
		return nil, err
	}
	switch {
	case statement == "":
		return nil, ErrEmptyStatement
	case hasMultipleStatements(statement):
		return nil, ErrMultipleStatements
	}
	if number, ok := tableGroup(statement); ok {
		request.TableGroup = dispatch.TableGroupOf(number)
	}
	return request, nil
}

// readNumbers parses the numeric fields: the budget, which is required, and the estimates.
func (r *Request) readNumbers(field func(string) string) error {
	for _, number := range []struct {
		name     string
		value    *float64
		required bool
		limit    float64
	}{
		{FieldBudget, &r.BudgetMS, true, maxBudgetMS},
		{FieldEstimate, &r.EstimateMS, false, maxEstimate},
		{FieldNeed, &r.NeedMB, false, maxEstimate},
	} {
		text := field(number.name)
		if text == "" && !number.required {
			continue
		}
		value, err := strconv.ParseFloat(text, 64)
		if err != nil || math.IsNaN(value) || value < 0 || value > number.limit || number.required && value == 0 {
			err := fmt.Errorf("%q is not a number from 0 to %g", truncate(text), number.limit)
			return &FieldError{Field: number.name, Err: err}
		}
		*number.value = value
	}
	return nil
}

func (r *Request) readRetry(text string) error {
	switch text {
	case "", "0":
	case "1":
		r.Retry = true
	default:
		return &FieldError{Field: FieldRetry, Err: fmt.Errorf("%q is not 0 or 1", truncate(text))}
	}
	return nil
}

func isRequestID(id string) bool {
	if len(id) != requestIDLength {
		return false
	}
	for _, c := range []byte(id) {
		if (c < '0' || c > '9') && (c < 'a' || c > 'f') && (c < 'A' || c > 'F') {
			return false
		}
	}
	return true
}

// truncate shortens client text to maxQuotedBytes for an error or a log line.
func truncate(text string) string {
	if len(text) > maxQuotedBytes {
		return text[:maxQuotedBytes] + "..."
	}
	return text
}
