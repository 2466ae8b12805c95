// Package authority decides which VM may acknowledge writes for a group's
// primary, and who replaces a primary that failed. It is pure: instants,
// messages and the random source come in, actions are returned.
//
// Three tables hold the entities; their systems run on each Tick:
//
//   - Holder: the groups whose primary this VM pools. It collects promises and
//     answers Right and Confirm, the two checks around every write.
//   - Promoter: the groups in whose list this VM stands. It promises, withdraws,
//     confirms and promotes.
//   - Detector: the targets this VM watches; dead, slow or behind a dead path.
//
// A holder may acknowledge while each promoter of a version of the row promised
// it less than Lease ago, counted from the sending of the request on the
// holder's clock. A promoter lets its promises lapse, counted from the answer on
// its own clock and stretched by the margin, before it promotes. So one promoter
// that stops promising ends every right under that version.
//
// docs/design/0002-who-may-acknowledge.md holds the argument and the section
// "Driving the package".
package authority
