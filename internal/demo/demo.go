package demo

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/wasabiport/wasabiport/examples"
)

const (
	// runTimeout limits the time of the demonstration.
	runTimeout = 60 * time.Second
	// stopTimeout limits the graceful shutdown of all nodes.
	stopTimeout = 20 * time.Second
)

// Options are the settings of a demonstration.
type Options struct {
	// Out receives the report.
	Out io.Writer
	// Keep leaves the fleets running after the report, until the context
	// ends.
	Keep bool
}

// GuaranteeError reports that guarantees did not hold.
type GuaranteeError struct {
	Violated int
	Checked  int
}

// Error returns how many of the checked guarantees did not hold.
func (e *GuaranteeError) Error() string {
	return fmt.Sprintf("%d of %d promises did not hold", e.Violated, e.Checked)
}

// Run runs both example deployments. It returns a *GuaranteeError if a guarantee
// did not hold.
func Run(ctx context.Context, options Options) error {
	deployments, err := examples.Deployments()
	if err != nil {
		return err
	}
	out := &lockedWriter{out: options.Out}
	scenarios, err := runAll(ctx, deployments, out)
	if err != nil {
		return errors.Join(err, stopAll(scenarios))
	}
	violations := &GuaranteeError{}
	for _, scenario := range scenarios {
		if err := scenario.report(); err != nil {
			return errors.Join(err, stopAll(scenarios))
		}
		violations.Violated += scenario.guarantees.violations()
		violations.Checked += len(scenario.guarantees.list)
	}
	if options.Keep {
		waitForInterrupt(ctx, out, scenarios)
	}
	if err := stopAll(scenarios); err != nil {
		return err
	}
	if violations.Violated > 0 {
		return violations
	}
	_, err = fmt.Fprintf(out, "\nall %d promises that were checked held\n", violations.Checked)
	return err
}

// runAll runs the scenarios of all deployments concurrently.
func runAll(ctx context.Context, deployments []examples.Deployment, out io.Writer) ([]*scenario, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var scenarios []*scenario
	for _, deployment := range deployments {
		scenario, err := newScenario(ctx, deployment, out)
		if err != nil {
			return scenarios, err
		}
		scenarios = append(scenarios, scenario)
	}
	results := make([]error, len(scenarios))
	var threads sync.WaitGroup
	for i, scenario := range scenarios {
		threads.Go(func() { results[i] = scenario.run(ctx) })
	}
	threads.Wait()
	return scenarios, errors.Join(results...)
}

// stopAll shuts down all fleets gracefully.
func stopAll(scenarios []*scenario) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	errs := make([]error, len(scenarios))
	var threads sync.WaitGroup
	for i, scenario := range scenarios {
		scenario.traffic.client.CloseIdleConnections()
		threads.Go(func() { errs[i] = scenario.fleet.stop(ctx) })
	}
	threads.Wait()
	return errors.Join(errs...)
}

// waitForInterrupt prints the addresses and blocks until ctx is canceled.
func waitForInterrupt(ctx context.Context, out io.Writer, scenarios []*scenario) {
	for _, scenario := range scenarios {
		scenario.fleet.printAddresses(out)
	}
	_, _ = fmt.Fprintln(out, "\nrunning until interrupted (Ctrl-C)")
	<-ctx.Done()
}

// lockedWriter serializes writes, so that the lines of concurrent scenarios are
// not mixed.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
