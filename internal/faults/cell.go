package faults

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Times of one run, all virtual.
const (
	// warmUp lets the fleet find itself and serve. It is longer than the time
	// for which a guard that has just come up refuses keyed calls.
	warmUp = 30 * time.Second
	// hold is how long a fault lasts.
	hold = 4 * time.Second
	// settle is longer than the time in which a ticket is in force.
	settle = inForceWithin + 5*time.Second
)

// RunCell injects faults at a step and returns what was seen. It must run in a
// synctest bubble.
func RunCell(ctx context.Context, seed uint64, step Step, faults ...Fault) (*History, error) {
	f, err := StartFleet(ctx, seed)
	defer f.Stop()
	if err != nil {
		return f.History, err
	}
	if err := f.FileTicket(); err != nil {
		return f.History, err
	}
	time.Sleep(warmUp)
	f.StartOperator()
	f.StartLoad(nil)
	time.Sleep(time.Second)
	if err := step.Reach(f.ctx, f); err != nil {
		return f.History, errors.Wrapf(err, "reach step %q", step.Name)
	}
	if err := f.inject(faults); err != nil {
		return f.History, err
	}
	f.History.Healed = time.Now()
	time.Sleep(settle)
	f.History.End = time.Now()
	return f.History, nil
}

func (f *Fleet) inject(faults []Fault) error {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	f.History.OnlyPlannedStops = true
	for _, fault := range faults {
		f.History.OnlyPlannedStops = f.History.OnlyPlannedStops && fault.Planned
		if err := fault.Begin(ctx, f); err != nil {
			return errors.Wrapf(err, "begin %q", fault.Name)
		}
	}
	time.Sleep(hold)
	cancel()
	for _, fault := range faults {
		if err := fault.End(f); err != nil {
			return errors.Wrapf(err, "end %q", fault.Name)
		}
	}
	return nil
}
