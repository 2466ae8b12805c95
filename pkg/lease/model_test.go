package lease_test

import (
	"fmt"
	"math/rand/v2"
	"os"
	"slices"
	"strconv"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/metastore"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The model has some VMs with one group, a store, and links that go down and up. All actions
// of the VMs happen in random order, restricted only by the rules that the package's caller
// keeps. At each promotion no VM may have the right for the former primary, and none may get one
// for it later, also if the store is restored from an older copy in between.
const (
	modelVMs   = 5
	modelSteps = 3000
	modelSeeds = 60
	// maxCopyAge is how old the copy is at most from which the store is restored.
	maxCopyAge = 4 * time.Second
)

type modelVM struct {
	vm          topology.VM
	holder      *lease.Holder
	coordinator *lease.Coordinator
	// seen is the stored row's version as last seen, in the latest era that the VM knows of.
	seen metastore.Version
}

// storeCopy is a copy of the store's row.
type storeCopy struct {
	row     *lease.Row
	version uint64
	at      mono.Time
}

// modelBug is an injected fault. At most one field is set.
type modelBug struct {
	// write changes a row before it is written.
	write func(*lease.Row) *lease.Row
	// readsEarlierEras makes reads of rows of an earlier era a source of rights.
	readsEarlierEras bool
	// takesOverOpen leaves a row open that is taken over after a restoration.
	takesOverOpen bool
	// ignoresSuccessor lets a coordinator go on that learns of its successor from another VM.
	ignoresSuccessor bool
}

type model struct {
	random *rand.Rand
	now    mono.Time
	vms    []*modelVM
	store  *lease.Row
	// version is that of the stored row, and restorations tells whether the store may be restored from
	// one of its copies.
	version      metastore.Version
	restorations bool
	copies       []storeCopy
	// notices tells whether VMs send rows to others that have not asked.
	notices bool
	// leader is the target that was promoted last, in term.
	leader topology.TargetID
	term   uint64
	// cut holds the links that are down, between two VMs or between a VM and the store.
	cut         map[[2]int]bool
	bug         modelBug
	isBuggy     bool
	promotions  int
	restoration int
	// databases are the group's databases, nil if promotions are only counted.
	databases *databaseModel
}

const storeLink = -1

func newModel(seed uint64, restorations bool) *model {
	m := &model{random: rand.New(rand.NewPCG(seed, 1)), now: second, cut: map[[2]int]bool{}, restorations: restorations, leader: "t1", term: 1}
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

// write commits a row if the writer reaches the store and the stored row has the version that it has
// seen. The store compares the version's number only. A writer that learns of a later era by the answer
// does not know the outcome.
func (m *model) write(i int, row *lease.Row) bool {
	v := m.vms[i]
	if !m.linked(storeLink, i) || v.seen.Number != m.version.Number {
		return false
	}
	if m.bug.write != nil {
		row = m.bug.write(row)
	}
	known := v.seen.Era == m.version.Era
	m.store = row
	m.version = m.version.Next()
	m.copies = append(m.copies, storeCopy{row: row, version: m.version.Number, at: m.now})
	if !known {
		return false
	}
	v.seen = m.version
	m.apply(i, row)
	return true
}

func (m *model) apply(i int, row *lease.Row) {
	v := m.vms[i]
	v.holder.Adopt(row)
	if row.Era() < m.version.Era && !m.bug.readsEarlierEras {
		v.coordinator.Supersede(row)
		return
	}
	v.coordinator.Observe(row, m.now, m.now)
}

func (m *model) read(i int) {
	if !m.linked(storeLink, i) {
		return
	}
	m.vms[i].seen = m.version
	m.apply(i, m.store)
	if m.store.Era() == m.version.Era || m.bug.readsEarlierEras {
		m.vms[i].holder.RecordRead("g", m.store.Version, m.now)
	}
}

// restore restores the store from a recent copy.
func (m *model) restore() {
	recent := slices.DeleteFunc(slices.Clone(m.copies), func(c storeCopy) bool { return m.now.Sub(c.at) > maxCopyAge })
	if !m.restorations || len(recent) == 0 {
		return
	}
	n := len(m.copies) - len(recent) + m.random.IntN(len(recent))
	from := m.copies[n]
	m.copies = m.copies[:n+1]
	m.store, m.version = from.row, metastore.Version{Era: m.version.Era + 1, Number: from.version}
	m.restoration++
}

// current returns the row that the VM may change: one of the latest era that it knows of.
func (m *model) current(i int, row *lease.Row) bool {
	return row != nil && row.Era() == m.vms[i].seen.Era
}

// writeAgain has a coordinator write its row in the later era that it knows of, if its primary leads.
func (m *model) writeAgain(i int) {
	v := m.vms[i]
	row := v.coordinator.Row("g")
	if row == nil || row.Version != v.holder.Row("g").Version || m.current(i, row) || !v.coordinator.InContact("g", m.now) {
		return
	}
	if row.Open() && (row.Primary != m.leader || row.Term != m.term) {
		return
	}
	if v.coordinator.Settled("g", m.now) {
		row = row.Settled()
	}
	m.write(i, row.Restored(v.seen.Era))
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
	if c.coordinator.Coordinates(row) {
		return // Both know the same row, so the answer has none.
	}
	if newer := c.holder.Row("g"); newer != nil && newer.Version > row.Version {
		m.learn(i, newer)
	}
}

// learn has a VM adopt a row that another VM sent.
func (m *model) learn(i int, row *lease.Row) {
	v := m.vms[i]
	v.holder.Adopt(row)
	if !m.bug.ignoresSuccessor {
		v.coordinator.Supersede(row)
	}
}

// notify sends a row to another VM.
func (m *model) notify(i int) {
	row, to := m.vms[i].holder.Row("g"), m.random.IntN(modelVMs)
	if row != nil && m.linked(i, to) {
		m.learn(to, row)
	}
}

func (m *model) takeOver(i int) {
	row, v := m.vms[i].holder.Row("g"), m.vms[i].vm
	switch {
	case row == nil:
	case m.current(i, row):
		m.write(i, row.TakenBy(v.ID, v.Incarnation, v.ID, m.witnesses()))
	case m.bug.takesOverOpen:
		m.write(i, row.InEra(m.vms[i].seen.Era).TakenBy(v.ID, v.Incarnation, v.ID, m.witnesses()))
	default:
		m.write(i, row.TakenByAfterRestoration(m.vms[i].seen.Era, v.ID, v.Incarnation, m.witnesses()))
	}
}

func (m *model) close(i int) {
	c := m.vms[i].coordinator
	row := c.Row("g")
	if !m.current(i, row) || !row.Open() {
		return
	}
	c.Withdraw("g")
	if !m.write(i, row.Closed("model")) && m.linked(storeLink, i) {
		m.read(i)
		c.Restore("g")
	}
}

// promote replaces the primary if the coordinator reports that all rights have ended.
func (m *model) promote(t *testing.T, i int, seed uint64) (broken bool) {
	c := m.vms[i].coordinator
	row := c.Row("g")
	if !m.current(i, row) || row.Open() || !c.RightsEnded("g", m.registered(), m.now) || !m.linked(storeLink, i) || m.store.Version != row.Version {
		return false
	}
	if row.Handover.Reason == lease.RestoredReason && m.databases == nil {
		m.write(i, row.Returned(m.leader, m.term))
		return false
	}
	if m.databases == nil {
		m.promotions++
	}
	for _, v := range m.vms {
		if r, ok := v.holder.Right("g", m.now); ok {
			if !m.isBuggy {
				t.Errorf("seed %d: %s has the right for %s in term %d at a promotion by vm-%d", seed, v.vm.ID, r.Primary, r.Term, i)
			}
			return true
		}
	}
	if m.databases != nil {
		return m.databases.replace(t, i, row, seed)
	}
	chosen := row.WithCandidate(topology.TargetID(fmt.Sprintf("t%d", m.term+1)), position.Position{Term: row.Term}, true)
	if m.write(i, chosen) {
		m.term++
		m.leader = chosen.Handover.Candidate
		m.write(i, chosen.Opened(m.term))
	}
	return false
}

// hasRightForFormerPrimary reports whether a VM has a right for a target that does not lead any more.
func (m *model) hasRightForFormerPrimary(t *testing.T, seed uint64) bool {
	for _, v := range m.vms {
		r, ok := v.holder.Right("g", m.now)
		if !ok || r.Primary == m.leader {
			continue
		}
		if !m.isBuggy {
			t.Errorf("seed %d: %s has the right for %s, but %s leads", seed, v.vm.ID, r.Primary, m.leader)
		}
		return true
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
	if m.databases != nil && m.random.IntN(2) == 0 {
		m.databases.step(i)
		return false
	}
	if m.databases != nil && m.databases.calm {
		return m.databases.stepCalmly(t, i, seed)
	}
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
	case n < 83:
		m.writeAgain(i)
	case n < 84 && m.random.IntN(3) == 0:
		m.restore()
	case n < 87 && m.notices:
		m.notify(i)
	default:
		return m.promote(t, i, seed)
	}
	return false
}

func (m *model) run(t *testing.T, seed uint64) (broken bool) {
	for range modelSteps {
		if m.step(t, seed) || m.hasRightForFormerPrimary(t, seed) {
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

// checkModel runs the model for all seeds and reports what it found.
func checkModel(t *testing.T, restorations, notices bool) {
	t.Helper()
	promotions, restored := 0, 0
	for seed := range seeds(t) {
		m := newModel(seed, restorations)
		m.notices = notices
		m.run(t, seed)
		promotions += m.promotions
		restored += m.restoration
	}
	if promotions < int(modelSeeds) {
		t.Fatalf("only %d promotions, too few for the model to check anything", promotions)
	}
	if restorations && restored < int(modelSeeds) {
		t.Fatalf("the store was restored only %d times", restored)
	}
	t.Logf("%d promotions, the store restored %d times", promotions, restored)
}

// Link failures, restarts, takeovers and replacements in any order must not leave a VM that
// acknowledges requests to a replaced primary.
func TestModelNoRightAtPromotion(t *testing.T) { checkModel(t, false, false) }

// The same must hold if the store is restored from older copies, and gives out versions again.
func TestModelNoRightAtPromotionAcrossRestorations(t *testing.T) { checkModel(t, true, false) }

// The same must hold if VMs also learn of rows from others.
func TestModelNoRightAtPromotionWithNotices(t *testing.T) {
	checkModel(t, false, true)
	checkModel(t, true, true)
}

// detects reports whether the model finds an injected fault.
func detects(t *testing.T, bug modelBug, restorations bool) bool {
	for seed := range uint64(40 * modelSeeds) {
		m := newModel(seed, restorations)
		m.bug, m.isBuggy, m.notices = bug, true, bug.ignoresSuccessor
		if m.run(t, seed) {
			return true
		}
	}
	return false
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
		if !detects(t, modelBug{write: bug}, false) {
			t.Errorf("%s: not detected", name)
		}
	}
}

// The model must detect a coordinator that still promises after it has confirmed its successor's row.
func TestModelDetectsACoordinatorThatIgnoresItsSuccessor(t *testing.T) {
	if !detects(t, modelBug{ignoresSuccessor: true}, false) {
		t.Error("not detected")
	}
}

// The model must detect the faults of restorations: rights by rows that the store has lost changes of,
// and coordinators that the store has lost.
func TestModelDetectsInjectedBugsOfRestorations(t *testing.T) {
	bugs := map[string]modelBug{
		"reads of rows of an earlier era give rights":  {readsEarlierEras: true},
		"a takeover after a restoration leaves rights": {takesOverOpen: true},
		"a lost coordinator is not waited for": {write: func(r *lease.Row) *lease.Row {
			n := *r
			n.Formers = slices.DeleteFunc(slices.Clone(r.Formers), func(f lease.Former) bool { return f.VM == "" })
			return &n
		}},
	}
	for name, bug := range bugs {
		if !detects(t, bug, true) {
			t.Errorf("%s: not detected", name)
		}
	}
}
