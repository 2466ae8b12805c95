package load

import (
	"time"

	. "github.com/onsi/ginkgo/v2"
	. "github.com/onsi/gomega"

	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// Each check must pass a valid history and report a violation planted in it with
// the requests that prove it.

const group topology.GroupID = "quota-ledger/g1"

// at sets the times of a request, in milliseconds, and fills in its defaults.
func at(start, end int, r Record) Record {
	r.Sent = time.Duration(start) * time.Millisecond
	r.Done = time.Duration(end) * time.Millisecond
	r.Group = group
	if r.Outcome == "" {
		r.Outcome = Completed
	}
	if r.Mode == "" {
		r.Mode = Roaming
	}
	return r
}

func put(start, end int, value int64, outcome Outcome) Record {
	return at(start, end, Record{Operation: PutOwn, Key: "own", Value: value, Outcome: outcome, Waits: true})
}

func get(start, end int, value int64) Record {
	return at(start, end, Record{Operation: GetOwn, Key: "own", Value: value, AnswerKeys: []string{"own"}})
}

func final(values map[string]int64) FinalRows { return FinalRows{Values: values} }

var _ = Describe("The check of answers", func() {
	It("passes the requested row and an answer without rows", func() {
		none := at(1, 2, Record{Operation: GetOwn, Key: "own"})
		Expect(checkAnswers([]Record{get(1, 2, 1), none}).Count).To(BeZero())
	})

	It("finds the answer to another request and an answer with two rows", func() {
		crossed := at(1, 2, Record{Operation: GetOwn, Key: "own", AnswerKeys: []string{"other"}})
		doubled := at(1, 2, Record{Operation: GetOwn, Key: "own", AnswerKeys: []string{"own", "own"}})
		v := checkAnswers([]Record{crossed, doubled})
		Expect(v.Count).To(Equal(2))
		Expect(v.Violations[0].Requests).To(ConsistOf(crossed))
	})
})

var _ = Describe("The check of read-your-writes", func() {
	It("passes the newest write, also when the records are out of order", func() {
		v := checkReadOwn([]Record{get(30, 40, 2), put(10, 20, 2, Completed), put(0, 5, 1, Completed)})
		Expect(v.Count).To(BeZero())
		Expect(v.Checked).To(Equal(1))
	})

	It("passes a read with or without the effect of a write of unknown outcome", func() {
		Expect(checkReadOwn([]Record{put(0, 5, 1, Completed), put(6, 7, 2, Unknown), get(8, 9, 1), get(10, 11, 2)}).Count).To(BeZero())
	})

	It("finds a read of an older value", func() {
		stale := get(30, 40, 1)
		v := checkReadOwn([]Record{put(0, 5, 1, Completed), put(10, 20, 2, Completed), stale})
		Expect(v.Count).To(Equal(1))
		Expect(v.Violations[0].Requests).To(ContainElement(stale))
	})

	It("finds a read that misses a written row, and a read of a value never written", func() {
		Expect(checkReadOwn([]Record{put(0, 5, 1, Completed), get(10, 20, 0)}).Count).To(Equal(1))
		Expect(checkReadOwn([]Record{get(10, 20, 7)}).Count).To(Equal(1))
	})

	It("requires read-your-writes of an anonymous session on one connection only", func() {
		anonymous := func(r Record, epoch int) Record {
			r.Mode, r.Epoch = Anonymous, epoch
			return r
		}
		first, second := anonymous(put(0, 5, 1, Completed), 1), anonymous(put(10, 15, 2, Completed), 1)
		Expect(checkReadOwn([]Record{first, second, anonymous(get(20, 30, 1), 2)}).Count).To(BeZero())
		Expect(checkReadOwn([]Record{first, second, anonymous(get(20, 30, 1), 1)}).Count).To(Equal(1))
	})
})

var _ = Describe("The check of at most once", func() {
	add := func(o Outcome) Record {
		return at(0, 1, Record{Operation: Add, Key: "counter", Value: 1, Outcome: o})
	}
	records := []Record{add(Completed), add(Completed), add(Unknown), add(NotRun)}

	DescribeTable("allows a counter from the acknowledged to the possible requests",
		func(value int64, violations int) {
			Expect(checkOnce(records, final(map[string]int64{"counter": value})).Count).To(Equal(violations))
		},
		Entry("an acknowledged request was lost", int64(1), 1),
		Entry("the request of unknown outcome did not run", int64(2), 0),
		Entry("the request of unknown outcome ran", int64(3), 0),
		Entry("a request ran twice", int64(4), 1),
	)

	It("reports that a group could not be read back", func() {
		v := checkOnce(records, FinalRows{Unread: map[topology.GroupID]string{group: "no primary"}})
		Expect(v.Count).To(BeZero())
		Expect(v.Checked).To(BeZero())
		Expect(v.Unchecked).To(ContainSubstring("no primary"))
	})
})

var _ = Describe("The check of lost writes", func() {
	insert := func(waits bool) Record {
		return at(0, 1, Record{Operation: Insert, Key: "row", Value: 9, Waits: waits})
	}

	It("finds a missing row of a class that waits for a replica", func() {
		Expect(checkLost([]Record{insert(true)}, final(map[string]int64{"row": 9})).Count).To(BeZero())
		Expect(checkLost([]Record{insert(true)}, final(nil)).Count).To(Equal(1))
		Expect(checkLost([]Record{insert(false)}, final(nil)).Count).To(BeZero())
	})

	It("finds a key that holds a value older than the last acknowledged one", func() {
		records := []Record{put(0, 5, 1, Completed), put(10, 20, 2, Completed), put(30, 40, 3, Unknown)}
		Expect(checkLost(records, final(map[string]int64{"own": 3})).Count).To(BeZero())
		Expect(checkLost(records, final(map[string]int64{"own": 2})).Count).To(BeZero())
		Expect(checkLost(records, final(map[string]int64{"own": 1})).Count).To(Equal(1))
	})
})

var _ = Describe("The check of not run", func() {
	refused := put(0, 5, 1, NotRun)

	It("passes when the refused value is never read", func() {
		v := checkNotRun([]Record{refused, put(6, 7, 2, Completed), get(8, 9, 2)}, final(map[string]int64{"own": 2}))
		Expect(v.Count).To(BeZero())
		Expect(v.Checked).To(Equal(1))
	})

	It("finds the refused value in a read and in the final row", func() {
		Expect(checkNotRun([]Record{refused, get(8, 9, 1)}, final(nil)).Count).To(Equal(1))
		Expect(checkNotRun([]Record{refused}, final(map[string]int64{"own": 1})).Count).To(Equal(1))
	})
})

var _ = Describe("The check of linearizability", func() {
	write := func(start, end int, value int64, o Outcome) Record {
		return at(start, end, Record{Operation: PutShared, Key: "k", Value: value, Outcome: o})
	}
	read := func(start, end int, value int64, strict bool) Record {
		return at(start, end, Record{Operation: GetShared, Key: "k", Value: value, Strict: strict})
	}

	It("passes concurrent writes in any order, and a late effect of a write of unknown outcome", func() {
		records := []Record{
			write(0, 50, 1, Completed), write(0, 50, 2, Completed), write(0, 10, 3, Unknown),
			read(60, 70, 1, true), read(80, 90, 3, true),
		}
		v := checkLinear(records, 1)
		Expect(v.Count).To(BeZero())
		Expect(v.Checked).To(Equal(1))
	})

	It("finds an older value in a strict read, and passes it in a class that allows staleness", func() {
		history := func(strict bool) []Record {
			return []Record{write(0, 10, 1, Completed), write(20, 30, 2, Completed), read(40, 50, 1, strict), write(60, 70, 3, Completed)}
		}
		v := checkLinear(history(true), 1)
		Expect(v.Count).To(Equal(1))
		Expect(v.Violations[0].Requests[len(v.Violations[0].Requests)-1].Operation).To(Equal(GetShared))
		Expect(checkLinear(history(false), 1).Count).To(BeZero())
	})

	It("finds reads that alternate between two values", func() {
		records := []Record{
			write(0, 100, 1, Completed), write(0, 100, 2, Completed),
			read(10, 20, 1, true), read(30, 40, 2, true), read(50, 60, 1, true),
		}
		Expect(checkLinear(records, 1).Count).To(Equal(1))
	})
})
