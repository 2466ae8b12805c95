package pgwire_test

import (
	"bufio"
	"bytes"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
)

// limit is the maximum size of a fuzzed answer, in bytes.
const limit = 1 << 12

func seeds(f *testing.F) {
	f.Add([]byte{})
	f.Add([]byte{'Z', 0, 0, 0, 5, 'I'})
	f.Add([]byte{'Z', 0, 0, 0, 5})
	f.Add([]byte{'D', 0, 0, 0, 3, 1})
	f.Add([]byte{'E', 0xff, 0xff, 0xff, 0xff, 'S', 0})
	f.Add([]byte("1\x00\x00\x00\x04C\x00\x00\x00\x0bSET\x00\x00\x00\x00"))
}

// FuzzAppend checks that Split finds as many frames as Append read from the stream,
// that the buffer holds the bytes of the stream, and that it stays within its limit.
func FuzzAppend(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, stream []byte) {
		r := bufio.NewReader(bytes.NewReader(stream))
		var buf []byte
		frames := 0
		for {
			grown, frame, err := pgwire.Append(r, buf, limit)
			if err != nil {
				break
			}
			if len(grown) > limit || len(grown) != len(buf)+len(frame) {
				t.Fatalf("buffer of %d with a frame of %d", len(grown), len(frame))
			}
			buf = grown
			frames++
		}
		if !bytes.HasPrefix(stream, buf) {
			t.Fatal("the buffer is not a prefix of the stream")
		}
		if err := pgwire.Split(buf, func(pgwire.Frame) error { frames--; return nil }); err != nil || frames != 0 {
			t.Fatalf("split: %v, number of frames differs by %d", err, frames)
		}
	})
}

// FuzzSplit checks that the frames found, joined, equal the input, and that SQLState
// does not panic on any body.
func FuzzSplit(f *testing.F) {
	seeds(f)
	f.Fuzz(func(t *testing.T, buf []byte) {
		var joined []byte
		err := pgwire.Split(buf, func(frame pgwire.Frame) error {
			joined = append(joined, frame...)
			_ = pgwire.SQLState(frame)
			return nil
		})
		if !bytes.HasPrefix(buf, joined) || err == nil && len(joined) != len(buf) {
			t.Fatalf("%d of %d bytes, %v", len(joined), len(buf), err)
		}
	})
}
