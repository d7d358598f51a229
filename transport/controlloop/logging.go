package controlloop

import (
	"time"

	"github.com/wasabiport/wasabiport/coordination/control"
	"github.com/wasabiport/wasabiport/transport/events"
)

// logOutput logs an output of the plane, which the plane needed duration for.
func (l *Loop) logOutput(output control.Output, duration time.Duration) {
	for _, verdict := range output.Verdicts {
		events.Log(l.logger, verdictEvent(verdict, duration))
	}
	for _, event := range output.Events {
		if logged := toLogEvent(event, duration); logged != nil {
			events.Log(l.logger, logged)
		}
	}
}

func verdictEvent(verdict control.Verdict, duration time.Duration) events.Event {
	if verdict.Accepted() {
		return events.TicketAccepted{Ticket: verdict.Number, From: verdict.From, Duration: duration}
	}
	return events.TicketRejected{
		Ticket:     verdict.Number,
		From:       verdict.From,
		ErrorCount: len(verdict.Errors),
		Path:       verdict.Errors[0].Path,
		Reason:     verdict.Errors[0].Reason,
	}
}

// toLogEvent converts an event of the control plane to its log event. It returns
// nil for events that are not logged.
func toLogEvent(event control.Event, duration time.Duration) events.Event {
	switch event := event.(type) {
	case control.TicketGap:
		return events.TicketGap{Evaluated: event.Evaluated, Next: event.Next}
	case control.DigestDiverged:
		return events.DigestDiverged{Peer: event.Peer, Ticket: event.Version.Evaluated, Digest: event.Version.Digest, Local: event.Local.Digest}
	case control.SnapshotApplied:
		return events.SnapshotTaken{Peer: event.Peer, Ticket: event.Version.Evaluated, Duration: duration}
	case control.DiffApplied:
		return events.ChangesTaken{Peer: event.Peer, Ticket: event.Version.Evaluated, Duration: duration}
	case control.SnapshotRejected:
		return events.SnapshotRefused{Peer: event.Peer, ErrorCount: len(event.Errors)}
	case control.HostPhaseChanged:
		return events.HostPhaseChanged{Host: event.Host, Phase: event.Phase}
	case control.ParentReplaced:
		return events.ParentReplaced{Parent: event.Parent}
	case control.Resumed:
		return events.NodePaused{Delay: event.Delay}
	case control.BackendServerRegistered:
		return events.BackendServerRegistered{
			Version:       event.Version,
			BackendServer: event.Server.Name,
			Service:       event.Server.Service,
			Address:       event.Server.Address,
			Zone:          event.Server.Zone,
			Draining:      event.Server.Draining,
		}
	case control.BackendServerUnregistered:
		return events.BackendServerUnregistered{
			Version:       event.Version,
			BackendServer: event.Server.Name,
			Service:       event.Server.Service,
		}
	case control.ZoneDrained:
		return events.ZoneDrained{Zone: event.Zone, Version: event.Version, From: event.From}
	case control.ZoneDrainEnded:
		return events.ZoneDrainEnded{Zone: event.Zone, Version: event.Version, From: event.From}
	case control.StaleSourceAnswer:
		return events.SourceAnsweredOld{}
	default:
		return nil
	}
}

// reportReady logs the first time that the node is ready for callers.
func (l *Loop) reportReady(now time.Time) {
	if l.reportedReady {
		return
	}
	ready, _ := l.plane.Ready(now)
	if !ready {
		return
	}
	l.reportedReady = true
	events.Log(l.logger, events.NodeReady{Ticket: l.plane.Version().Accepted, After: now.Sub(l.started)})
}
