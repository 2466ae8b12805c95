package forward

import (
	"bytes"
	"net"
	"runtime"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
)

// received decodes a message from bytes after which the connection ends.
func received(raw []byte, message any) error {
	return newStream(readConn{Reader: bytes.NewReader(raw)}).receive(message)
}

type readConn struct {
	net.Conn
	*bytes.Reader
}

func (c readConn) Read(p []byte) (int, error)  { return c.Reader.Read(p) }
func (c readConn) Write(p []byte) (int, error) { return len(p), nil }

func someRequest() request {
	return request{
		Command: target.Command{
			Kind: target.Execute, ID: "id", Text: "EXEC p a ", Name: "r1", Value: "a ", Priority: 2, Useful: 3, Insist: true,
			Customer: "c", Anyone: true, After: position.Position{Term: 4, Index: 5},
		},
		Remaining: 6,
	}
}

func someResponse() response {
	return response{
		Rows: []string{"row ", ""}, Digest: "d", State: statement.Open, Position: position.Position{Term: 1, Index: 2},
		Failure: &result.Error{Code: result.TargetFailed, Ran: result.Done, RetryAfter: 3, Detail: "e "}, Lost: "l", Late: true,
		HolderEvidence: &target.Evidence{Failing: true, AnsweredAgo: 4},
	}
}

// Guards against a VM of the previous version that doesn't understand a message: structs are encoded as arrays, which
// the decoder refuses if their length differs.
func TestTheEncodingOfMessagesStays(t *testing.T) {
	for name, c := range map[string]struct {
		message any
		encoded string
	}{
		"request":  {someRequest(), "\x92\x9b\x01\xa2id\xa9EXEC p a \xa2r1\xa2a \x02\x03\xc3\xa1c\xc3\x92\x04\x05\x06"},
		"response": {someResponse(), "\x98\x92\xa4row \xa0\xa1dT\x92\x01\x02\x94\xcd\x04\xc2\x03\x03\xa2e \xa1l\xc3\x93\xc2\xc3\x04"},
		"open":     {openRequest{Target: "t"}, "\x92\xa1t\xc0"},
	} {
		if got := string(encoded(t, c.message)); got != c.encoded {
			t.Errorf("%s: encoded as %q, want %q", name, got, c.encoded)
		}
	}
}

// Guards against a message that was cut off and counts as a whole one.
func TestAPartOfAMessageIsNoMessage(t *testing.T) {
	for i, raw := range [][]byte{encoded(t, someRequest()), encoded(t, someResponse())} {
		for n := range raw {
			if i == 0 && received(raw[:n], &request{}) == nil || i == 1 && received(raw[:n], &response{}) == nil {
				t.Errorf("%d of %d bytes of message %d were decoded", n, len(raw), i)
			}
		}
	}
}

// Guards against memory that is taken for the length that a damaged message states.
func TestADamagedLengthTakesLittleMemory(t *testing.T) {
	const mostBytes = 40 << 20
	for _, raw := range []string{
		"\x98\xdd\xff\xff\xff\xff", "\x98\xdd\xff\xff\xff\xff\xdb\xff\xff\xff\xff", "\x98\xc0\xdb\xff\xff\xff\xff",
		"\xdf\xff\xff\xff\xff\xa1r\xdd\xff\xff\xff\xff", "\xdd\xff\xff\xff\xff",
	} {
		var before, after runtime.MemStats
		runtime.ReadMemStats(&before)
		err := received([]byte(raw), &response{})
		runtime.ReadMemStats(&after)
		if taken := after.TotalAlloc - before.TotalAlloc; err == nil || taken > mostBytes {
			t.Errorf("%q: %v, %d bytes taken", raw, err, taken)
		}
	}
}

// FuzzStream guards against damaged messages that crash a VM, or that are decoded as something else than is encoded.
func FuzzStream(f *testing.F) {
	for _, raw := range []string{"", "\xc0", "\x80", "\x90", "\x92\x80\x90", "\x92\x9b\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0\xc0", "\x81\xa1r\x91\xa1x", "\x98\xdd\xff\xff\xff\xff"} {
		f.Add([]byte(raw))
	}
	for _, m := range []any{someRequest(), someResponse(), openRequest{Target: "t", Rows: &rowsRequest{}}} {
		c := &capturingConn{}
		if err := newStream(c).send(m); err != nil {
			f.Fatal(err)
		}
		f.Add(c.sent.Bytes())
	}
	f.Fuzz(func(t *testing.T, raw []byte) {
		var r, again request
		if received(raw, &r) == nil {
			if err := received(encoded(t, r), &again); err != nil || r != again {
				t.Fatalf("%v: %+v became %+v", err, r, again)
			}
			_ = checkCommand(r.Command)
			_ = r.waitlistRequest(1)
		}
		var a response
		if received(raw, &a) == nil {
			var b response
			if err := received(encoded(t, a), &b); err != nil || !bytes.Equal(encoded(t, a), encoded(t, b)) {
				t.Fatalf("%v: %+v became %+v", err, a, b)
			}
		}
		var o openRequest
		_ = received(raw, &o)
	})
}

// Guards against fields of an earlier message that remain in a later one.
func TestAMessageHasNoFieldsOfTheOneBefore(t *testing.T) {
	c := &capturingConn{}
	s := newStream(c)
	for _, m := range []any{someResponse(), response{State: statement.Idle}, someResponse(), response{}} {
		if err := s.send(m); err != nil {
			t.Fatal(err)
		}
	}
	entry := &conn{stream: newStream(readConn{Reader: bytes.NewReader(c.sent.Bytes())})}
	for i := range 4 {
		entry.pending = true
		r, err := entry.receive()
		if err != nil {
			t.Fatal(err)
		}
		if i%2 == 1 && (r.Rows != nil || r.Digest != "" || r.Failure != nil || r.Lost != "" || r.Late || r.HolderEvidence != nil || entry.evidence != (target.Evidence{Direct: true})) {
			t.Errorf("%d: %+v", i, r)
		}
	}
}
