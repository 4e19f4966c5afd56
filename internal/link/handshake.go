package link

import (
	"crypto/hmac"
	"crypto/rand"
	"crypto/sha256"
	"crypto/tls"
	"net"
	"time"

	"github.com/pkg/errors"

	"chicorytiller.example/chicorytiller/internal/codec"
)

const (
	nonceBytes        = 32
	maxHandshakeBytes = 1024 // of one message of a peer that is not yet authenticated
	roleClient        = "client"
	roleServer        = "server"
	tlsExporterLabel  = "EXPORTER-chicory-link"
)

// refusal is why an end ends the handshake.
type refusal string

const (
	refusedVersion refusal = "version"
	refusedAuth    refusal = "auth"
)

// The handshake, in order: hello (client), challenge (server), proof (client),
// proof (server).
type hello struct {
	Version    int    `msgpack:"version"`
	MinVersion int    `msgpack:"min_version"`
	Nonce      []byte `msgpack:"nonce"`
	Address    string `msgpack:"address"`
}

type challenge struct {
	Version int     `msgpack:"version"` // the one agreed
	Nonce   []byte  `msgpack:"nonce"`
	Refused refusal `msgpack:"refused,omitempty"`
}

type proof struct {
	MAC     []byte  `msgpack:"mac"`
	Refused refusal `msgpack:"refused,omitempty"`
}

// session is what an end knows of its authenticated connection.
type session struct {
	conn    net.Conn
	reader  *frameReader
	peer    string // the other end's listening address
	key     []byte
	version int
}

// transcript is what both proofs cover: all that was said before, so that nothing
// of it can be changed on the way, and the TLS session if there is one, so that a
// proof can't be relayed from one TLS session into another.
type transcript struct {
	hello, challenge, binding []byte
}

func (t transcript) mac(key []byte, role string) []byte {
	hash := hmac.New(sha256.New, key)
	hash.Write([]byte(role)) // without the role a proof could be sent back as the answer to itself
	for _, part := range [][]byte{t.hello, t.challenge, t.binding} {
		digest := sha256.Sum256(part)
		hash.Write(digest[:])
	}
	return hash.Sum(nil)
}

// clientHandshake authenticates a dialled connection.
func clientHandshake(conn net.Conn, address string, cfg Config) (session, error) {
	s := session{conn: conn, peer: address, reader: newFrameReader(conn), key: cfg.Keys.current()}
	if err := conn.SetDeadline(time.Now().Add(cfg.HandshakeTimeout)); err != nil {
		return s, errors.Wrap(err, "link: set deadline")
	}
	said, err := s.clientHello(cfg)
	if err != nil {
		return s, err
	}
	if err := s.send(proof{MAC: said.mac(s.key, roleClient)}); err != nil {
		return s, err
	}
	var answer proof
	if _, err := s.receive(&answer); err != nil {
		return s, err
	}
	if answer.Refused != "" {
		return s, refusalError(answer.Refused, "refused by "+address)
	}
	if !hmac.Equal(answer.MAC, said.mac(s.key, roleServer)) {
		return s, errors.Wrapf(ErrAuth, "%s does not hold the shared key", address)
	}
	return s, errors.Wrap(conn.SetDeadline(time.Time{}), "link: clear deadline")
}

func (s *session) clientHello(cfg Config) (transcript, error) {
	nonce, err := newNonce()
	if err != nil {
		return transcript{}, err
	}
	greeting := hello{Version: cfg.version, MinVersion: cfg.minVersion, Nonce: nonce, Address: cfg.Address}
	said := transcript{}
	if said.hello, err = codec.Marshal(&greeting); err != nil {
		return said, errors.Wrap(err, "link: encode hello")
	}
	if err := s.sendBytes(said.hello); err != nil {
		return said, err
	}
	var asked challenge
	if said.challenge, err = s.receive(&asked); err != nil {
		return said, err
	}
	if asked.Refused != "" {
		return said, refusalError(asked.Refused, "refused by "+s.peer)
	}
	if asked.Version > cfg.version || asked.Version < cfg.minVersion {
		return said, errors.Wrapf(ErrVersion, "%s chose version %d", s.peer, asked.Version)
	}
	s.version = asked.Version
	said.binding, err = tlsBinding(s.conn)
	return said, err
}

// serverHandshake authenticates an accepted connection. The server proves itself
// only to a client that has proved itself, so that it can't be used to make proofs.
func serverHandshake(conn net.Conn, cfg Config) (session, error) {
	s := session{conn: conn, reader: newFrameReader(conn)}
	if err := conn.SetDeadline(time.Now().Add(cfg.HandshakeTimeout)); err != nil {
		return s, errors.Wrap(err, "link: set deadline")
	}
	said, err := s.serverChallenge(cfg)
	if err != nil {
		return s, err
	}
	var claimed proof
	if _, err := s.receive(&claimed); err != nil {
		return s, err
	}
	for _, key := range cfg.Keys.accepted() {
		if hmac.Equal(claimed.MAC, said.mac(key, roleClient)) {
			s.key = key
		}
	}
	if s.key == nil {
		_ = s.send(proof{Refused: refusedAuth}) // the connection is closed in any case
		return s, errors.Wrapf(ErrAuth, "%s holds no accepted key", conn.RemoteAddr())
	}
	if err := s.send(proof{MAC: said.mac(s.key, roleServer)}); err != nil {
		return s, err
	}
	return s, errors.Wrap(conn.SetDeadline(time.Time{}), "link: clear deadline")
}

func (s *session) serverChallenge(cfg Config) (transcript, error) {
	said := transcript{}
	var greeting hello
	var err error
	if said.hello, err = s.receive(&greeting); err != nil {
		return said, err
	}
	s.peer = greeting.Address
	if injectFault(cfg, s.peer) {
		return said, errors.Wrap(ErrBroken, "fault")
	}
	s.version = min(cfg.version, greeting.Version)
	if s.version < cfg.minVersion || s.version < greeting.MinVersion {
		_ = s.send(challenge{Refused: refusedVersion}) // the connection is closed in any case
		return said, errors.Wrapf(ErrVersion, "%s speaks %d to %d", s.conn.RemoteAddr(), greeting.MinVersion, greeting.Version)
	}
	nonce, err := newNonce()
	if err != nil {
		return said, err
	}
	if said.challenge, err = codec.Marshal(&challenge{Version: s.version, Nonce: nonce}); err != nil {
		return said, errors.Wrap(err, "link: encode challenge")
	}
	if err := s.sendBytes(said.challenge); err != nil {
		return said, err
	}
	said.binding, err = tlsBinding(s.conn)
	return said, err
}

// injectFault applies a test's fault to the handshake; true means: give up.
func injectFault(cfg Config, to string) bool {
	if cfg.Fault == nil {
		return false
	}
	action := cfg.Fault(cfg.Address, to)
	return action.Drop || action.Cut
}

func (s *session) send(message any) error {
	data, err := codec.Marshal(message)
	if err != nil {
		return errors.Wrap(err, "link: encode handshake")
	}
	return s.sendBytes(data)
}

func (s *session) sendBytes(data []byte) error {
	wire, err := wrapBytes(data, maxHandshakeBytes)
	if err != nil {
		return err
	}
	_, err = s.conn.Write(wire)
	return errors.Wrap(err, "link: handshake")
}

func (s *session) receive(into any) ([]byte, error) {
	data, err := s.reader.next(maxHandshakeBytes)
	if err != nil {
		return nil, errors.Wrap(err, "link: handshake")
	}
	return data, decodeBody(data, into, maxHandshakeBytes)
}

func refusalError(why refusal, detail string) error {
	if why == refusedVersion {
		return errors.Wrap(ErrVersion, detail)
	}
	return errors.Wrap(ErrAuth, detail)
}

func newNonce() ([]byte, error) {
	nonce := make([]byte, nonceBytes)
	_, err := rand.Read(nonce)
	return nonce, errors.Wrap(err, "link: nonce")
}

func tlsBinding(conn net.Conn) ([]byte, error) {
	secured, ok := conn.(*tls.Conn)
	if !ok {
		return nil, nil
	}
	if err := secured.Handshake(); err != nil {
		return nil, errors.Wrap(err, "link: TLS handshake")
	}
	state := secured.ConnectionState()
	binding, err := state.ExportKeyingMaterial(tlsExporterLabel, nil, sha256.Size)
	return binding, errors.Wrap(err, "link: TLS exporter")
}
