// Package keys provides TLS 1.3 for the connections between hosts and for operators. Both
// ends present a certificate that names the host and its failure domain; every other
// connection is rejected and counted. The files are reloaded when they change.
package keys

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"net"
	"os"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
)

// Files are the paths of the PEM files of one host: its certificate, its private key, and
// the authorities whose certificates it accepts.
type Files struct{ Cert, Key, CA string }

// Operator is the DNS name in an operator's certificate.
const Operator = "operator"

// Name returns the name that a host's certificate must carry.
func Name(host, domain string) string { return host + "." + domain }

// FileError reports that a key file cannot be used.
type FileError struct {
	Path  string
	Cause error
}

func (e *FileError) Error() string { return "key file " + e.Path + ": " + e.Cause.Error() }

// Unwrap returns the cause of the error.
func (e *FileError) Unwrap() error { return e.Cause }

// NameError reports that a certificate names no host that may connect.
type NameError struct{ Names []string }

func (e *NameError) Error() string { return "certificate names no known host" }

// NoCertificateError reports that a file contains no certificate.
type NoCertificateError struct{}

func (e *NoCertificateError) Error() string { return "the file contains no certificate" }

// checkInterval is the shortest time between two checks of the files.
const checkInterval = time.Second

// handshakeTimeout bounds a TLS handshake. A client that connects and sends nothing would
// otherwise hold its connection forever.
const handshakeTimeout = 3 * time.Second

// Keys are the certificates and the private key of one host. They are safe for concurrent
// use.
type Keys struct {
	files Files
	// names maps the certificate names that may connect to host names.
	names map[string]string
	count func(reason string)
	clock func() time.Time

	mu        sync.Mutex
	lastCheck time.Time
	modTimes  [3]time.Time
	cert      tls.Certificate
	pool      *x509.CertPool
}

// New loads the files; the error is a FileError. names maps the certificate names that may
// connect to host names. count is called with the reason of each failed handshake and the
// result of each reload.
func New(f Files, names map[string]string, count func(reason string), clock func() time.Time) (*Keys, error) {
	k := &Keys{files: f, names: names, count: count, clock: clock}
	return k, k.load()
}

func (k *Keys) load() error {
	cert, err := tls.LoadX509KeyPair(k.files.Cert, k.files.Key)
	if err != nil {
		return &FileError{Path: k.files.Cert, Cause: err}
	}
	text, err := os.ReadFile(k.files.CA)
	if err != nil {
		return &FileError{Path: k.files.CA, Cause: err}
	}
	pool := x509.NewCertPool()
	if !pool.AppendCertsFromPEM(text) {
		return &FileError{Path: k.files.CA, Cause: &NoCertificateError{}}
	}
	k.cert, k.pool = cert, pool
	k.modTimes = k.readModTimes()
	return nil
}

func (k *Keys) readModTimes() [3]time.Time {
	var at [3]time.Time
	for i, path := range []string{k.files.Cert, k.files.Key, k.files.CA} {
		if info, err := os.Stat(path); err == nil {
			at[i] = info.ModTime()
		}
	}
	return at
}

// current returns the keys in force. It first checks whether the files have changed. If a
// file is only half written at that time, the old keys stay in force, and the next check
// finds the complete file.
func (k *Keys) current() (tls.Certificate, *x509.CertPool) {
	k.mu.Lock()
	defer k.mu.Unlock()
	now := k.clock()
	if now.Sub(k.lastCheck) >= checkInterval {
		k.lastCheck = now
		if k.readModTimes() != k.modTimes {
			k.reload()
		}
	}
	return k.cert, k.pool
}

func (k *Keys) reload() {
	if err := k.load(); err != nil {
		k.count("unread")
		return
	}
	k.count("reread")
}

// ConnectPeer performs the client's TLS handshake on conn with the host that has the given
// certificate name.
func (k *Keys) ConnectPeer(ctx context.Context, conn net.Conn, name string) (net.Conn, error) {
	cert, pool := k.current()
	c := tls.Client(conn, &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, RootCAs: pool, ServerName: name, Time: k.clock,
	})
	ctx, cancel := context.WithTimeout(ctx, handshakeTimeout)
	defer cancel()
	if err := c.HandshakeContext(ctx); err != nil {
		k.count(reason(err))
		_ = conn.Close()
		return nil, errors.Wrapf(err, "shake hands with %s", name)
	}
	return c, nil
}

// peerConfig returns a server configuration that requires a certificate of a known host.
func (k *Keys) peerConfig() *tls.Config {
	cert, pool := k.current()
	return &tls.Config{
		MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool, Time: k.clock,
		ClientAuth: tls.RequireAndVerifyClientCert, SessionTicketsDisabled: true,
		VerifyConnection: func(s tls.ConnectionState) error {
			if k.knownHost(s) == "" {
				return &NameError{Names: s.PeerCertificates[0].DNSNames}
			}
			return nil
		},
	}
}

// knownHost returns the known host that a certificate names, or an empty string if there is
// none.
func (k *Keys) knownHost(s tls.ConnectionState) string {
	if len(s.VerifiedChains) == 0 {
		return ""
	}
	for _, name := range s.PeerCertificates[0].DNSNames {
		if host, ok := k.names[name]; ok {
			return host
		}
	}
	return ""
}

// OperatorConfig returns the configuration of the operators' listener. A client may present
// a certificate, which must then be valid; a client without one needs a token.
func (k *Keys) OperatorConfig() *tls.Config {
	return &tls.Config{
		MinVersion: tls.VersionTLS13,
		GetConfigForClient: func(*tls.ClientHelloInfo) (*tls.Config, error) {
			cert, pool := k.current()
			return &tls.Config{
				MinVersion: tls.VersionTLS13, Certificates: []tls.Certificate{cert}, ClientCAs: pool, Time: k.clock,
				ClientAuth: tls.VerifyClientCertIfGiven, SessionTicketsDisabled: true, NextProtos: []string{"http/1.1"},
			}, nil
		},
	}
}

// IsOperator reports whether a client presented an operator's certificate. A host's own
// certificate does not count, because a host must not edit the table.
func IsOperator(s *tls.ConnectionState) bool {
	return s != nil && len(s.VerifiedChains) > 0 && slices.Contains(s.PeerCertificates[0].DNSNames, Operator)
}

// reason returns the cause of a failed handshake as it is named in the metrics.
func reason(err error) string {
	var invalid x509.CertificateInvalidError
	var authority x509.UnknownAuthorityError
	var host x509.HostnameError
	var name *NameError
	var plain tls.RecordHeaderError
	switch {
	case errors.As(err, &invalid) && invalid.Reason == x509.Expired:
		return "expired"
	case errors.As(err, &authority):
		return "foreign"
	case errors.As(err, &host), errors.As(err, &name):
		return "name"
	case errors.As(err, &plain):
		return "plain"
	default:
		return "handshake"
	}
}
