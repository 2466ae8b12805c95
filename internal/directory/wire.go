package directory

import (
	"github.com/vmihailenco/msgpack/v5"

	"github.com/buckthornshore/buckthornshore/pkg/metastore"
)

var (
	_ msgpack.CustomDecoder = (*FeedNews)(nil)
	_ msgpack.CustomDecoder = (*Snapshot)(nil)
	_ msgpack.CustomEncoder = Followed{}
	_ msgpack.CustomDecoder = (*Followed)(nil)
)

// DecodeMsgpack implements msgpack.CustomDecoder. All versions are of the era that the news name.
func (n *FeedNews) DecodeMsgpack(d *msgpack.Decoder) error {
	type plain FeedNews
	if err := d.Decode((*plain)(n)); err != nil {
		return err
	}
	n.Relevant, n.Seen = n.Relevant.InEra(n.Era), n.Seen.InEra(n.Era)
	n.Since, n.WatchableFrom = n.Since.InEra(n.Era), n.WatchableFrom.InEra(n.Era)
	metastore.InEra(n.Rows, n.Era)
	return nil
}

// DecodeMsgpack implements msgpack.CustomDecoder. All versions are of the era that the snapshot names.
func (s *Snapshot) DecodeMsgpack(d *msgpack.Decoder) error {
	type plain Snapshot
	if err := d.Decode((*plain)(s)); err != nil {
		return err
	}
	s.Version = s.Version.InEra(s.Era)
	metastore.InEra(s.Rows, s.Era)
	return nil
}

// eraKey is the key of the era among the versions of Followed. No feed has it.
const eraKey Feed = 0

// EncodeMsgpack implements msgpack.CustomEncoder. It leaves out the feeds that are followed in an earlier
// era than others: no change after their versions is of use.
func (f Followed) EncodeMsgpack(e *msgpack.Encoder) error {
	var era uint64
	for _, version := range f {
		era = max(era, version.Era)
	}
	numbers := map[Feed]uint64{}
	if era > 0 {
		numbers[eraKey] = era
	}
	for feed, version := range f {
		if version.Era == era {
			numbers[feed] = version.Number
		}
	}
	return e.Encode(numbers)
}

// DecodeMsgpack implements msgpack.CustomDecoder.
func (f *Followed) DecodeMsgpack(d *msgpack.Decoder) error {
	var numbers map[Feed]uint64
	if err := d.Decode(&numbers); err != nil {
		return err
	}
	era := numbers[eraKey]
	delete(numbers, eraKey)
	*f = make(Followed, len(numbers))
	for feed, number := range numbers {
		(*f)[feed] = metastore.Version{Era: era, Number: number}
	}
	return nil
}
