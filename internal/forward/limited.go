package forward

import (
	"bufio"

	"github.com/cockroachdb/errors"
)

// errTooLarge is returned for a message that is larger than the stream's limit.
var errTooLarge = errors.New("forward: message too large")

// limitedReader reads messages of limited size. The decoder uses it without a buffer of its own.
type limitedReader struct {
	*bufio.Reader
	// left is how many more bytes may be read of the message.
	left int
}

// Read implements io.Reader.
func (l *limitedReader) Read(p []byte) (int, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	n, err := l.Reader.Read(p[:min(len(p), l.left)])
	l.left -= n
	return n, err
}

// ReadByte implements io.ByteScanner.
func (l *limitedReader) ReadByte() (byte, error) {
	if l.left <= 0 {
		return 0, errTooLarge
	}
	b, err := l.Reader.ReadByte()
	if err == nil {
		l.left--
	}
	return b, err
}

// UnreadByte implements io.ByteScanner.
func (l *limitedReader) UnreadByte() error {
	err := l.Reader.UnreadByte()
	if err == nil {
		l.left++
	}
	return err
}
