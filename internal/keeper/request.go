package keeper

import (
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"reflect"
	"strconv"
	"strings"
	"time"
)

const (
	// maxBodyBytes bounds the body of a change. A change of configlog.MaxChange bytes fits in any reasonable encoding.
	maxBodyBytes = 4 << 20
	// maxStatusBytes bounds the body of a follower's status.
	maxStatusBytes = 64 << 10
	// bodyTimeout bounds how long a caller may take to send a body.
	bodyTimeout = 10 * time.Second
	// maxWait bounds how long a call may wait for a revision or for convergence.
	maxWait = 30 * time.Second
)

// readBody decodes a body that consists of a single JSON value into out, and returns the text of the body. If the body
// is too large or malformed, it returns the error response to send.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, out any) ([]byte, *response) {
	// The deadline is removed after the body is read, because it would otherwise end a long poll.
	conn := http.NewResponseController(w)
	_ = conn.SetReadDeadline(time.Now().Add(bodyTimeout))
	text, err := io.ReadAll(http.MaxBytesReader(w, r.Body, maxBytes))
	_ = conn.SetReadDeadline(time.Time{})
	var tooLarge *http.MaxBytesError
	switch {
	case errors.As(err, &tooLarge):
		failure := errorResponse(http.StatusRequestEntityTooLarge, errorMalformed,
			"the body has more than %d bytes", maxBytes)
		return nil, &failure
	case errors.Is(err, errManyLargeBodies):
		failure := unavailableResponse(errorBusy, effectNone, "%v; try again later", err)
		return nil, &failure
	case err != nil:
		failure := malformedResponse("the body cannot be read: %v", err)
		return nil, &failure
	}
	if err := decodeStrictly(string(text), out); err != nil {
		failure := malformedResponse("%s", describeDecodeError(err))
		return nil, &failure
	}
	return text, nil
}

// decodeStrictly decodes a JSON value. It returns an error if there are unknown fields or data after the value.
func decodeStrictly(text string, out any) error {
	decoder := json.NewDecoder(strings.NewReader(text))
	decoder.DisallowUnknownFields()
	if err := decoder.Decode(out); err != nil {
		return err
	}
	if _, err := decoder.Token(); !errors.Is(err, io.EOF) {
		return errors.New("there is something after the JSON value")
	}
	return nil
}

// describeDecodeError returns a message for an error of decodeStrictly that names the field at fault, if known.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		if typeError.Field != "" {
			return fmt.Sprintf("field %s: a %s is no %s", typeError.Field, typeError.Value, typeName(typeError.Type))
		}
		// The error text of encoding/json ends with the Go type.
		return strings.TrimSuffix(err.Error(), typeError.Type.String()) + typeName(typeError.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Sprintf("field %s is not known", strings.Trim(name, `"`))
	}
	return err.Error()
}

// typeName returns the name of a type in the text of a decoding error. The texts are part of the interface and contain
// the names of Go types, so a type that was renamed is reported under its former name.
func typeName(goType reflect.Type) string {
	switch goType {
	case reflect.TypeFor[followerProcess]():
		return "keeper.seat"
	case reflect.TypeFor[[]followerProcess]():
		return "[]keeper.seat"
	}
	return goType.String()
}

// queryUint parses a nonnegative integer from the query string. It returns nil if the field is absent, and an error
// response if it is not a number.
func queryUint(r *http.Request, field string) (*uint64, *response) {
	text := r.URL.Query().Get(field)
	if text == "" {
		return nil, nil
	}
	value, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		failure := malformedResponse("field %s: %q is no whole number", field, text)
		return nil, &failure
	}
	return &value, nil
}

// queryWait parses wait_ms from the query string. It returns 0 if it is absent, and at most maxWait.
func queryWait(r *http.Request) (time.Duration, *response) {
	waitMS, failure := queryUint(r, "wait_ms")
	if waitMS == nil || failure != nil {
		return 0, failure
	}
	return time.Duration(min(*waitMS, uint64(maxWait.Milliseconds()))) * time.Millisecond, nil
}

// queryRevisionAndWait parses the parameters revision and wait_ms of calls that wait for a revision.
func queryRevisionAndWait(r *http.Request) (revision *uint64, wait time.Duration, failure *response) {
	if revision, failure = queryUint(r, "revision"); failure != nil {
		return nil, 0, failure
	}
	wait, failure = queryWait(r)
	return revision, wait, failure
}
