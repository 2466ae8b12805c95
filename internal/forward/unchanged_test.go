package forward_test

import (
	"context"
	"maps"
	"reflect"
	"strings"
	"sync"
	"testing"
	"time"

	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/internal/target"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/statement"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// recorder is a target that records the last command with the state of its connection, and gives a scripted answer.
type recorder struct {
	mu       sync.Mutex
	answer   statement.Answer
	ran      target.Command
	customer topology.CustomerID
	values   map[string]string
	prepared statement.Prepared
}

func (r *recorder) Dial(_ context.Context, _ topology.Target, customer topology.CustomerID) (target.Conn, error) {
	return &recorderConn{recorder: r, customer: customer, values: map[string]string{}, prepared: map[string]statement.Prepared{}}, nil
}

type recorderConn struct {
	recorder *recorder
	customer topology.CustomerID
	values   map[string]string
	prepared map[string]statement.Prepared
}

func (c *recorderConn) Close() {}

func (c *recorderConn) Finish(time.Time) (statement.Answer, error) {
	return statement.Done(statement.Idle), nil
}

func (c *recorderConn) Run(_ time.Time, cmd target.Command) (statement.Answer, error) {
	switch cmd.Kind {
	case target.Caller, target.Execute:
		r := c.recorder
		r.mu.Lock()
		defer r.mu.Unlock()
		r.ran, r.customer, r.values, r.prepared = cmd, c.customer, maps.Clone(c.values), c.prepared[cmd.Name]
		return r.answer, nil
	case target.Set:
		c.values[cmd.Name] = cmd.Value
	case target.PrepareRead, target.PrepareWrite:
		c.prepared[cmd.Name] = statement.Prepared{Shape: cmd.Value, Writes: cmd.Kind == target.PrepareWrite}
	case target.Reset:
		clear(c.values)
		clear(c.prepared)
	}
	return statement.Done(statement.Idle), nil
}

// forwarded is a statement that goes through a holder, and its answer.
type forwarded struct {
	command     target.Command
	name, value string
	shape       statement.Prepared
	answer      statement.Answer
}

type reporter interface {
	Helper()
	Fatalf(format string, args ...any)
}

// play sends the statement over a connection to the holder, and compares what the target and the caller get with what
// was sent.
func (f *forwarded) play(t reporter, driver target.Driver, r *recorder) {
	t.Helper()
	ctx, cancel := context.WithTimeout(context.Background(), 2*time.Second)
	defer cancel()
	c, err := driver.Dial(ctx, theTarget, f.command.Customer)
	if err != nil {
		t.Fatalf("%v", err)
	}
	defer c.Close()
	r.mu.Lock()
	r.answer, r.ran = f.answer, target.Command{}
	r.mu.Unlock()
	f.setUp(t, c)
	got, err := c.Run(soon(), f.command)
	if isSent := f.command.ID != "" && f.command.Text != ""; isSent && f.answer.Failure == nil && f.answer.Digest == "" {
		if err == nil {
			t.Fatalf("a success without a digest is answered %+v", got)
		}
		return
	}
	if err != nil {
		t.Fatalf("%v", err)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if f.command.ID == "" || f.command.Text == "" {
		if got.Failure == nil || got.Failure.Code != result.BadProtocol || r.ran != (target.Command{}) {
			t.Fatalf("without an id or a text: %+v, ran %+v", got, r.ran)
		}
		return
	}
	if !reflect.DeepEqual(got, f.answer) {
		t.Fatalf("answered %.300q %+v, the target's answer is %.300q %+v", got, got.Failure, f.answer, f.answer.Failure)
	}
	f.checkRan(t, r)
}

func (f *forwarded) setUp(t reporter, c target.Conn) {
	t.Helper()
	commands := []target.Command{{Kind: target.Set, ID: statement.OwnID, Name: f.name, Value: f.value}}
	if f.command.Kind == target.Execute {
		kind := target.PrepareRead
		if f.shape.Writes {
			kind = target.PrepareWrite
		}
		commands = append(commands, target.Command{Kind: kind, ID: statement.OwnID, Name: f.command.Name, Value: f.shape.Shape})
	}
	for _, cmd := range commands {
		if a, err := c.Run(soon(), cmd); err != nil || a.Failure != nil {
			t.Fatalf("%d: %v %v", cmd.Kind, err, a.Failure)
		}
	}
}

func (f *forwarded) checkRan(t reporter, r *recorder) {
	t.Helper()
	ran, sent := r.ran, f.command
	if ran.Kind != sent.Kind || ran.ID != sent.ID || ran.Text != sent.Text || ran.After != sent.After || ran.Insist != sent.Insist || ran.Priority != sent.Priority || ran.Anyone != sent.Anyone {
		t.Fatalf("ran %+v, sent %+v", ran, sent)
	}
	if r.customer != sent.Customer || ran.Customer != sent.Customer {
		t.Fatalf("ran on a connection of %q for %q, sent for %q", r.customer, ran.Customer, sent.Customer)
	}
	if ran.Useful <= 0 || sent.Useful > 0 && ran.Useful > sent.Useful {
		t.Fatalf("useful for %v, sent with %v", ran.Useful, sent.Useful)
	}
	if len(r.values) != 1 || r.values[f.name] != f.value {
		t.Fatalf("ran with the values %.300q, set was %.100q to %.300q", r.values, f.name, f.value)
	}
	if sent.Kind == target.Execute && r.prepared != f.shape {
		t.Fatalf("ran the prepared %+v, sent was %+v", r.prepared, f.shape)
	}
}

// oddTexts are texts that a codec may cut, trim or take for something else; the lengths are those at which the encoding
// of a length changes.
var oddTexts = []string{
	"", " ", "  ", "a ", " a", "\t", "\r", "\x00", "a\x00", "\xff\xfe", "\xc0", "\x90", "\x80", "nil", "-", "EXEC p ", "EXEC p  x ", "ü\u00a0",
	strings.Repeat("x", 31), strings.Repeat("x", 32), strings.Repeat("x", 255), strings.Repeat("y", 256), strings.Repeat(" ", 1<<16-1), strings.Repeat("z", 1<<16), strings.Repeat("w ", 1<<19),
}

func anyText() *rapid.Generator[string] {
	return rapid.OneOf(
		rapid.SampledFrom(oddTexts),
		rapid.String(),
		rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 100), func(b []byte) string { return string(b) }),
	)
}

func anyUint64() *rapid.Generator[uint64] {
	return rapid.OneOf(rapid.Uint64(), rapid.SampledFrom([]uint64{0, 1, 127, 128, 1<<32 - 1, 1 << 32, 1<<63 - 1, 1 << 63, 1<<64 - 1}))
}

func anyPosition() *rapid.Generator[position.Position] {
	return rapid.Custom(func(t *rapid.T) position.Position {
		return position.Position{Term: anyUint64().Draw(t, "term"), Index: anyUint64().Draw(t, "index")}
	})
}

// anyFailure returns a failure, or nil. Refusals for load make the holder's pool hold requests back.
func anyFailure() *rapid.Generator[*result.Error] {
	codes := []result.Code{result.TargetFailed, result.BadProtocol, result.UnknownStatement, result.ReplicaBehind, result.TermRefused, result.Internal, 4711}
	return rapid.Custom(func(t *rapid.T) *result.Error {
		if rapid.Bool().Draw(t, "success") {
			return nil
		}
		return &result.Error{
			Code:       rapid.SampledFrom(codes).Draw(t, "code"),
			Ran:        rapid.SampledFrom([]result.Ran{result.NotRun, result.Unknown, result.Done}).Draw(t, "ran"),
			RetryAfter: time.Duration(rapid.Int64Min(0).Draw(t, "retry after")),
			Detail:     anyText().Draw(t, "detail"),
		}
	})
}

func anyRows() *rapid.Generator[[]string] {
	return rapid.OneOf(
		rapid.Just([]string(nil)), rapid.Just([]string{}), rapid.Just([]string{""}),
		rapid.SliceOfN(anyText(), 1, 4),
		rapid.Map(rapid.SampledFrom([]int{15, 16, 1<<16 - 1, 1 << 16}), func(n int) []string { return make([]string, n) }),
	)
}

func anyForwarded() *rapid.Generator[*forwarded] {
	return rapid.Custom(func(t *rapid.T) *forwarded {
		return &forwarded{
			command: target.Command{
				Kind:     rapid.SampledFrom([]target.CommandKind{target.Caller, target.Execute}).Draw(t, "kind"),
				ID:       anyText().Draw(t, "id"),
				Text:     anyText().Draw(t, "text"),
				Name:     anyText().Draw(t, "statement"),
				Value:    anyText().Draw(t, "arguments"),
				Priority: rapid.IntRange(0, 9).Draw(t, "priority"),
				Useful:   time.Duration(rapid.Int64Min(0).Draw(t, "useful")),
				Insist:   rapid.Bool().Draw(t, "insist"),
				Customer: topology.CustomerID(rapid.SampledFrom([]string{"", "a", "a "}).Draw(t, "customer")),
				After:    anyPosition().Draw(t, "after"),
			},
			name: anyText().Draw(t, "name"), value: anyText().Draw(t, "value"),
			shape: statement.Prepared{Shape: anyText().Draw(t, "shape"), Writes: rapid.Bool().Draw(t, "writes")},
			answer: statement.Answer{
				Rows: anyRows().Draw(t, "rows"), Digest: anyText().Draw(t, "digest"), Failure: anyFailure().Draw(t, "failure"),
				State: statement.Idle, Position: anyPosition().Draw(t, "position"),
			},
		}
	})
}

// Guards against a part of a statement or of its answer that changes on the way through a holder.
func TestAStatementAndItsAnswerAreUnchangedThroughAHolder(t *testing.T) {
	r := &recorder{}
	driver, _ := startHolderOf(t, r, nil, 3)
	rapid.Check(t, func(t *rapid.T) { anyForwarded().Draw(t, "statement").play(t, driver, r) })
}

// FuzzForward guards against the same for any bytes.
func FuzzForward(f *testing.F) {
	for i, text := range oddTexts {
		other := oddTexts[(i+7)%len(oddTexts)]
		f.Add("id"+other, "text"+text, other, text, text, other, i%2 == 0, uint64(i), int64(i))
		f.Add(other, text, text, other, text, other, i%2 == 0, uint64(i)<<60, int64(i)<<50)
	}
	r := &recorder{}
	driver, _ := startHolderOf(f, r, nil, 3)
	f.Fuzz(func(t *testing.T, id, text, name, value, row, detail string, executes bool, number uint64, after int64) {
		s := &forwarded{
			command: target.Command{ID: id, Text: text, Name: name, Value: value, After: position.Position{Term: number, Index: number / 2}},
			name:    value, value: name, shape: statement.Prepared{Shape: row, Writes: number%2 == 0},
			answer: statement.Answer{Rows: []string{row, detail, ""}, Digest: name, State: statement.Idle, Position: position.Position{Term: number / 3, Index: number}},
		}
		if executes {
			s.command.Kind = target.Execute
			s.answer.Failure = &result.Error{Code: result.TargetFailed, Ran: result.Done, RetryAfter: time.Duration(after), Detail: detail}
		}
		s.play(t, driver, r)
	})
}
