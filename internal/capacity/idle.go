package capacity

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// settleTime passes between a deployment's start and its measurement, because a daemon
// uses more resources while starting than when idle.
const settleTime = 5 * time.Second

// IdleCost is the resource use of one idle daemon, as the mean over the daemons of a
// deployment.
type IdleCost struct {
	// Core is the processor time used, as a fraction of one core.
	Core float64
	// RSS is the resident memory in bytes.
	RSS float64
	// Traffic is the sum of bytes sent and received per second, by service.
	Traffic map[string]float64
	// Reads and Writes are the platform's reads and writes per second for the whole
	// deployment.
	Reads, Writes float64
}

// MeasureIdle starts a deployment and measures its idle daemons over window.
func MeasureIdle(p Programs, s Shape, window time.Duration) (IdleCost, error) {
	d, err := deploy(p, s)
	if err != nil {
		return IdleCost{}, err
	}
	defer d.stop()
	time.Sleep(settleTime)
	return d.measureIdle(window)
}

// sample holds the counts of a deployment at one instant, summed over its daemons.
type sample struct {
	at            time.Time
	cpu           time.Duration
	rss           float64
	traffic       map[string]float64
	reads, writes float64
}

func (d *deployment) measureIdle(window time.Duration) (IdleCost, error) {
	before, err := d.sample()
	if err != nil {
		return IdleCost{}, err
	}
	time.Sleep(window)
	after, err := d.sample()
	if err != nil {
		return IdleCost{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(len(d.daemons))
	r := IdleCost{
		Core:    (after.cpu - before.cpu).Seconds() / seconds / daemons,
		RSS:     after.rss / daemons,
		Traffic: map[string]float64{},
		Reads:   (after.reads - before.reads) / seconds,
		Writes:  (after.writes - before.writes) / seconds,
	}
	for service, bytes := range after.traffic {
		r.Traffic[service] = (bytes - before.traffic[service]) / seconds / daemons
	}
	return r, nil
}

func (d *deployment) sample() (sample, error) {
	s := sample{traffic: map[string]float64{}}
	for i, p := range d.daemons {
		cpu, err := p.cpu()
		if err != nil {
			return s, err
		}
		rss, err := p.rss()
		if err != nil {
			return s, err
		}
		s.cpu += cpu
		s.rss += rss
		counted, err := readMetrics(d.shape.adminAddress(i))
		if err != nil {
			return s, err
		}
		addTraffic(s.traffic, counted)
	}
	stats, err := d.standIn.Stats(context.Background(), &platformpb.StatsRequest{})
	if err != nil {
		return s, err
	}
	s.reads, s.writes, s.at = float64(stats.Reads), float64(stats.Writes), time.Now()
	return s, nil
}

func addTraffic(sum map[string]float64, s metrics.Snapshot) {
	for _, c := range s.Counters {
		if c.Name == metrics.ControlBytesSent || c.Name == metrics.ControlBytesReceived {
			sum[c.Tags[metrics.TagService]] += float64(c.Value)
		}
	}
}
