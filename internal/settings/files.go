package settings

import (
	"bytes"
	"crypto/tls"
	"crypto/x509"
	"os"

	"github.com/pkg/errors"
)

// MinSharedKeyCharacters is the least length of a key in shared_key_file.
const MinSharedKeyCharacters = 32

// Errors of the files that settings name.
var (
	ErrSharedKey = errors.New("settings: want lines of at least 32 characters in the shared key file")
	ErrCA        = errors.New("settings: want at least one PEM certificate in the tls_ca file")
)

// Enabled tells whether a certificate is set.
func (t TLS) Enabled() bool {
	return t.Certificate != ""
}

// ServerConfig reads the files of a listener; nil if TLS is not enabled.
func (t TLS) ServerConfig() (*tls.Config, error) {
	if !t.Enabled() {
		return nil, nil
	}
	pair, err := tls.LoadX509KeyPair(t.Certificate, t.Key)
	if err != nil {
		return nil, errors.Wrap(err, "settings: certificate and key")
	}
	return &tls.Config{Certificates: []tls.Certificate{pair}, MinVersion: tls.VersionTLS12}, nil
}

// TLSConfigs reads the files for mutual TLS between routers; nil if not enabled.
func (p Peers) TLSConfigs() (server, client *tls.Config, err error) {
	server, err = p.TLS.ServerConfig()
	if err != nil || server == nil {
		return nil, nil, err
	}
	authority, err := p.readCA()
	if err != nil {
		return nil, nil, err
	}
	server.MinVersion = tls.VersionTLS13
	client = server.Clone()
	client.RootCAs = authority
	server.ClientCAs = authority
	server.ClientAuth = tls.RequireAndVerifyClientCert
	return server, client, nil
}

func (p Peers) readCA() (*x509.CertPool, error) {
	data, err := os.ReadFile(p.TLSCA)
	if err != nil {
		return nil, errors.Wrap(err, "settings: authority")
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(data) {
		return nil, ErrCA
	}
	return pool, nil
}

// ReadSharedKeys reads the keys that routers share: the one to use, and those
// that are accepted besides it. Read it again to rotate keys without a restart.
func (p Peers) ReadSharedKeys() (current []byte, also [][]byte, err error) {
	data, err := os.ReadFile(p.SharedKeyFile)
	if err != nil {
		return nil, nil, errors.Wrap(err, "settings: shared key")
	}
	var keys [][]byte
	for _, line := range bytes.Split(data, []byte("\n")) {
		line = bytes.TrimSpace(line)
		if len(line) == 0 {
			continue
		}
		if len(line) < MinSharedKeyCharacters {
			return nil, nil, ErrSharedKey
		}
		keys = append(keys, line)
	}
	if len(keys) == 0 {
		return nil, nil, ErrSharedKey
	}
	return keys[0], keys[1:], nil
}

// checkFiles tries each file that the settings name.
func checkFiles(r *Router) Faults {
	var faults Faults
	check := func(section, key, path, want string, err error) {
		if err != nil {
			problem := oneLine(errors.Cause(err).Error()) + "; want " + want
			faults = append(faults, Fault{Section: section, Key: key, Value: path, Problem: problem})
		}
	}
	const wantPair = "readable PEM files of a certificate and its own key"
	_, err := r.Callers.TLS.ServerConfig()
	check("callers", "tls_certificate", r.Callers.TLS.Certificate, wantPair, err)
	_, err = r.Operators.TLS.ServerConfig()
	check("operators", "tls_certificate", r.Operators.TLS.Certificate, wantPair, err)
	_, err = r.Peers.TLS.ServerConfig()
	check("peers", "tls_certificate", r.Peers.TLS.Certificate, wantPair, err)
	if r.Peers.TLSCA != "" {
		_, err = r.Peers.readCA()
		check("peers", "tls_ca", r.Peers.TLSCA, "a readable PEM file of certificates", err)
	}
	_, _, err = r.Peers.ReadSharedKeys()
	check("peers", "shared_key_file", r.Peers.SharedKeyFile, "a readable file of keys, one a line of 32 characters or more", err)
	return faults
}
