package cli

import (
	"fmt"
	"strings"

	"cicadaslip/internal/errs"
)

// Exit codes of the process.
const (
	ExitOK          = 0
	ExitFailure     = 1
	ExitUsage       = 2
	ExitInvalid     = 3
	ExitConflict    = 4
	ExitUnavailable = 5
	ExitUnknown     = 6
	ExitNotFound    = 7
	ExitDiffers     = 8
)

// exitCodes lists the exit codes with their meanings in ascending order. The help
// text prints them, and docs/cli.md must end with the same list.
var exitCodes = []struct {
	code    int
	meaning string
}{
	{ExitOK, "success"},
	{ExitFailure, "any other failure"},
	{ExitUsage, "wrong options or arguments"},
	{ExitInvalid, "the settings or the configuration are invalid; all faults are listed"},
	{ExitConflict, "another operator was first; nothing was changed"},
	{ExitUnavailable, "the platform or a VM is unavailable or answers with an old state; nothing was changed"},
	{ExitUnknown, "the response was lost; the change may have been accepted"},
	{ExitNotFound, "the asked-for object does not exist"},
	{ExitDiffers, "diff or config check found differences"},
}

var exitCodeByErrorCode = map[errs.Code]int{
	errs.InvalidConfig:    ExitInvalid,
	errs.InvalidSettings:  ExitInvalid,
	errs.Conflict:         ExitConflict,
	errs.StoreUnavailable: ExitUnavailable,
	errs.StoreStale:       ExitUnavailable,
	errs.PeerUnavailable:  ExitUnavailable,
	errs.StoreAmbiguous:   ExitUnknown,
	errs.OutcomeUnknown:   ExitUnknown,
	errs.NotFound:         ExitNotFound,
}

func exitCode(code errs.Code) int {
	if exit, ok := exitCodeByErrorCode[code]; ok {
		return exit
	}
	return ExitFailure
}

func exitCodeHelp() string {
	var lines strings.Builder
	lines.WriteString("Exit codes:\n")
	for _, e := range exitCodes {
		fmt.Fprintf(&lines, "%d: %s\n", e.code, e.meaning)
	}
	return lines.String()
}
