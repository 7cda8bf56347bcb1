package process

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"runtime/debug"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is the time between looks whether the settings file has
// changed without a signal.
const reloadInterval = time.Second

// memoryLimitPercent is the part of the host's memory that the runtime aims at, in
// percent. The rest is for what it does not count, such as socket buffers.
const memoryLimitPercent = 60

// Reload calls apply when the settings file has changed, with or without a
// SIGHUP, until the context ends. Settings that are wrong leave the old ones
// in force.
func Reload(ctx context.Context, file string, log *logrus.Entry, apply func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	defer signal.Stop(hup)
	old, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).Warn("settings not read")
	}
	t := time.NewTicker(reloadInterval)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-hup:
			log.Info("SIGHUP received")
		case <-t.C:
		}
		b, err := os.ReadFile(file)
		if err != nil || bytes.Equal(b, old) {
			continue
		}
		old = b
		if err := apply(); err != nil {
			log.WithError(err).Error("changed settings are wrong, the old ones stay in force")
			continue
		}
		log.Info("settings read again")
	}
}

// LimitMemory sets the soft limit of the runtime to a part of the host's
// memory, so that garbage is collected before the process exceeds it. Zero
// megabytes set no limit.
func LimitMemory(megabytes int) {
	if megabytes > 0 {
		debug.SetMemoryLimit(int64(megabytes) << 20 * memoryLimitPercent / 100)
	}
}
