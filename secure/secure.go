// Package secure gives listeners and connections their TLS: one certificate for
// callers, and mutual TLS between the fleet's own processes under an authority of
// its own.
//
// # Usage
//
//	k, err := secure.Open("cert.pem", "key.pem", "fleet-ca.pem")
//	callers = tls.NewListener(callers, k.Callers())
//	peers = tls.NewListener(peers, k.Peers())
//	conn, err := k.Dial(ctx, "10.0.0.5:7000")
//
// The files are read again when they change, so that certificates are renewed
// without a restart; a file that cannot be read leaves the last good one in use.
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

// checkTime is the least time between two looks at the files.
const checkInterval = time.Second

// Credentials holds a process's certificate and the fleet's authority.
type Credentials struct {
	certificateFile, keyFile, authorityFile string

	mutex          sync.Mutex
	certificate    *tls.Certificate
	authority      *x509.CertPool
	lastCheck      time.Time
	loadedModTimes [3]time.Time
}

// Open reads the files; the authority's may be empty when there is no TLS between
// processes.
func Open(certificateFile, keyFile, authorityFile string) (*Credentials, error) {
	k := &Credentials{certificateFile: certificateFile, keyFile: keyFile, authorityFile: authorityFile}
	if err := k.load(); err != nil {
		return nil, err
	}
	k.loadedModTimes = k.modTimes()
	return k, nil
}

func (k *Credentials) load() error {
	certificate, err := tls.LoadX509KeyPair(k.certificateFile, k.keyFile)
	if err != nil {
		return errors.Wrapf(err, "secure: read certificate %s", k.certificateFile)
	}
	var authority *x509.CertPool
	if k.authorityFile != "" {
		pem, err := os.ReadFile(k.authorityFile)
		if err != nil {
			return errors.Wrap(err, "secure: read authority")
		}
		authority = x509.NewCertPool()
		if !authority.AppendCertsFromPEM(pem) {
			return errors.Newf("secure: read authority %s: no certificate in it", k.authorityFile)
		}
	}
	k.certificate, k.authority = &certificate, authority
	return nil
}

func (k *Credentials) modTimes() [3]time.Time {
	var times [3]time.Time
	for i, file := range []string{k.certificateFile, k.keyFile, k.authorityFile} {
		if info, err := os.Stat(file); err == nil {
			times[i] = info.ModTime()
		}
	}
	return times
}

// current returns what is in force, after a look at the files.
func (k *Credentials) current() (*tls.Certificate, *x509.CertPool) {
	k.mutex.Lock()
	defer k.mutex.Unlock()
	if time.Since(k.lastCheck) >= checkInterval {
		k.lastCheck = time.Now()
		if times := k.modTimes(); times != k.loadedModTimes && k.load() == nil {
			k.loadedModTimes = times
		}
	}
	return k.certificate, k.authority
}

// CallerConfig returns the configuration of a listener for callers and operators.
func (k *Credentials) CallerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS12,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) {
			c, _ := k.current()
			return c, nil
		},
	}
}

// PeerConfig returns the configuration of a listener for the fleet's own processes:
// who shows no certificate of the fleet's authority is not let in.
func (k *Credentials) PeerConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			certificate, authority := k.current()
			return &tls.Config{
				MinVersion:   tls.VersionTLS13,
				Certificates: []tls.Certificate{*certificate},
				ClientAuth:   tls.RequireAndVerifyClientCert,
				ClientCAs:    authority,
			}, nil
		},
	}
}

// Dial connects to a process of the fleet and checks that the authority vouches
// for it. Hosts are replaced at any time, so it is the authority that counts and
// not the address.
func (k *Credentials) Dial(ctx context.Context, address string) (net.Conn, error) {
	certificate, authority := k.current()
	d := &tls.Dialer{Config: &tls.Config{
		MinVersion:   tls.VersionTLS13,
		Certificates: []tls.Certificate{*certificate},
		// The chain is checked below; only the check of the name is left out.
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
		return errors.New("secure: no certificate was shown")
	}
	intermediates := x509.NewCertPool()
	for _, c := range s.PeerCertificates[1:] {
		intermediates.AddCert(c)
	}
	_, err := s.PeerCertificates[0].Verify(x509.VerifyOptions{
		Roots: authority, Intermediates: intermediates, KeyUsages: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth},
	})
	return errors.Wrap(err, "secure: certificate")
}
