package main

import (
	"fmt"
	"net"
	"os"
	"path/filepath"
	"strconv"
	"strings"
	"sync"
	"time"
)

// gate is a worker's listener. While an entry is cut off, its connections to the worker are
// reset: those that are open, and new ones once they have opened.
type gate struct {
	net.Listener

	mu    sync.Mutex
	cut   map[string]bool
	conns map[net.Conn]string
}

func newGate(l net.Listener) *gate {
	return &gate{Listener: l, cut: make(map[string]bool), conns: make(map[net.Conn]string)}
}

// Accept implements net.Listener.
func (g *gate) Accept() (net.Conn, error) {
	for {
		c, err := g.Listener.Accept()
		if err != nil {
			return nil, err
		}
		owner := ownerOf(c)
		g.mu.Lock()
		cut := g.cut[owner]
		if !cut {
			g.conns[c] = owner
		}
		g.mu.Unlock()
		if !cut {
			return c, nil
		}
		reset(c)
	}
}

// set cuts an entry off, or ends that.
func (g *gate) set(entry string, cut bool) {
	g.mu.Lock()
	defer g.mu.Unlock()
	g.cut[entry] = cut
	for c, owner := range g.conns {
		if cut && owner == entry {
			reset(c)
			delete(g.conns, c)
		}
	}
}

// close resets all connections and ends the listener.
func (g *gate) close() {
	g.mu.Lock()
	defer g.mu.Unlock()
	_ = g.Listener.Close()
	for c := range g.conns {
		reset(c)
	}
}

func reset(c net.Conn) {
	_ = c.(*net.TCPConn).SetLinger(0)
	_ = c.Close()
}

// ownerOf returns the entry that has opened a connection on loopback. All entries have the
// same address, so only the process tells them apart.
func ownerOf(c net.Conn) string {
	far, near := c.RemoteAddr().(*net.TCPAddr), c.LocalAddr().(*net.TCPAddr)
	local, remote := fmt.Sprintf(":%04X", far.Port), fmt.Sprintf(":%04X", near.Port)
	for range 3 {
		text, err := os.ReadFile("/proc/net/tcp")
		must(err)
		for line := range strings.Lines(string(text)) {
			f := strings.Fields(line)
			if len(f) < 10 || !strings.HasSuffix(f[1], local) || !strings.HasSuffix(f[2], remote) {
				continue
			}
			for _, e := range entries {
				links, _ := filepath.Glob("/proc/" + strconv.Itoa(e.cmd.Process.Pid) + "/fd/*")
				for _, link := range links {
					if to, err := os.Readlink(link); err == nil && to == "socket:["+f[9]+"]" {
						return e.name
					}
				}
			}
		}
		time.Sleep(time.Millisecond)
	}
	return ""
}
