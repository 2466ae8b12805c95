package entry

import (
	"bytes"
	"context"
	"net"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/jackc/pgx/v5/pgproto3"
	"pgregory.net/rapid"

	"github.com/buckthornshore/buckthornshore/internal/peers"
	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/result"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
	"github.com/buckthornshore/buckthornshore/rpc/peerpb"
)

// unitServer returns an entry whose configuration is of the defaults.
func unitServer(t testing.TB) *Server {
	t.Helper()
	const document = `{
  "data_centres": [{"name": "a", "region": "r"}],
  "members": [{"name": "m", "max_sessions": 10, "max_requests": 10}],
  "services": [{"member": "m", "name": "s"}],
  "groups": [{"service": "s", "name": "g", "targets": [{"id": "db-a", "data_centre": "a", "address": "127.0.0.1:5432", "slots": 1, "connections": 4}]}],
  "classes": [{"service": "s", "name": "r", "kind": "read"}],
  "presets": [{"name": "ordinary"}],
}`
	doc, problems := config.Parse("document", []byte(document))
	if err := config.Err(problems); err != nil {
		t.Fatal(err)
	}
	conf, err := config.Effective(doc, config.OrdinaryPreset)
	if err != nil {
		t.Fatal(err)
	}
	v := view.New(topology.VM{ID: "vm-1", DataCentre: "a", Incarnation: 1}, mono.System{})
	v.SetConfig(conf)
	return New(Options{View: v, Clock: mono.System{}})
}

type failer interface {
	Helper()
	Fatalf(format string, args ...any)
}

// bytesOf returns messages as a caller sends them.
func bytesOf(t failer, messages ...pgproto3.FrontendMessage) []byte {
	t.Helper()
	var out []byte
	for _, m := range messages {
		var err error
		if out, err = m.Encode(out); err != nil {
			t.Fatalf("%v", err)
		}
	}
	return out
}

// sentFor returns what an entry sends a target for the bytes of one unit of a caller.
func sentFor(t failer, server *Server, raw []byte) []byte {
	t.Helper()
	s := &callerSession{server: server, backend: pgproto3.NewBackend(bytes.NewReader(raw), nil)}
	s.backend.SetMaxBodyLen(server.o.View.Config().Limits().MessageBytes)
	for {
		m, err := s.backend.Receive()
		if err != nil {
			t.Fatalf("%v", err)
		}
		if s.unit.add(s, m) {
			break
		}
	}
	if s.unit.failure != nil {
		t.Fatalf("refused: %+v", s.unit.failure)
	}
	return s.unit.messages
}

// oddSQL is data that a codec may cut, trim or take for something else.
var oddSQL = []string{
	"", " ", "select 1 ", " select 1;  ", "\tselect\r\n'a '\n", "select '\xff\xfe'", "select 'buckthornshoreX'", "-- comment", "select $1;;", strings.Repeat("x ", 1<<16),
	"set buckthornshore", "select '\\'' ' '", "n\u00e4me",
}

func anySQL() *rapid.Generator[string] {
	withoutNUL := func(b []byte) string { return strings.ReplaceAll(string(b), "\x00", "") }
	return rapid.OneOf(rapid.SampledFrom(oddSQL), rapid.Map(rapid.SliceOfN(rapid.Byte(), 0, 200), withoutNUL))
}

func anyName() *rapid.Generator[string] {
	long := []string{strings.Repeat("n", 63), strings.Repeat("n", 64), strings.Repeat("n", 64) + "x", strings.Repeat("n", 64) + "y", " ", "p ", ""}
	return rapid.OneOf(rapid.SampledFrom(long), anySQL())
}

// anyParameters returns parameters, of which NULL, an empty one and one of NUL bytes are different.
func anyParameters() *rapid.Generator[[][]byte] {
	one := rapid.OneOf(
		rapid.SampledFrom([][]byte{nil, {}, {0}, []byte(" "), []byte("a "), bytes.Repeat([]byte{0}, 1000)}),
		rapid.SliceOfN(rapid.Byte(), 0, 50),
	)
	return rapid.SliceOfN(one, 0, 5)
}

// Guards against a text that reaches a target other than its caller wrote it.
func TestAQueryIsSentUnchanged(t *testing.T) {
	server := unitServer(t)
	rapid.Check(t, func(t *rapid.T) {
		sql := anySQL().Draw(t, "sql")
		if mentionsOptions(sql) {
			t.Skip()
		}
		raw := bytesOf(t, &pgproto3.Query{String: sql})
		if sent := sentFor(t, server, raw); !bytes.Equal(sent, raw) {
			t.Fatalf("sent %.300q for %.300q", sent, raw)
		}
	})
}

// Guards against an empty query that ends in options, or a text after them that is changed.
func TestTheTextAfterOptionsIsSentUnchanged(t *testing.T) {
	server := unitServer(t)
	for sql, want := range map[string]string{
		"set buckthornshore.class = 'a '; select 'b '  ":     "select 'b '  ",
		"reset buckthornshore.class;select  1;  select 2 ; ": "select  1;  select 2 ; ",
	} {
		if sent := sentFor(t, server, bytesOf(t, &pgproto3.Query{String: sql})); !bytes.Equal(sent, bytesOf(t, &pgproto3.Query{String: want})) {
			t.Errorf("sent %q for %q", sent, sql)
		}
	}
}

// Guards against a parameter, portal, type or format that changes on the way to a target, and against two statements
// whose names have the same beginning and that are taken for each other. The statement's name is replaced by the
// target's unnamed statement.
func TestAPreparedStatementIsSentUnchanged(t *testing.T) {
	server := unitServer(t)
	rapid.Check(t, func(t *rapid.T) {
		names := rapid.SliceOfNDistinct(anyName(), 2, 2, rapid.ID[string]).Draw(t, "names")
		texts := []string{anySQL().Draw(t, "first"), anySQL().Draw(t, "second")}
		if mentionsOptions(texts[0]) || mentionsOptions(texts[1]) {
			t.Skip()
		}
		types := rapid.SliceOfN(rapid.Uint32(), 0, 4).Draw(t, "types")
		portal := anyName().Draw(t, "portal")
		bind := pgproto3.Bind{
			DestinationPortal: portal, PreparedStatement: names[0], ParameterFormatCodes: rapid.SliceOfN(rapid.Int16(), 0, 3).Draw(t, "formats"),
			Parameters: anyParameters().Draw(t, "parameters"), ResultFormatCodes: rapid.SliceOfN(rapid.Int16(), 0, 3).Draw(t, "result formats"),
		}
		if len(portal)+len(names[0]) > 1<<10 {
			t.Skip()
		}
		rest := []pgproto3.FrontendMessage{
			&pgproto3.Describe{ObjectType: 'P', Name: portal}, &pgproto3.Execute{Portal: portal, MaxRows: rapid.Uint32().Draw(t, "rows")},
			&pgproto3.Close{ObjectType: 'P', Name: portal}, &pgproto3.Sync{},
		}
		parses := func(first, second string) []pgproto3.FrontendMessage {
			return []pgproto3.FrontendMessage{
				&pgproto3.Parse{Name: first, Query: texts[0], ParameterOIDs: types}, &pgproto3.Parse{Name: second, Query: texts[1]},
			}
		}
		raw := bytesOf(t, append(append(parses(names[0], names[1]), &bind), rest...)...)
		unnamed := bind
		unnamed.PreparedStatement = ""
		// The second Parse has replaced the target's unnamed statement.
		again := &pgproto3.Parse{Query: texts[0], ParameterOIDs: types}
		want := bytesOf(t, append(append(parses("", ""), again, &unnamed), rest...)...)
		if sent := sentFor(t, server, raw); !bytes.Equal(sent, want) {
			t.Fatalf("sent %.500q, want %.500q", sent, want)
		}
	})
}

// recordingPooler records what an entry sends.
type recordingPooler struct {
	peerpb.Pooler
	request *peerpb.ExecuteRequest
}

func (p *recordingPooler) Execute(_ context.Context, r *peerpb.ExecuteRequest) (*peerpb.ExecuteResponse, error) {
	p.request = r
	return &peerpb.ExecuteResponse{HopId: r.HopId, Messages: r.Messages}, nil
}

// Guards against messages and answers that change on the way between two VMs, and against options that can't be sent to
// another VM: the failed call counted as a failure of the target, so that a caller could have a healthy one avoided.
func TestARequestIsSentUnchangedBetweenVMs(t *testing.T) {
	pooler := &recordingPooler{}
	listener := httptest.NewServer(peerpb.NewPoolerServer(pooler))
	defer listener.Close()
	server := unitServer(t)
	server.o.Peers = peers.NewTable(&net.Dialer{}, server.o.View, mono.System{})
	d := destination{target: "db-a", pooler: topology.VM{ID: "vm-2", PeerAddress: listener.Listener.Addr().String()}}
	ctx, cancel := context.WithTimeout(t.Context(), 10*time.Second)
	defer cancel()
	messages := [][]byte{{}, {0}, []byte("a "), []byte("\xff\xfe\x00"), bytes.Repeat([]byte("x "), 2<<20)}
	for _, value := range []string{"", " ", "a ", "it's", "ü", "\x01", strings.Repeat("x", maxOptionValue), "\xff", "a\xc3", strings.Repeat("x", maxOptionValue+1)} {
		s := &callerSession{server: server, session: &session.Session{}}
		failure := s.options.set("request_id", value)
		if failure == nil {
			failure = s.options.set("session", value)
		}
		if failure != nil {
			if failure.Code != result.BadOption || failure.Ran != result.NotRun {
				t.Errorf("%.20q: %v", value, failure)
			}
			continue
		}
		for _, m := range messages {
			resp, failure := s.hop(ctx, &request{session: s, group: "s/g", messages: m, syncs: 1}, d, false)
			if failure != nil {
				t.Errorf("%.20q: %v", value, failure)
				continue
			}
			if got := pooler.request; got.CallerRequestId != value || got.Session != value || !bytes.Equal(got.Messages, m) || !bytes.Equal(resp.Messages, m) {
				t.Errorf("%.20q: %.100q %.100q, sent %.100q", value, got.CallerRequestId, got.Messages, m)
			}
		}
	}
}
