// Package logs makes the logger of a process: JSON lines on standard error.
package logs

import (
	"os"
	"time"

	"github.com/sirupsen/logrus"
)

// New returns a logger that names the program and the process on each line.
func New(program, name string) *logrus.Entry {
	l := logrus.New()
	l.SetOutput(os.Stderr)
	l.SetFormatter(&logrus.JSONFormatter{
		TimestampFormat: time.RFC3339Nano,
		FieldMap:        logrus.FieldMap{logrus.FieldKeyTime: "Time", logrus.FieldKeyLevel: "Level", logrus.FieldKeyMsg: "Message"},
	})
	return l.WithFields(logrus.Fields{"Program": program, "Name": name})
}
