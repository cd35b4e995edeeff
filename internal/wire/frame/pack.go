package frame

import (
	"bytes"
	"compress/flate"
	"io"
	"sync"
)

// packFrom is the size from which a body is compressed. Below it the time that
// this takes is more than what the link would need for the bytes.
const packFrom = 4 << 10

// packers are writers of their own memory, some hundred kilobytes each.
var packers = sync.Pool{New: func() any {
	w, err := flate.NewWriter(nil, flate.BestSpeed)
	if err != nil {
		panic(err) // The level is a constant.
	}

	return w
}}

// Pack returns data compressed.
func Pack(data []byte) ([]byte, error) {
	var out bytes.Buffer

	w, _ := packers.Get().(*flate.Writer)
	defer packers.Put(w)

	w.Reset(&out)

	if _, err := w.Write(data); err != nil {
		return nil, err
	}

	if err := w.Close(); err != nil {
		return nil, err
	}

	return out.Bytes(), nil
}

// Unpack returns data that was compressed, MaxFrame bytes at most.
func Unpack(data []byte) ([]byte, error) {
	out, err := io.ReadAll(io.LimitReader(flate.NewReader(bytes.NewReader(data)), MaxFrame+1))
	if err != nil {
		return nil, err
	}

	if len(out) > MaxFrame {
		return nil, &SizeError{Size: uint64(len(out))}
	}

	return out, nil
}

// packBody returns a body compressed, if it is large and gets smaller, and
// whether it was.
//
// It answers the load of thousands of targets: what a process that has just
// started is told of them takes a link longer than all else that it needs.
func packBody(data []byte) ([]byte, bool, error) {
	if len(data) < packFrom {
		return data, false, nil
	}

	packed, err := Pack(data)
	if err != nil || len(packed) >= len(data) {
		return data, false, err
	}

	return packed, true, nil
}
