package routing_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"github.com/buckthornshore/buckthornshore/pkg/mono"
	"github.com/buckthornshore/buckthornshore/pkg/routing"
)

func BenchmarkChoose(b *testing.B) {
	f := routing.NewFreshness(10*time.Second, 100*time.Millisecond)
	for i := range uint64(1000) {
		f.AddSample(routing.Sample{Begun: mono.Time(i) * 10 * ms, Position: at(1, i+1)})
	}
	f.RecordPosition("near", at(1, 990), 0)
	f.RecordPosition("far", at(1, 995), 0)
	targets := []routing.Candidate{{Target: "primary", Primary: true}, {Target: "near", SameDC: true}, {Target: "far"}}
	random := rand.New(rand.NewPCG(1, 1))
	req := routing.Request{Staleness: time.Second, Floor: at(1, 980)}
	b.ReportAllocs()
	for b.Loop() {
		if _, err := routing.Choose(10_000*ms, req, f, targets, random); err != nil {
			b.Fatal(err)
		}
	}
}

func BenchmarkAddSample(b *testing.B) {
	f := routing.NewFreshness(10*time.Second, 100*time.Millisecond)
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		f.AddSample(routing.Sample{Begun: mono.Time(i) * ms, Position: at(1, i)})
	}
	b.ReportMetric(float64(f.Samples()), "samples")
}

func BenchmarkSessionFloors(b *testing.B) {
	f := routing.NewSessionFloors(4096, time.Second)
	sessions := make([]string, 8192)
	for i := range sessions {
		sessions[i] = fmt.Sprint("clerk-", i)
	}
	f.Floor("", at(1, 0))
	i := uint64(0)
	b.ReportAllocs()
	for b.Loop() {
		i++
		s := sessions[i%uint64(len(sessions))]
		f.Completed(s, at(1, i), mono.Time(i))
		f.Floor(s, at(1, i))
	}
}
