// Package forward lets a VM use the connections that another VM holds to a target,
// where the target takes too few for all VMs. To the callers' side it is a
// target.Driver like any other.
package forward

import (
	"time"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// opening is the first message of a connection.
type opening struct {
	Target topology.TargetID `msgpack:"t"`
}

// request is one command.
type request struct {
	Command target.Command `msgpack:"c"`
	// Left is how much time the command has. Clocks of two VMs are not compared.
	Left time.Duration `msgpack:"l"`
}

// response answers an opening or a request.
type response struct {
	Rows     []string          `msgpack:"r,omitempty"`
	Digest   string            `msgpack:"d,omitempty"`
	State    statement.State   `msgpack:"s"`
	Position position.Position `msgpack:"p"`
	Failure  *result.Error     `msgpack:"f,omitempty"`
	// Lost: the connection to the target broke, and whether the command ran is not
	// known. Late: the target did not answer in time.
	Lost string `msgpack:"x,omitempty"`
	Late bool   `msgpack:"o,omitempty"`
}

func responseOf(a statement.Answer) response {
	return response{Rows: a.Rows, Digest: a.Digest, State: a.State, Position: a.Position, Failure: a.Failure}
}

func (r *response) answer() statement.Answer {
	return statement.Answer{Rows: r.Rows, Digest: r.Digest, State: r.State, Position: r.Position, Failure: r.Failure}
}
