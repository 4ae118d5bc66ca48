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

// runCell runs one cell of the matrix and checks that the system recovers, violates no
// guarantee and completes at least one request.
func runCell(t *testing.T, step faulter.Step, faults []faulter.Fault, seed uint64) {
	t.Helper()
	bubbler.Run(t, func(ctx context.Context, t *testing.T) {
		v, err := faulter.Run(ctx, step, faults, seed)
		if err != nil {
			t.Errorf("did not recover: %v", err)
		}
		if v.Violations() > 0 || v.Answered == 0 {
			t.Errorf("guarantees violated: %+v", v)
		}
		t.Logf("requests %d, answered %d, refused %d, failed %d, unknown %d", v.Requests, v.Answered, v.Refused, v.Failed, v.Unknown)
	})
}

// inProcessEnv is the environment variable that makes the cases run in this process. By
// default each group of cases runs in its own process, as two concurrent runs in virtual time
// must not share yamux's pools. To run a single case: FAULTER_IN_PROCESS=1 go test -run ...
const inProcessEnv = "FAULTER_IN_PROCESS"

// runInSubprocess runs the test in a process of its own, in parallel with others, and returns
// true. In that process it returns false, and the caller must run the test itself.
func runInSubprocess(t *testing.T) bool {
	t.Helper()
	if os.Getenv(inProcessEnv) != "" {
		return false
	}
	t.Parallel()
	name := "^" + strings.ReplaceAll(t.Name(), "/", "$/^") + "$"
	cmd := exec.CommandContext(t.Context(), os.Args[0], "-test.run", name, "-test.timeout", "9m")
	cmd.Env = append(os.Environ(), inProcessEnv+"=1")
	out, err := cmd.CombinedOutput()
	if err != nil || bytes.Contains(out, []byte("no tests to run")) {
		t.Errorf("%v\n%s", err, out)
	}
	return true
}

// TestFaultMatrix injects every fault during every step. The system must recover and violate
// no guarantee.
func TestFaultMatrix(t *testing.T) {
	for i, step := range faulter.Steps() {
		t.Run(step.Name, func(t *testing.T) {
			if runInSubprocess(t) {
				return
			}
			for j, fault := range faulter.Faults() {
				t.Run(fault.Name, func(t *testing.T) { runCell(t, step, []faulter.Fault{fault}, uint64(100*i+j)) })
			}
		})
	}
}

// TestFaultPairs injects pairs of faults during a step. The system must recover and violate no
// guarantee.
func TestFaultPairs(t *testing.T) {
	if runInSubprocess(t) {
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
			runCell(t, step, faults, uint64(1000+i))
		})
	}
}

// TestStepsWithoutFaultsFailNoRequest runs every step without a fault. No request may fail, be
// rejected, end early or have an unknown outcome.
func TestStepsWithoutFaultsFailNoRequest(t *testing.T) {
	if runInSubprocess(t) {
		return
	}
	for i, step := range faulter.Steps() {
		t.Run(step.Name, func(t *testing.T) {
			bubbler.Run(t, func(ctx context.Context, t *testing.T) {
				v, err := faulter.Run(ctx, step, nil, uint64(i))
				if err != nil || v.Violations()+v.Failed+v.Refused+v.Unknown > 0 {
					t.Errorf("%v: %+v", err, v)
				}
			})
		})
	}
}

// TestSilentEngineFailsNoRequest guards against a request that fails, ends early or has an unknown
// outcome as an engine sends nothing for a while.
func TestSilentEngineFailsNoRequest(t *testing.T) {
	if runInSubprocess(t) {
		return
	}
	faults := faulter.Faults()
	silent := faults[slices.IndexFunc(faults, func(f faulter.Fault) bool { return f.Name == "EngineSilent" })]
	for i, step := range faulter.Steps() {
		t.Run(step.Name, func(t *testing.T) {
			bubbler.Run(t, func(ctx context.Context, t *testing.T) {
				v, err := faulter.Run(ctx, step, []faulter.Fault{silent}, uint64(i))
				if err != nil || v.Violations()+v.Failed+v.Unknown > 0 {
					t.Errorf("%v: %+v", err, v)
				}
			})
		})
	}
}
