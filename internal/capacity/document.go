package capacity

import (
	"fmt"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/config"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

// The size of the planned production deployment.
const (
	PlannedDaemons     = 3900
	PlannedGroups      = 4667
	PlannedTargets     = PlannedGroups * replicasAndPrimary
	PlannedDataCentres = 24

	replicasAndPrimary = 3
	dataCentres        = 3 // in a small deployment
)

// Names in the generated configuration, among them the measured classes.
const (
	memberName  = "m"
	serviceName = "s"
	readClass   = "read"
	writeClass  = "write"
	region      = "r"
)

// highLimit is a limit of sessions and requests that no measurement reaches.
const highLimit = 100000

// firstPort is the lowest port used; the ports are below the range of outgoing connections.
const firstPort = 21000

// closedAddress returns a loopback address that nothing listens on.
func closedAddress(target int) string {
	return fmt.Sprintf("127.1.%d.%d:1", target/250, target%250+1)
}

// Shape is the size of a small deployment.
type Shape struct{ Daemons, Groups int }

// The ports from firstPort up: one for the platform, three for each daemon, then one for
// each target.
func (s Shape) callerAddress(daemon int) string { return address(1 + 3*daemon) }
func (s Shape) peerAddress(daemon int) string   { return address(2 + 3*daemon) }
func (s Shape) adminAddress(daemon int) string  { return address(3 + 3*daemon) }
func (s Shape) targetAddress(target int) string { return address(1 + 3*s.Daemons + target) }

func address(n int) string { return fmt.Sprintf("127.0.0.1:%d", firstPort+n) }

// Document returns the configuration of a small deployment: each group has
// a target in each of three data centres.
func Document(s Shape) *config.Document {
	doc := baseDocument(dataCentres)
	for i := range s.Groups {
		doc.Groups = append(doc.Groups, group(i, dataCentres, func(target int) string { return s.targetAddress(target) }))
	}
	return doc
}

// PlannedDocument returns the configuration of the planned size. The last data
// centre has no targets, so that a real daemon can run there without simulated VMs
// in its data centre.
func PlannedDocument() *config.Document {
	doc := baseDocument(PlannedDataCentres)
	for i := range PlannedGroups {
		doc.Groups = append(doc.Groups, group(i, PlannedDataCentres-1, closedAddress))
	}
	return doc
}

func group(i, centres int, addressOf func(target int) string) config.Group {
	g := config.Group{Service: serviceName, Name: fmt.Sprintf("g%d", i)}
	for j := range replicasAndPrimary {
		g.Targets = append(g.Targets, config.Target{
			ID:          topology.TargetID(fmt.Sprintf("t-%d-%d", i, j)),
			DataCentre:  dataCentre((i + j) % centres),
			Address:     addressOf(i*replicasAndPrimary + j),
			Slots:       2,
			Connections: 16,
			ConnectTime: config.Duration(10 * time.Millisecond),
		})
	}
	return g
}

func dataCentre(n int) topology.DataCentre { return topology.DataCentre(fmt.Sprintf("dc-%02d", n)) }

// baseDocument returns a configuration without groups.
func baseDocument(centres int) *config.Document {
	doc := &config.Document{
		Members:  []config.Member{{Name: memberName, Weight: 1, MaxSessions: highLimit, MaxRequests: highLimit}},
		Services: []config.Service{{Member: memberName, Name: serviceName}},
		Classes: []config.Class{
			class(readClass, config.Read, config.Duration(5*time.Second)),
			class(writeClass, config.Write, 0),
		},
		Presets:     []config.Preset{{Name: config.OrdinaryPreset}},
		RetryBudget: config.RetryBudget{Percent: 10, Burst: 50},
		Limits: config.Limits{
			SessionsPerDaemon: highLimit, MessageBytes: 1 << 20, ResultBytes: 8 << 20,
			IdleInTransactionTimeout: config.DefaultIdleInTransactionTimeout, DrainTime: config.DefaultDrainTime,
		},
	}
	for i := range centres {
		doc.DataCentres = append(doc.DataCentres, config.DataCentre{Name: dataCentre(i), Region: region})
	}
	return doc
}

func class(name string, kind config.Kind, staleness config.Duration) config.Class {
	return config.Class{
		Service: serviceName, Name: name, Kind: kind, Staleness: staleness, Priority: config.Normal, Repeatable: true,
		Deadline: config.Duration(10 * time.Second), QueueLimit: 400, MaxAttempts: 3,
	}
}
