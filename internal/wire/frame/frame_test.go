package frame

import (
	"bytes"
	"encoding/binary"
	"errors"
	"io"
	"testing"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
)

type pipe struct {
	io.Reader
	io.Writer
}

func (pipe) Close() error { return nil }

func TestFrameBounds(t *testing.T) {
	var prefix [prefixLen]byte

	binary.BigEndian.PutUint32(prefix[:], MaxFrame+1)

	var tooLarge *SizeError

	err := newFrames(pipe{Reader: bytes.NewReader(prefix[:])}).readHeader(&header{})
	assert.Assert(t, errors.As(err, &tooLarge))

	// A forged length without the bytes to it ends the connection.
	binary.BigEndian.PutUint32(prefix[:], MaxFrame)

	err = newFrames(pipe{Reader: bytes.NewReader(append(prefix[:], 1, 2, 3))}).readHeader(&header{})
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)

	var (
		buf     bytes.Buffer
		version *VersionError
	)

	f := newFrames(pipe{Writer: &buf})
	head, err := encode(header{Version: Version + 1})
	assert.NilError(t, err)
	assert.NilError(t, f.writeFrame(head))
	assert.NilError(t, f.w.Flush())

	err = newFrames(pipe{Reader: &buf}).readHeader(&header{})
	assert.Assert(t, errors.As(err, &version))
}

// A few bytes that unpack to more than any message may have took all memory.
func TestPackedBounds(t *testing.T) {
	var tooLarge *SizeError

	data, packed, err := packBody(make([]byte, MaxFrame+1))
	assert.NilError(t, err)
	assert.Assert(t, packed)
	assert.Assert(t, len(data) < MaxFrame/100)

	_, err = Unpack(data)
	assert.Assert(t, errors.As(err, &tooLarge))

	_, err = Unpack(data[:len(data)/2])
	assert.ErrorIs(t, err, io.ErrUnexpectedEOF)
}

// body has a field of each kind that the messages use.
type body struct {
	_ struct{} `cbor:",toarray"`

	Names   []string
	Numbers []uint64
	Pairs   [][2]string
	Data    []byte
}

// FuzzFrames: whatever comes in, the codec answers with an error or a message,
// and never panics.
func FuzzFrames(f *testing.F) {
	head, _ := cbor.Marshal(header{Version: Version, Method: "Peer.Notify", Seq: 1})
	f.Add(append([]byte{0, 0, 0, byte(len(head))}, head...))
	f.Add([]byte{0, 0, 0, 1, 0xff})
	f.Fuzz(func(_ *testing.T, data []byte) {
		fr := newFrames(pipe{Reader: bytes.NewReader(data)})

		for {
			var h header
			if fr.readHeader(&h) != nil {
				return
			}

			_ = fr.readBody(&body{})
		}
	})
}
