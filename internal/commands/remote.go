package commands

import (
	"context"
	"crypto/tls"
	"crypto/x509"
	"encoding/json"
	"fmt"
	"net/netip"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"github.com/integrii/flaggy"

	"pollencroft/internal/cell"
	"pollencroft/pkg/client"
)

// remote holds the flags of the commands that connect to a running host.
type remote struct {
	host, token string
	json        bool
	// cert, key and ca are paths of PEM files. server is the name in the host's certificate,
	// "host.domain". If ca is given without cert, the operator authenticates with the token.
	cert, key, ca, server string
}

const commandTimeout = 10 * time.Second

func (o *remote) flags(s *flaggy.Subcommand, defaultHost string) {
	o.host = defaultHost
	o.token = os.Getenv("POLLENCROFT_TOKEN")
	s.String(&o.host, "a", "host", "address of an entry host")
	s.String(&o.token, "t", "token", "operators' token (or POLLENCROFT_TOKEN)")
	s.String(&o.ca, "", "ca", "authority of the hosts' certificates: speak TLS")
	s.String(&o.cert, "", "cert", "operator's certificate")
	s.String(&o.key, "", "key", "operator's key")
	s.String(&o.server, "", "name", "name in the host's certificate, host.domain")
	s.Bool(&o.json, "j", "json", "print JSON")
}

func (o *remote) dial() (*client.Client, context.Context, context.CancelFunc, error) {
	addr, err := netip.ParseAddrPort(o.host)
	if err != nil {
		return nil, nil, nil, errors.Wrap(err, "read host address")
	}
	ctx, cancel := context.WithTimeout(context.Background(), commandTimeout)
	if o.ca == "" {
		return client.New(addr, o.token, nil), ctx, cancel, nil
	}
	cfg, err := o.tls()
	if err != nil {
		cancel()
		return nil, nil, nil, err
	}
	return client.NewTLS(addr, o.token, cfg), ctx, cancel, nil
}

func (o *remote) tls() (*tls.Config, error) {
	text, err := os.ReadFile(o.ca)
	if err != nil {
		return nil, errors.Wrap(err, "read authority")
	}
	cfg := &tls.Config{MinVersion: tls.VersionTLS13, RootCAs: x509.NewCertPool(), ServerName: o.server}
	if !cfg.RootCAs.AppendCertsFromPEM(text) {
		return nil, &cell.ValueError{Field: "ca", Found: o.ca, Allowed: "a PEM file with certificates"}
	}
	if o.cert == "" {
		return cfg, nil
	}
	pair, err := tls.LoadX509KeyPair(o.cert, o.key)
	cfg.Certificates = []tls.Certificate{pair}
	return cfg, errors.Wrap(err, "read operator's certificate")
}

// Default listener addresses of a host that is started by hand.
const (
	defaultCallerAddress   = "127.0.0.1:7001"
	defaultOperatorAddress = "127.0.0.1:7002"
)

func printJSON(v any) error {
	b, err := json.MarshalIndent(v, "", "  ")
	if err != nil {
		return errors.Wrap(err, "print reply")
	}
	fmt.Println(string(b))
	return nil
}

// printPage fetches a page from the host's operator listener and prints it as JSON.
func (o *remote) printPage(path string) error {
	c, ctx, cancel, err := o.dial()
	if err != nil {
		return err
	}
	defer cancel()
	var page any
	if err := c.Get(ctx, path, &page); err != nil {
		return err
	}
	return printJSON(page)
}
