// Package frame carries net/rpc between this program's own processes: over
// TCP, each message a length-prefixed frame of CBOR. The codecs of
// net/rpc bound neither a frame's size nor tell versions apart, so this
// package frames messages itself and leaves their encoding to the library.
package frame

import (
	"bufio"
	"encoding/binary"
	"fmt"
	"io"
	"net/rpc"

	"github.com/fxamacker/cbor/v2"
)

// Version is the protocol's version. A process refuses other versions.
const Version = 1

// MaxFrame bounds the bytes of one message.
const MaxFrame = 32 << 20

const prefixLen = 4

// encoding keeps times exact to the nanosecond.
var encoding = func() cbor.EncMode {
	mode, err := cbor.EncOptions{Time: cbor.TimeRFC3339Nano}.EncMode()
	if err != nil {
		panic(err)
	}

	return mode
}()

// SizeError says that a message is larger than MaxFrame.
type SizeError struct{ Size uint64 }

func (e *SizeError) Error() string {
	return fmt.Sprintf("frame: frame of %d bytes, %d allowed", e.Size, MaxFrame)
}

// VersionError says that the other process speaks another version.
type VersionError struct{ Got int }

func (e *VersionError) Error() string {
	return fmt.Sprintf("frame: version %d, want %d", e.Got, Version)
}

// header precedes every message body.
type header struct {
	Version int    `cbor:"1,keyasint"`
	Method  string `cbor:"2,keyasint,omitempty"`
	Seq     uint64 `cbor:"3,keyasint"`
	Error   string `cbor:"4,keyasint,omitempty"`
	// Packed says that the body is compressed.
	Packed bool `cbor:"5,keyasint,omitempty"`
}

// frames reads and writes whole messages on a connection.
type frames struct {
	conn io.ReadWriteCloser
	r    *bufio.Reader
	w    *bufio.Writer
	body cbor.RawMessage
	// got is the size of the message that was read last.
	got int
}

func newFrames(conn io.ReadWriteCloser) *frames {
	return &frames{conn: conn, r: bufio.NewReader(conn), w: bufio.NewWriter(conn)}
}

func (f *frames) readHeader(h *header) error {
	head, err := f.readFrame()
	if err != nil {
		return err
	}

	if err := cbor.Unmarshal(head, h); err != nil {
		return err
	}

	if h.Version != Version {
		return &VersionError{Got: h.Version}
	}

	if f.body, err = f.readFrame(); err != nil {
		return err
	}

	f.got = 2*prefixLen + len(head) + len(f.body)

	if h.Packed {
		f.body, err = Unpack(f.body)
	}

	return err
}

func (f *frames) readBody(v any) error {
	if v == nil {
		return nil
	}

	return cbor.Unmarshal(f.body, v)
}

func (f *frames) readFrame() ([]byte, error) {
	var prefix [prefixLen]byte
	if _, err := io.ReadFull(f.r, prefix[:]); err != nil {
		return nil, err
	}

	n := binary.BigEndian.Uint32(prefix[:])
	if n > MaxFrame {
		return nil, &SizeError{Size: uint64(n)}
	}

	// The frame grows as its bytes arrive, so that a forged length alone
	// cannot make this process allocate MaxFrame.
	data, err := io.ReadAll(io.LimitReader(f.r, int64(n)))
	if err == nil && len(data) < int(n) {
		err = io.ErrUnexpectedEOF
	}

	return data, err
}

// write returns the size of the message.
func (f *frames) write(h header, body any) (int, error) {
	data, err := encode(body)
	if err != nil {
		return 0, err
	}

	h.Version = Version

	data, h.Packed, err = packBody(data)
	if err != nil {
		return 0, err
	}

	head, err := encode(h)
	if err != nil {
		return 0, err
	}

	if err := f.writeFrame(head); err != nil {
		return 0, err
	}

	if err := f.writeFrame(data); err != nil {
		return 0, err
	}

	return 2*prefixLen + len(head) + len(data), f.w.Flush()
}

func encode(v any) ([]byte, error) {
	data, err := encoding.Marshal(v)
	if err != nil {
		return nil, err
	}

	if len(data) > MaxFrame {
		return nil, &SizeError{Size: uint64(len(data))}
	}

	return data, nil
}

func (f *frames) writeFrame(data []byte) error {
	var prefix [prefixLen]byte

	binary.BigEndian.PutUint32(prefix[:], uint32(len(data))) //nolint:gosec // Bounded by MaxFrame.

	if _, err := f.w.Write(prefix[:]); err != nil {
		return err
	}

	_, err := f.w.Write(data)

	return err
}

// clientCodec implements rpc.ClientCodec.
type clientCodec struct {
	*frames

	count func(method string, bytes int)
}

func (c clientCodec) note(method string, bytes int) {
	if c.count != nil {
		c.count(method, bytes)
	}
}

func (c clientCodec) WriteRequest(r *rpc.Request, body any) error {
	n, err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq}, body)
	c.note(r.ServiceMethod, n)

	return err
}

func (c clientCodec) ReadResponseHeader(r *rpc.Response) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}

	r.ServiceMethod, r.Seq, r.Error = h.Method, h.Seq, h.Error
	c.note(h.Method, c.got)

	return nil
}

func (c clientCodec) ReadResponseBody(body any) error { return c.readBody(body) }

func (c clientCodec) Close() error { return c.conn.Close() }

// serverCodec implements rpc.ServerCodec.
type serverCodec struct{ *frames }

func (c serverCodec) ReadRequestHeader(r *rpc.Request) error {
	var h header
	if err := c.readHeader(&h); err != nil {
		return err
	}

	r.ServiceMethod, r.Seq = h.Method, h.Seq

	return nil
}

func (c serverCodec) ReadRequestBody(body any) error { return c.readBody(body) }

func (c serverCodec) WriteResponse(r *rpc.Response, body any) error {
	_, err := c.write(header{Method: r.ServiceMethod, Seq: r.Seq, Error: r.Error}, body)

	return err
}

func (c serverCodec) Close() error { return c.conn.Close() }
