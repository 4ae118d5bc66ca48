package faulter_test

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"os/exec"
	"slices"
	"strings"
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

// inProcess is set where the cases run in this process. By default each group of
// cases has a process of its own, as two runs in virtual time must not share
// yamux's pools; one case alone: FAULTER_IN_PROCESS=1 go test -run ...
const inProcess = "FAULTER_IN_PROCESS"

// apart runs the test in a process of its own, beside others, and reports whether
// it did; where it did not, the caller is that process.
func apart(t *testing.T) bool {
	t.Helper()
	if os.Getenv(inProcess) != "" {
		return false
	}
	t.Parallel()
	name := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", name, "-test.timeout", "9m")
	cmd.Env = append(os.Environ(), inProcess+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil || bytes.Contains(out, []byte("no tests to run")) {
		t.Errorf("%v\n%s", err, out)
	}
	return true
}

func TestFaultMatrix(t *testing.T) {
	for i, step := range faulter.Steps() {
		t.Run(step.Name, func(t *testing.T) {
			if apart(t) {
				return
			}
			for j, fault := range faulter.Faults() {
				t.Run(fault.Name, func(t *testing.T) { play(t, step, []faulter.Fault{fault}, uint64(100*i+j)) })
			}
		})
	}
}

func TestFaultPairs(t *testing.T) {
	if apart(t) {
		return
	}
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
	if apart(t) {
		return
	}
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
