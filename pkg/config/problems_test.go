package config_test

import (
	"bytes"
	"encoding/json"
	"fmt"
	"reflect"
	"strings"
	"testing"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/result"
)

// validLines is a small valid document. Tests replace single lines of it.
var validLines = []string{
	`{ "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],`,
	`  "members": [{"name": "m"}],`,
	`  "services": [{"member": "m", "name": "s"}],`,
	`  "groups": [{"service": "s", "name": "g", "targets": [`,
	`    {"id": "t1", "data_centre": "a", "address": "127.0.0.1:1"},`,
	`    {"id": "t2", "data_centre": "b", "address": "127.0.0.1:2"},`,
	`  ]}],`,
	`  "classes": [{"service": "s", "name": "read", "kind": "read"},`,
	`    {"service": "s", "name": "write", "kind": "write"}],`,
	`  "presets": [{"name": "ordinary"}],`,
	`}`,
}

// withLine returns the small document with one line replaced, counted from 1.
func withLine(line int, text string) []byte {
	lines := append([]string(nil), validLines...)
	lines[line-1] = text
	return []byte(strings.Join(lines, "\n"))
}

func texts(problems []config.Problem) []string {
	out := []string{}
	for _, p := range problems {
		out = append(out, p.String())
	}
	return out
}

var _ = DescribeTable("A problem is reported with its position and what is allowed",
	func(line int, text string, want ...string) {
		doc, problems := config.Parse("f", withLine(line, text))
		Expect(doc).To(BeNil())
		Expect(texts(problems)).To(Equal(want))
		Expect(result.From(config.Err(problems)).Code).To(Equal(result.ConfigInvalid))
	},
	Entry("a misspelt key", 2, `  "members": [{"name": "m", "wieght": 2}],`,
		`f:2:29: error: members[0].wieght: unknown key "wieght"; allowed: name, weight, max_sessions, max_requests (did you mean "weight"?)`),
	Entry("a key given twice", 2, `  "members": [{"name": "m", "name": "n"}],`,
		`f:2:29: error: members[0].name: key "name" is given twice; allowed: once`),
	Entry("a missing key", 3, `  "services": [{"member": "m", "name": "s"}, {"name": "x"}],`,
		`f:3:46: error: services[1]: key "member" is missing; allowed: it is required`,
		`f:3:55: error: services[1].name: service "x" has no group; allowed: at least one entry in groups`),
	Entry("a wrong unit", 8, `"classes": [{"service": "s", "name": "read", "kind": "read", "staleness": "5 sec"},`,
		`f:8:75: error: classes[0].staleness: "5 sec" is not a duration; allowed: a string with a unit: ns, us, ms, s, m or h, such as "250ms"`),
	Entry("a duration without a unit", 8, `"classes": [{"service": "s", "name": "read", "kind": "read", "staleness": 5},`,
		`f:8:75: error: classes[0].staleness: is a number; allowed: a string with a unit: ns, us, ms, s, m or h, such as "250ms"`),
	Entry("a number with a fraction", 2, `  "members": [{"name": "m", "weight": 1.5}],`,
		`f:2:39: error: members[0].weight: 1.5 is not a whole number of 32 bits; allowed: a whole number, without a unit`),
	Entry("a wrong type", 2, `  "members": {"name": "m"},`,
		`f:2:14: error: members: is an object; allowed: a list`,
		`f:3:27: error: services[0].member: there is no member "m"; allowed: none is declared`),
	Entry("a reference to a name that is not declared", 3, `  "services": [{"member": "n", "name": "s"}],`,
		`f:3:27: error: services[0].member: there is no member "n"; allowed: m`),
	Entry("an empty reference", 3, `  "services": [{"member": "", "name": "s"}],`,
		`f:3:27: error: services[0].member: there is no member ""; allowed: m`),
	Entry("a duplicate target and address", 6, `    {"id": "t1", "data_centre": "b", "address": "127.0.0.1:1"},`,
		`f:6:12: error: groups[0].targets[1].id: target "t1" is declared twice; allowed: one declaration; the first is groups[0].targets[0].id`,
		`f:6:49: error: groups[0].targets[1].address: address 127.0.0.1:1 is given twice; allowed: one target an address; the first is groups[0].targets[0].address`),
	Entry("a host name for an address", 6, `    {"id": "t2", "data_centre": "b", "address": "db.example:5432"},`,
		`f:6:49: error: groups[0].targets[1].address: "db.example:5432" is not an address; allowed: an IP number and a port, such as "10.0.0.5:5432"`),
	Entry("more slots than connections", 6, `    {"id": "t2", "data_centre": "b", "address": "127.0.0.1:2", "slots": 9, "connections": 8},`,
		`f:6:73: error: groups[0].targets[1].slots: 9 slots can't be used over 8 connections; allowed: at most as many slots as connections`),
	Entry("a deadline of zero", 8, `"classes": [{"service": "s", "name": "read", "kind": "read", "deadline": "0s"},`,
		`f:8:74: error: classes[0].deadline: 0s is out of bounds; allowed: 1ms to 24h`),
	Entry("an unknown kind", 8, `"classes": [{"service": "s", "name": "read", "kind": "raed"},`,
		`f:8:54: error: classes[0].kind: "raed" is not a value of this key; allowed: read, write (did you mean "read"?)`),
	Entry("a read class that is not repeatable", 8, `"classes": [{"service": "s", "name": "read", "kind": "read", "repeatable": false},`,
		`f:8:76: error: classes[0].repeatable: a read class is always repeatable; allowed: leave the key out, or true`),
	Entry("a write class with staleness", 9, `{"service": "s", "name": "write", "kind": "write", "staleness": "1s"}],`,
		`f:9:65: error: classes[1].staleness: a write class has no staleness; allowed: read classes only`),
	Entry("a preset that overrides an unknown class", 10, `"presets": [{"name": "ordinary", "classes": [{"service": "s", "class": "wirte", "priority": "urgent"}]}],`,
		`f:10:72: error: presets[0].classes[0].class: there is no class of service s "wirte"; allowed: read, write (did you mean "write"?)`),
	Entry("no ordinary preset", 10, `  "presets": [{"name": "peak"}],`,
		`f:10:14: error: presets: there is no preset "ordinary"; allowed: it is in force until an operator switches`),
	Entry("text that is not JSON", 10, `  "presets": [{"name": }],`,
		`f:10:24: error: : hujson: line 10, column 24: invalid character '}' at start of value; allowed: JSON with comments`),
)

var _ = Describe("Parse", func() {
	It("fills in defaults", func() {
		doc, problems := config.Parse("f", withLine(1, validLines[0]))
		Expect(problems).To(BeEmpty())
		Expect(doc.Groups[0].Targets[0].Slots).To(Equal(config.DefaultSlots))
		Expect(doc.Limits.DrainTime).To(Equal(config.DefaultDrainTime))
		Expect(doc.Classes[0].Repeatable).To(BeTrue(), "a read class is repeatable by default")
		Expect(doc.Classes[1].Repeatable).To(BeFalse(), "a write class is not repeatable by default")
	})

	It("rejects a group whose targets are all leaving and accepts one with a target that stays", func() {
		leaving := func(raw []byte, id string) []byte {
			return bytes.Replace(raw, []byte(`"id": "`+id+`"`), []byte(`"leaving": true, "id": "`+id+`"`), 1)
		}
		doc, problems := config.Parse("f", leaving(withLine(1, validLines[0]), "t1"))
		Expect(problems).To(BeEmpty())
		Expect(doc.Groups[0].Targets[0].Leaving).To(BeTrue())
		_, problems = config.Parse("f", leaving(leaving(withLine(1, validLines[0]), "t1"), "t2"))
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].String()).To(ContainSubstring("every target of the group is leaving"))
	})

	It("reports all problems at once, in the order of the file", func() {
		_, problems := config.Parse("f", []byte(`{"limits": {"drain_time": 3},
			"extra": 1, "members": [{"name": "a b", "weight": 0}], "services": []}`))
		var places []string
		for _, p := range problems {
			places = append(places, fmt.Sprintf("%d %s", p.Line, p.Path))
		}
		Expect(places).To(Equal([]string{
			"1 ", "1 ", "1 ", "1 ", "1 limits.drain_time",
			"2 extra", "2 members[0].name", "2 members[0].weight",
		}))
	})

	It("rejects ack_waits_for_replica for a group with one target and warns of its single data centre", func() {
		text := strings.Join(validLines, "\n")
		text = strings.Replace(text, validLines[5]+"\n", "", 1)
		text = strings.Replace(text, `"kind": "write"`, `"kind": "write", "ack_waits_for_replica": true`, 1)
		doc, problems := config.Parse("f", []byte(text))
		Expect(doc).To(BeNil())
		Expect(problems).To(HaveLen(2))
		Expect(problems[0].Warning).To(BeTrue())
		Expect(problems[0].Line).To(Equal(4))
		Expect(problems[1].String()).To(HavePrefix(`f:8:81: error: classes[1].ack_waits_for_replica: a group of service "s" has 1 target`))
	})

	// An operator drains one of two targets. Writes that wait for a replica would
	// fail from then on, as no replica is left.
	It("rejects ack_waits_for_replica when the only replica is leaving", func() {
		text := strings.Join(validLines, "\n")
		text = strings.Replace(text, `{"id": "t2"`, `{"leaving": true, "id": "t2"`, 1)
		text = strings.Replace(text, `"kind": "write"`, `"kind": "write", "ack_waits_for_replica": true`, 1)
		_, problems := config.Parse("f", []byte(text))
		Expect(problems).To(HaveLen(1))
		Expect(problems[0].Path).To(Equal("classes[1].ack_waits_for_replica"))
	})

	It("accepts a document with only warnings", func() {
		doc, problems := config.Parse("f", withLine(6, strings.Replace(validLines[5], `"b"`, `"a"`, 1)))
		Expect(doc).NotTo(BeNil())
		Expect(problems).To(HaveLen(1))
		Expect(config.Err(problems)).To(Succeed())
	})

	// The syntax parser recurses once for each opening bracket. Without a limit, a
	// file of nothing but brackets would end the process with a stack overflow.
	It("rejects deep nesting without a stack overflow", func() {
		for _, depth := range []int{100_000, 5_000_000} {
			doc, problems := config.Parse("f", []byte(strings.Repeat("[", depth)))
			Expect(doc).To(BeNil())
			Expect(problems).To(HaveLen(1))
		}
	})
})

func FuzzParse(f *testing.F) {
	f.Add([]byte(strings.Join(validLines, "\n")))
	f.Add([]byte(`{"members": [{"name": 1e3, "weight": -1}], /* c */ }`))
	f.Fuzz(func(t *testing.T, raw []byte) {
		doc, problems := config.Parse("f", raw)
		if (doc == nil) != config.HasErrors(problems) {
			t.Fatalf("document %v with problems %v", doc, problems)
		}
		if doc == nil {
			return
		}
		canonical, err := json.Marshal(doc)
		if err != nil {
			t.Fatal(err)
		}
		reparsed, problems := config.Parse("canonical", canonical)
		if config.HasErrors(problems) || !reflect.DeepEqual(doc, reparsed) {
			t.Fatalf("%s parses to a different document: %v", canonical, problems)
		}
	})
}
