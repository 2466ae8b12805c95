package lease_test

import (
	"errors"
	"testing"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

func member(id string) lease.Member {
	return lease.Member{ID: topology.TargetID(id), Registration: id, Address: "address-" + id}
}

// answer is that of a registered target.
func answer(id string, term, index uint64) lease.Answer {
	return lease.Answer{Member: member(id), Received: position.Position{Term: term, Index: index}, Registered: true}
}

// changed applies changes to an answer.
func changed(a lease.Answer, change func(*lease.Answer)) lease.Answer {
	change(&a)
	return a
}

func leads(a *lease.Answer)        { a.Leads = true }
func leaves(a *lease.Answer)       { a.Leaving = true }
func unregistered(a *lease.Answer) { a.Registered = false }

// successorOf returns a change to a target at the address of another one.
func successorOf(id string) func(*lease.Answer) {
	return func(a *lease.Answer) { a.Address = member(id).Address }
}

// startedAgain returns a change to the next start of a target, without its log.
func startedAgain(id string) func(*lease.Answer) {
	return func(a *lease.Answer) { a.Address, a.Registration = member(id).Address, id }
}

// Guards against a next primary that lacks an acknowledged commit, and against a group without a primary although enough
// targets answer. The row's primary is a.
func TestTheNextPrimaryHoldsAllAcknowledgedCommits(t *testing.T) {
	three := []lease.Member{member("a"), member("b"), member("c")}
	leaving := []lease.Member{member("a"), member("b"), member("c")}
	leaving[0].Leaving = true
	for _, c := range []struct {
		name    string
		members []lease.Member
		answers []lease.Answer
		want    topology.TargetID
		err     error
	}{
		{name: "both replicas answer", members: three, answers: []lease.Answer{answer("b", 1, 9), answer("c", 1, 7)}, want: "b"},
		{name: "one replica is silent", members: three, answers: []lease.Answer{answer("c", 1, 7)}, err: lease.ErrTooFewAnswers},
		{name: "nobody answers", members: three, err: lease.ErrTooFewAnswers},
		{
			name: "the primary holds more than the replica that answers", members: three,
			answers: []lease.Answer{answer("a", 2, 9), answer("c", 1, 7)}, err: lease.ErrCommitsMissing,
		},
		{
			name: "the primary alone holds a commit, which it can't have acknowledged", members: three,
			answers: []lease.Answer{answer("a", 1, 10), answer("b", 1, 9), answer("c", 1, 7)}, want: "b",
		},
		{
			name: "the replica that holds the commits is not registered", members: three,
			answers: []lease.Answer{changed(answer("b", 1, 9), unregistered), answer("c", 1, 7)}, err: lease.ErrCommitsMissing,
		},
		{
			name: "the replica that holds the commits is leaving", members: three,
			answers: []lease.Answer{changed(answer("b", 1, 9), leaves), answer("c", 1, 7)}, want: "b",
		},
		{
			name: "it is leaving, and the primary answers", members: three,
			answers: []lease.Answer{answer("a", 1, 9), changed(answer("b", 1, 9), leaves), answer("c", 1, 7)}, err: lease.ErrCommitsMissing,
		},
		{
			name: "a successor has the log of a primary that left", members: leaving,
			answers: []lease.Answer{answer("c", 1, 7), changed(answer("d", 1, 9), successorOf("a"))}, want: "d",
		},
		{
			name: "another target uses the address of a primary that crashed", members: three,
			answers: []lease.Answer{answer("c", 1, 7), changed(answer("d", 1, 7), successorOf("a"))}, err: lease.ErrTooFewAnswers,
		},
		{
			name: "a primary that was leaving has started again without its log", members: leaving,
			answers: []lease.Answer{answer("c", 1, 7), changed(answer("a2", 0, 0), startedAgain("a"))}, err: lease.ErrTooFewAnswers,
		},
		{
			name: "the primary leads under another name", members: append(three, member("d")),
			answers: []lease.Answer{changed(answer("d", 1, 9), leads)}, want: "d",
		},
		{
			name: "a fourth target may hold a commit", members: append(three, member("d")),
			answers: []lease.Answer{answer("b", 1, 9), answer("c", 1, 7)}, err: lease.ErrTooFewAnswers,
		},
		{name: "two members", members: three[:2], answers: []lease.Answer{answer("b", 1, 9)}, want: "b"},
	} {
		row := firstRow().WithQuorum(lease.NewQuorum(1, c.members))
		row.Term = 1
		e := lease.Evidence{Row: row, Answers: c.answers}
		i, err := e.Choose()
		if !errors.Is(err, c.err) || err == nil && e.Answers[i].ID != c.want {
			t.Errorf("%s: answer %d of %+v, error %v", c.name, i, c.answers, err)
		}
	}
}

// Guards against a group without a primary, if commits do not wait for replicas: the best replica that answers leads.
func TestWithoutAQuorumTheBestReplicaLeads(t *testing.T) {
	e := lease.Evidence{Row: firstRow(), Answers: []lease.Answer{answer("a", 2, 9), changed(answer("b", 1, 9), leaves), answer("c", 1, 7)}}
	if i, err := e.Choose(); err != nil || e.Answers[i].ID != "c" {
		t.Errorf("answer %d, error %v", i, err)
	}
	e.Answers = e.Answers[:2]
	if _, err := e.Choose(); !errors.Is(err, lease.ErrNoReplica) {
		t.Errorf("error %v", err)
	}
}

// Guards against a member that is removed although it may hold a commit that only the primary holds as well, and against
// one that stays for good.
func TestAMemberIsRemovedOnceTheOthersHoldItsCommits(t *testing.T) {
	q := lease.NewQuorum(1, []lease.Member{member("a"), member("b"), member("c")})
	gone := []lease.Member{member("b")}
	for _, c := range []struct {
		name    string
		answers []lease.Answer
		want    bool
	}{
		{"the others hold all", []lease.Answer{changed(answer("a", 1, 9), leads), answer("c", 1, 9)}, true},
		{"the other replica holds less", []lease.Answer{changed(answer("a", 1, 9), leads), answer("c", 1, 7)}, false},
		{"the other replica is silent", []lease.Answer{changed(answer("a", 1, 9), leads)}, false},
		{"the primary does not lead", []lease.Answer{answer("a", 1, 9), answer("c", 1, 9)}, false},
		{"only the member itself holds all", []lease.Answer{changed(answer("a", 1, 9), leads), answer("b", 1, 9)}, false},
	} {
		left, proven := q.Without(gone, "a", c.answers)
		if proven != c.want || proven && len(left.Members) != 2 {
			t.Errorf("%s: %+v, proven %v", c.name, left, proven)
		}
	}
}
