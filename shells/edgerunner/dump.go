package edgerunner

import (
	"time"

	"github.com/rcrowley/go-metrics"

	"filbertstile.example/filbertstile"
	"filbertstile.example/filbertstile/decisions/placer"
	"filbertstile.example/filbertstile/decisions/suspector"
	"filbertstile.example/filbertstile/shells/forwarder"
	"filbertstile.example/filbertstile/shells/sharer"
)

// recordRequestEnd updates the request metrics. It uses a histogram instead of a timer, as
// a timer of the metrics library starts a goroutine that never ends.
func (e *Edge) recordRequestEnd(c *forwarder.Call, status string, took time.Duration) {
	metrics.GetOrRegisterCounter("Requests."+status, e.config.Metrics).Inc(1)
	if h, ok := e.config.Metrics.GetOrRegister("Requests.TookMicroseconds."+string(c.Route.Kind), newHistogram).(metrics.Histogram); ok {
		h.Update(took.Microseconds())
	}
}

// Parameters of histograms that the metrics library recommends: 1,028 samples, weighted to
// the last five minutes.
const (
	histogramSampleSize = 1028
	histogramDecay      = 0.015
)

func newHistogram() metrics.Histogram {
	return metrics.NewHistogram(metrics.NewExpDecaySample(histogramSampleSize, histogramDecay))
}

// Dump is the state of an entry.
type Dump struct {
	Self filbertstile.Member
	// Config is the version of the routing in use; 0 if there is none.
	Config int64
	Ready  bool
	// Heard lists the processes whose heartbeats arrive.
	Heard []string
	// Waiting is the number of queued requests.
	Waiting  int
	Replicas []placer.State
	// Admissions are the admissions by priority to services.
	Admissions []placer.AdmissionState
	// Suspects are the parts of prompts and the requests that are suspected of crashing
	// replicas.
	Suspects []Suspect
	// Source is where the entry's copies of the store come from.
	Source sharer.Source
	// Versions are the chosen versions of the weights.
	Versions []Version
}

// Version is a chosen version of the weights.
type Version struct {
	Model   string
	Version int64
	// DueIn is the time until requests must run only on the version or a later one; negative
	// if it has passed.
	DueIn string
}

// Suspect is a part of prompts or a request that is suspected of crashing replicas, or
// blocked. Either Part or Key is empty.
type Suspect struct {
	Part string
	// Key is the key of a request.
	Key     string
	State   string
	Crashes int
	// Age is the time since the last crash.
	Age     string
	InTrial bool
}

// Dump returns the entry's state.
func (e *Edge) Dump() Dump {
	d := Dump{Self: e.config.Self, Ready: e.Ready(), Heard: e.pulser.PeerNames()}
	if m := e.matcher.Load(); m != nil {
		d.Config = m.Routing().Version
	}
	d.Replicas, d.Waiting = e.placer.Dump(time.Now())
	d.Admissions = e.placer.Admissions(time.Now())
	for _, x := range e.suspector.Dump(time.Now()) {
		suspect := Suspect{State: x.State, Crashes: x.Crashes, Age: x.Age.String(), InTrial: x.InTrial}
		if suspector.IsRequest(x.Key) {
			suspect.Key = forwarder.FormatKey(x.Key)
		} else {
			suspect.Part = forwarder.FormatKey(x.Key)
		}
		d.Suspects = append(d.Suspects, suspect)
	}
	if e.sharer != nil {
		d.Source = e.sharer.Source()
	}
	d.Versions = e.dumpVersions()
	return d
}

func (e *Edge) dumpVersions() []Version {
	e.mu.Lock()
	defer e.mu.Unlock()
	var out []Version
	for model, list := range e.chosenVersions {
		for _, v := range list {
			out = append(out, Version{Model: model, Version: v.version, DueIn: e.dueIn(v).String()})
		}
	}
	return out
}
