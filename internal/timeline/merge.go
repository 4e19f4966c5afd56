package timeline

import (
	"cmp"
	"container/heap"
	"slices"
)

// Merge orders the lines of all processes. Lines of one process are ordered by seq.
// Lines of different processes are ordered by Lamport clock, so that a cause precedes
// its effect however wrong the wall clocks are. Lines with equal Lamport clocks, of which
// neither can have caused the other, are ordered by wall clock, then by process.
//
// Merge does a k-way merge of the processes' queues instead of sorting all lines, so that a
// log whose Lamport clock goes backwards, as in a damaged file, keeps its seq order.
func Merge(lines []Line) []Line {
	queues := groupByProcess(lines)
	heap.Init(&queues)
	merged := make([]Line, 0, len(lines))
	for len(queues) > 0 {
		head := &queues[0]
		merged = append(merged, (*head)[0])
		*head = (*head)[1:]
		if len(*head) == 0 {
			heap.Pop(&queues)
		} else {
			heap.Fix(&queues, 0)
		}
	}
	return merged
}

func groupByProcess(lines []Line) processQueues {
	byProcess := map[string][]Line{}
	for _, line := range lines {
		byProcess[line.Process] = append(byProcess[line.Process], line)
	}
	queues := make(processQueues, 0, len(byProcess))
	for _, queue := range byProcess {
		slices.SortStableFunc(queue, func(a, b Line) int { return cmp.Compare(a.Seq, b.Seq) })
		queues = append(queues, queue)
	}
	return queues
}

// processQueues is a heap of non-empty queues, ordered by their first lines.
type processQueues [][]Line

// Len implements heap.Interface.
func (q processQueues) Len() int { return len(q) }

// Swap implements heap.Interface.
func (q processQueues) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Less implements heap.Interface.
func (q processQueues) Less(i, j int) bool {
	a, b := &q[i][0], &q[j][0]
	return cmp.Or(
		cmp.Compare(a.Clock, b.Clock),
		a.Time.Compare(b.Time),
		cmp.Compare(a.Process, b.Process),
	) < 0
}

// Push implements heap.Interface.
func (q *processQueues) Push(queue any) { *q = append(*q, queue.([]Line)) }

// Pop implements heap.Interface.
func (q *processQueues) Pop() any {
	last := len(*q) - 1
	queue := (*q)[last]
	*q = (*q)[:last]
	return queue
}
