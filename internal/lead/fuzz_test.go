package lead

import (
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/quota"
)

// FuzzMessage decodes arbitrary datagrams: each is either rejected or can be encoded and decoded
// again.
func FuzzMessage(f *testing.F) {
	for _, m := range []*message{
		{Kind: renewal, From: "vm-1", Incarnation: 7, Sequence: 3, Digest: 9, Usage: []quota.Usage{{Customer: 5, Offered: 2, Admitted: 1}}},
		{Kind: promise, From: "vm-1", Positions: []positionSample{{AgeMS: 5, Term: 1, Index: 77}}, Quota: &quota.Answer{Near: []quota.Tag{5}}},
		{Kind: notice, Groups: []groupEntry{{Group: "g", Row: rowNumber(3)}}},
		{Kind: warning, Near: []quota.Tag{1, 2}},
	} {
		raw, err := encode(m)
		if err != nil {
			f.Fatal(err)
		}
		f.Add(raw)
	}
	f.Add([]byte{})
	f.Add([]byte{0x81, 0xa1, 'k', 0xff})
	f.Fuzz(func(t *testing.T, raw []byte) {
		m, err := decode(raw)
		if err != nil {
			return
		}
		again, err := encode(m)
		if err != nil {
			t.Fatal(err)
		}
		if _, err := decode(again); err != nil {
			t.Fatalf("%v: %+v", err, m)
		}
	})
}
