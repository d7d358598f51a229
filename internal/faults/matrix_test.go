package faults_test

import (
	"os"
	"os/exec"
	"testing"

	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/faults"
	"github.com/wasabiport/wasabiport/internal/virtualtime"
)

// cellVariable is the environment variable with the name of the cell that a
// child process of the test runs.
const cellVariable = "WASABIPORT_FAULTS_CELL"

// cellTimeout limits the run of a cell. It is generous because the race detector
// and a loaded machine slow a cell down.
const cellTimeout = "10m"

// cell is one cell of the matrix: a step and the faults injected at it.
type cell struct {
	name   string
	seed   uint64
	step   faults.Step
	faults []faults.Fault
}

// cells returns all cells of the matrix. Each cell has a distinct, fixed seed.
func cells() []cell {
	var all []cell
	for row, step := range faults.Steps() {
		for column, fault := range faults.Faults() {
			all = append(all, cell{
				name:   step.Name + "/" + fault.Name,
				seed:   uint64(1000*(row+1) + column),
				step:   step,
				faults: []faults.Fault{fault},
			})
		}
	}
	return append(all, pairs()...)
}

// pairs returns cells with two interacting faults, at one step of a ticket and
// at one step of a call.
func pairs() []cell {
	var all []cell
	for row, step := range faults.Steps() {
		if step.Name != "ticket passed on" && step.Name != "call sent to backend server" {
			continue
		}
		for column, pair := range faults.Pairs() {
			all = append(all, cell{
				name:   step.Name + "/" + pair[0].Name + " and " + pair[1].Name,
				seed:   uint64(100000*(row+1) + column),
				step:   step,
				faults: pair[:],
			})
		}
	}
	return all
}

// skipReason explains why a cell can't occur on its own; it is empty for cells
// that are run.
func (c cell) skipReason() string {
	reason := c.step.SkipReason
	for _, fault := range c.faults {
		reason += fault.SkipReason
	}
	return reason
}

// TestMatrix injects every fault at every step and checks all guarantees. Each
// cell runs in a separate process: the stream multiplexer pools timers, and a
// timer that was created in one synctest bubble must not be used in another.
func TestMatrix(t *testing.T) {
	for _, cell := range cells() {
		t.Run(cell.name, func(t *testing.T) {
			if reason := cell.skipReason(); reason != "" {
				t.Logf("skipped, can't occur on its own: %s", reason)
				return
			}
			t.Parallel()
			command := exec.CommandContext(t.Context(), os.Args[0], "-test.run=^TestCell$", "-test.timeout="+cellTimeout)
			command.Env = append(os.Environ(), cellVariable+"="+cell.name)
			output, err := command.CombinedOutput()
			require.NoError(t, err, "%s", output)
		})
	}
}

// TestCell runs the cell that is named in the environment variable. TestMatrix
// starts it in a child process.
func TestCell(t *testing.T) {
	name := os.Getenv(cellVariable)
	if name == "" {
		t.Logf("%s is not set; TestMatrix runs all cells", cellVariable)
		return
	}
	for _, cell := range cells() {
		if cell.name == name {
			runCell(t, cell)
			return
		}
	}
	t.Fatalf("unknown cell %q", name)
}

func runCell(t *testing.T, cell cell) {
	virtualtime.Test(t, func(t *testing.T) {
		history, err := faults.RunCell(t.Context(), cell.seed, cell.step, cell.faults...)
		require.NoError(t, err)
		require.NotEmpty(t, history.Calls)
		for _, violation := range faults.Check(history) {
			t.Errorf("seed %d: %s", cell.seed, violation)
		}
	})
}
