// Package slotshare decides how many statements each holder of a target may have in flight there. The holders of a
// target are the VMs that connect to it directly.
//
// It does no I/O and reads no clock. Its types are not safe for concurrent use.
package slotshare

// queuePerSlot is how many statements may be in flight at a target for each of its slots: the one that runs and one
// that waits there, so that the slot isn't idle for a round trip.
const queuePerSlot = 2

// Total returns how many statements all holders together may have in flight at a target with the given slots.
func Total(slots int) int { return queuePerSlot * slots }

// SafePart returns how many statements a holder may have in flight without knowing what the others have: its part of
// the total, rounded up. It is at least 1.
func SafePart(slots, holders int) int {
	holders = max(holders, 1)
	return max(1, (Total(slots)+holders-1)/holders)
}
