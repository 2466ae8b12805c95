package capacity

import (
	"context"
	"time"

	"github.com/buckthornshore/buckthornshore/internal/metrics"
	"github.com/buckthornshore/buckthornshore/rpc/platformpb"
)

// settleTime passes between a deployment's start and its measurement: start-up
// costs more than rest.
const settleTime = 5 * time.Second

// Rest is what one daemon costs at rest, the mean over a deployment's daemons.
type Rest struct {
	// Core is the share of one core, 1 being all of it.
	Core float64
	// RSS in bytes.
	RSS float64
	// Traffic in bytes a second by service, sent and received.
	Traffic map[string]float64
	// Reads and Writes of the platform a second, for the whole deployment.
	Reads, Writes float64
}

// MeasureRest starts a deployment and looks at it for a while.
func MeasureRest(p Programs, s Shape, window time.Duration) (Rest, error) {
	d, err := deploy(p, s)
	if err != nil {
		return Rest{}, err
	}
	defer d.end()
	time.Sleep(settleTime)
	return d.rest(window)
}

// sample is the counts of a deployment at one instant.
type sample struct {
	at            time.Time
	cpu           time.Duration
	rss           float64
	traffic       map[string]float64
	reads, writes float64
}

func (d *deployment) rest(window time.Duration) (Rest, error) {
	before, err := d.sample()
	if err != nil {
		return Rest{}, err
	}
	time.Sleep(window)
	after, err := d.sample()
	if err != nil {
		return Rest{}, err
	}
	seconds := after.at.Sub(before.at).Seconds()
	daemons := float64(len(d.daemons))
	r := Rest{
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
		counted, err := snapshot(d.shape.adminAddress(i))
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
