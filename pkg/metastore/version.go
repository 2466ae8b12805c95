package metastore

import (
	"cmp"
	"fmt"

	"github.com/vmihailenco/msgpack/v5"
)

// Version identifies a transaction of the store. A store that is restored from an older copy begins a
// new era and gives out the numbers after the copy's again, so a number alone does not identify a
// transaction. The zero Version is before all others.
type Version struct {
	// Era is how often the store was restored.
	Era uint64
	// Number increases with each transaction of an era; 0 stands for no transaction.
	Number uint64
}

// Compare returns -1, 0 or 1 as v is before, equal to or after o. All versions of an era are before
// those of a later one.
func (v Version) Compare(o Version) int {
	return cmp.Or(cmp.Compare(v.Era, o.Era), cmp.Compare(v.Number, o.Number))
}

// After reports whether v is after o.
func (v Version) After(o Version) bool { return v.Compare(o) > 0 }

// IsZero reports whether v is the zero Version.
func (v Version) IsZero() bool { return v == Version{} }

// InEra returns the version with the same number in an era.
func (v Version) InEra(era uint64) Version { return Version{Era: era, Number: v.Number} }

// Next returns the version after v in the same era.
func (v Version) Next() Version { return Version{Era: v.Era, Number: v.Number + 1} }

// Later returns the later one of two versions.
func Later(a, b Version) Version {
	if b.After(a) {
		return b
	}
	return a
}

// String returns the number, preceded by the era unless that is 0.
func (v Version) String() string {
	if v.Era == 0 {
		return fmt.Sprint(v.Number)
	}
	return fmt.Sprintf("%d/%d", v.Era, v.Number)
}

var (
	_ msgpack.CustomEncoder = Version{}
	_ msgpack.CustomDecoder = (*Version)(nil)
)

// EncodeMsgpack implements msgpack.CustomEncoder. It encodes the number only: a message has versions of one
// era, which it names once, so that VMs of builds without eras can read it.
func (v Version) EncodeMsgpack(e *msgpack.Encoder) error { return e.EncodeUint(v.Number) }

// DecodeMsgpack implements msgpack.CustomDecoder. It decodes the number only.
func (v *Version) DecodeMsgpack(d *msgpack.Decoder) error {
	number, err := d.DecodeUint64()
	*v = Version{Number: number}
	return err
}
