// Package database is a stand-in for one replicated database: a key-value
// store with transactions, terms and log shipping that speaks the PostgreSQL
// protocol. It is used by the tests and the load tool and is not part of a
// deployment.
//
// Data statements and COMMIT hold a slot while they run. BEGIN, ROLLBACK, SET,
// SHOW, RESET and DISCARD ALL need no slot and, except for BEGIN, run in any
// term, so that a connection can always be reset and bound to another term.
//
// A connection started with buckthornshore.control=on also accepts:
//
//	SHOW buckthornshore.status
//	BTS FENCE term
//	BTS PROMOTE term
//	BTS FOLLOW term primary-id primary-address
//	BTS SET replication_delay duration
//	BTS SET statement_time duration
//	BTS SET reject_connections on|off
//
// SHOW, FENCE, PROMOTE and FOLLOW return the status row.
package database
