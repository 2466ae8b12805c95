package entry

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
)

// FuzzParseLocal checks that a parsed statement is removed from the front of the
// text, and that a SET of any quoted value parses to that value.
func FuzzParseLocal(f *testing.F) {
	f.Add("set buckthornshore.class = 'a''b'; select 1", "x")
	f.Add("SET SESSION Buckthornshore.token TO abc", "it's")
	f.Add("select buckthornshore.outcome('id')", ";")
	f.Add("reset buckthornshore.class; show buckthornshore.class;", "'")
	f.Fuzz(func(t *testing.T, sql, value string) {
		l, rest, ok := parseLocal(sql)
		if !strings.HasSuffix(sql, rest) || ok && len(rest) == len(sql) {
			t.Fatalf("parsing left %q of %q", rest, sql)
		}
		if ok && l.tag() == "" {
			t.Fatal("the statement has no command tag")
		}
		l, rest, ok = parseLocal("set buckthornshore.class = '" + strings.ReplaceAll(value, "'", "''") + "'")
		if !ok || rest != "" || l.value != value {
			t.Fatalf("value %q was parsed as %q, with the rest %q", value, l.value, rest)
		}
	})
}

// FuzzSplice checks that the caller's answer consists of complete frames and holds
// each of the entry's own answers at most once.
func FuzzSplice(f *testing.F) {
	f.Add([]byte("1\x00\x00\x00\x04Z\x00\x00\x00\x05I"), []byte{2, 0x82, 0})
	f.Add([]byte("E\x00\x00\x00\x05\x00Z\x00\x00\x00\x05I"), []byte{0, 2, 3})
	f.Add([]byte("2\x00\x00\x00\x04C\x00\x00\x00\x05\x00"), []byte{3, 5, 0, 0})
	f.Fuzz(func(t *testing.T, messages, plan []byte) {
		const injected = 0x80
		var u unit
		localAnswers := 0
		for _, b := range plan {
			st := step{kind: stepKind(b % 7), injected: b&injected != 0}
			if st.kind == stepLocal {
				st.reply, st.injected = []byte{'n', 0, 0, 0, 4}, false
				localAnswers++
			}
			u.steps = append(u.steps, st)
		}
		out, answered, err := u.splice(messages)
		if answered > len(u.steps) {
			t.Fatalf("%d of %d steps answered", answered, len(u.steps))
		}
		if err == nil && pgwire.Split(out, func(pgwire.Frame) error { return nil }) != nil {
			t.Fatal("the answer does not consist of complete frames")
		}
		if len(out) > len(messages)+localAnswers*5 {
			t.Fatal("an answer of the entry appears twice")
		}
	})
}
