// Package database is a stand-in for one replicated database: a key-value
// store with transactions, terms and log shipping, spoken over the PostgreSQL
// protocol. It serves the tests and the load tool and is no part of a
// deployment.
//
// Data statements and COMMIT hold a slot while they run; BEGIN, ROLLBACK, SET,
// SHOW, RESET and DISCARD ALL need none and are allowed in any term, but for
// BEGIN, so that a connection can always be cleaned and bound anew.
//
// A connection started with buckthornshore.control=on also takes:
//
//	SHOW buckthornshore.status
//	BTS FENCE term
//	BTS PROMOTE term
//	BTS FOLLOW term primary-id primary-address
//	BTS SET replication_delay duration
//	BTS SET statement_time duration
//	BTS SET reject_connections on|off
//
// SHOW, FENCE, PROMOTE and FOLLOW answer the status row.
package database
