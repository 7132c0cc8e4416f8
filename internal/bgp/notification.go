package bgp

import "fmt"

// Error codes of NOTIFICATION messages (RFC 4271, section 4.5).
const (
	codeHeader       = 1
	codeOpen         = 2
	codeUpdate       = 3
	codeHoldTimer    = 4
	codeStateMachine = 5
	codeCease        = 6
)

// Error subcodes, grouped by code. 0 means unspecific. Those of codeCease are defined in RFC 4486.
const (
	headerNotSynchronized = 1
	headerBadLength       = 2
	headerBadType         = 3

	openUnsupportedVersion   = 1
	openBadPeerAS            = 2
	openBadRouterID          = 3
	openUnsupportedParameter = 4
	openBadHoldTime          = 6

	updateMalformedAttributes = 1
	updateInvalidNetwork      = 10

	ceaseAdministrativeShutdown = 2
	ceaseConfigurationChange    = 6
)

var codeNames = map[byte]string{
	codeHeader: "message header error", codeOpen: "OPEN message error", codeUpdate: "UPDATE message error",
	codeHoldTimer: "hold timer expired", codeStateMachine: "finite state machine error", codeCease: "cease",
}

// NotificationError is the content of a NOTIFICATION message, which reports an error and closes the session.
type NotificationError struct {
	Code, Subcode byte
	Data          []byte
}

// Error implements error.
func (e *NotificationError) Error() string {
	return fmt.Sprintf("notification %d/%d (%s) data %x", e.Code, e.Subcode, codeNames[e.Code], e.Data)
}

func encodeNotification(notification *NotificationError) []byte {
	body := append([]byte{notification.Code, notification.Subcode}, notification.Data...)
	return encodeMessage(typeNotification, body)
}

// decodeNotification decodes the body of a NOTIFICATION. decodeMessage has checked its minimum length.
func decodeNotification(body []byte) *NotificationError {
	return &NotificationError{Code: body[0], Subcode: body[1], Data: body[2:]}
}
