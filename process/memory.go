package process

import (
	"runtime/debug"

	"ebonyreel/answers"
)

const (
	// memoryLimitPercent is the soft memory limit of the Go runtime in percent of
	// the memory that the process may use. The rest is for memory that the runtime
	// does not count, such as socket buffers.
	memoryLimitPercent = 60
	// answersPercent is the part of a process's memory for answers of endpoints, in
	// percent. They are held a second time on their way to the caller.
	answersPercent = 12
	// defaultAnswersBytes is used without a limit on the memory.
	defaultAnswersBytes = 64 << 20
)

// LimitMemory sets the soft memory limit of the Go runtime to
// memoryLimitPercent of the memory that the process may use, in mebibytes, so
// that garbage is collected before the process exceeds it. Zero sets no limit.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitPercent / 100)
	}
}

// NewAnswerBudget returns the budget for answers of endpoints in a process that may use some
// mebibytes of memory, and publishes its metrics. Zero means no limit on the memory.
func NewAnswerBudget(megabytes int) *answers.Budget {
	b := &answers.Budget{Limit: int64(megabytes) << 20 * answersPercent / 100}
	if megabytes == 0 {
		b.Limit = defaultAnswersBytes
	}
	PublishMetric("Answers", b.Metrics())
	return b
}
