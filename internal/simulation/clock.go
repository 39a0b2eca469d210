package simulation

import (
	"container/heap"
	"math"
	"time"
)

// runStart is the virtual time at which a run starts: late enough that a backend that started long before the run
// has a valid start time.
const runStart = time.Hour

// scheduler is the virtual clock and the queue of scheduled tasks.
type scheduler struct {
	now      time.Duration
	queue    taskQueue
	sequence uint64 // of the task that was scheduled last
}

// task is a function to run at a time. Tasks of the same time run in the order in which they were scheduled.
type task struct {
	at       time.Duration
	sequence uint64
	run      func()
}

// at schedules a task for a time; a time in the past counts as now.
func (s *scheduler) at(at time.Duration, run func()) {
	s.sequence++
	heap.Push(&s.queue, task{at: max(at, s.now), sequence: s.sequence, run: run})
}

// after schedules a task to run after a delay.
func (s *scheduler) after(delay time.Duration, run func()) { s.at(s.now+delay, run) }

// runUntil runs all tasks up to and including those of the time end.
func (s *scheduler) runUntil(end time.Duration) {
	for len(s.queue) > 0 {
		if s.queue[0].at > end {
			return
		}
		next := heap.Pop(&s.queue).(task)
		s.now = next.at
		next.run()
	}
}

// taskQueue is a heap of tasks, the earliest first; see container/heap.
type taskQueue []task

func (q taskQueue) Len() int { return len(q) }

func (q taskQueue) Less(i, j int) bool {
	if q[i].at != q[j].at {
		return q[i].at < q[j].at
	}
	return q[i].sequence < q[j].sequence
}

func (q taskQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

func (q *taskQueue) Push(x any) { *q = append(*q, x.(task)) }

func (q *taskQueue) Pop() any {
	last := len(*q) - 1
	next := (*q)[last]
	(*q)[last] = task{} // releases what the task refers to
	*q = (*q)[:last]
	return next
}

// milliseconds converts a number of milliseconds to a Duration.
func milliseconds(v float64) time.Duration { return time.Duration(v * float64(time.Millisecond)) }

// seconds converts a number of seconds to a Duration.
func seconds(v float64) time.Duration { return time.Duration(v * float64(time.Second)) }

// decay returns the weight of the previous value of a moving average after the elapsed time.
func decay(elapsed, timeConstant time.Duration) float64 {
	return math.Exp(-elapsed.Seconds() / timeConstant.Seconds())
}
