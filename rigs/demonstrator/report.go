package demonstrator

import (
	"encoding/json"

	"filbertstile.example/filbertstile/rigs/checker"
)

// Row is one figure of the table of results.
type Row struct {
	Name  string
	Value float64
	Unit  string
	// Broken is true if the figure violates a guarantee of the system.
	Broken bool
}

// Report is the outcome of a demonstration.
type Report struct {
	Deployment string
	Rows       []Row
	Verdict    checker.Verdict
	// Broken is the number of rows that violate a guarantee.
	Broken int
}

// evaluate checks the results against the journals of the backend servers and completes the
// report.
func (d *demo) evaluate() {
	e := d.evidence
	e.Results = d.results
	e.OutageGrace = outageGrace
	for _, h := range d.stage.Hosts {
		e.Hosts = append(e.Hosts, h.Host.Node().Self())
		if h.Engine != nil {
			e.Executions = append(e.Executions, h.Engine.Journal()...)
			e.Overloads += h.Engine.Overloads()
			continue
		}
		e.Executions = append(e.Executions, h.Plain.Journal()...)
	}
	v := checker.Check(e)
	d.report.Deployment = d.config.Deployment.Name
	d.report.Verdict = v
	addCount := func(name string, n int, broken bool) { d.addRow(name, float64(n), "", broken) }
	addCount("requests", v.Requests, v.Requests == 0)
	addCount("answered whole", v.Answered, v.Answered == 0)
	addCount("refused as NotRun", v.Refused, false)
	addCount("failed or cut off", v.Failed, v.Failed > 0)
	addCount("orders with unknown outcome", v.Unknown, v.Unknown > 0)
	addCount("wrong answers", v.WrongAnswers, v.WrongAnswers > 0)
	addCount("answers from partial or mixed weights", v.MixedWeights, v.MixedWeights > 0)
	addCount("orders that ran twice", v.Duplicates, v.Duplicates > 0)
	addCount("orders lost", v.Lost, v.Lost > 0)
	addCount("told NotRun but ran", v.FalseNotRun, v.FalseNotRun > 0)
	d.addRow("last new work in the domain after it went out", v.LastWorkAfter.Seconds(), "s", v.WorkInOutDomain > 0)
	addCount("requests past what a cold server bears", v.Overborne, v.Overborne > 0)
	for _, r := range d.report.Rows {
		if r.Broken {
			d.report.Broken++
		}
	}
}

// writeReport writes the report as a table or as JSON.
func (d *demo) writeReport() error {
	if d.config.JSON {
		enc := json.NewEncoder(d.config.Out)
		enc.SetIndent("", "  ")
		return enc.Encode(d.report)
	}
	d.printf("")
	for _, r := range d.report.Rows {
		note := ""
		if r.Broken {
			note = "  BROKEN"
		}
		d.printf("%-52s %10.3f %-7s%s", r.Name, r.Value, r.Unit, note)
	}
	for _, detail := range d.report.Verdict.Details {
		d.printf("  %s", detail)
	}
	return nil
}
