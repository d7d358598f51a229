package tlsidentity_test

import (
	"bytes"
	"context"
	"crypto/tls"
	"net"
	"os"
	"path/filepath"
	"testing"
	"testing/synctest"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/stretchr/testify/require"

	"github.com/wasabiport/wasabiport/internal/virtualtime"
	"github.com/wasabiport/wasabiport/state"
	"github.com/wasabiport/wasabiport/transport/events"
	"github.com/wasabiport/wasabiport/transport/peering"
	"github.com/wasabiport/wasabiport/transport/tlsidentity"
)

func host(name string) state.Host { return state.Host{Name: state.HostName(name), Zone: "north"} }

func newAuthority(t *testing.T) *tlsidentity.Authority {
	authority, err := tlsidentity.NewAuthority(time.Now().Add(-time.Hour), 1000*time.Hour)
	require.NoError(t, err)
	return authority
}

// writeFiles writes key files for a host. They trust one authority, and the
// certificate is issued by another or the same.
func writeFiles(t *testing.T, directory string, trusted, issuer *tlsidentity.Authority, owner state.Host, validity time.Duration) tlsidentity.Config {
	pair, err := issuer.Issue(owner, time.Now().Add(-time.Minute), validity)
	require.NoError(t, err)
	config := tlsidentity.Config{
		CertificateFile: filepath.Join(directory, "cert.pem"),
		KeyFile:         filepath.Join(directory, "key.pem"),
		AuthorityFile:   filepath.Join(directory, "authority.pem"),
	}
	require.NoError(t, os.WriteFile(config.CertificateFile, pair.Certificate, 0o600))
	require.NoError(t, os.WriteFile(config.KeyFile, pair.Key, 0o600))
	require.NoError(t, os.WriteFile(config.AuthorityFile, trusted.Certificate(), 0o600))
	return config
}

func load(t *testing.T, trusted, issuer *tlsidentity.Authority, name string, validity time.Duration) *tlsidentity.CredentialFiles {
	files, err := tlsidentity.Load(writeFiles(t, t.TempDir(), trusted, issuer, host(name), validity), host(name))
	require.NoError(t, err)
	return files
}

type outcome struct {
	identity peering.Identity
	err      error
}

// connect returns the two ends of a TCP connection. Both sides of a failing
// handshake may write at the same time, which deadlocks on an unbuffered pipe.
func connect(t *testing.T) (near, far net.Conn) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	defer listener.Close()
	near, err = net.Dial("tcp", listener.Addr().String())
	require.NoError(t, err)
	far, err = listener.Accept()
	require.NoError(t, err)
	t.Cleanup(func() {
		_ = near.Close()
		_ = far.Close()
	})
	return near, far
}

// runHandshake runs a handshake between two nodes and returns the outcome at each.
func runHandshake(t *testing.T, client, server *tlsidentity.CredentialFiles) (atClient, atServer outcome) {
	near, far := connect(t)
	done := make(chan outcome, 1)
	go func() {
		_, identity, err := tlsidentity.NewSecurity(server).Server(t.Context(), far)
		if err != nil {
			_ = far.Close()
		}
		done <- outcome{identity, err}
	}()
	conn, identity, err := tlsidentity.NewSecurity(client).Client(t.Context(), near)
	if err == nil {
		// In TLS 1.3 the rejection of its certificate reaches the client only
		// with its first read.
		go func() { _, _ = conn.Read(make([]byte, 1)) }()
	} else {
		_ = near.Close()
	}
	atServer = <-done
	_ = near.Close()
	return outcome{identity, err}, atServer
}

func TestBothSidesAreAuthenticated(t *testing.T) {
	authority := newAuthority(t)
	a, b := load(t, authority, authority, "a", time.Hour), load(t, authority, authority, "b", time.Hour)
	atClient, atServer := runHandshake(t, a, b)
	require.Equal(t, outcome{identity: peering.Identity{Host: "b", Zone: "north"}}, atClient)
	require.Equal(t, outcome{identity: peering.Identity{Host: "a", Zone: "north"}}, atServer)
}

func TestInvalidCertificatesAreRejected(t *testing.T) {
	authority, other := newAuthority(t), newAuthority(t)
	good := load(t, authority, authority, "b", time.Hour)
	tests := []struct {
		name string
		bad  *tlsidentity.CredentialFiles
	}{
		{"wrong authority", load(t, authority, other, "a", time.Hour)},
		{"expired", load(t, authority, authority, "a", time.Second)},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			_, atServer := runHandshake(t, test.bad, good)
			require.True(t, errors.Is(atServer.err, peering.ErrIdentityMismatch), "%+v", atServer.err)
			atClient, _ := runHandshake(t, good, test.bad)
			require.True(t, errors.Is(atClient.err, peering.ErrIdentityMismatch), "%+v", atClient.err)
		})
	}
}

func TestOldTLSVersionsAndMissingCertificatesAreRejected(t *testing.T) {
	authority := newAuthority(t)
	server := load(t, authority, authority, "b", time.Hour)
	tests := []struct {
		name   string
		config *tls.Config
	}{
		{"downgrade", &tls.Config{MaxVersion: tls.VersionTLS12, Certificates: []tls.Certificate{server.Current().Certificate}}},
		{"no certificate", &tls.Config{}},
	}
	for _, test := range tests {
		t.Run(test.name, func(t *testing.T) {
			near, far := connect(t)
			test.config.InsecureSkipVerify = true
			client := tls.Client(near, test.config)
			go func() {
				if client.HandshakeContext(t.Context()) == nil {
					_, _ = client.Read(make([]byte, 1))
				}
			}()
			_, _, err := tlsidentity.NewSecurity(server).Server(t.Context(), far)
			require.Error(t, err)
		})
	}
}

// recordingConn records the bytes that are written.
type recordingConn struct {
	net.Conn
	written *bytes.Buffer
}

func (c recordingConn) Write(p []byte) (int, error) {
	c.written.Write(p)
	return c.Conn.Write(p)
}

// Records the client's bytes of a successful handshake and sends them again over
// a new connection, which the server must reject.
func TestReplayedHandshakeIsRejected(t *testing.T) {
	authority := newAuthority(t)
	a, b := load(t, authority, authority, "a", time.Hour), load(t, authority, authority, "b", time.Hour)
	near, far := connect(t)
	var recorded bytes.Buffer
	go func() {
		_, _, _ = tlsidentity.NewSecurity(a).Client(t.Context(), recordingConn{Conn: near, written: &recorded})
	}()
	_, _, err := tlsidentity.NewSecurity(b).Server(t.Context(), far)
	require.NoError(t, err)
	require.NoError(t, near.Close())

	near, far = connect(t)
	go func() { _, _ = near.Write(recorded.Bytes()) }()
	go func() {
		for {
			if _, err := near.Read(make([]byte, 4096)); err != nil {
				return
			}
		}
	}()
	_, _, err = tlsidentity.NewSecurity(b).Server(t.Context(), far)
	require.Error(t, err)
}

func TestSilentHandshakeTimesOut(t *testing.T) {
	authority := newAuthority(t)
	b := load(t, authority, authority, "b", time.Hour)
	virtualtime.Test(t, func(t *testing.T) {
		near, far := net.Pipe()
		defer near.Close()
		ctx, cancel := context.WithTimeout(t.Context(), 3*time.Second)
		defer cancel()
		_, _, err := tlsidentity.NewSecurity(b).Server(ctx, far)
		require.ErrorIs(t, err, context.DeadlineExceeded)
	})
}

func TestCertificateOfAnotherHostIsRejected(t *testing.T) {
	authority := newAuthority(t)
	config := writeFiles(t, t.TempDir(), authority, authority, host("a"), time.Hour)
	_, err := tlsidentity.Load(config, host("b"))
	require.ErrorContains(t, err, "the certificate names a in north, but this node is b in north")
}

func TestChangedFilesAreReloaded(t *testing.T) {
	authority := newAuthority(t)
	directory := t.TempDir()
	config := writeFiles(t, directory, authority, authority, host("a"), 100*time.Hour)
	var log bytes.Buffer
	logger, err := events.NewLogger(&log, events.FormatText, events.LevelInfo)
	require.NoError(t, err)
	config.Logger = logger
	files, err := tlsidentity.Load(config, host("a"))
	require.NoError(t, err)
	first := files.Current()
	virtualtime.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(t.Context())
		done := make(chan struct{})
		go func() {
			files.Watch(ctx)
			close(done)
		}()
		touchAndWait := func(d time.Duration) {
			require.NoError(t, os.Chtimes(config.CertificateFile, time.Time{}, time.Unix(1_900_000_000, 0).Add(d)))
			time.Sleep(31 * time.Second)
			synctest.Wait()
		}
		require.NoError(t, os.WriteFile(config.CertificateFile, []byte("garbage"), 0o600))
		touchAndWait(0)
		require.Contains(t, log.String(), "event=602")
		require.Same(t, first, files.Current(), "the previous credentials stay in use")
		pair, err := authority.Issue(host("a"), time.Now(), 50*time.Hour)
		require.NoError(t, err)
		require.NoError(t, os.WriteFile(config.CertificateFile, pair.Certificate, 0o600))
		require.NoError(t, os.WriteFile(config.KeyFile, pair.Key, 0o600))
		touchAndWait(time.Second)
		require.Contains(t, log.String(), "event=601")
		require.NotSame(t, first, files.Current())
		require.Contains(t, log.String(), "event=603", "the new certificate expires within 7 days")
		cancel()
		<-done
	})
}
