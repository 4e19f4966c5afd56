// Package codec encodes what is stored and what goes between routers, as msgpack.
// Bytes from outside are checked before anything is made of them.
package codec

import (
	"bytes"
	"io"

	"github.com/pkg/errors"
	"github.com/vmihailenco/msgpack/v5"
	"github.com/vmihailenco/msgpack/v5/msgpcode"
)

// Errors of Unmarshal.
var (
	// ErrMalformed: the bytes are no whole value of the wanted type.
	ErrMalformed = errors.New("codec: malformed bytes")
	// ErrTooLarge: there are more bytes than the caller takes.
	ErrTooLarge = errors.New("codec: too many bytes")
)

// maxDepth bounds arrays and maps within each other; the project's types need
// fewer than ten.
const maxDepth = 64

// Marshal gives the bytes of a value. Integers take as few bytes as they need.
func Marshal(v any) ([]byte, error) {
	encoder := msgpack.GetEncoder()
	defer msgpack.PutEncoder(encoder)
	var out bytes.Buffer
	encoder.Reset(&out)
	encoder.UseCompactInts(true)
	if err := encoder.Encode(v); err != nil {
		return nil, errors.Wrapf(err, "codec: encode %T", v)
	}
	return out.Bytes(), nil
}

// Unmarshal decodes data, which is one whole value of at most maxBytes, into v.
// After an error v is not to be used. It returns ErrMalformed or ErrTooLarge.
//
// Failure: the library makes a slice of structs at the length that the bytes claim,
// so that eight damaged bytes ask for gigabytes and end the process. The walk over
// the value makes nothing, and fails unless each claimed element is there. What is
// made then is at most one element for each byte of data.
func Unmarshal(data []byte, v any, maxBytes int) error {
	if len(data) > maxBytes {
		return errors.Wrapf(ErrTooLarge, "%d, limit %d", len(data), maxBytes)
	}
	reader := bytes.NewReader(data)
	decoder := msgpack.GetDecoder()
	defer msgpack.PutDecoder(decoder)
	decoder.Reset(reader)
	if err := walk(decoder, reader, 0); err != nil {
		return errors.Wrap(ErrMalformed, err.Error())
	}
	if reader.Len() != 0 {
		return errors.Wrapf(ErrMalformed, "%d bytes after the value", reader.Len())
	}
	reader.Reset(data)
	decoder.Reset(reader)
	if err := decode(decoder, v); err != nil {
		return errors.Wrapf(ErrMalformed, "%T: %v", v, err)
	}
	return nil
}

// decode turns the library's panics into errors. Failure: msgpack v5.4.1 panics on
// a nil in the place of a time, and one bad message would end the process. The
// value that was being decoded is given up, so that nothing half-made is used.
func decode(decoder *msgpack.Decoder, v any) (err error) {
	defer func() {
		if found := recover(); found != nil {
			err = errors.Errorf("decoder panicked: %v", found)
		}
	}()
	return decoder.Decode(v)
}

// walk goes over one value. The library's Skip would follow any depth and use the
// stack for it, some hundred bytes for each byte of data.
func walk(decoder *msgpack.Decoder, reader *bytes.Reader, depth int) error {
	if depth > maxDepth {
		return errors.Errorf("nested deeper than %d", maxDepth)
	}
	code, err := decoder.PeekCode()
	if err != nil {
		return err
	}
	elements := 0
	switch {
	case isArray(code):
		elements, err = decoder.DecodeArrayLen()
	case isMap(code):
		elements, err = decoder.DecodeMapLen()
		elements *= 2 // a key and a value
	case msgpcode.IsBin(code) || msgpcode.IsString(code):
		return walkBytes(decoder, reader)
	default:
		return decoder.Skip()
	}
	if err != nil {
		return err
	}
	for range elements {
		if err := walk(decoder, reader, depth+1); err != nil {
			return err
		}
	}
	return nil
}

// walkBytes leaves a string out without a copy of it, for which the library's Skip
// makes room before it finds the bytes missing.
func walkBytes(decoder *msgpack.Decoder, reader *bytes.Reader) error {
	length, err := decoder.DecodeBytesLen()
	if err != nil {
		return err
	}
	if length > reader.Len() {
		return errors.Errorf("string of %d bytes, %d left", length, reader.Len())
	}
	_, err = reader.Seek(int64(length), io.SeekCurrent)
	return err
}

func isArray(code byte) bool {
	return msgpcode.IsFixedArray(code) || code == msgpcode.Array16 || code == msgpcode.Array32
}

func isMap(code byte) bool {
	return msgpcode.IsFixedMap(code) || code == msgpcode.Map16 || code == msgpcode.Map32
}
