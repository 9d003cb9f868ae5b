package secure_test

import (
	"context"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"opalbridge.dev/secure"
)

// authority is a certificate authority for tests.
type authority struct {
	certificate *x509.Certificate
	key         *ecdsa.PrivateKey
	file        string
}

func newAuthority(t *testing.T, dir, name string) *authority {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: name}, NotAfter: time.Now().Add(time.Hour),
		IsCA: true, BasicConstraintsValid: true, KeyUsage: x509.KeyUsageCertSign}
	der, err := x509.CreateCertificate(rand.Reader, c, c, &key.PublicKey, key)
	require.NoError(t, err)
	c, err = x509.ParseCertificate(der)
	require.NoError(t, err)
	a := &authority{certificate: c, key: key, file: filepath.Join(dir, name+".pem")}
	writePEM(t, a.file, "CERTIFICATE", der)
	return a
}

func writePEM(t *testing.T, file, kind string, der []byte) {
	require.NoError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))
}

// issue writes a certificate and key for a node and returns the file names.
func (a *authority) issue(t *testing.T, dir, node string, serial int64) (certificate, key string) {
	k, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	require.NoError(t, err)
	c := &x509.Certificate{SerialNumber: big.NewInt(serial), Subject: pkix.Name{CommonName: node}, DNSNames: []string{node}, NotAfter: time.Now().Add(time.Hour),
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth}}
	der, err := x509.CreateCertificate(rand.Reader, c, a.certificate, &k.PublicKey, a.key)
	require.NoError(t, err)
	pk, err := x509.MarshalECPrivateKey(k)
	require.NoError(t, err)
	certificate, key = filepath.Join(dir, node+"-cert.pem"), filepath.Join(dir, node+"-key.pem")
	writePEM(t, certificate, "CERTIFICATE", der)
	writePEM(t, key, "EC PRIVATE KEY", pk)
	return certificate, key
}

func open(t *testing.T, a, trusted *authority, dir, node string) *secure.Credentials {
	certificate, key := a.issue(t, dir, node, 2)
	creds, err := secure.Open(certificate, key, trusted.file)
	require.NoError(t, err)
	return creds
}

// serve accepts connections and sends the result of each TLS handshake.
func serve(t *testing.T, creds *secure.Credentials) (address string, handshakes chan error) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	t.Cleanup(func() { l.Close() })
	handshakes = make(chan error, 8)
	peers := tls.NewListener(l, creds.PeerConfig())
	go func() {
		for {
			c, err := peers.Accept()
			if err != nil {
				return
			}
			handshakes <- c.(*tls.Conn).HandshakeContext(context.Background())
			c.Close()
		}
	}()
	return l.Addr().String(), handshakes
}

// TestPeersRequireFleetCertificate checks that a connection between processes fails
// if either side has no certificate of the authority that the other side trusts.
func TestPeersRequireFleetCertificate(t *testing.T) {
	dir := t.TempDir()
	fleet, other := newAuthority(t, dir, "fleet"), newAuthority(t, dir, "other")
	server := open(t, fleet, fleet, dir, "agent")
	address, handshakes := serve(t, server)

	c, err := open(t, fleet, fleet, dir, "router").Dial(context.Background(), address)
	require.NoError(t, err)
	require.NoError(t, <-handshakes)
	c.Close()

	c, err = open(t, other, fleet, dir, "stranger").Dial(context.Background(), address)
	if err == nil { // TLS 1.3 clients learn of the rejection on the first read
		_, err = c.Read(make([]byte, 1))
		c.Close()
	}
	require.Error(t, err)
	require.Error(t, <-handshakes)

	_, err = open(t, fleet, other, dir, "other-trust").Dial(context.Background(), address)
	require.Error(t, err, "the server's certificate is of another authority")
	<-handshakes

	plain, err := tls.Dial("tcp", address, &tls.Config{InsecureSkipVerify: true})
	if err == nil {
		_, err = plain.Read(make([]byte, 1))
		plain.Close()
	}
	require.Error(t, err, "the client presents no certificate")
	require.Error(t, <-handshakes)
}

// TestCertificateReload checks that a renewed certificate is used without a restart,
// and that an invalid file leaves the previous certificate in use.
func TestCertificateReload(t *testing.T) {
	dir := t.TempDir()
	fleet := newAuthority(t, dir, "fleet")
	server := open(t, fleet, fleet, dir, "agent")
	first, err := server.CallerConfig().GetCertificate(nil)
	require.NoError(t, err)
	certificate, _ := fleet.issue(t, dir, "agent", 3)
	require.NoError(t, os.Chtimes(certificate, time.Now(), time.Now().Add(time.Minute)))
	require.Eventually(t, func() bool {
		now, err := server.CallerConfig().GetCertificate(nil)
		return err == nil && string(now.Certificate[0]) != string(first.Certificate[0])
	}, 10*time.Second, 20*time.Millisecond)

	require.NoError(t, os.WriteFile(certificate, []byte("rubbish"), 0o600))
	now, err := server.CallerConfig().GetCertificate(nil)
	require.NoError(t, err)
	require.NotNil(t, now, "the previous certificate stays in use")
}
