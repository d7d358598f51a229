package faults

import (
	"context"
	"time"

	"github.com/cockroachdb/errors"
)

// Durations of the phases of one run, in virtual time.
const (
	// warmUpTime lets the nodes discover each other and start to serve. It is
	// longer than the time for which a guard that has just started refuses
	// calls with an idempotency key.
	warmUpTime = 30 * time.Second
	// faultDuration is the time between the start and the end of a fault.
	faultDuration = 4 * time.Second
	// settleTime is longer than a ticket may take to be in force everywhere.
	settleTime = convergenceTimeout + 5*time.Second
)

// RunCell injects faults at a step and returns what was observed. It must run
// in a synctest bubble.
func RunCell(ctx context.Context, seed uint64, step Step, faults ...Fault) (*History, error) {
	f, err := StartFleet(ctx, seed)
	defer f.Stop()
	if err != nil {
		return f.History, err
	}
	if err := f.PublishTicket(); err != nil {
		return f.History, err
	}
	time.Sleep(warmUpTime)
	f.StartOperator()
	f.StartLoad(nil)
	time.Sleep(time.Second)
	if err := step.Reach(f.ctx, f); err != nil {
		return f.History, errors.Wrapf(err, "reach step %q", step.Name)
	}
	if err := f.inject(faults); err != nil {
		return f.History, err
	}
	f.History.HealedAt = time.Now()
	time.Sleep(settleTime)
	f.History.End = time.Now()
	return f.History, nil
}

func (f *Fleet) inject(faults []Fault) error {
	ctx, cancel := context.WithCancel(f.ctx)
	defer cancel()
	f.History.OnlyPlannedShutdowns = true
	for _, fault := range faults {
		f.History.OnlyPlannedShutdowns = f.History.OnlyPlannedShutdowns && fault.Planned
		if err := fault.Begin(ctx, f); err != nil {
			return errors.Wrapf(err, "begin %q", fault.Name)
		}
	}
	time.Sleep(faultDuration)
	cancel()
	for _, fault := range faults {
		if err := fault.End(f); err != nil {
			return errors.Wrapf(err, "end %q", fault.Name)
		}
	}
	return nil
}
