// Package authority decides which VM may acknowledge writes for a group's
// primary, and which replica replaces a primary that failed. It does no I/O and
// reads no clock: the caller passes in times, messages and the random source, and
// carries out the actions that are returned.
//
// It has three tables, each advanced by its Tick method:
//
//   - Holder: the groups whose primary this VM pools. It collects promises and
//     answers Right and Confirm, the two checks around every write.
//   - Promoter: the groups whose promoter list contains this VM. It gives promises,
//     withdraws them, confirms withdrawals and promotes.
//   - Detector: the targets this VM watches, and whether each is dead, slow or
//     unreachable from this VM only.
//
// A holder may acknowledge writes while every promoter listed in some version of
// the row has given it a promise that is younger than Lease, counted on the
// holder's clock from when the request was sent. Before it promotes, a promoter
// waits until its own promises have lapsed, counted on its clock from the answer
// and stretched by the margin. So a single promoter that stops promising ends
// every right under that version.
//
// docs/design/0002-who-may-acknowledge.md holds the argument and the section
// "Driving the package".
package authority
