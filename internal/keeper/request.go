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
	// maxBodyBytes bounds what is read of a change: configlog.MaxChange in the longest encoding that makes sense.
	maxBodyBytes = 4 << 20
	// maxStatusBytes bounds what is read of a follower's status.
	maxStatusBytes = 64 << 10
	// bodyTimeout is the time a caller has to send a body.
	bodyTimeout = 10 * time.Second
	// maxWait bounds how long a caller may have its call wait for a revision or for convergence.
	maxWait = 30 * time.Second
)

// readBody decodes one JSON value, and nothing after it, into out and returns its text. A response is returned for a
// body that is wrong, nil otherwise.
func readBody(w http.ResponseWriter, r *http.Request, maxBytes int64, out any) ([]byte, *response) {
	// The deadline is removed again, because it would end a call that is kept open.
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
	case err != nil:
		failure := malformedResponse("the body can't be read: %v", err)
		return nil, &failure
	}
	if err := decodeStrictly(string(text), out); err != nil {
		failure := malformedResponse("%s", describeDecodeError(err))
		return nil, &failure
	}
	return text, nil
}

// decodeStrictly accepts no unknown field and nothing after the value.
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

// describeDecodeError describes an error of encoding/json with the field that it is about.
func describeDecodeError(err error) string {
	var typeError *json.UnmarshalTypeError
	if errors.As(err, &typeError) {
		if typeError.Field != "" {
			return fmt.Sprintf("field %s: a %s is no %s", typeError.Field, typeError.Value, typeName(typeError.Type))
		}
		// The text of encoding/json ends with the type.
		return strings.TrimSuffix(err.Error(), typeError.Type.String()) + typeName(typeError.Type)
	}
	if name, ok := strings.CutPrefix(err.Error(), "json: unknown field "); ok {
		return fmt.Sprintf("field %s is not known", strings.Trim(name, `"`))
	}
	return err.Error()
}

// typeName returns the name that a decoding error has for a type. Operators have always seen the Go names of this
// package's types; types that were renamed keep the name they had.
func typeName(goType reflect.Type) string {
	switch goType {
	case reflect.TypeFor[followerProcess]():
		return "keeper.seat"
	case reflect.TypeFor[[]followerProcess]():
		return "[]keeper.seat"
	}
	return goType.String()
}

// queryUint reads a natural number of the query; nil if it is absent.
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

// queryWait reads wait_ms, at most maxWait; 0 if it is absent.
func queryWait(r *http.Request) (time.Duration, *response) {
	waitMS, failure := queryUint(r, "wait_ms")
	if waitMS == nil || failure != nil {
		return 0, failure
	}
	return time.Duration(min(*waitMS, uint64(maxWait.Milliseconds()))) * time.Millisecond, nil
}

// queryRevisionAndWait reads the two parameters of the calls that wait for a revision.
func queryRevisionAndWait(r *http.Request) (revision *uint64, wait time.Duration, failure *response) {
	if revision, failure = queryUint(r, "revision"); failure != nil {
		return nil, 0, failure
	}
	wait, failure = queryWait(r)
	return revision, wait, failure
}
