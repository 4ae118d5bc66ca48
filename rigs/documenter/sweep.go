package documenter

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"math"
	"strings"
)

// SweepFile is the name of the file in the docs folder that holds the figures of days that were
// played with different numbers of processes.
const SweepFile = "sweep.jsonl"

// maxPower bounds the power with which a figure is carried on to the planned size.
const maxPower = 2

// sweepFigure is one figure of the processes of a role.
type sweepFigure struct {
	Deployment string
	Commit     string
	Role       string
	Name       string
	Unit       string
	// Processes are the numbers of processes, and Middle and Busiest the figure of the middle and of
	// the busiest process at each of them.
	Processes []float64
	Middle    []float64
	Busiest   []float64
}

// power returns the power of the number of processes with which the busiest process's figure grows.
func (f sweepFigure) power() float64 {
	var n, sx, sy, sxx, sxy float64
	for i, processes := range f.Processes {
		if processes <= 0 || f.Busiest[i] <= 0 {
			continue
		}
		x, y := math.Log(processes), math.Log(f.Busiest[i])
		n, sx, sy, sxx, sxy = n+1, sx+x, sy+y, sxx+x*x, sxy+x*y
	}
	if d := n*sxx - sx*sx; n > 1 && d > 0 {
		return (n*sxy - sx*sy) / d
	}
	return 0
}

// planned returns the busiest process's figure at the planned number of entries.
func (f sweepFigure) planned() float64 {
	last := len(f.Processes) - 1
	return f.Busiest[last] * math.Pow(entries/f.Processes[last], min(maxPower, max(0, f.power())))
}

func parseSweep(data []byte) ([]sweepFigure, error) {
	var out []sweepFigure
	lines := bufio.NewScanner(bytes.NewReader(data))
	for n := 1; lines.Scan(); n++ {
		var f sweepFigure
		if err := json.Unmarshal(lines.Bytes(), &f); err != nil {
			return nil, fmt.Errorf("%s line %d: %w", SweepFile, n, err)
		}
		if len(f.Processes) == 0 || len(f.Middle) != len(f.Processes) || len(f.Busiest) != len(f.Processes) {
			return nil, fmt.Errorf("%s line %d: Middle and Busiest need a value for each of Processes", SweepFile, n)
		}
		out = append(out, f)
	}
	return out, lines.Err()
}

// SweepSection generates the section of the capacity page on days with different numbers of processes.
func SweepSection(data []byte) (string, error) {
	figures, err := parseSweep(data)
	if err != nil {
		return "", err
	}
	var b strings.Builder
	b.WriteString("\n## Days with different numbers of processes\n\nFrom `sweep.jsonl`: whole days of a deployment with real processes in simulated time, requests included. Each cell has the\n")
	fmt.Fprintf(&b, "middle and the busiest process. The power is that with which the busiest grows; the last column carries it on to %d\nprocesses (between 0 and %d) and was not played.\n", entries, maxPower)
	previous := ""
	for _, f := range figures {
		if title := f.Deployment + ", " + f.Commit; title != previous {
			previous = title
			b.WriteString("\n" + title + ":\n\n| Role | Figure |")
			for _, n := range f.Processes {
				fmt.Fprintf(&b, " %.0f |", n)
			}
			fmt.Fprintf(&b, " Power | At %d |\n|---|---|%s---|---|\n", entries, strings.Repeat("---|", len(f.Processes)))
		}
		fmt.Fprintf(&b, "| %s | %s, %s |", f.Role, f.Name, f.Unit)
		for i := range f.Processes {
			fmt.Fprintf(&b, " %.3g, %.3g |", f.Middle[i], f.Busiest[i])
		}
		fmt.Fprintf(&b, " %.2f | %.3g |\n", f.power(), f.planned())
	}
	return b.String(), nil
}
