// Command embed shows how to use the decision packages without the daemons:
//
//   - It parses a configuration document and chooses a pooler for each target.
//   - The holder of the primary obtains the right to acknowledge a write.
//   - A session's token carries the position of the write to another entry.
//   - That entry chooses a replica for a read, and the replica's queue starts the
//     read when a slot is free.
//
// The example uses no network. It passes each message on by a function call
// where an embedder would use a transport.
package main

import (
	"fmt"
	"io"
	"math/rand/v2"
	"os"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/admission"
	"github.com/buckthornshore/buckthornshore/pkg/authority"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/membership"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/session"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const document = `{
  "data_centres": [{"name": "a", "region": "r"}, {"name": "b", "region": "r"}],
  "members": [{"name": "m", "max_sessions": 10, "max_requests": 10}],
  "services": [{"member": "m", "name": "s"}],
  "groups": [{"service": "s", "name": "g", "targets": [
    {"id": "db-a", "data_centre": "a", "address": "127.0.0.1:5432", "slots": 1, "connections": 4},
    {"id": "db-b", "data_centre": "b", "address": "127.0.0.1:5433", "slots": 1, "connections": 4},
  ]}],
  "classes": [{"service": "s", "name": "overview", "kind": "read", "staleness": "5s"}],
  "presets": [{"name": "ordinary"}],
}`

// The VMs of the example, one in each data centre.
var (
	vmA = topology.VM{ID: "vm-a", DataCentre: "a", Region: "r", Incarnation: 1}
	vmB = topology.VM{ID: "vm-b", DataCentre: "b", Region: "r", Incarnation: 1}
)

func main() {
	if err := run(os.Stdout); err != nil {
		fmt.Fprintln(os.Stderr, err)
		os.Exit(1)
	}
}

func run(out io.Writer) error {
	now := mono.Time(time.Hour) // Any reading of the embedder's monotonic clock.
	conf, err := configuration()
	if err != nil {
		return err
	}
	group := config.GroupID("s", "g")
	poolers := choosePoolers(conf, now)
	fmt.Fprintf(out, "poolers: db-a at %s, db-b at %s\n", poolers["db-a"], poolers["db-b"])

	row := authority.FirstRow(group, 1, "db-a", []topology.Promoter{
		{VM: vmB.ID, Incarnation: vmB.Incarnation, Replica: "db-b"},
	}, "create")
	if err := acknowledge(out, row, now); err != nil {
		return err
	}
	write := position.Position{Term: 1, Index: 7}
	floor, err := roam(row, write)
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the session's floor at another entry: %v\n", floor)
	return read(out, conf, row, floor, now)
}

func configuration() (*config.View, error) {
	doc, problems := config.Parse("embedded", []byte(document))
	if err := config.Err(problems); err != nil {
		return nil, err
	}
	return config.Effective(doc, config.OrdinaryPreset)
}

// choosePoolers returns the pooler that vm-a chooses for each target. Every VM
// with the same membership evidence makes the same choice.
func choosePoolers(conf *config.View, now mono.Time) map[topology.TargetID]topology.VMID {
	table := membership.NewTable(vmA, now)
	table.Observe(membership.Evidence{VM: vmB, Kind: membership.Answer, At: now})
	regions := map[topology.DataCentre]string{}
	for _, dc := range conf.DataCentres() {
		regions[dc.Name] = dc.Region
	}
	view := table.View(regions)
	poolers := map[topology.TargetID]topology.VMID{}
	for _, id := range []topology.TargetID{"db-a", "db-b"} {
		target, _ := conf.Target(id)
		poolers[id], _ = view.PoolerOf(id, target.DataCentre)
	}
	return poolers
}

// acknowledge obtains the right to acknowledge a write and confirms that the
// write may be acknowledged. It then shows that the right ends when heartbeats
// stay unanswered for longer than the lease.
func acknowledge(out io.Writer, row *topology.Group, now mono.Time) error {
	options := authority.DefaultOptions()
	holder := authority.NewHolder(vmA, options)
	promoter := authority.NewPromoter(vmB, options, rand.New(rand.NewPCG(1, 1)), now)
	holder.Serve(row.ID, row.Primary)
	promoter.SetReplica(row.ID, "db-b")
	holder.ObserveRow(authority.RowRead{Row: row, Began: now}, now)
	promoter.ObserveRow(authority.RowRead{Row: row, Began: now}, now)
	holder.ObservePromoted(row.ID, row.Term)
	for _, action := range holder.Tick(now) {
		if h, ok := action.(authority.SendHeartbeat); ok {
			holder.ObserveHeartbeat(h.To, promoter.HandleHeartbeat(h.Request, now), now)
		}
	}
	right, failure := holder.Right(row.ID, row.Term, now)
	if failure != nil {
		return failure
	}
	if failure := holder.Confirm(right, false, now); failure != nil {
		return failure
	}
	fmt.Fprintf(out, "the write may be acknowledged for %v\n", right.Until.Sub(now))
	unanswered := options.Lease + time.Second
	failure = holder.Confirm(right, false, now.Add(unanswered))
	fmt.Fprintf(out, "after %v without an answer it may not: %v\n", unanswered, failure != nil)
	return nil
}

// roam records a write in a session, opens the session at another entry with its
// token, and returns the position that a read must see there.
func roam(row *topology.Group, write position.Position) (position.Position, error) {
	ring, err := session.NewKeyRing(1, map[session.KeyID][]byte{1: make([]byte, session.MinKeyLength)})
	if err != nil {
		return position.Position{}, err
	}
	first, err := session.Open("clerk-1", session.NewToken, ring)
	if err != nil {
		return position.Position{}, err
	}
	first.Acknowledged(row.ID, write)
	token, err := first.Token(ring, 1)
	if err != nil {
		return position.Position{}, err
	}
	second, err := session.Open("clerk-1", token, ring)
	if err != nil {
		return position.Position{}, err
	}
	floor, err := second.ReadFloor(row)
	return floor.Position, err
}

// Samples older than maxSampleAge are dropped. Thinning of the others makes the
// shown age of a target's data at most ageResolution worse.
const (
	maxSampleAge  = time.Minute
	ageResolution = time.Second
)

// read chooses a target for a read and queues two requests for that target, which
// has one slot.
func read(out io.Writer, conf *config.View, row *topology.Group, floor position.Position, now mono.Time) error {
	freshness := routing.NewFreshness(maxSampleAge, ageResolution)
	freshness.SetGroup(row)
	freshness.AddSample(routing.Sample{Begun: now, Position: floor})
	freshness.RecordPosition("db-b", floor, now)
	class, _ := conf.Class("s", "overview")
	choice, err := routing.Choose(now, routing.Request{Staleness: class.Staleness.Std(), Floor: floor}, freshness,
		[]routing.Candidate{{Target: "db-a", Primary: true}, {Target: "db-b", SameDC: true}}, rand.New(rand.NewPCG(1, 1)))
	if err != nil {
		return err
	}
	fmt.Fprintf(out, "the read goes to %s\n", choice.Chosen)

	target, _ := conf.Target(choice.Chosen)
	queue := admission.NewQueue(admission.Limits{Slots: target.Slots, Queue: 10, ClassQueue: 10, MemberQueue: 10})
	for id := uint64(1); id <= 2; id++ {
		deadline := now.Add(class.Deadline.Std())
		if _, err := queue.Enqueue(now, admission.Request{ID: id, Member: "m", Class: class.Name, Deadline: deadline}); err != nil {
			return err
		}
	}
	started, _ := queue.Next(now)
	fmt.Fprintf(out, "started %d, waiting %d\n", len(started), queue.Waiting())
	return nil
}
