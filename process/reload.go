package process

import (
	"bytes"
	"context"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/sirupsen/logrus"
)

// reloadInterval is the interval at which Reload checks the settings file for
// changes without a signal.
const reloadInterval = time.Second

// Reload calls apply when the content of the settings file has changed, until
// the context ends. It checks the file on SIGHUP and every reloadInterval. When
// apply returns an error, the old settings stay in force.
func Reload(ctx context.Context, file string, log *logrus.Entry, apply func() error) {
	hup := make(chan os.Signal, 1)
	signal.Notify(hup, syscall.SIGHUP)
	// Stop alone would make a SIGHUP end the process.
	defer signal.Ignore(syscall.SIGHUP)
	old, err := os.ReadFile(file)
	if err != nil {
		log.WithError(err).Warn("reading the settings file failed")
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
			log.WithError(err).Error("changed settings are invalid, the old ones stay in force")
			continue
		}
		log.Info("settings read again")
	}
}
