package credential

import (
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"crypto/x509/pkix"
	"encoding/pem"
	"errors"
	"math/big"
	"net"
	"os"
	"path/filepath"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// signer signs certificates for a test.
type signer struct {
	cert *x509.Certificate
	key  *ecdsa.PrivateKey
	dir  string
}

func newSigner(t *testing.T) *signer {
	t.Helper()

	s := &signer{dir: t.TempDir()}

	var err error

	s.key, err = ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), Subject: pkix.Name{CommonName: "authority"}, IsCA: true, BasicConstraintsValid: true,
		NotAfter: time.Now().Add(time.Hour), KeyUsage: x509.KeyUsageCertSign,
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, &s.key.PublicKey, s.key)
	assert.NilError(t, err)

	s.cert, err = x509.ParseCertificate(der)
	assert.NilError(t, err)
	s.write(t, "ca.pem", "CERTIFICATE", der)

	return s
}

func (s *signer) write(t *testing.T, name, kind string, der []byte) string {
	t.Helper()

	file := filepath.Join(s.dir, name)
	assert.NilError(t, os.WriteFile(file, pem.EncodeToMemory(&pem.Block{Type: kind, Bytes: der}), 0o600))

	return file
}

// issue writes a new certificate for loopback under the name.
func (s *signer) issue(t *testing.T, name string, serial int64) Files {
	t.Helper()

	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	assert.NilError(t, err)

	template := &x509.Certificate{
		SerialNumber: big.NewInt(serial), NotAfter: time.Now().Add(time.Hour),
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, s.cert, &key.PublicKey, s.key)
	assert.NilError(t, err)

	keyDER, err := x509.MarshalECPrivateKey(key)
	assert.NilError(t, err)

	return Files{
		Certificate: s.write(t, name+".pem", "CERTIFICATE", der),
		Key:         s.write(t, name+".key", "EC PRIVATE KEY", keyDER),
		Authority:   filepath.Join(s.dir, "ca.pem"),
	}
}

// shake connects and returns the serial number of the listener's certificate.
func shake(t *testing.T, l net.Listener, cfg *tls.Config) (int64, error) {
	t.Helper()

	conn, err := tls.Dial("tcp", l.Addr().String(), cfg)
	if err != nil {
		return 0, err
	}

	defer func() { _ = conn.Close() }()

	// The listener's verdict on the client's certificate comes with the first
	// read.
	if _, err := conn.Read(make([]byte, 1)); err != nil {
		return 0, err
	}

	return conn.ConnectionState().PeerCertificates[0].SerialNumber.Int64(), nil
}

// TestMutualAndReload: both sides need a certificate of the same authority,
// and a replaced certificate is used without a restart.
func TestMutualAndReload(t *testing.T) {
	s, other := newSigner(t), newSigner(t)
	files := s.issue(t, "server", 7)

	server, err := Server(files)
	assert.NilError(t, err)

	l, err := tls.Listen("tcp", "127.0.0.1:0", server)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })

	go func() {
		for {
			conn, err := l.Accept()
			if err != nil {
				return
			}

			go func() {
				_, _ = conn.Write([]byte{1})
				_ = conn.Close()
			}()
		}
	}()

	client, err := Client(s.issue(t, "client", 8))
	assert.NilError(t, err)

	serial, err := shake(t, l, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(7))

	stranger, err := Client(other.issue(t, "stranger", 9))
	assert.NilError(t, err)

	stranger.RootCAs = client.RootCAs

	_, err = shake(t, l, stranger)
	assert.Assert(t, err != nil, "another authority's client was let in")

	_, err = shake(t, l, &tls.Config{RootCAs: client.RootCAs})
	assert.Assert(t, err != nil, "a client without a certificate was let in")

	s.issue(t, "server", 10)
	assert.NilError(t, os.Chtimes(files.Certificate, time.Time{}, time.Now().Add(time.Minute)))
	time.Sleep(checkEvery + 50*time.Millisecond)

	serial, err = shake(t, l, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))

	// In the middle of a replacement the old one stays in use.
	assert.NilError(t, os.WriteFile(files.Certificate, []byte("half"), 0o600))
	time.Sleep(checkEvery + 50*time.Millisecond)

	serial, err = shake(t, l, client)
	assert.NilError(t, err)
	assert.Equal(t, serial, int64(10))
}

func TestMissing(t *testing.T) {
	cfg, err := Server(Files{})
	assert.NilError(t, err)
	assert.Assert(t, cfg == nil)

	_, err = Server(Files{Certificate: "/nowhere", Key: "/nowhere"})

	var load *LoadError

	assert.Assert(t, errors.As(err, &load))
}
