// Package measurer measures entries and hosts against their targets. It runs the production
// code, for most measurements in virtual time and over in-memory connections with delays and
// limited rates. Where they exist, a simple baseline and the physical limit are reported
// with a figure.
package measurer

import (
	"context"
	"encoding/json"
	"fmt"
	"io"
	"time"

	"github.com/sirupsen/logrus"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/base/configurer"
	"filbertstile.example/filbertstile/rigs/stager"
)

// Param is a named value that is reported with a figure.
type Param struct {
	Name  string
	Value any
}

// Params are the parameters of a measurement, and further values that explain its figures.
type Params []Param

// MarshalJSON encodes the parameters as one object.
func (p Params) MarshalJSON() ([]byte, error) {
	m := make(map[string]any, len(p))
	for _, param := range p {
		m[param.Name] = param.Value
	}
	return json.Marshal(m)
}

// Comparison is the relation to its bound that a value must have.
type Comparison string

// The comparisons.
const (
	AtMost  Comparison = "AtMost"
	AtLeast Comparison = "AtLeast"
	// NoBound is the comparison of figures without a target, such as baselines, physical
	// limits and slopes.
	NoBound Comparison = ""
)

// Figure is a measured value.
type Figure struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the target; nil if there is none.
	Bound *float64 `json:",omitempty"`
	// Better is the relation to the bound that the target requires.
	Better Comparison `json:",omitempty"`
	Params Params     `json:",omitempty"`
}

// MeetsBound reports whether the value meets its bound; it does if there is none.
func (f Figure) MeetsBound() bool {
	switch f.Better {
	case AtMost:
		return f.Value <= *f.Bound
	case AtLeast:
		return f.Value >= *f.Bound
	default:
		return true
	}
}

// atMost returns a figure with an upper bound.
func atMost(name string, value float64, unit string, bound float64, p Params) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: &bound, Better: AtMost, Params: p}
}

// atLeast returns a figure with a lower bound.
func atLeast(name string, value float64, unit string, bound float64, p Params) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Bound: &bound, Better: AtLeast, Params: p}
}

// unbounded returns a figure without a target.
func unbounded(name string, value float64, unit string, p Params) Figure {
	return Figure{Name: name, Value: value, Unit: unit, Params: p}
}

// Measurement is a measurement that returns one or more figures.
type Measurement struct {
	Name string
	// WallClock is true for measurements that need real time and therefore must not run in
	// virtual time.
	WallClock bool
	Run       func(ctx context.Context) ([]Figure, error)
}

// All returns the measurements in the order in which they run.
func All() []Measurement {
	var out []Measurement
	out = append(out, distributionMeasurements()...)
	out = append(out, rolloutMeasurements()...)
	out = append(out, requestMeasurements()...)
	out = append(out, latencyMeasurements()...)
	out = append(out, capacityMeasurements()...)
	return out
}

// discardLogger returns a logger that discards its output.
func discardLogger() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// newDeployment returns the deployment that the users described, with their delays and link
// rates: three regions, with the weight store in the first one, and 7 entries.
func newDeployment(replicas int) *stager.Deployment {
	return &stager.Deployment{
		Name:         "brief",
		SourceRegion: "izmir",
		Domains: []stager.Domain{
			{Name: "izmir-a", Region: "izmir"}, {Name: "ankara-a", Region: "ankara"}, {Name: "istanbul-a", Region: "istanbul"},
		},
		Entries: 7,
		Services: []stager.ServiceSpec{{
			Service:  filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, CapacityFloorPercent: 60, ChecksFencing: true},
			Replicas: replicas, MaxRunning: 8, TokenDelay: configurer.Duration(10 * time.Millisecond),
		}},
		Links: stager.Links{
			DomainDelay: configurer.Duration(time.Millisecond), RegionDelay: configurer.Duration(2 * time.Millisecond),
			RegionBytesPerSecond: regionBytesPerSecond, HostBytesPerSecond: hostBytesPerSecond, OriginBytesPerSecond: originBytesPerSecond,
		},
		Weights: stager.Weights{ChunkBytes: 1, Chunks: 1},
		Tiers: []filbertstile.Tier{
			{Name: topTier, Rank: 3, Weight: 8, FloorPercent: 30}, {Name: midTier, Rank: 2, Weight: 4, FloorPercent: 15}, {Name: lowTier, Rank: 1, Weight: 1, FloorPercent: 5},
		},
	}
}

const (
	modelService  = "filbert-models"
	ledgerService = "royalty-ledger"
	topTier       = "filing"
	midTier       = "office"
	lowTier       = "public"
	// A link between regions has 20 Mbit/s, a host's link twice that rate and the origin's
	// four times.
	regionBytesPerSecond = 2.5e6
	hostBytesPerSecond   = 2 * regionBytesPerSecond
	originBytesPerSecond = 4 * regionBytesPerSecond
)

// Write writes the figures to w in JSON, one per line.
func Write(w io.Writer, figures []Figure) error {
	for _, f := range figures {
		data, err := json.Marshal(f)
		if err != nil {
			return fmt.Errorf("encode figure %s: %w", f.Name, err)
		}
		if _, err := fmt.Fprintf(w, "%s\n", data); err != nil {
			return err
		}
	}
	return nil
}
