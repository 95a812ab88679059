package keys_test

import (
	"context"
	"crypto/tls"
	"net"
	"path/filepath"
	"sync"
	"testing"
	"time"

	"github.com/stretchr/testify/require"

	"pollencroft/internal/keys"
	"pollencroft/internal/standin"
)

// counts counts failed handshakes and reloads by reason.
type counts struct {
	mu  sync.Mutex
	all map[string]int
}

func (c *counts) add(reason string) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.all[reason]++
}

func (c *counts) of(reason string) int {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.all[reason]
}

const (
	limit  = 20 * time.Second
	server = "nord-1.nord"
	friend = "nord-2.nord"
)

func open(t *testing.T, a *standin.Authority, dir, name string, until time.Time, clock func() time.Time) (*keys.Keys, *counts) {
	t.Helper()
	require.NoError(t, a.Issue(dir, name, until))
	c := &counts{all: map[string]int{}}
	files := keys.Files{Cert: filepath.Join(dir, "cert.pem"), Key: filepath.Join(dir, "key.pem"), CA: filepath.Join(dir, "ca.pem")}
	k, err := keys.New(files, map[string]string{server: "nord-1", friend: "nord-2"}, c.add, clock)
	require.NoError(t, err)
	return k, c
}

func authority(t *testing.T) *standin.Authority {
	t.Helper()
	a, err := standin.NewAuthority()
	require.NoError(t, err)
	return a
}

// dial opens a TLS connection and reads one byte. Only then does a client know that the
// server accepted its certificate.
func dial(k *keys.Keys, addr, name string) error {
	raw, err := net.Dial("tcp", addr)
	if err != nil {
		return err
	}
	defer raw.Close()
	_ = raw.SetDeadline(time.Now().Add(limit))
	conn, err := k.ConnectPeer(context.Background(), raw, name)
	if err != nil {
		return err
	}
	_, err = conn.Read(make([]byte, 1))
	return err
}

// Unauthorized clients connect to a host's peer port: without TLS, with an expired
// certificate, with one of another authority, or with one that names no known host. Each is
// rejected and counted, and none delays the others.
func TestOnlyKnownHostsConnect(t *testing.T) {
	a, far := authority(t), authority(t)
	later := time.Now().Add(time.Hour)
	k, c := open(t, a, t.TempDir(), server, later, time.Now)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := k.PeerListener(ln)
	defer in.Close()
	names := make(chan string, 8)
	go func() {
		for {
			conn, err := in.Accept()
			if err != nil {
				return
			}
			names <- conn.(*keys.Conn).Peer()
			_, _ = conn.Write([]byte("x"))
		}
	}()
	addr := ln.Addr().String()

	silent, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer silent.Close()
	plain, err := net.Dial("tcp", addr)
	require.NoError(t, err)
	defer plain.Close()
	_, err = plain.Write([]byte("GET / HTTP/1.1\r\nHost: x\r\n\r\n"))
	require.NoError(t, err)

	good, _ := open(t, a, t.TempDir(), friend, later, time.Now)
	require.NoError(t, dial(good, addr, server))
	require.Equal(t, "nord-2", <-names)

	stranger, _ := open(t, a, t.TempDir(), "nord-9.nord", later, time.Now)
	require.Error(t, dial(stranger, addr, server))
	expired, _ := open(t, a, t.TempDir(), friend, time.Now().Add(-time.Minute), time.Now)
	require.Error(t, dial(expired, addr, server))
	foreign, fc := open(t, far, t.TempDir(), friend, later, time.Now)
	require.Error(t, dial(foreign, addr, server))
	require.Equal(t, 1, fc.of("foreign"), "the client must not trust the server either")
	conn, err := tls.Dial("tcp", addr, &tls.Config{InsecureSkipVerify: true, MaxVersion: tls.VersionTLS12})
	require.Error(t, err, "TLS 1.2 must be rejected")
	require.Nil(t, conn)

	require.Error(t, dial(good, addr, "nord-3.nord"), "the server is not the host that the client asked for")
	for _, reason := range []string{"plain", "name", "expired"} {
		require.Eventually(t, func() bool { return c.of(reason) > 0 }, limit, time.Millisecond, reason)
	}
	require.Empty(t, names)
}

// Certificates are replaced while the host runs. New connections use the new certificates
// without a restart.
func TestKeysAreReloaded(t *testing.T) {
	a, b := authority(t), authority(t)
	now := time.Now()
	var mu sync.Mutex
	clock := func() time.Time { mu.Lock(); defer mu.Unlock(); return now }
	dir := t.TempDir()
	k, c := open(t, a, dir, server, now.Add(time.Hour), clock)
	ln, err := net.Listen("tcp", "127.0.0.1:0")
	require.NoError(t, err)
	in := k.PeerListener(ln)
	defer in.Close()
	go func() {
		for {
			conn, err := in.Accept()
			if err != nil {
				return
			}
			_, _ = conn.Write([]byte("x"))
		}
	}()
	fresh, _ := open(t, b, t.TempDir(), friend, now.Add(time.Hour), time.Now)
	require.Error(t, dial(fresh, ln.Addr().String(), server))
	require.NoError(t, b.Issue(dir, server, now.Add(time.Hour)))
	mu.Lock()
	now = now.Add(2 * time.Second)
	mu.Unlock()
	require.NoError(t, dial(fresh, ln.Addr().String(), server))
	require.Equal(t, 1, c.of("reread"))
}

func TestLoadErrorNamesTheFile(t *testing.T) {
	_, err := keys.New(keys.Files{Cert: "none.pem", Key: "none.pem", CA: "none.pem"}, nil, nil, time.Now)
	var file *keys.FileError
	require.ErrorAs(t, err, &file)
	require.Equal(t, "none.pem", file.Path)
}
