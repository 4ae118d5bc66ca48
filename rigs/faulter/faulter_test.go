package faulter_test

import (
	"context"
	"fmt"
	"slices"
	"testing"

	"filbertstile.example/filbertstile/rigs/bubbler"
	"filbertstile.example/filbertstile/rigs/faulter"
)

func play(t *testing.T, step faulter.Step, faults []faulter.Fault, seed uint64) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		v, err := faulter.Run(ctx, step, faults, seed)
		if err != nil {
			t.Errorf("did not recover: %v", err)
		}
		if v.Broken() > 0 || v.Answered == 0 {
			t.Errorf("broken promises: %+v", v)
		}
		t.Logf("requests %d, answered %d, refused %d, failed %d, unknown %d", v.Requests, v.Answered, v.Refused, v.Failed, v.Unknown)
	})
}

func TestFaultMatrix(t *testing.T) {
	for i, step := range faulter.Steps() {
		for j, fault := range faulter.Faults() {
			t.Run(step.Name+"/"+fault.Name, func(t *testing.T) {
				play(t, step, []faulter.Fault{fault}, uint64(100*i+j))
			})
		}
	}
}

func TestFaultPairs(t *testing.T) {
	for i, p := range faulter.Pairs() {
		t.Run(fmt.Sprintf("%s/%s+%s", p.Step, p.First, p.Second), func(t *testing.T) {
			step := faulter.Steps()[slices.IndexFunc(faulter.Steps(), func(s faulter.Step) bool { return s.Name == p.Step })]
			var faults []faulter.Fault
			for _, f := range faulter.Faults() {
				if f.Name == p.First || f.Name == p.Second {
					faults = append(faults, f)
				}
			}
			play(t, step, faults, uint64(1000+i))
		})
	}
}

// TestPlannedStepsCutNothing plays the planned steps without a fault: no
// request may fail or be cut off.
func TestPlannedStepsCutNothing(t *testing.T) {
	for i, step := range faulter.Steps() {
		t.Run(step.Name, func(t *testing.T) {
			bubbler.Run(t, func(ctx context.Context, t *testing.T) {
				v, err := faulter.Run(ctx, step, nil, uint64(i))
				if err != nil || v.Broken()+v.Failed+v.Refused+v.Unknown > 0 {
					t.Errorf("%v: %+v", err, v)
				}
			})
		})
	}
}
