package process

import (
	"errors"
	"fmt"
	"os/signal"
	"syscall"

	"github.com/spf13/cobra"

	"ebonyreel/settings"
)

// Exit codes of the server programs.
const (
	exitDone   = 0
	exitFailed = 1
	// exitInvalidSettings means that the settings file is invalid and nothing was
	// started.
	exitInvalidSettings = 2
)

// Execute runs the command of a server program and returns its exit code. A SIGHUP
// that comes before the program is ready to read its settings again ends nothing.
func Execute(c *cobra.Command) int {
	signal.Ignore(syscall.SIGHUP)
	return exitCode(c.Execute())
}

// exitCode returns the exit code for the error, or nil, with which a program
// ended.
func exitCode(err error) int {
	var check *settings.CheckError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &check):
		return exitInvalidSettings
	}
	return exitFailed
}

// NewCheckSettingsCommand returns the command check-settings. It reads the
// settings file and prints "ok", or returns the error of read, which lists all
// faults.
func NewCheckSettingsCommand(read func() error) *cobra.Command {
	return &cobra.Command{
		Use:   "check-settings",
		Short: "Check the settings file and exit: 0 when it is right, 2 when it is not",
		Args:  cobra.NoArgs,
		RunE: func(c *cobra.Command, _ []string) error {
			if err := read(); err != nil {
				return err
			}
			_, err := fmt.Fprintln(c.OutOrStdout(), "ok")
			return err
		},
	}
}
