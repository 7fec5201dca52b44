// Package settings reads the settings of a daemon from a YAML file. Parsing is
// strict: unknown keys, values without the right unit, values out of range and
// missing keys are rejected, and every error is reported with file, line, key
// and the allowed values. docs/settings.md lists all settings.
//
// The struct tags contain the rules: default, min and max in the syntax of the
// file, required, format (address, path or name) and allowed (a list of
// values).
package settings
