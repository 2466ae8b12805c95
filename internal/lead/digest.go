package lead

import (
	"encoding/binary"

	"github.com/cespare/xxhash/v2"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// groupSet is a bitmap of groups, indexed by their place in a list that both sides of a message
// know.
type groupSet []byte

func (s *groupSet) add(i int) {
	for len(*s) <= i/8 {
		*s = append(*s, 0)
	}
	(*s)[i/8] |= 1 << (i % 8)
}

func (s groupSet) has(i int) bool {
	return i/8 < len(s) && s[i/8]&(1<<(i%8)) != 0
}

// digestOf returns a digest of the rows and their versions, in this order; it is never 0.
func digestOf(rows []*lease.Row) uint64 {
	var h xxhash.Digest
	h.Reset()
	var version [8]byte
	for _, row := range rows {
		_, _ = h.WriteString(string(row.Group)) // A hash never fails.
		binary.LittleEndian.PutUint64(version[:], row.Version)
		_, _ = h.Write(version[:])
	}
	return max(1, h.Sum64())
}

// rowsOf returns the known rows of a coordinator, in the order of their groups.
func (l *Lead) rowsOf(coordinator topology.VMID) []*lease.Row {
	var rows []*lease.Row
	for _, group := range l.groups() {
		if row := l.holder.Row(group); row != nil && row.Coordinator == coordinator {
			rows = append(rows, row)
		}
	}
	return rows
}

// coordinatedRows returns the rows that this VM coordinates, in the order of their groups.
func (l *Lead) coordinatedRows() []*lease.Row {
	var rows []*lease.Row
	for _, group := range l.groups() {
		if row := l.coordinator.Row(group); row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}
