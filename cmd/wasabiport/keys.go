package main

import (
	"fmt"
	"os"
	"path/filepath"
	"strings"
	"time"

	"github.com/spf13/cobra"

	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/tlsidentity"
)

const (
	defaultKeyValidity = 30 * 24 * time.Hour
	// keyFileMode allows only the owner to read private keys.
	keyFileMode = 0o600
	keysDirMode = 0o700
)

func newKeysCommand() *cobra.Command {
	command := &cobra.Command{
		Use:   "keys ZONE/HOST...",
		Short: "Create a test authority and keys for hosts",
		Long: `Creates an authority, and a certificate with its key for each host, to try out TLS
between nodes. The key of the authority is not kept, so all hosts have to be named
in one run. Use your own authority in production.`,
		Example: "  wasabiport keys --directory keys north/north-1 north/north-2 south/south-1",
		Args:    usageArgs(cobra.MinimumNArgs(1)),
	}
	directory := command.Flags().String("directory", "keys", "directory for the files")
	validity := command.Flags().Duration("validity", defaultKeyValidity, "time for which the certificates are valid")
	command.RunE = func(command *cobra.Command, names []string) error {
		hosts, err := parseKeyHosts(names)
		if err != nil {
			return asUsageError(err)
		}
		if err := writeKeys(*directory, hosts, *validity); err != nil {
			return err
		}
		_, err = fmt.Fprintf(command.OutOrStdout(), "wrote authority.pem and keys of %d hosts to %s\n", len(hosts), *directory)
		return err
	}
	return command
}

func parseKeyHosts(names []string) ([]state.Host, error) {
	var hosts []state.Host
	for _, name := range names {
		zone, host, found := strings.Cut(name, "/")
		if !found || zone == "" || host == "" || strings.ContainsAny(host, `/\`) {
			return nil, fmt.Errorf("%q is not of the form ZONE/HOST", name)
		}
		hosts = append(hosts, state.Host{Zone: state.AvailabilityZone(zone), Name: state.HostName(host)})
	}
	return hosts, nil
}

func writeKeys(directory string, hosts []state.Host, validity time.Duration) error {
	now := time.Now()
	authority, err := tlsidentity.NewAuthority(now, validity)
	if err != nil {
		return err
	}
	if err := os.MkdirAll(directory, keysDirMode); err != nil {
		return err
	}
	files := map[string][]byte{"authority.pem": authority.Certificate()}
	for _, host := range hosts {
		pair, err := authority.Issue(host, now, validity)
		if err != nil {
			return err
		}
		files[string(host.Name)+".pem"] = pair.Certificate
		files[string(host.Name)+"-key.pem"] = pair.Key
	}
	for name, content := range files {
		if err := os.WriteFile(filepath.Join(directory, name), content, keyFileMode); err != nil {
			return err
		}
	}
	return nil
}
