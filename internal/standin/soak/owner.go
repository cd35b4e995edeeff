package soak

import (
	"net"
	"os"
	"path/filepath"
	"slices"
	"strconv"
	"strings"
	"sync"
	"time"
)

// ownerOf returns the name of the process that has opened a connection on loopback, and
// nothing for others. All entries have the same address, so a proxy cannot tell them apart
// otherwise.
func (s *soak) ownerOf(c net.Conn) string {
	near, okNear := c.LocalAddr().(*net.TCPAddr)
	far, okFar := c.RemoteAddr().(*net.TCPAddr)

	if !okNear || !okFar {
		return ""
	}

	return s.owners.of(ports{far.Port, near.Port}, func() []*process {
		s.mu.Lock()
		defer s.mu.Unlock()

		return slices.Clone(s.processes)
	})
}

// ports are those of the two ends of a connection on loopback, the owner's first.
type ports struct{ local, remote int }

// owners finds the processes that have opened connections. One look at all sockets of the machine
// serves all connections that wait for one: a look for each would take more time than there is while
// entries that are cut off open connections in a storm. The zero value is ready to use.
type owners struct {
	mu sync.Mutex
	// lookedAt is when the last look began, and found what it has found.
	lookedAt time.Time
	found    map[ports]string
}

// of returns the name of the process that has opened a connection.
func (o *owners) of(p ports, processes func() []*process) string {
	asked := time.Now()

	o.mu.Lock()
	defer o.mu.Unlock()

	if !o.lookedAt.After(asked) {
		o.lookedAt = time.Now()
		o.found = look(processes())
	}

	return o.found[p]
}

// look returns the processes' connections on loopback.
func look(processes []*process) map[ports]string {
	byInode := make(map[string]string)

	for _, p := range processes {
		for _, inode := range p.sockets() {
			byInode[inode] = p.name
		}
	}

	out := make(map[ports]string)
	text, _ := os.ReadFile("/proc/net/tcp") // Without it nothing is found.

	for line := range strings.Lines(string(text)) {
		f := strings.Fields(line)
		if len(f) <= fieldInode {
			continue
		}

		if name, found := byInode[f[fieldInode]]; found {
			out[ports{portOf(f[fieldLocal]), portOf(f[fieldRemote])}] = name
		}
	}

	return out
}

// The fields of a line of /proc/net/tcp.
const (
	fieldLocal  = 1
	fieldRemote = 2
	fieldInode  = 9
)

// portOf returns the port of an address in /proc/net/tcp, or zero.
func portOf(address string) int {
	_, port, _ := strings.Cut(address, ":")
	n, _ := strconv.ParseUint(port, 16, 16) // The kernel writes it.

	return int(n) //nolint:gosec // 16 bits.
}

// sockets returns the inodes of the process's sockets.
func (p *process) sockets() []string {
	p.mu.Lock()
	pid := p.cmd.Process.Pid
	p.mu.Unlock()

	links, err := filepath.Glob("/proc/" + strconv.Itoa(pid) + "/fd/*")
	if err != nil {
		return nil
	}

	var out []string

	for _, link := range links {
		to, err := os.Readlink(link)
		if err != nil {
			continue // It has been closed.
		}

		if inode, ok := strings.CutPrefix(to, "socket:["); ok {
			out = append(out, strings.TrimSuffix(inode, "]"))
		}
	}

	return out
}
