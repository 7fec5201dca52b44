package settings

import (
	"errors"
	"fmt"
	"os"
	"path/filepath"
	"reflect"
	"sort"
	"strings"

	"github.com/goccy/go-yaml"
	"github.com/goccy/go-yaml/ast"
	"github.com/goccy/go-yaml/parser"

	"cicadaslip/internal/errs"
)

// minSecretLength is the shortest allowed cluster secret, in characters. 32
// hexadecimal digits carry 128 bits.
const minSecretLength = 32

// Load reads a settings file. If the settings name a secret file, Load reads it
// into Cluster.Secret; a relative path is resolved against the directory of the
// settings file. Load reports all errors in the Details of one
// errs.InvalidSettings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "settings file cannot be read")
	}
	return Parse(path, data)
}

// Parse decodes settings. name is the file name that errors mention; relative
// paths are resolved against its directory.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	r := settingsParser{file: name, settings: s, fields: fieldsOf(s), lines: map[string]int{}}
	r.parseDocument(data)
	if len(r.faults) == 0 {
		r.checkMissing()
		r.checkCombinations()
	}
	if len(r.faults) == 0 {
		r.loadSecret()
	}
	if len(r.faults) > 0 {
		sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].line < r.faults[j].line })
		return nil, r.faultsError()
	}
	return s, nil
}

// Default returns settings with all default values. Required settings are
// empty.
func Default() *Settings {
	s := &Settings{}
	for _, section := range fieldsOf(s) {
		for _, f := range section {
			if text := f.tag.Get("default"); text != "" {
				f.set(text)
			}
		}
	}
	return s
}

// fault is one error in a settings file.
type fault struct {
	line int
	text string
}

// settingsParser parses one settings file and collects its faults.
type settingsParser struct {
	file     string
	settings *Settings
	fields   map[string]map[string]field // by section and name
	lines    map[string]int              // line number by "section" and "section.key"
	faults   []fault
}

// addFault records an error at the given line and key.
func (r *settingsParser) addFault(line int, key, format string, args ...any) {
	text := fmt.Sprintf("%s:%d: %s: %s", r.file, line, key, fmt.Sprintf(format, args...))
	r.faults = append(r.faults, fault{line, text})
}

// faultsError returns one error that lists all faults.
func (r *settingsParser) faultsError() error {
	details := make([]string, len(r.faults))
	for i, f := range r.faults {
		details[i] = f.text
	}
	message := fmt.Sprintf("%d faults in settings: %s", len(details), strings.Join(details, "; "))
	return errs.New(errs.InvalidSettings, message).WithDetails(details...)
}

// parseDocument parses the whole file. A panic of the YAML library on malformed
// input is recorded as a fault.
func (r *settingsParser) parseDocument(data []byte) {
	defer func() {
		if cause := recover(); cause != nil {
			r.addFault(1, "(file)", "the YAML library failed: %v", cause)
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.addSyntaxFault(err)
		return
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.addFault(1, "(file)", "the file must contain exactly one YAML document with sections")
		return
	}
	r.visitMapping("", file.Docs[0].Body, func(name string, entry *ast.MappingValueNode) {
		section, known := r.fields[name]
		if !known {
			r.addFault(lineOf(entry), name, "unknown section; allowed: %s", strings.Join(sortedKeys(r.fields), ", "))
			return
		}
		r.parseSection(name, section, entry.Value)
	})
}

// addSyntaxFault records an error of the YAML library.
func (r *settingsParser) addSyntaxFault(err error) {
	var typed yaml.Error
	if errors.As(err, &typed) && typed.GetToken() != nil {
		r.addFault(typed.GetToken().Position.Line, "(file)", "YAML: %s", typed.GetMessage())
		return
	}
	r.addFault(1, "(file)", "YAML: %s", err)
}

// parseSection parses the settings of one section.
func (r *settingsParser) parseSection(name string, fields map[string]field, node ast.Node) {
	r.visitMapping(name, node, func(key string, entry *ast.MappingValueNode) {
		f, known := fields[key]
		if !known {
			r.addFault(lineOf(entry), name+"."+key, "unknown key; allowed: %s", strings.Join(sortedKeys(fields), ", "))
			return
		}
		text, ok := scalarText(f, entry.Value)
		if !ok {
			r.addFault(lineOf(entry), f.key, "not a value; allowed: one %s", describeType(f))
			return
		}
		if allowed := f.set(text); allowed != "" {
			r.addFault(lineOf(entry), f.key, "%q is refused; allowed: %s", text, allowed)
		}
	})
}

// visitMapping calls visit for each entry of a mapping and records the line of
// the entry.
func (r *settingsParser) visitMapping(path string, node ast.Node, visit func(string, *ast.MappingValueNode)) {
	var entries []*ast.MappingValueNode
	switch typed := node.(type) {
	case *ast.MappingNode:
		entries = typed.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{typed}
	default:
		r.addFault(lineOf(node), pathOrFile(path), "must be a mapping of keys to values")
		return
	}
	for _, entry := range entries {
		key := entry.Key.GetToken().Value
		r.lines[strings.TrimPrefix(path+"."+key, ".")] = lineOf(entry)
		visit(key, entry)
	}
}

// scalarText returns the text of a value. It accepts strings for every setting
// and numbers only for settings that are not strings, so that for example
// "name: true" is not read as text.
func scalarText(f field, node ast.Node) (string, bool) {
	switch typed := node.(type) {
	case *ast.StringNode:
		return typed.Value, true
	case *ast.IntegerNode:
		return typed.GetToken().Value, f.value.Kind() != reflect.String
	case *ast.FloatNode:
		return typed.GetToken().Value, f.value.Kind() != reflect.String
	default:
		return "", false
	}
}

// describeType describes the kind of value that a setting expects.
func describeType(f field) string {
	if f.value.Kind() == reflect.String {
		return "string (quoted when it looks like a number)"
	}
	return "value with its unit"
}

// lineOf returns the line of a node; for a mapping entry, the line of its key.
func lineOf(node ast.Node) int {
	if entry, ok := node.(*ast.MappingValueNode); ok {
		return entry.Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

// sortedKeys returns the keys of m in alphabetical order.
func sortedKeys[T any](m map[string]T) []string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

// pathOrFile returns path, or "(file)" for the root of the file.
func pathOrFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}

// loadSecret reads the secret file, if one is set, and checks the length of the
// secret.
func (r *settingsParser) loadSecret() {
	cluster := &r.settings.Cluster
	key := "cluster.secret"
	if cluster.SecretFile != "" {
		key = "cluster.secret_file"
		path := cluster.SecretFile
		if !filepath.IsAbs(path) {
			path = filepath.Join(filepath.Dir(r.file), path)
		}
		data, err := os.ReadFile(path)
		if err != nil {
			r.addFault(r.lines[key], key, "cannot be read: %s; allowed: a readable file", err)
			return
		}
		cluster.Secret = strings.TrimSpace(string(data))
	}
	if len(cluster.Secret) < minSecretLength {
		r.addFault(r.lines[key], key, "the secret is too short; allowed: %d characters or more", minSecretLength)
	}
}
