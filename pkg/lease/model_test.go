package lease_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"strconv"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The model has some VMs with one group, a store, and links that go down and up. All actions
// of the VMs happen in random order, restricted only by the rules that the package's caller
// keeps. At each promotion no VM may have the right for the former primary.
const (
	modelVMs   = 5
	modelSteps = 3000
	modelSeeds = 60
)

type modelVM struct {
	vm          topology.VM
	holder      *lease.Holder
	coordinator *lease.Coordinator
}

type model struct {
	random *rand.Rand
	now    mono.Time
	vms    []*modelVM
	store  *lease.Row
	// cut holds the links that are down, between two VMs or between a VM and the store.
	cut map[[2]int]bool
	// bug, if not nil, is an injected fault that changes a row before it is written.
	bug        func(*lease.Row) *lease.Row
	promotions int
}

const storeLink = -1

func newModel(seed uint64, bug func(*lease.Row) *lease.Row) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: second, cut: map[[2]int]bool{}, bug: bug}
	for i := range modelVMs {
		m.vms = append(m.vms, nil)
		m.startVM(i, 1)
	}
	m.write(0, &lease.Row{Group: "g", Version: 1, Term: 1, Primary: "t1", Coordinator: "vm-0", Incarnation: 1, Fence: 1, Witnesses: m.witnesses()})
	return m
}

func (m *model) startVM(i int, incarnation topology.Incarnation) {
	id := topology.VMID(fmt.Sprintf("vm-%d", i))
	m.vms[i] = &modelVM{
		vm: topology.VM{ID: id, Incarnation: incarnation}, holder: lease.NewHolder(), coordinator: lease.NewCoordinator(id, incarnation),
	}
}

func (m *model) witnesses() []topology.VMID {
	var ids []topology.VMID
	for _, v := range m.vms {
		ids = append(ids, v.vm.ID)
	}
	return ids
}

func (m *model) registered() []topology.VM {
	var all []topology.VM
	for _, v := range m.vms {
		all = append(all, v.vm)
	}
	return all
}

func (m *model) linked(i, j int) bool { return i == j || !m.cut[[2]int{min(i, j), max(i, j)}] }

func (m *model) index(id topology.VMID) int {
	for i, v := range m.vms {
		if v.vm.ID == id {
			return i
		}
	}
	return -1
}

// write commits a row if the writer reaches the store and the row follows the stored version.
func (m *model) write(i int, row *lease.Row) bool {
	if !m.linked(storeLink, i) || m.store != nil && m.store.Version != row.Version-1 {
		return false
	}
	if m.bug != nil {
		row = m.bug(row)
	}
	m.store = row
	m.apply(i, row)
	return true
}

func (m *model) apply(i int, row *lease.Row) {
	v := m.vms[i]
	v.holder.Adopt(row)
	v.coordinator.Observe(row, m.now, m.now)
}

func (m *model) read(i int) {
	if m.linked(storeLink, i) {
		m.apply(i, m.store)
		m.vms[i].holder.RecordRead("g", m.store.Version, m.now)
	}
}

// renew asks the coordinator known to the VM for a promise.
func (m *model) renew(i int) {
	v := m.vms[i]
	row := v.holder.Row("g")
	if row == nil {
		return
	}
	j := m.index(row.Coordinator)
	if !m.linked(i, j) {
		return
	}
	c := m.vms[j]
	if c.coordinator.Promise("g", v.vm.ID, v.vm.Incarnation, row.Version, m.now) {
		v.holder.RecordPromise("g", row.Version, m.now)
	}
	if newer := c.holder.Row("g"); newer != nil && newer.Version > row.Version {
		v.holder.Adopt(newer)
	}
}

func (m *model) takeOver(i int) {
	if row := m.vms[i].holder.Row("g"); row != nil {
		v := m.vms[i].vm
		m.write(i, row.TakenBy(v.ID, v.Incarnation, v.ID, m.witnesses()))
	}
}

func (m *model) close(i int) {
	c := m.vms[i].coordinator
	row := c.Row("g")
	if row == nil || !row.Open() {
		return
	}
	c.Withdraw("g")
	if !m.write(i, row.Closed("model")) && m.linked(storeLink, i) {
		m.apply(i, m.store)
		c.Restore("g")
	}
}

// promote replaces the primary if the coordinator reports that all rights have ended.
func (m *model) promote(t *testing.T, i int, seed uint64) (broken bool) {
	c := m.vms[i].coordinator
	row := c.Row("g")
	if row == nil || row.Open() || !c.RightsEnded("g", m.registered(), m.now) || !m.linked(storeLink, i) || m.store.Version != row.Version {
		return false
	}
	m.promotions++
	for _, v := range m.vms {
		if r, ok := v.holder.Right("g", m.now); ok {
			if m.bug == nil {
				t.Errorf("seed %d: %s has the right for %s in term %d at a promotion by vm-%d", seed, v.vm.ID, r.Primary, r.Term, i)
			}
			return true
		}
	}
	chosen := row.WithCandidate(topology.TargetID(fmt.Sprintf("t%d", row.Term+1)), position.Position{Term: row.Term}, true)
	if m.write(i, chosen) {
		m.write(i, chosen.Opened(row.Term+1))
	}
	return false
}

func (m *model) toggleLink() {
	i := m.random.IntN(modelVMs+1) - 1
	j := m.random.IntN(modelVMs)
	if i != j {
		key := [2]int{min(i, j), max(i, j)}
		m.cut[key] = !m.cut[key]
	}
}

func (m *model) restart(i int) {
	if m.linked(storeLink, i) { // A VM needs the store to get an incarnation.
		m.startVM(i, m.vms[i].vm.Incarnation+1)
		m.read(i)
	}
}

// step performs one random action; the periodic ones are the most likely.
func (m *model) step(t *testing.T, seed uint64) (broken bool) {
	m.now = m.now.Add(time.Duration(m.random.IntN(60)) * time.Millisecond)
	i := m.random.IntN(modelVMs)
	switch n := m.random.IntN(100); {
	case n < 55:
		m.renew(i)
	case n < 70:
		m.read(i)
	case n < 74:
		m.toggleLink()
	case n < 77:
		m.takeOver(i)
	case n < 80:
		m.close(i)
	case n < 81:
		m.restart(i)
	default:
		return m.promote(t, i, seed)
	}
	return false
}

func (m *model) run(t *testing.T, seed uint64) (broken bool) {
	for range modelSteps {
		if m.step(t, seed) {
			return true
		}
	}
	return false
}

// seeds returns the number of seeds to run; BTS_MODEL_SEEDS overrides it.
func seeds(t *testing.T) uint64 {
	text := os.Getenv("BTS_MODEL_SEEDS")
	if text == "" {
		return modelSeeds
	}
	n, err := strconv.ParseUint(text, 10, 64)
	if err != nil {
		t.Fatal(err)
	}
	return n
}

// Link failures, restarts, takeovers and replacements in any order must not leave a VM that
// acknowledges requests to a replaced primary.
func TestModelNoRightAtPromotion(t *testing.T) {
	promotions := 0
	for seed := range seeds(t) {
		m := newModel(seed, nil)
		m.run(t, seed)
		promotions += m.promotions
	}
	if promotions < int(modelSeeds) {
		t.Fatalf("only %d promotions, too few for the model to check anything", promotions)
	}
	t.Logf("%d promotions", promotions)
}

// The model must detect the faults it is made for: a chain of takeovers that loses the earlier
// coordinators, and one that considers every former coordinator stopped.
func TestModelDetectsInjectedBugs(t *testing.T) {
	bugs := map[string]func(*lease.Row) *lease.Row{
		"earlier coordinators are lost": func(r *lease.Row) *lease.Row {
			n := *r
			if len(n.Formers) > 1 {
				n.Formers = n.Formers[len(n.Formers)-1:]
			}
			return &n
		},
		"no coordinator is waited for": func(r *lease.Row) *lease.Row { return r.Settled() },
	}
	for name, bug := range bugs {
		detected := false
		for seed := uint64(0); seed < 40*modelSeeds && !detected; seed++ {
			detected = newModel(seed, bug).run(t, seed)
		}
		if !detected {
			t.Errorf("%s: not detected", name)
		}
	}
}
