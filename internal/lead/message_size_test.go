package lead

import (
	"slices"
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// longRow returns a row with long names and the maximum number of witnesses.
func longRow(i int) *lease.Row {
	row := rowNumber(i)
	row.Version = 2
	for w := range lease.MaxWitnesses {
		row.Witnesses = append(row.Witnesses, topology.VMID(strings.Repeat("w", 40+w)))
	}
	row.Formers = []lease.Former{{VM: "vm-9", Version: 2, Witnesses: row.Witnesses}}
	return row
}

// Guards against rows that never arrive: with many groups, the answer to a VM that lacked their
// rows exceeded the size of a datagram.
func TestTheRowsOfManyGroupsFitIntoMessages(t *testing.T) {
	const groups = 300
	coordinator, vm, clock := newPair(groups)
	var rows []*lease.Row
	for i := range groups {
		row := longRow(i)
		rows = append(rows, row)
		coordinator.holder.Adopt(row)
		coordinator.coordinator.Observe(row, clock.Now(), clock.Now())
	}
	for batch := range slices.Chunk(rows, rowsPerMessage) {
		fits(t, coordinator.newNotice(batch))
	}
	for rounds := 0; ; rounds++ {
		request := &message{}
		for _, row := range vm.rowsOf("vm-1") {
			request.Groups = append(request.Groups, vm.entryFor(row.Group, row))
		}
		answer := &message{Kind: promise, From: "vm-1", Incarnation: 1}
		coordinator.promiseInFull(request, answer, clock.Now())
		fits(t, answer)
		known := 0
		for _, p := range answer.Groups {
			if p.Row != nil {
				vm.holder.Adopt(p.Row)
				known++
			}
		}
		if known == 0 {
			if rounds < groups/rowsPerMessage {
				t.Fatalf("no more rows after %d answers", rounds)
			}
			return
		}
	}
}

func fits(t *testing.T, m *message) {
	t.Helper()
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if len(raw) > maxDatagramBytes {
		t.Fatalf("a message of %d bytes", len(raw))
	}
}

// Guards against promises that consist mostly of zeros: a promise contains a position for each
// group and is sent to each VM four times a second.
func TestAPositionTakesFewBytes(t *testing.T) {
	const groups = 200
	m := &message{Kind: promise, From: "vm-1", Incarnation: 1}
	empty, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	for range groups {
		m.Positions = append(m.Positions, positionSample{AgeMS: 150, Term: 3, Index: 123456})
	}
	raw, err := encode(m)
	if err != nil {
		t.Fatal(err)
	}
	if size := (len(raw) - len(empty)) / groups; size > 10 {
		t.Fatalf("%d bytes for a position", size)
	}
	back, err := decode(raw)
	if err != nil || len(back.Positions) != groups || back.Positions[7] != m.Positions[7] {
		t.Fatalf("%v, %d positions", err, len(back.Positions))
	}
}
