// Package measurer measures the running roles against their targets: real role
// code over in-memory connections with rates and delays, in virtual time, each
// figure beside a simple baseline and, where there is one, the physical limit.
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

// Param is one setting of a measurement.
type Param struct {
	Name  string
	Value any
}

// Params are the settings of a measurement.
type Params []Param

// MarshalJSON writes the settings as one object.
func (p Params) MarshalJSON() ([]byte, error) {
	m := make(map[string]any, len(p))
	for _, x := range p {
		m[x.Name] = x.Value
	}
	return json.Marshal(m)
}

// Compare tells how a value relates to its bound.
type Compare string

// Relations to a bound.
const (
	AtMost  Compare = "AtMost"
	AtLeast Compare = "AtLeast"
	// NoBound marks baselines, limits and slopes.
	NoBound Compare = ""
)

// Line is one figure.
type Line struct {
	Name  string
	Value float64
	Unit  string
	// Bound is the stated target; nil where there is none.
	Bound  *float64 `json:",omitempty"`
	Better Compare  `json:",omitempty"`
	Params Params   `json:",omitempty"`
}

// Met tells whether the value keeps to its bound.
func (l Line) Met() bool {
	switch l.Better {
	case AtMost:
		return l.Value <= *l.Bound
	case AtLeast:
		return l.Value >= *l.Bound
	default:
		return true
	}
}

// atMost returns a figure whose target is an upper bound.
func atMost(name string, value float64, unit string, bound float64, p Params) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: &bound, Better: AtMost, Params: p}
}

// atLeast returns a figure whose target is a lower bound.
func atLeast(name string, value float64, unit string, bound float64, p Params) Line {
	return Line{Name: name, Value: value, Unit: unit, Bound: &bound, Better: AtLeast, Params: p}
}

// plain returns a figure without a target.
func plain(name string, value float64, unit string, p Params) Line {
	return Line{Name: name, Value: value, Unit: unit, Params: p}
}

// Measure is one measurement.
type Measure struct {
	Name string
	// Wall marks measurements that use the wall clock; they run outside of
	// virtual time.
	Wall bool
	Run  func(ctx context.Context) ([]Line, error)
}

// Catalogue lists the measurements in the order in which they run.
func Catalogue() []Measure {
	var out []Measure
	out = append(out, distributionMeasures()...)
	out = append(out, rolloutMeasures()...)
	out = append(out, requestMeasures()...)
	out = append(out, addedMeasures()...)
	out = append(out, capacityMeasures()...)
	return out
}

// quiet is a log that writes nowhere.
func quiet() *logrus.Logger {
	l := logrus.New()
	l.SetOutput(io.Discard)
	return l
}

// brief returns a deployment of the brief's shape: three regions with the
// weight store in the first, and the brief's delays and link rates.
func brief(replicas int) *stager.Deployment {
	return &stager.Deployment{
		Name:         "brief",
		SourceRegion: "izmir",
		Domains: []stager.Domain{
			{Name: "izmir-a", Region: "izmir"}, {Name: "ankara-a", Region: "ankara"}, {Name: "istanbul-a", Region: "istanbul"},
		},
		Entries: 7,
		Services: []stager.Served{{
			Service:  filbertstile.Service{Name: modelService, Kind: filbertstile.ServiceModel, CapacityFloorPercent: 60, ChecksFencing: true},
			Replicas: replicas, MaxRunning: 8, TokenDelay: configurer.Duration(10 * time.Millisecond),
		}},
		Links: stager.Links{
			DomainDelay: configurer.Duration(time.Millisecond), RegionDelay: configurer.Duration(2 * time.Millisecond),
			RegionBytesPerSecond: regionRate, HostBytesPerSecond: hostRate, OriginBytesPerSecond: originRate,
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
	// Rates in bytes a second: 20 Mbit/s between regions; in the time that a
	// region link carries one copy, a host's link carries two and the origin's
	// four.
	regionRate = 2.5e6
	hostRate   = 2 * regionRate
	originRate = 4 * regionRate
)

// Write prints the lines as JSON.
func Write(w io.Writer, lines []Line) error {
	for _, l := range lines {
		data, err := json.Marshal(l)
		if err != nil {
			return fmt.Errorf("encode %s: %w", l.Name, err)
		}
		if _, err := fmt.Fprintf(w, "%s\n", data); err != nil {
			return err
		}
	}
	return nil
}
