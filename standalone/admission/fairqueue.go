package admission

import (
	"container/heap"
	"slices"
)

// waiter is a request in a queue.
type waiter struct {
	request Request
	ready   chan error
	// finish is the virtual time at which the account's share pays for the request.
	finish float64
	// seq keeps the order of arrival among equals.
	seq uint64
}

// fairQueue is a weighted fair queue among client accounts, by virtual time.
type fairQueue struct {
	heap    waiterHeap
	virtual float64
	last    map[string]float64
	seq     uint64
}

func newFairQueue() *fairQueue {
	return &fairQueue{last: map[string]float64{}}
}

func (q *fairQueue) len() int {
	return len(q.heap)
}

func (q *fairQueue) push(w *waiter) {
	share := float64(max(w.request.Share, 1))
	start := max(q.virtual, q.last[w.request.Account])
	w.finish = start + max(w.request.Cost, 1)/share
	q.last[w.request.Account] = w.finish
	q.seq++
	w.seq = q.seq
	heap.Push(&q.heap, w)
}

func (q *fairQueue) pop() *waiter {
	w := heap.Pop(&q.heap).(*waiter)
	q.virtual = w.finish
	if len(q.heap) == 0 {
		clear(q.last)
		q.virtual = 0
	}
	return w
}

func (q *fairQueue) remove(w *waiter) bool {
	i := slices.Index(q.heap, w)
	if i < 0 {
		return false
	}
	heap.Remove(&q.heap, i)
	return true
}

// waiterHeap orders those who wait by the virtual time at which they are done.
type waiterHeap []*waiter

// Len implements heap.Interface.
func (h waiterHeap) Len() int { return len(h) }

// Less implements heap.Interface.
func (h waiterHeap) Less(i, j int) bool {
	if h[i].finish != h[j].finish {
		return h[i].finish < h[j].finish
	}
	return h[i].seq < h[j].seq
}

// Swap implements heap.Interface.
func (h waiterHeap) Swap(i, j int) { h[i], h[j] = h[j], h[i] }

// Push implements heap.Interface.
func (h *waiterHeap) Push(x any) { *h = append(*h, x.(*waiter)) }

// Pop implements heap.Interface.
func (h *waiterHeap) Pop() any {
	old := *h
	n := len(old)
	w := old[n-1]
	old[n-1] = nil
	*h = old[:n-1]
	return w
}
