package capacity

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/view"
	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/platform"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// rowsPerCommit limits the size of the requests to the platform.
const rowsPerCommit = 200

// MeasurePlanned measures one idle daemon in a deployment of the planned size: 14,001
// targets, the rows of their groups and 3,900 VMs. The daemon is the relay of a data
// centre without targets, so it pools no target and promotes none. The other VMs exist
// only as rows; they share one address, which answers every request with 404.
func MeasurePlanned(p Programs, window time.Duration) (IdleCost, error) {
	d, err := newDeployment(p, Shape{Daemons: 1})
	if err != nil {
		return IdleCost{}, err
	}
	defer d.stop()
	otherVMs := &http.Server{Addr: d.shape.targetAddress(0), Handler: http.NotFoundHandler(), ReadHeaderTimeout: callTimeout}
	go func() { _ = otherVMs.ListenAndServe() }()
	defer func() { _ = otherVMs.Close() }()
	if err := d.writePlanned(); err != nil {
		return IdleCost{}, err
	}
	if err := d.startDaemon(0, dataCentre(PlannedDataCentres-1)); err != nil {
		return IdleCost{}, err
	}
	err = await("the daemon", func() error { return ready(d.shape.adminAddress(0)) })
	if err != nil {
		return IdleCost{}, err
	}
	time.Sleep(settleTime)
	return d.measureIdle(window)
}

// writePlanned writes the configuration of the planned size, and its VM and group rows
// to the platform.
func (d *deployment) writePlanned() error {
	doc := PlannedDocument()
	if err := d.writeDocument(doc); err != nil {
		return err
	}
	vms, err := d.vmRows()
	if err != nil {
		return err
	}
	groups, err := groupRows(doc)
	if err != nil {
		return err
	}
	return d.commit(append(vms, groups...))
}

// vmRows returns the rows of all VMs but the measured one.
func (d *deployment) vmRows() (rows []platform.Write, err error) {
	for i := 1; i < PlannedDaemons; i++ {
		vm := topology.VM{
			ID:          topology.VMID(fmt.Sprintf("other-%04d", i)),
			DataCentre:  dataCentre(i % (PlannedDataCentres - 1)),
			Region:      region,
			PeerAddress: d.shape.targetAddress(0),
			Incarnation: topology.Incarnation(time.Now().UnixNano()),
		}
		value, err := json.Marshal(vm)
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Write{Key: view.VMKey(vm.ID), Value: value})
	}
	return rows, nil
}

func groupRows(doc *config.Document) (rows []platform.Write, err error) {
	for _, g := range doc.Groups {
		value, err := json.Marshal(plannedRow(&g))
		if err != nil {
			return nil, err
		}
		rows = append(rows, platform.Write{Key: view.GroupPrefix + string(g.ID()), Value: value})
	}
	return rows, nil
}

// commit writes rows to the platform in chunks of rowsPerCommit.
func (d *deployment) commit(rows []platform.Write) error {
	for chunk := range slices.Chunk(rows, rowsPerCommit) {
		if _, err := d.client.Commit(context.Background(), platform.Txn{Writes: chunk}); err != nil {
			return err
		}
	}
	return nil
}

func plannedRow(g *config.Group) topology.Group {
	row := topology.Group{ID: g.ID(), Version: 1, Term: 1, Primary: g.Targets[0].ID, ChangeID: "create/measure"}
	for n, t := range g.Targets[1:] {
		row.Promoters = append(row.Promoters, topology.Promoter{
			VM:          topology.VMID(fmt.Sprintf("other-%04d", n+1)),
			Incarnation: topology.Incarnation(time.Now().UnixNano()),
			Replica:     t.ID,
			Synced:      true,
		})
	}
	return row
}
