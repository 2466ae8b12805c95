package entry

import (
	"strings"
	"testing"

	"github.com/buckthornshore/buckthornshore/internal/pgwire"
)

// FuzzParseLocal: what is taken comes off the front of the text; a plain SET that
// is made of any value gives that value back.
func FuzzParseLocal(f *testing.F) {
	f.Add("set buckthornshore.class = 'a''b'; select 1", "x")
	f.Add("SET SESSION Buckthornshore.token TO abc", "it's")
	f.Add("select buckthornshore.outcome('id')", ";")
	f.Add("reset buckthornshore.class; show buckthornshore.class;", "'")
	f.Fuzz(func(t *testing.T, sql, value string) {
		l, rest, ok := parseLocal(sql)
		if !strings.HasSuffix(sql, rest) || ok && len(rest) == len(sql) {
			t.Fatalf("%q left of %q", rest, sql)
		}
		if ok && l.tag() == "" {
			t.Fatal("a statement without a tag")
		}
		l, rest, ok = parseLocal("set buckthornshore.class = '" + strings.ReplaceAll(value, "'", "''") + "'")
		if !ok || rest != "" || l.value != value {
			t.Fatalf("%q became %q, rest %q", value, l.value, rest)
		}
	})
}

// FuzzSplice: the caller's answer holds the target's frames in their order, but
// for the injected ones, and each own answer at most once.
func FuzzSplice(f *testing.F) {
	f.Add([]byte("1\x00\x00\x00\x04Z\x00\x00\x00\x05I"), []byte{2, 0x82, 0})
	f.Add([]byte("E\x00\x00\x00\x05\x00Z\x00\x00\x00\x05I"), []byte{0, 2, 3})
	f.Add([]byte("2\x00\x00\x00\x04C\x00\x00\x00\x05\x00"), []byte{3, 5, 0, 0})
	f.Fuzz(func(t *testing.T, messages, plan []byte) {
		const injected = 0x80
		var u unit
		own := 0
		for _, b := range plan {
			st := step{kind: stepKind(b % 7), injected: b&injected != 0}
			if st.kind == stepLocal {
				st.reply, st.injected = []byte{'n', 0, 0, 0, 4}, false
				own++
			}
			u.steps = append(u.steps, st)
		}
		out, answered, err := u.splice(messages)
		if answered > len(u.steps) {
			t.Fatalf("%d of %d steps answered", answered, len(u.steps))
		}
		if err == nil && pgwire.Split(out, func(pgwire.Frame) error { return nil }) != nil {
			t.Fatal("the answer is not made of frames")
		}
		if len(out) > len(messages)+own*5 {
			t.Fatal("an own answer came twice")
		}
	})
}
