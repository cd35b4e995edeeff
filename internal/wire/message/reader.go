package message

import (
	"bufio"
	"bytes"
	"errors"
	"io"
	"net/http"
)

// Reader reads answers from a connection.
type Reader struct {
	*bufio.Reader

	source source
}

// source is what a Reader reads: what was put back, then the connection.
type source struct {
	back []byte
	r    io.Reader
}

func (s *source) Read(p []byte) (int, error) {
	if len(s.back) == 0 {
		return s.r.Read(p)
	}

	n := copy(p, s.back)
	s.back = s.back[n:]

	return n, nil
}

// NewReader returns a Reader of a connection.
func NewReader(r io.Reader) *Reader {
	out := &Reader{source: source{r: r}}
	out.Reader = bufio.NewReader(&out.source)

	return out
}

// ReadAnswer reads the head of the next answer to a request with the method, which may be an interim
// one. It fails with an *InvalidError if the head is invalid. The body is read from r.
func (r *Reader) ReadAnswer(method string) (*http.Response, error) {
	head, err := r.peekHead()
	if errors.Is(err, bufio.ErrBufferFull) {
		head, err = r.readLongHead()
	}

	if err != nil {
		return nil, err
	}

	if err := check(head); err != nil {
		return nil, err
	}

	return http.ReadResponse(r.Reader, &http.Request{Method: method})
}

// peekHead returns the next head, with the blank line that ends it, and leaves it unread. It fails with
// bufio.ErrBufferFull if the head does not fit into the buffer.
func (r *Reader) peekHead() ([]byte, error) {
	for {
		begun, _ := r.Peek(r.Buffered()) // They are there.
		if end := endOf(begun); end > 0 {
			return begun[:end], nil
		}

		if _, err := r.Peek(len(begun) + 1); err != nil {
			return nil, cutHead(begun, err)
		}
	}
}

// readLongHead does what peekHead does for a head of any length.
func (r *Reader) readLongHead() ([]byte, error) {
	var head []byte

	for !endsHead(head) {
		part, err := r.ReadSlice('\n')
		head = append(head, part...)

		if err != nil && !errors.Is(err, bufio.ErrBufferFull) {
			return nil, cutHead(head, err)
		}
	}

	rest, _ := r.Peek(r.Buffered()) // They are there.
	r.source.back = bytes.Join([][]byte{head, rest, r.source.back}, nil)
	r.Reset(&r.source)

	return head, nil
}

// cutHead returns the error of a head that is cut.
func cutHead(begun []byte, err error) error {
	if len(begun) > 0 && errors.Is(err, io.EOF) {
		return io.ErrUnexpectedEOF
	}

	return err
}

// endOf returns the length of the head that text begins with, zero if it has no end.
func endOf(text []byte) int {
	for from := 0; ; {
		i := bytes.IndexByte(text[from:], '\n')
		if i < 0 {
			return 0
		}

		from += i + 1

		if endsHead(text[:from]) {
			return from
		}
	}
}

// endsHead reports whether text, which ends with a line, ends with a blank one after the first.
func endsHead(text []byte) bool {
	return bytes.HasSuffix(text, []byte("\n\n")) || bytes.HasSuffix(text, []byte("\n\r\n"))
}
