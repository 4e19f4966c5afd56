package link

import (
	"bufio"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"

	"chicorytiller.example/chicorytiller/internal/codec"
)

// frame is one message of an authenticated connection: a call or an answer.
// On the wire it is a msgpack byte string that holds the msgpack of the frame, so
// that its length is known, and can be refused, before it is read.
type frame struct {
	Seq    uint64 `msgpack:"s"`
	Method string `msgpack:"m,omitempty"`
	Error  string `msgpack:"e,omitempty"`
	Body   []byte `msgpack:"b,omitempty"`
}

func encodeFrame(f frame, body any, maxBytes int) ([]byte, error) {
	var err error
	if f.Body, err = codec.Marshal(body); err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode %T: %v", body, err)
	}
	inner, err := codec.Marshal(&f)
	if err != nil {
		return nil, errors.Wrapf(ErrMalformed, "encode frame: %v", err)
	}
	return wrapBytes(inner, maxBytes)
}

func wrapBytes(inner []byte, maxBytes int) ([]byte, error) {
	if len(inner) > maxBytes {
		return nil, errors.Wrapf(ErrMessageTooLarge, "%d bytes, limit %d", len(inner), maxBytes)
	}
	wire, err := codec.Marshal(inner)
	return wire, errors.Wrap(err, "link: wrap message")
}

// frameReader reads byte strings of bounded length from a connection.
type frameReader struct {
	decoder *msgpack.Decoder
}

func newFrameReader(r io.Reader) *frameReader {
	return &frameReader{decoder: msgpack.NewDecoder(bufio.NewReader(r))}
}

// next reads one byte string. The limit is checked before memory is taken, so
// that a peer can't exhaust it by announcing a huge message.
func (r *frameReader) next(maxBytes int) ([]byte, error) {
	length, err := r.decoder.DecodeBytesLen()
	if err != nil {
		return nil, err
	}
	if length < 0 {
		return nil, errors.Wrap(ErrMalformed, "message without length")
	}
	if length > maxBytes {
		return nil, errors.Wrapf(ErrMessageTooLarge, "%d bytes, limit %d", length, maxBytes)
	}
	data := make([]byte, length)
	if err := r.decoder.ReadFull(data); err != nil {
		return nil, err
	}
	return data, nil
}

func (r *frameReader) nextFrame(maxBytes int) (frame, error) {
	data, err := r.next(maxBytes)
	if err != nil {
		return frame{}, err
	}
	var f frame
	if err := decodeBody(data, &f, maxBytes); err != nil {
		return frame{}, errors.WithMessage(err, "frame")
	}
	return f, nil
}

func decodeBody(data []byte, into any, maxBytes int) error {
	if err := codec.Unmarshal(data, into, maxBytes); err != nil {
		return errors.Wrapf(ErrMalformed, "%T: %v", into, err)
	}
	return nil
}
