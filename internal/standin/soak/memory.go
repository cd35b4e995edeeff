package soak

import (
	"bytes"
	"context"
	"fmt"
	"os"
	"strconv"
	"time"

	"github.com/fulmarcross/fulmarcross/internal/fleet/clock"
)

const (
	// plainMemoryMB is the memory that a process may take where its settings bound it by no rule.
	// It is that of the users' sites without one.
	plainMemoryMB = 284
	// memoryInterval is the time between two looks at the memory of a process.
	memoryInterval = 200 * time.Millisecond
)

// watchMemory notes the processes that take more memory than they may, until ctx ends.
func (s *soak) watchMemory(ctx context.Context) {
	for clock.Sleep(ctx, memoryInterval) == nil {
		for _, p := range s.processes {
			p.noteMemory()
		}
	}
}

// noteMemory notes the most memory that the present process has taken.
func (p *process) noteMemory() {
	p.mu.Lock()
	defer p.mu.Unlock()

	if p.cmd != nil && p.cmd.Process != nil {
		p.mostMemory = max(p.mostMemory, residentMost(p.cmd.Process.Pid))
	}
}

// residentMost returns the most memory that a process has taken, in bytes, or zero if it has ended.
func residentMost(pid int) int64 {
	text, err := os.ReadFile(fmt.Sprintf("/proc/%d/status", pid))
	if err != nil {
		return 0
	}

	_, after, _ := bytes.Cut(text, []byte("VmHWM:"))
	field, _, _ := bytes.Cut(after, []byte("kB"))

	kilobytes, err := strconv.ParseInt(string(bytes.TrimSpace(field)), 10, 64)
	if err != nil {
		return 0
	}

	return kilobytes << 10 //nolint:mnd // Bytes.
}

// tooMuchMemory describes the processes that have taken more memory than they may.
func (s *soak) tooMuchMemory() []string {
	if !s.Memory {
		return nil
	}

	var out []string

	for _, p := range s.processes {
		p.mu.Lock()
		most := p.mostMemory >> 20 //nolint:mnd // Megabytes.
		p.mu.Unlock()

		if most > p.memoryMB {
			out = append(out, fmt.Sprintf("%s took %d MB, %d are allowed", p.name, most, p.memoryMB))
		}
	}

	return out
}
