package command

import (
	"bytes"
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net/http"
	"net/netip"
	"os"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/wire/message"
)

// operatorFlags say how to reach an entry's operators' side.
type operatorFlags struct {
	Address   netip.AddrPort `default:"127.0.0.1:7101"                            help:"An entry's operators' listener."`
	Key       string         `env:"FULMARCROSS_KEY"                               help:"The operators' key."`
	User      string         `default:"operator"                                  env:"USER"                             help:"Your name, as the author of edits."`
	Authority string         `help:"Certificates that sign the entry's, for TLS." type:"existingfile"`
}

// operatorTimeout bounds one call of the command line.
const operatorTimeout = 30 * time.Second

// AnswerError is an answer of an entry that is not a success.
type AnswerError struct {
	Status int
	Body   string
}

func (e *AnswerError) Error() string {
	return fmt.Sprintf("the entry answered %d: %s", e.Status, e.Body)
}

// do calls the entry and returns the status and the body.
func (f *operatorFlags) do(ctx context.Context, method, path string, body []byte) (int, []byte, error) {
	ctx, cancel := context.WithTimeout(ctx, operatorTimeout)
	defer cancel()

	client, scheme, err := f.client()
	if err != nil {
		return 0, nil, err
	}

	req, err := http.NewRequestWithContext(ctx, method, scheme+"://"+f.Address.String()+path, bytes.NewReader(body))
	if err != nil {
		return 0, nil, err
	}

	req.SetBasicAuth(f.User, f.Key)

	resp, err := client.Do(req)
	if err != nil {
		return 0, nil, err
	}
	defer resp.Body.Close()

	data, err := io.ReadAll(resp.Body)

	return resp.StatusCode, data, err
}

func (f *operatorFlags) client() (*http.Client, string, error) {
	if f.Authority == "" {
		return message.DefaultClient, "http", nil
	}

	pem, err := os.ReadFile(f.Authority)
	if err != nil {
		return nil, "", err
	}

	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(pem) {
		return nil, "", errNoCertificate
	}

	tr := &http.Transport{TLSClientConfig: &tls.Config{RootCAs: pool, MinVersion: tls.VersionTLS13}}

	return &http.Client{Transport: &message.Transport{Base: tr}}, "https", nil
}

var errNoCertificate = errors.New("--authority holds no certificate")

// get reads a JSON answer.
func (f *operatorFlags) get(ctx context.Context, path string, v any) error {
	status, data, err := f.do(ctx, http.MethodGet, path, nil)
	if err != nil {
		return err
	}

	if status != http.StatusOK {
		return &AnswerError{Status: status, Body: string(bytes.TrimSpace(data))}
	}

	return json.Unmarshal(data, v)
}
