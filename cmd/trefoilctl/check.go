package main

import (
	"errors"
	"fmt"
	"io"
	"os"
	"unicode/utf8"

	"github.com/trefoilwalk/trefoilwalk/contract/check"
	"github.com/trefoilwalk/trefoilwalk/contract/config"
	"github.com/trefoilwalk/trefoilwalk/link/operator/checkfile"
	"github.com/trefoilwalk/trefoilwalk/link/operator/shell"
	"github.com/trefoilwalk/trefoilwalk/platform"
)

// exitFindings is the exit code of a check with findings. The other codes of a check are
// shell.ExitOK and shell.ExitUsage.
const exitFindings = 1

// maxConfigBytes bounds a file that is checked. One of the design size, with 9,700 accounts,
// 1,400 routes and short names, has 1.3 MB.
const maxConfigBytes = 64 << 20

// checkFile checks the configuration in the file args[0], and compares it with that in
// the file against unless that is empty.
func checkFile(out, errs io.Writer, args []string, against string, asJSON bool) int {
	report, err := checkArgs(args, against)
	if err == nil {
		write := checkfile.WriteText
		if asJSON {
			write = checkfile.WriteJSON
		}
		err = write(out, report)
	}
	switch {
	case err != nil:
		_, _ = fmt.Fprintln(errs, "trefoilctl:", err)
		return shell.ExitUsage
	case len(report.Findings) > 0:
		return exitFindings
	default:
		return shell.ExitOK
	}
}

func checkArgs(args []string, against string) (checkfile.Report, error) {
	if len(args) != 1 {
		return checkfile.Report{}, errors.New("check needs one file: check FILE [--against FILE] [--json]")
	}
	report := checkfile.Report{File: args[0], Against: against}
	text, err := readConfigFile(args[0])
	if err != nil {
		return report, err
	}
	var old []byte
	if against != "" {
		if old, err = readConfigFile(against); err != nil {
			return report, err
		}
		if platform.IsConfigText(old) != platform.IsConfigText(text) {
			return report, fmt.Errorf("%s and %s have different forms: compare statements with statements, or JSON with JSON", args[0], against)
		}
	}
	if platform.IsConfigText(text) {
		err = checkJSON(&report, text, old)
	} else {
		err = checkStatements(&report, string(text), string(old))
	}
	check.Sort(report.Findings)
	return report, err
}

// checkJSON checks the platform's form of a configuration.
func checkJSON(report *checkfile.Report, text, old []byte) error {
	var inForce *check.Draft
	if report.Against != "" {
		var faults []check.Finding
		if inForce, faults = platform.ReadDraft(old); len(faults) > 0 {
			return unreadable(report.Against, faults[0])
		}
	}
	draft, findings := platform.ReadDraft(text)
	report.Findings = findings
	if draft == nil {
		return nil
	}
	report.Findings = append(report.Findings, check.Directory(draft)...)
	if inForce != nil {
		report.Differences = check.Differences(check.DraftObjects(inForce), check.DraftObjects(draft))
		report.Findings = append(report.Findings, check.Version(draft, inForce, report.Differences)...)
	}
	return nil
}

// checkStatements checks statements. They are applied to the configuration in force, if it
// is given, as they would be when they are sent.
func checkStatements(report *checkfile.Report, text, old string) error {
	inForce := checkfile.ReadStatements(old, config.EmptySnapshot())
	for _, f := range inForce.Findings {
		if f.Severity == check.Error {
			return unreadable(report.Against, f)
		}
	}
	next := checkfile.ReadStatements(text, inForce.Snapshot)
	report.Findings = append(next.Findings, check.Config(next.Snapshot, next.Lines)...)
	if report.Against != "" {
		report.Differences = check.Differences(check.ConfigObjects(inForce.Snapshot), check.ConfigObjects(next.Snapshot))
	}
	return nil
}

// unreadable returns the error for a file that cannot be compared with.
func unreadable(name string, f check.Finding) error {
	return fmt.Errorf("%s: %s: %s", name, f.Place, f.Text)
}

// readConfigFile reads a file, or standard input if name is "-".
func readConfigFile(name string) ([]byte, error) {
	file := os.Stdin
	if name != "-" {
		opened, err := os.Open(name)
		if err != nil {
			return nil, err
		}
		defer func() { _ = opened.Close() }()
		file = opened
	}
	text, err := io.ReadAll(io.LimitReader(file, maxConfigBytes+1))
	switch {
	case err != nil:
		return nil, err
	case len(text) == 0:
		return nil, fmt.Errorf("%s: the file is empty", name)
	case len(text) > maxConfigBytes:
		return nil, fmt.Errorf("%s: the file has more than %d MiB", name, maxConfigBytes>>20)
	case !utf8.Valid(text):
		return nil, fmt.Errorf("%s: the file is not valid UTF-8", name)
	}
	return text, nil
}
