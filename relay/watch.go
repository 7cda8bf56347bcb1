package relay

import (
	"context"
	"errors"
	"time"
)

// watch ends a try whose endpoint is silent for too long.
type watch struct {
	timer  *time.Timer
	cancel context.CancelCauseFunc
	// silent is what the try is ended with.
	silent *SilentError
	// on is false where an endpoint may be silent.
	on bool
}

func newWatch(patience time.Duration, cancel context.CancelCauseFunc) *watch {
	w := &watch{cancel: cancel, on: patience > 0}
	w.start(patience)
	return w
}

func (w *watch) start(patience time.Duration) {
	if !w.on || patience <= 0 {
		return
	}
	silent := &SilentError{After: patience}
	w.silent = silent
	w.timer = time.AfterFunc(patience, func() { w.cancel(silent) })
}

// reset begins the silence anew.
func (w *watch) reset(patience time.Duration) {
	w.stop()
	w.start(patience)
}

func (w *watch) stop() {
	if w.timer != nil {
		w.timer.Stop()
	}
}

// because returns the silence where it ended the try, else the error.
func (w *watch) because(err error) error {
	if w.silent != nil && errors.Is(err, context.Canceled) {
		return w.silent
	}
	return err
}

// silenced returns the silence that ended a try, else the error.
func silenced(ctx context.Context, err error) error {
	var silent *SilentError
	if errors.As(context.Cause(ctx), &silent) {
		return silent
	}
	return err
}
