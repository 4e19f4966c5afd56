package link

import (
	"bytes"
	"crypto/ecdsa"
	"crypto/elliptic"
	"crypto/rand"
	"crypto/tls"
	"crypto/x509"
	"io"
	"math/big"
	"net"
	"net/rpc"
	"testing"
	"time"

	qt "github.com/frankban/quicktest"
)

// bytesConn is a connection that reads given bytes and takes what is written.
type bytesConn struct {
	net.Conn
	io.Reader
}

func (c bytesConn) Read(b []byte) (int, error) { return c.Reader.Read(b) }
func (bytesConn) Write(b []byte) (int, error)  { return len(b), nil }
func (bytesConn) Close() error                 { return nil }
func (bytesConn) SetDeadline(time.Time) error  { return nil }
func (bytesConn) RemoteAddr() net.Addr         { return &net.TCPAddr{} }

const fuzzMaxBytes = 1 << 12

// seeds are a right message and the ways in which a message can lie.
func seeds(f *testing.F) [][]byte {
	right, err := encodeFrame(frame{Seq: 1, Method: "Echo.Say"}, &Ask{Text: "x"}, fuzzMaxBytes)
	if err != nil {
		f.Fatal(err)
	}
	nested, err := wrapBytes(bytes.Repeat([]byte{0x91}, fuzzMaxBytes), fuzzMaxBytes)
	if err != nil {
		f.Fatal(err)
	}
	return [][]byte{
		right,
		append(append([]byte(nil), right...), right...),
		right[:len(right)-3],
		nested,                         // arrays in arrays
		{0xc6, 0xff, 0xff, 0xff, 0xff}, // announces 4 GiB
		{0xc0},                         // no length
		{0xc4, 0x05, 0xdd, 0xff, 0xff, 0xff, 0xff}, // an array of 4 Gi elements
	}
}

// FuzzCodec reads arbitrary bytes as calls and as answers of an authenticated
// peer. Each ends with a message or an error, without a panic or unbounded memory.
func FuzzCodec(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	keys, err := NewKeyring(oldKey)
	if err != nil {
		f.Fatal(err)
	}
	cfg := Config{Keys: keys, MaxMessageBytes: fuzzMaxBytes, MaxQueuedBytes: 1, MaxInFlight: fuzzMaxBytes}.withDefaults()
	f.Fuzz(func(t *testing.T, data []byte) {
		if len(data) > fuzzMaxBytes {
			return
		}
		open := func() session {
			conn := bytesConn{Reader: bytes.NewReader(data)}
			return session{conn: conn, reader: newFrameReader(conn), key: oldKey}
		}
		server := newServerCodec(open(), cfg)
		for server.ReadRequestHeader(&rpc.Request{}) == nil {
			_ = server.ReadRequestBody(&Ask{})
		}
		client := newClientCodec(open(), cfg)
		for client.ReadResponseHeader(&rpc.Response{}) == nil {
			_ = client.ReadResponseBody(&Answer{})
		}
	})
}

// FuzzHandshake reads arbitrary bytes as a peer that is not yet authenticated.
// None gets through.
func FuzzHandshake(f *testing.F) {
	for _, seed := range seeds(f) {
		f.Add(seed)
	}
	keys, err := NewKeyring(oldKey)
	if err != nil {
		f.Fatal(err)
	}
	cfg := Config{Keys: keys}.withDefaults()
	f.Fuzz(func(t *testing.T, data []byte) {
		if _, err := serverHandshake(bytesConn{Reader: bytes.NewReader(data)}, cfg); err == nil {
			t.Fatal("authenticated as client")
		}
		if _, err := clientHandshake(bytesConn{Reader: bytes.NewReader(data)}, "peer", cfg); err == nil {
			t.Fatal("authenticated as server")
		}
	})
}

// mutualTLS gives the two ends' configurations with one self-signed certificate.
func mutualTLS(c *qt.C) (server, client *tls.Config) {
	key, err := ecdsa.GenerateKey(elliptic.P256(), rand.Reader)
	c.Assert(err, qt.IsNil)
	template := &x509.Certificate{
		SerialNumber: big.NewInt(1), NotAfter: time.Now().Add(time.Hour), IsCA: true, BasicConstraintsValid: true,
		IPAddresses: []net.IP{net.IPv4(127, 0, 0, 1)},
		ExtKeyUsage: []x509.ExtKeyUsage{x509.ExtKeyUsageServerAuth, x509.ExtKeyUsageClientAuth},
	}
	der, err := x509.CreateCertificate(rand.Reader, template, template, key.Public(), key)
	c.Assert(err, qt.IsNil)
	authority := x509.NewCertPool()
	parsed, err := x509.ParseCertificate(der)
	c.Assert(err, qt.IsNil)
	authority.AddCert(parsed)
	own := []tls.Certificate{{Certificate: [][]byte{der}, PrivateKey: key}}
	server = &tls.Config{Certificates: own, ClientCAs: authority, ClientAuth: tls.RequireAndVerifyClientCert}
	return server, &tls.Config{Certificates: own, RootCAs: authority}
}

func TestMutualTLS(t *testing.T) {
	c := qt.New(t)
	serverTLS, clientTLS := mutualTLS(c)
	addr, _ := serve(c, Config{Keys: keyring(c, oldKey), ServerTLS: serverTLS})
	_, err := say(newPool(c, Config{Keys: keyring(c, oldKey), ClientTLS: clientTLS}), addr, "x")
	c.Assert(err, qt.IsNil)
	withoutCertificate := &tls.Config{RootCAs: clientTLS.RootCAs}
	_, strangerTLS := mutualTLS(c)
	for _, wrong := range []*tls.Config{nil, withoutCertificate, strangerTLS} {
		_, err = say(newPool(c, Config{Keys: keyring(c, oldKey), ClientTLS: wrong}), addr, "x")
		c.Assert(err, qt.ErrorIs, ErrUnreachable)
	}
	_, err = say(newPool(c, Config{Keys: keyring(c, newKey), ClientTLS: clientTLS}), addr, "x")
	c.Assert(err, qt.ErrorIs, ErrAuth)
}
