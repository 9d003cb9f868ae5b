// Package secure configures TLS for listeners and connections: a server certificate
// for callers, and mutual TLS between the processes of the fleet under a private
// certificate authority.
//
// # Usage
//
//	creds, err := secure.Open("cert.pem", "key.pem", "fleet-ca.pem")
//	callers = tls.NewListener(callers, creds.CallerConfig())
//	peers = tls.NewListener(peers, creds.PeerConfig())
//	conn, err := creds.Dial(ctx, "10.0.0.5:7000")
//
// The files are reloaded when they change, so that certificates can be renewed
// without a restart. If a reload fails, the previous files stay in use.
package secure

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// checkInterval is the minimum time between two checks of the files for changes.
const checkInterval = time.Second

// Credentials holds the certificate of a process and the certificate authority of
// the fleet.
type Credentials struct {
	certificateFile, keyFile, authorityFile string

	mutex          sync.Mutex
	certificate    *tls.Certificate
	authority      *x509.CertPool
	lastCheck      time.Time
	loadedModTimes [3]time.Time // modification times of the loaded files
}

// Open loads the files. authorityFile may be empty if the process uses no TLS with
// other processes of the fleet.
func Open(certificateFile, keyFile, authorityFile string) (*Credentials, error) {
	c := &Credentials{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := c.load(); err != nil {
		return nil, err
	}
	c.loadedModTimes = c.modTimes()
	return c, nil
}

func (c *Credentials) load() error {
	certificate, err := tls.LoadX509KeyPair(c.certificateFile, c.keyFile)
	if err != nil {
		return errors.Wrapf(err, "secure: read certificate %s", c.certificateFile)
	}
	var authority *x509.CertPool
	if c.authorityFile != "" {
		pem, err := os.ReadFile(c.authorityFile)
		if err != nil {
			return errors.Wrap(err, "secure: read authority")
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(pem) {
			return errors.Newf("secure: read authority %s: no certificate found", c.authorityFile)
		}
	}
	c.certificate, c.authority = &certificate, authority
	return nil
}

func (c *Credentials) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, file := range []string{c.certificateFile, c.keyFile, c.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns the current credentials, after reloading changed files.
func (c *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	c.mutex.Lock()
	defer c.mutex.Unlock()
	if time.Since(c.lastCheck) >= checkInterval {
		c.lastCheck = time.Now()
		if times := c.modTimes(); times != c.loadedModTimes && c.load() == nil {
			c.loadedModTimes = times
		}
	}
	return c.certificate, c.authority
}

// CallerConfig returns the TLS configuration of a listener for callers and operators.
func (c *Credentials) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			certificate, _ := c.current()
			return certificate, nil
		},
	}
}

// PeerConfig returns the TLS configuration of a listener for other processes of the
// fleet. A client must present a certificate signed by the fleet's authority.
func (c *Credentials) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := c.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
			}, nil
		},
	}
}

// Dial connects to a process of the fleet and verifies that its certificate is signed
// by the fleet's authority. The host name is not verified, because hosts may be
// replaced at any time.
func (c *Credentials) Dial(ctx context.Context, address string) (net.Conn, error) {
	certificate, authority := c.current()
	d := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		// VerifyConnection verifies the chain, but not the host name.
		InsecureSkipVerify: true,
		VerifyConnection:   func(s tls.ConnectionState) error { return verify(s, authority) },
	}}
	conn, err := d.DialContext(ctx, "tcp", address)
	if err != nil {
		return nil, errors.Wrapf(err, "secure: dial %s", address)
	}
	return conn, nil
}

func verify(s tls.ConnectionState, authority *x509.CertPool) error {
	if len(s.PeerCertificates) == 0 {
		return errors.New("secure: peer presented no certificate")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "secure: verify certificate")
}
