package database

import (
	"strings"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"

	"github.com/buckthornshore/buckthornshore/pkg/position"
)

// Names of start-up parameters, variables and reported parameters.
const (
	paramControl     = "buckthornshore.control"
	paramReplication = "buckthornshore.replication"
	varTerm          = "buckthornshore.term"
	varWaitFor       = "buckthornshore.wait_for"
	varWaitTimeout   = "buckthornshore.wait_timeout_ms"
	varPosition      = "buckthornshore.position"
	varCommitted     = "buckthornshore.committed"
	varReadOnly      = "default_transaction_read_only"
	varStatus        = "buckthornshore.status"
	valueOn          = "on"
	valueOff         = "off"
)

// serverVersion is the server version reported to clients.
const serverVersion = "15.0 (buckthornshore stand-in)"

type parameter struct {
	name  string
	value string
}

// reportedParameters are sent to every client, since common drivers expect them.
var reportedParameters = []parameter{
	{"server_version", serverVersion},
	{"server_encoding", "UTF8"},
	{"client_encoding", "UTF8"},
	{"standard_conforming_strings", valueOn},
	{"integer_datetimes", valueOn},
	{"DateStyle", "ISO, MDY"},
	{"IntervalStyle", "postgres"},
	{"TimeZone", "UTC"},
	{"is_superuser", valueOff},
}

// startUp performs the start-up phase of a connection. It returns nil without an
// error if the connection was a cancel request or was closed.
func (c *conn) startUp() (*pgproto3.StartupMessage, error) {
	if err := c.nc.SetDeadline(time.Now().Add(startupTimeout)); err != nil {
		return nil, nil
	}
	start := c.receiveStart()
	if start == nil {
		return nil, nil
	}
	readOptions(start.Parameters)
	c.control = start.Parameters[paramControl] == valueOn
	if !c.control && start.Parameters[paramReplication] != valueOn {
		if err := c.db.admit(c); err != nil {
			return nil, err
		}
	}
	time.Sleep(c.db.cfg.ConnectTime)
	c.sendStartupReply()
	if err := c.nc.SetDeadline(time.Time{}); err != nil {
		return nil, nil
	}
	return start, nil
}

// readOptions adds the settings of the options parameter ("-c name=value") to
// params. psql has no other way to pass start-up parameters.
func readOptions(params map[string]string) {
	for _, word := range strings.Fields(params["options"]) {
		word = strings.TrimLeft(strings.TrimPrefix(word, "-c"), "-")
		if name, value, ok := strings.Cut(word, "="); ok {
			params[name] = value
		}
	}
}

func (c *conn) receiveStart() *pgproto3.StartupMessage {
	for {
		msg, err := c.be.ReceiveStartupMessage()
		if err != nil {
			return nil
		}
		switch m := msg.(type) {
		case *pgproto3.SSLRequest, *pgproto3.GSSEncRequest:
			if _, err := c.nc.Write([]byte{'N'}); err != nil {
				return nil
			}
		case *pgproto3.CancelRequest:
			c.db.cancel(m.ProcessID, m.SecretKey)
			return nil
		case *pgproto3.StartupMessage:
			return m
		}
	}
}

func (c *conn) sendStartupReply() {
	c.send(&pgproto3.AuthenticationOk{})
	for _, p := range reportedParameters {
		c.send(&pgproto3.ParameterStatus{Name: p.name, Value: p.value})
	}
	c.send(&pgproto3.BackendKeyData{ProcessID: c.pid, SecretKey: c.secret})
	c.ready(statusIdle)
	// The error is ignored: readAll detects a broken connection.
	_ = c.flush()
}

// ready sends the position of this connection's newest commit, if there was one
// since the last call, the newest position of the database and ReadyForQuery.
func (c *conn) ready(status byte) {
	if !c.committed.IsZero() {
		c.send(&pgproto3.ParameterStatus{Name: varCommitted, Value: c.committed.String()})
		c.committed = position.Position{}
	}
	c.send(&pgproto3.ParameterStatus{Name: varPosition, Value: c.db.Position().String()})
	c.send(&pgproto3.ReadyForQuery{TxStatus: status})
}
