package relay

import (
	"fmt"
	"io"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
	"github.com/fulmarcross/fulmarcross/internal/fleet/instance"
	"github.com/fulmarcross/fulmarcross/internal/serving/router"
)

// LacksEndError reports that an answer which states no length may lack its end.
type LacksEndError struct {
	Target instance.ID
	Reason string
}

func (e *LacksEndError) Error() string {
	return fmt.Sprintf("target %s: answer without length may lack its end: %s", e.Target, e.Reason)
}

func (e *LacksEndError) Unwrap() error { return io.ErrUnexpectedEOF }

// portDelay is how long a process that is killed may accept connections after its others have been
// closed.
const portDelay = 30 * time.Millisecond

// checkEnd returns a *LacksEndError if an answer that has ended may lack its end. empty says that nothing
// followed its head.
//
// One that states no length ends with its connection. It is whole if there is something of it, if its
// target has read the whole request, ended the connection in order and lives on, also one that leaves:
// targets are taken away while they answer. Entries state the lengths of all answers.
func (d *delivery) checkEnd(t *router.Target, a *answer, empty bool) error {
	if a.framed() {
		return nil
	}

	lacks := func(reason string) error { return &LacksEndError{Target: t.ID, Reason: reason} }

	switch {
	case empty:
		return lacks("nothing follows its head")
	case a.run == nil:
		return lacks("another entry sent it")
	}

	if err := a.upload.wait(d.r.Context()); err != nil {
		return lacks("its request was not read: " + err.Error())
	}

	if a.conn.wasReset() {
		return lacks("its connection was reset")
	}

	_ = clock.Sleep(d.r.Context(), portDelay) // The dial checks the context.

	if err := d.dial(d.r.Context(), t); err != nil {
		return lacks("its target does not live on: " + err.Error())
	}

	return nil
}

// tcpClosed is Linux's state of a connection that is over. One that the other end has closed in order is
// not over before this end is closed, too.
const tcpClosed = 7

// wasReset reports whether a connection whose end was read was reset, or cannot be asked. It is false for
// one that is no syscall.Conn.
//
// The kernel tells a reset only once. A write that is under way may be told, and reads then find an end
// like that of a connection which is closed in order.
func (c *conn) wasReset() bool {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return false
	}

	raw, err := sc.SyscallConn()
	if err != nil {
		return true
	}

	reset := true

	err = raw.Control(func(fd uintptr) {
		info, infoErr := unix.GetsockoptTCPInfo(int(fd), unix.IPPROTO_TCP, unix.TCP_INFO)
		reset = infoErr != nil || info.State == tcpClosed
	})

	return err != nil || reset
}
