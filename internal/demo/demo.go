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
	// runTimeout bounds the demonstration.
	runTimeout = 60 * time.Second
	// stopTimeout bounds the graceful end of all nodes.
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

// BrokenError says that promises did not hold.
type BrokenError struct {
	Broken int
	Looked int
}

// Error says how many promises did not hold.
func (e *BrokenError) Error() string {
	return fmt.Sprintf("%d of %d promises did not hold", e.Broken, e.Looked)
}

// Run shows both example deployments. It returns a *BrokenError when a promise
// did not hold.
func Run(ctx context.Context, options Options) error {
	deployments, err := examples.Deployments()
	if err != nil {
		return err
	}
	out := &lockedWriter{out: options.Out}
	shows, err := runAll(ctx, deployments, out)
	if err != nil {
		return errors.Join(err, stopAll(shows))
	}
	broken := &BrokenError{}
	for _, show := range shows {
		if err := show.report(); err != nil {
			return errors.Join(err, stopAll(shows))
		}
		broken.Broken += show.promises.broken()
		broken.Looked += len(show.promises.list)
	}
	if options.Keep {
		keep(ctx, out, shows)
	}
	if err := stopAll(shows); err != nil {
		return err
	}
	if broken.Broken > 0 {
		return broken
	}
	_, err = fmt.Fprintf(out, "\nall %d promises that were looked at held\n", broken.Looked)
	return err
}

// runAll shows all deployments at the same time.
func runAll(ctx context.Context, deployments []examples.Deployment, out io.Writer) ([]*show, error) {
	ctx, cancel := context.WithTimeout(ctx, runTimeout)
	defer cancel()
	var shows []*show
	for _, deployment := range deployments {
		show, err := newShow(ctx, deployment, out)
		if err != nil {
			return shows, err
		}
		shows = append(shows, show)
	}
	results := make([]error, len(shows))
	var threads sync.WaitGroup
	for i, show := range shows {
		threads.Go(func() { results[i] = show.run(ctx) })
	}
	threads.Wait()
	return shows, errors.Join(results...)
}

// stopAll ends all fleets gracefully.
func stopAll(shows []*show) error {
	ctx, cancel := context.WithTimeout(context.Background(), stopTimeout)
	defer cancel()
	problems := make([]error, len(shows))
	var threads sync.WaitGroup
	for i, show := range shows {
		show.traffic.client.CloseIdleConnections()
		threads.Go(func() { problems[i] = show.fleet.stop(ctx) })
	}
	threads.Wait()
	return errors.Join(problems...)
}

// keep prints the addresses and waits until ctx ends.
func keep(ctx context.Context, out io.Writer, shows []*show) {
	for _, show := range shows {
		show.fleet.printAddresses(out)
	}
	_, _ = fmt.Fprintln(out, "\nrunning until interrupted (Ctrl-C)")
	<-ctx.Done()
}

// lockedWriter lets several fleets write whole lines to one writer.
type lockedWriter struct {
	mu  sync.Mutex
	out io.Writer
}

func (w *lockedWriter) Write(p []byte) (int, error) {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.out.Write(p)
}
