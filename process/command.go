package process

import (
	"errors"
	"fmt"

	"github.com/spf13/cobra"

	"ebonyreel/settings"
)

// Exit codes of the programs that serve.
const (
	exitDone   = 0
	exitFailed = 1
	// exitInvalidSettings means that the settings are wrong and nothing was started.
	exitInvalidSettings = 2
)

// ExitCode returns the exit code of a program that ended with an error, or
// with nil.
func ExitCode(err error) int {
	var check *settings.CheckError
	switch {
	case err == nil:
		return exitDone
	case errors.As(err, &check):
		return exitInvalidSettings
	}
	return exitFailed
}

// CheckSettings returns the command that reads the settings, says ok or lists
// all faults, and ends.
func CheckSettings(read func() error) *cobra.Command {
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
