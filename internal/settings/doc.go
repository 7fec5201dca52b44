// Package settings reads the settings of a daemon from a YAML file. Reading is
// strict: unknown keys, values without the right unit, values out of range and
// missing keys are refused, and every fault is reported with file, line, key
// and what is allowed. docs/settings.md lists all settings.
//
// The struct tags hold the rules: default, min and max in the notation of the
// file, required, format (address, path or name) and allowed (a list of words).
package settings
