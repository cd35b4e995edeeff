// Package credential makes TLS configurations from files, which are read
// again when they change.
package credential

import (
	"crypto/tls"
	"crypto/x509"
	"fmt"
	"os"
	"sync"
	"time"
)

// Files name the PEM files of one listener or client. The zero value stands
// for no TLS.
type Files struct {
	Certificate string
	Key         string
	// Authority signs the other side's certificates. On a listener it makes
	// client certificates required.
	Authority string
}

// checkEvery is how often the files are looked at for a change.
const checkEvery = time.Second

// LoadError says which files could not be used.
type LoadError struct {
	Files Files
	Err   error
}

func (e *LoadError) Error() string {
	return fmt.Sprintf("credential: %s, %s: %v", e.Files.Certificate, e.Files.Key, e.Err)
}

func (e *LoadError) Unwrap() error { return e.Err }

// source keeps the certificate last read.
type source struct {
	files Files

	mu      sync.Mutex
	cert    *tls.Certificate
	modTime time.Time
	checked time.Time
}

// Server returns the configuration of a listener, or nil without files.
func Server(files Files) (*tls.Config, error) {
	if files.Certificate == "" {
		return nil, nil //nolint:nilnil // No files mean no TLS, as the comment says.
	}

	s := &source{files: files}
	if _, err := s.current(); err != nil {
		return nil, err
	}

	cfg := &tls.Config{
		MinVersion:     tls.VersionTLS13,
		GetCertificate: func(*tls.ClientHelloInfo) (*tls.Certificate, error) { return s.current() },
	}

	if files.Authority == "" {
		return cfg, nil
	}

	pool, err := authority(files)
	if err != nil {
		return nil, err
	}

	cfg.ClientCAs = pool
	cfg.ClientAuth = tls.RequireAndVerifyClientCert

	return cfg, nil
}

// Client returns the configuration of a dialler, or nil without files.
func Client(files Files) (*tls.Config, error) {
	if files.Certificate == "" {
		return nil, nil //nolint:nilnil // No files mean no TLS, as the comment says.
	}

	s := &source{files: files}
	if _, err := s.current(); err != nil {
		return nil, err
	}

	pool, err := authority(files)
	if err != nil {
		return nil, err
	}

	return &tls.Config{
		MinVersion:           tls.VersionTLS13,
		RootCAs:              pool,
		GetClientCertificate: func(*tls.CertificateRequestInfo) (*tls.Certificate, error) { return s.current() },
	}, nil
}

func authority(files Files) (*x509.CertPool, error) {
	pem, err := os.ReadFile(files.Authority)
	if err != nil {
		return nil, &LoadError{Files: files, Err: err}
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, &LoadError{Files: files, Err: fmt.Errorf("%s holds no certificate", files.Authority)}
	}

	return pool, nil
}

// current returns the certificate, read again if its file has changed. While
// new files are unreadable, as in the middle of a replacement, the old
// certificate stays in use.
func (s *source) current() (*tls.Certificate, error) {
	s.mu.Lock()
	defer s.mu.Unlock()

	if s.cert != nil && time.Since(s.checked) < checkEvery {
		return s.cert, nil
	}

	s.checked = time.Now()

	info, err := os.Stat(s.files.Certificate)
	if err == nil && s.cert != nil && info.ModTime().Equal(s.modTime) {
		return s.cert, nil
	}

	cert, loadErr := tls.LoadX509KeyPair(s.files.Certificate, s.files.Key)
	if loadErr != nil {
		if s.cert != nil {
			return s.cert, nil
		}

		return nil, &LoadError{Files: s.files, Err: loadErr}
	}

	s.cert = &cert
	if err == nil {
		s.modTime = info.ModTime()
	}

	return s.cert, nil
}
