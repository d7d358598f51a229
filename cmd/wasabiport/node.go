package main

import (
	"context"

	"github.com/go-logr/logr"
	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport"
	"github.com/wasabiport/wasabiport/cmd/wasabiport/settings"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
)

func newNodeCommand() *cobra.Command {
	defaults := settings.DefaultNode()
	command := &cobra.Command{
		Use:   "node",
		Short: "Run the node of this host until SIGTERM",
		Long: `Runs the node of this host: it accepts the requests of callers, guards the backend
servers of the host and takes part in the distribution of tickets. On SIGTERM it
accepts no new calls, finishes the running calls and exits with status 0.

Every flag can also be set by the environment variable that its text names.`,
		Example: `  wasabiport node --host north-1 --zone north --region great-lakes \
    --peer-address 10.1.0.11:7000 --platform-url http://10.0.0.5:7070

  WASABIPORT_LOG_FORMAT=json WASABIPORT_HOST=north-1 wasabiport node ...`,
		Args: usageArgs(cobra.NoArgs),
		RunE: func(command *cobra.Command, _ []string) error {
			loaded, err := settings.Load(command.Flags(), defaults)
			if err != nil {
				return asUsageError(err)
			}
			return runNode(command, loaded)
		},
	}
	settings.Register(command.Flags(), defaults)
	command.AddCommand(newNodeStatusCommand())
	return command
}

func runNode(command *cobra.Command, loaded settings.Node) error {
	logger, err := events.NewLogger(command.ErrOrStderr(), loaded.LogFormat, loaded.LogLevel)
	if err != nil {
		return asUsageError(err)
	}
	node, err := wasabiport.Create(command.Context(), nodeConfig(loaded, logger))
	if err != nil {
		return err
	}
	events.Log(logger, events.NodeStarted{
		Host:      state.HostName(loaded.Host),
		Zone:      state.AvailabilityZone(loaded.Zone),
		Peers:     loaded.PeerAddress,
		Callers:   node.CallerAddress(),
		Operators: node.OperatorAddress(),
		Version:   version(),
	})
	<-command.Context().Done()
	return leave(node, loaded)
}

// leave shuts the node down gracefully within the leave timeout.
func leave(node *wasabiport.Node, loaded settings.Node) error {
	ctx, cancel := context.WithTimeout(context.Background(), loaded.LeaveTimeout)
	defer cancel()
	return node.Leave(ctx)
}

func nodeConfig(loaded settings.Node, logger logr.Logger) wasabiport.Config {
	config := wasabiport.DefaultConfig()
	config.Logger = logger
	config.Plaintext = loaded.Plaintext
	config.CertificateFile = loaded.CertificateFile
	config.KeyFile = loaded.KeyFile
	config.AuthorityFile = loaded.AuthorityFile
	config.Self = state.Host{
		Name:        state.HostName(loaded.Host),
		Zone:        state.AvailabilityZone(loaded.Zone),
		Region:      state.Region(loaded.Region),
		PeerAddress: loaded.PeerAddress,
	}
	config.CallerAddress = loaded.CallerAddress
	config.OperatorAddress = loaded.OperatorAddress
	config.PlatformURL = loaded.PlatformURL
	config.OfferInterval = loaded.OfferInterval
	config.KeySettle = loaded.KeySettle
	config.ExpectedHosts = loaded.ExpectedHosts
	config.SourceRetryInterval = loaded.SourceRetryInterval
	config.HandshakeTimeout = loaded.HandshakeTimeout
	config.RedialInterval = loaded.RedialInterval
	config.LinkBytesPerSecond = loaded.LinkBytesPerSecond
	config.LeaveDelay = loaded.LeaveDelay
	config.MemoryBytes = loaded.MemoryBytes
	config.Descriptors = loaded.Descriptors
	config.MaxBodyBytes = loaded.MaxBodyBytes
	config.MaxHeaderBytes = loaded.MaxHeaderBytes
	config.MaxHeaderFields = loaded.MaxHeaderFields
	config.MaxConnectionsPerAddress = loaded.MaxConnectionsPerAddress
	config.StallTimeout = loaded.StallTimeout
	return config
}
