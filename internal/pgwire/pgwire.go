// Package pgwire implements the parts of the PostgreSQL protocol that the entry and
// the pooler share: raw frames, which are passed through without decoding, and errors
// with result codes.
package pgwire

import (
	"bufio"
	"encoding/binary"
	"io"
	"strconv"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// The header of a frame is its type and its length; the length counts itself.
const (
	headerLength = 5 // bytes
	lengthLength = 4 // bytes
)

// ErrFrameTooLarge is returned for a frame above the caller's limit.
var ErrFrameTooLarge = errors.New("pgwire: frame too large")

// ErrBadFrame is returned for a frame whose length is impossible.
var ErrBadFrame = errors.New("pgwire: bad frame")

// Types of the backend frames that the pooler inspects.
const (
	TypeParameterStatus = 'S'
	TypeReadyForQuery   = 'Z'
	TypeError           = 'E'
	TypeParseComplete   = '1'
	TypeBindComplete    = '2'
	TypeCloseComplete   = '3'
	TypeNoData          = 'n'
	TypeRowDescription  = 'T'
	TypeDataRow         = 'D'
	TypeCommandComplete = 'C'
	TypeEmptyQuery      = 'I'
	TypePortalSuspended = 's'
	TypeCopyIn          = 'G'
	TypeCopyOut         = 'H'
	TypeCopyBoth        = 'W'
	TypeNotice          = 'N'
	TypeNotification    = 'A'
)

// Transaction status values of ReadyForQuery.
const (
	Idle          byte = 'I'
	InTransaction byte = 'T'
	Failed        byte = 'E'
)

// Frame is one message, header included.
type Frame []byte

// Type returns the message type.
func (f Frame) Type() byte { return f[0] }

// Body returns the message without its header.
func (f Frame) Body() []byte { return f[headerLength:] }

// Append reads one frame from r and appends it to buf, whose length does not exceed
// limit bytes. It returns the grown buffer and the frame within it.
func Append(r *bufio.Reader, buf []byte, limit int) ([]byte, Frame, error) {
	head, err := r.Peek(headerLength)
	if err != nil {
		return buf, nil, err
	}
	n := int(binary.BigEndian.Uint32(head[1:])) + 1
	if n < headerLength {
		return buf, nil, ErrBadFrame
	}
	start := len(buf)
	if start+n > limit {
		return buf, nil, ErrFrameTooLarge
	}
	buf = append(buf, make([]byte, n)...)
	if _, err := io.ReadFull(r, buf[start:]); err != nil {
		return buf[:start], nil, err
	}
	return buf, Frame(buf[start:]), nil
}

// Split calls each for every frame in buf. It returns ErrBadFrame if buf has an
// incomplete or malformed frame.
func Split(buf []byte, each func(Frame) error) error {
	for len(buf) > 0 {
		if len(buf) < headerLength {
			return ErrBadFrame
		}
		n := int(binary.BigEndian.Uint32(buf[1:])) + 1
		if n < headerLength || n > len(buf) {
			return ErrBadFrame
		}
		if err := each(Frame(buf[:n])); err != nil {
			return err
		}
		buf = buf[n:]
	}
	return nil
}

// SQLState returns the SQLSTATE of an ErrorResponse frame, or "" if the frame can't be
// decoded.
func SQLState(f Frame) string {
	var e pgproto3.ErrorResponse
	if err := e.Decode(f.Body()); err != nil {
		return ""
	}
	return e.Code
}

// Severities of an ErrorResponse.
const (
	SeverityError = "ERROR"
	SeverityFatal = "FATAL"
)

// StateCancelled is PostgreSQL's SQLSTATE query_canceled.
const StateCancelled = "57014"

// stateOf returns the SQLSTATE for a result code. It is the code itself, except for a
// cancelled request, for which clients expect PostgreSQL's own state.
func stateOf(c result.Code) string {
	if c == result.Cancelled {
		return StateCancelled
	}
	return c.SQLState()
}

// ErrorResponse converts a result to a PostgreSQL ErrorResponse. Its SQLSTATE is the
// result code, and its hint is the delay before a retry, in milliseconds.
func ErrorResponse(e *result.Error, severity string) *pgproto3.ErrorResponse {
	resp := &pgproto3.ErrorResponse{
		Severity:            severity,
		SeverityUnlocalized: severity,
		Code:                stateOf(e.Code),
		Message:             e.Error(),
	}
	if e.RetryAfter > 0 {
		resp.Hint = "retry_after_ms=" + strconv.FormatInt(e.RetryAfter.Milliseconds(), 10)
	}
	return resp
}
