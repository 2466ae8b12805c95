package lead

import (
	"encoding/binary"
	"slices"

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

// coordinatedRows returns the rows that this VM coordinates, in the order of their groups.
func (l *Lead) coordinatedRows() []*lease.Row {
	groups := l.coordinator.Groups()
	slices.Sort(groups)
	return l.coordinatedRowsOf(groups)
}

// coordinatedRowsOf returns those rows of the groups that this VM coordinates, in the order of the groups.
func (l *Lead) coordinatedRowsOf(groups []topology.GroupID) []*lease.Row {
	rows := make([]*lease.Row, 0, len(groups))
	for _, group := range groups {
		if row := l.coordinator.Row(group); row != nil {
			rows = append(rows, row)
		}
	}
	return rows
}
