// Package forward lets a VM use the connections of another VM, a holder, to a target that
// takes too few connections for all VMs. Its Driver is a target.Driver. VMs of a data centre
// also use it to get changes of the store from each other.
package forward

import (
	"bufio"
	"math"
	"net"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/vmihailenco/msgpack/v5"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/pkg/waitlist"
)

// stream reads and writes messages on a connection. Each message is buffered and written at
// once: the encoder writes each field separately, which would send a packet for each.
type stream struct {
	in  *limitedReader
	out *bufio.Writer
	enc *msgpack.Encoder
	dec *msgpack.Decoder
	// damaged is the error that interrupted a message. What follows on the connection is the rest of it.
	damaged error
	// limit is the maximum size of a received message in bytes.
	limit int
}

func newStream(nc net.Conn) *stream {
	out := bufio.NewWriterSize(nc, writerSize)
	enc := msgpack.NewEncoder(out)
	enc.UseArrayEncodedStructs(true) // Omits the field names.
	enc.UseCompactInts(true)
	in := &limitedReader{Reader: bufio.NewReader(nc)}
	return &stream{in: in, out: out, enc: enc, dec: msgpack.NewDecoder(in), limit: math.MaxInt}
}

// maxRequestBytes is the maximum size of a request in bytes: a text and arguments of 1 MiB each, and the other fields.
const maxRequestBytes = 3 << 20

// writerSize is the size of a connection's write buffer in bytes: a few times that of the usual message.
const writerSize = 1024

func (s *stream) send(message any) error {
	if err := s.enc.Encode(message); err != nil {
		return err
	}
	return s.out.Flush()
}

// receive reads a message. After an error within a message it fails forever; a deadline that passes before a message
// begins leaves the stream usable.
func (s *stream) receive(message any) error {
	if s.damaged != nil {
		return errors.Newf("an earlier message was interrupted: %v", s.damaged)
	}
	if _, err := s.in.Peek(1); err != nil {
		return err
	}
	s.in.left = s.limit
	s.damaged = s.dec.Decode(message)
	return s.damaged
}

// openRequest is the first message on a connection: it names a target for the requests that follow,
// or requests rows.
type openRequest struct {
	Target topology.TargetID `msgpack:"t"`
	// Rows requests rows. Target is then, for a VM that starts, its own peer address.
	Rows *rowsRequest `msgpack:"r"`
}

// request is one command.
type request struct {
	Command target.Command `msgpack:"c"`
	// Remaining is the time that remains for the command. It is relative, since the clocks of two VMs
	// may differ.
	Remaining time.Duration `msgpack:"l"`
}

// waitlistRequest returns the request for the holder's waitlist.
func (r *request) waitlistRequest(now mono.Time) waitlist.Request {
	useful := r.Remaining
	if r.Command.Useful > 0 {
		useful = min(useful, r.Command.Useful)
	}
	return waitlist.Request{
		Priority: r.Command.Priority, Useful: now.Add(useful), Deadline: now.Add(r.Remaining),
		Customer: r.Command.Customer, Anyone: r.Command.Anyone,
	}
}

// response answers an openRequest or a request.
type response struct {
	Rows     []string          `msgpack:"r"`
	Digest   string            `msgpack:"d"`
	State    statement.State   `msgpack:"s"`
	Position position.Position `msgpack:"p"`
	Failure  *result.Error     `msgpack:"f"`
	// Lost is the error if the connection to the target broke, so that it isn't known
	// whether the command ran. Late is set if the target did not answer in time.
	Lost string `msgpack:"x"`
	Late bool   `msgpack:"o"`
	// HolderEvidence is set if the holder answered without the target. It is the target's state as
	// seen by the holder.
	HolderEvidence *target.Evidence `msgpack:"w"`
}

func responseOf(a statement.Answer) response {
	return response{Rows: a.Rows, Digest: a.Digest, State: a.State, Position: a.Position, Failure: a.Failure}
}

func (r *response) answer() statement.Answer {
	return statement.Answer{Rows: r.Rows, Digest: r.Digest, State: r.State, Position: r.Position, Failure: r.Failure}
}
