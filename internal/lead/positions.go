package lead

import (
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/lease"
	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/position"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
	"github.com/buckthornshore/buckthornshore/pkg/topology"
)

const (
	// samplePeriod is the age at which a coordinator renews its samples of the primaries'
	// positions.
	samplePeriod = 200 * time.Millisecond
	// maxSampleRate bounds the samples that a coordinator takes of all its groups in a second. Beyond it
	// samples become older, and VMs that need newer ones ask the primaries themselves.
	maxSampleRate = 1000
	// maxSampleAge is the maximum age of a sample that is sent.
	maxSampleAge = 2 * time.Second
)

// Positions holds the primaries' newest positions, which the coordinator samples and sends to the
// other VMs.
type Positions interface {
	Newest(group topology.GroupID) (routing.Sample, bool)
	Add(group topology.GroupID, s routing.Sample)
	Renew(group topology.GroupID, age time.Duration)
}

// positionSample is a sample in a promise. It contains its age, as the clocks of two VMs are not
// comparable.
type positionSample struct {
	_msgpack struct{} `msgpack:",as_array"` //nolint:unused // Read by the encoder.

	// AgeMS is the sample's age in milliseconds, rounded up.
	AgeMS uint32
	// Term and Index are the sampled position.
	Term, Index uint64
}

// SharePositions makes this VM share positions with the others. It must be called before Run.
func (l *Lead) SharePositions(p Positions) { l.positions = p }

// renewPositions renews the samples that this VM sends.
func (l *Lead) renewPositions() {
	if l.positions == nil {
		return
	}
	l.mu.Lock()
	rows := l.coordinatedRows()
	l.mu.Unlock()
	period := max(samplePeriod, time.Duration(len(rows))*time.Second/maxSampleRate)
	samples := make(map[topology.GroupID]routing.Sample, len(rows))
	for _, row := range rows {
		if !row.Open() {
			continue
		}
		l.positions.Renew(row.Group, period)
		if s, ok := l.positions.Newest(row.Group); ok {
			samples[row.Group] = s
		}
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	l.samples = samples
}

// freshSamples returns the samples for rows, in their order; the zero value stands for no sample.
func (l *Lead) freshSamples(rows []*lease.Row, now mono.Time) []positionSample {
	all := make([]positionSample, len(rows))
	for i, row := range rows {
		s, ok := l.samples[row.Group]
		if ok && s.Position.Term == row.Term && now.Sub(s.Begun) < maxSampleAge {
			age := now.Sub(s.Begun) + time.Millisecond
			all[i] = positionSample{AgeMS: uint32(age.Milliseconds()), Term: s.Position.Term, Index: s.Position.Index} //nolint:gosec // Below maxSampleAge.
		}
	}
	return all
}

// applyPositions applies samples from the answer to a renewal sent at sent. The answer was written
// later than that, so no sample is newer than it is taken for.
func (l *Lead) applyPositions(rows []*lease.Row, all []positionSample, sent mono.Time) {
	if l.positions == nil || len(all) != len(rows) {
		return
	}
	for i, t := range all {
		p := position.Position{Term: t.Term, Index: t.Index}
		if !p.IsZero() {
			age := time.Duration(t.AgeMS) * time.Millisecond
			l.positions.Add(rows[i].Group, routing.Sample{Begun: sent.Add(-age), Position: p})
		}
	}
}
