package drain

import (
	"sync/atomic"
	"time"
)

// Record counts the calls of callers at a leaving node since it began to leave. It is
// safe for concurrent use.
type Record struct {
	began    time.Time
	schedule Schedule
	arrived  atomic.Int64
	taken    atomic.Int64
	// lastTaken is the time of the last taken call, in nanoseconds after began.
	lastTaken atomic.Int64
	results   [resultCount]atomic.Int64
}

// NewRecord returns the record of a node that began to leave at a time.
func NewRecord(began time.Time, schedule Schedule) *Record {
	return &Record{began: began, schedule: schedule}
}

// Began returns the time at which the node began to leave.
func (r *Record) Began() time.Time { return r.began }

// Schedule returns the schedule of the node.
func (r *Record) Schedule() Schedule { return r.schedule }

// Since returns the time from the beginning of the leaving to t. It is negative if t is
// earlier.
func (r *Record) Since(t time.Time) time.Duration { return t.Sub(r.began) }

// LeaveDelay returns the time for which the guard of the node still takes calls: at most
// limit, and maxDelayFraction of the time until the last reply.
func (r *Record) LeaveDelay(limit time.Duration) time.Duration {
	if !r.schedule.Bounded() {
		return limit
	}
	longest := time.Duration(maxDelayFraction * float64(r.Since(r.schedule.ReplyBy)))
	return max(0, min(limit, longest))
}

// Arrive counts a call that has arrived.
func (r *Record) Arrive() { r.arrived.Add(1) }

// Take counts a call that has arrived at a time since the node began to leave, and that
// the node takes.
func (r *Record) Take(arrived time.Time) {
	r.taken.Add(1)
	storeMax(&r.lastTaken, int64(r.Since(arrived)))
}

// End counts the end of a call and returns its result.
func (r *Record) End(end CallEnd) Result {
	result := r.schedule.Classify(end)
	r.results[result].Add(1)
	return result
}

// Counts are the numbers of calls of callers at a leaving node. Running + the sum of
// Results is the sum of Before and Arrived.
type Counts struct {
	// Before is the number of calls that ran when the node began to leave, and Arrived
	// that of those that arrived since.
	Before, Arrived int64
	// Taken is the number of calls that arrived since and were taken, and LastTaken the
	// time from the beginning to the arrival of the last of them.
	Taken     int64
	LastTaken time.Duration
	// Results are the numbers of ended calls by result.
	Results [resultCount]int64
	// Running is the number of calls that have not ended.
	Running int64
}

// Counts returns the current numbers. running is the number of calls that have not
// ended. The numbers are consistent if no call begins or ends meanwhile.
func (r *Record) Counts(running int64) Counts {
	counts := Counts{
		Arrived:   r.arrived.Load(),
		Taken:     r.taken.Load(),
		LastTaken: time.Duration(r.lastTaken.Load()),
		Running:   running,
	}
	total := running
	for i := range r.results {
		counts.Results[i] = r.results[i].Load()
		total += counts.Results[i]
	}
	counts.Before = max(0, total-counts.Arrived)
	return counts
}

// storeMax raises a value to at least another one.
func storeMax(value *atomic.Int64, other int64) {
	for {
		current := value.Load()
		if other <= current || value.CompareAndSwap(current, other) {
			return
		}
	}
}
