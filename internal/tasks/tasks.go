// Package tasks runs goroutines that the end of their owner waits for.
package tasks

import (
	"sync"

	"github.com/sourcegraph/conc"
)

// Group runs goroutines until it is closed. In contrast to a wait group, goroutines may be started while
// the group is being closed. The zero value is an empty group.
type Group struct {
	mu     sync.Mutex
	closed bool
	tasks  conc.WaitGroup
}

// Go runs f in a goroutine, or returns false if the group is closed.
func (g *Group) Go(f func()) bool {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.closed {
		return false
	}
	g.tasks.Go(f)
	return true
}

// Close waits until all goroutines have ended. None is started after it was called.
func (g *Group) Close() {
	g.mu.Lock()
	g.closed = true
	g.mu.Unlock()
	g.tasks.Wait()
}
