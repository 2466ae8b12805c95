package database

import (
	"context"
	"fmt"

	"github.com/cockroachdb/errors"
	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/internal/standin/database/sqlparse"
)

// Code is an SQLSTATE.
type Code string

// SQLSTATEs that a database returns.
const (
	CodeTermRefused       Code = "BT202" // the statement was not run: the database is fenced or in another term
	CodeNotReplicated     Code = "BT208" // committed, but not acknowledged by the replicas in time
	CodeProtocol          Code = "08P01"
	CodeUnsupported       Code = "0A000"
	CodeBadNumber         Code = "22P02"
	CodeOutOfRange        Code = "22003"
	CodeBadParameter      Code = "22023"
	CodeNull              Code = "23502"
	CodeDuplicate         Code = "23505"
	CodeActiveTransaction Code = "25001"
	CodeReadOnly          Code = "25006"
	CodeFailedTransaction Code = "25P02"
	CodeNoStatement       Code = "26000"
	CodeNoPortal          Code = "34000"
	CodeDeadlock          Code = "40P01"
	CodePrivilege         Code = "42501"
	CodeSyntax            Code = "42601"
	CodeUnknownVariable   Code = "42704"
	CodeTooManyClients    Code = "53300"
	CodeCanceled          Code = "57014"
	CodeShutdown          Code = "57P01"
	CodeNotNow            Code = "57P03"
	CodeInternal          Code = "XX000"
)

// SQLError is an error with its SQLSTATE, as it is sent to the client.
type SQLError struct {
	Code    Code
	Message string
}

// Error implements error.
func (e *SQLError) Error() string { return string(e.Code) + ": " + e.Message }

func sqlError(code Code, format string, args ...any) error {
	return &SQLError{Code: code, Message: fmt.Sprintf(format, args...)}
}

var (
	errCanceled = &SQLError{Code: CodeCanceled, Message: "canceling statement due to user request"}
	errClosed   = &SQLError{Code: CodeShutdown, Message: "connection closed"}
)

// contextError returns the reason for which ctx ended.
func contextError(ctx context.Context) error {
	var sql *SQLError
	if errors.As(context.Cause(ctx), &sql) {
		return sql
	}
	return errClosed
}

// responseTo converts an error to the message sent to the client.
func responseTo(err error, severity string) *pgproto3.ErrorResponse {
	var sql *SQLError
	var syntax *sqlparse.Error
	resp := &pgproto3.ErrorResponse{Severity: severity, SeverityUnlocalized: severity}
	switch {
	case errors.As(err, &sql):
		resp.Code, resp.Message = string(sql.Code), sql.Message
	case errors.As(err, &syntax):
		resp.Code, resp.Message = string(CodeSyntax), syntax.Message
	default:
		resp.Code, resp.Message = string(CodeInternal), err.Error()
	}
	return resp
}
