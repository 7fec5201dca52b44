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

// minSecretLength is the shortest cluster secret, in characters. 32 characters
// carry at least 128 bits when they are hexadecimal digits.
const minSecretLength = 32

// Load reads a settings file. A secret file is read into Cluster.Secret; a
// relative path starts at the directory of the settings file. All faults are
// reported in the Details of one errs.InvalidSettings.
func Load(path string) (*Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return nil, errs.Wrap(err, errs.InvalidSettings, "settings file cannot be read")
	}
	return Parse(path, data)
}

// Parse decodes settings. name is the file name for faults and the base of
// relative paths.
func Parse(name string, data []byte) (*Settings, error) {
	s := Default()
	r := reader{file: name, settings: s, fields: fieldsOf(s), lines: map[string]int{}}
	r.document(data)
	if len(r.faults) == 0 {
		r.checkMissing()
		r.checkRelations()
	}
	if len(r.faults) == 0 {
		r.loadSecret()
	}
	if len(r.faults) > 0 {
		sort.SliceStable(r.faults, func(i, j int) bool { return r.faults[i].line < r.faults[j].line })
		return nil, r.failure()
	}
	return s, nil
}

// Default returns settings that hold every default and no required value.
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

type fault struct {
	line int
	text string
}

type reader struct {
	file     string
	settings *Settings
	fields   map[string]map[string]field
	lines    map[string]int // by "section" and "section.key"
	faults   []fault
}

func (r *reader) fail(line int, key, format string, args ...any) {
	text := fmt.Sprintf("%s:%d: %s: %s", r.file, line, key, fmt.Sprintf(format, args...))
	r.faults = append(r.faults, fault{line, text})
}

func (r *reader) failure() error {
	details := make([]string, len(r.faults))
	for i, f := range r.faults {
		details[i] = f.text
	}
	message := fmt.Sprintf("%d faults in settings: %s", len(details), strings.Join(details, "; "))
	return errs.New(errs.InvalidSettings, message).WithDetails(details...)
}

// document reads the whole text. A panic of the YAML library on a damaged file
// becomes a fault.
func (r *reader) document(data []byte) {
	defer func() {
		if cause := recover(); cause != nil {
			r.fail(1, "(file)", "the YAML library failed: %v", cause)
		}
	}()
	file, err := parser.ParseBytes(data, 0)
	if err != nil {
		r.syntaxFault(err)
		return
	}
	if len(file.Docs) != 1 || file.Docs[0].Body == nil {
		r.fail(1, "(file)", "the file must hold one YAML document with sections")
		return
	}
	r.mapping("", file.Docs[0].Body, func(name string, entry *ast.MappingValueNode) {
		section, known := r.fields[name]
		if !known {
			r.fail(lineOf(entry), name, "unknown section; allowed: %s", strings.Join(names(r.fields), ", "))
			return
		}
		r.section(name, section, entry.Value)
	})
}

func (r *reader) syntaxFault(err error) {
	var typed yaml.Error
	if errors.As(err, &typed) && typed.GetToken() != nil {
		r.fail(typed.GetToken().Position.Line, "(file)", "YAML: %s", typed.GetMessage())
		return
	}
	r.fail(1, "(file)", "YAML: %s", err)
}

func (r *reader) section(name string, fields map[string]field, node ast.Node) {
	r.mapping(name, node, func(key string, entry *ast.MappingValueNode) {
		f, known := fields[key]
		if !known {
			r.fail(lineOf(entry), name+"."+key, "unknown key; allowed: %s", strings.Join(names(fields), ", "))
			return
		}
		text, ok := scalar(f, entry.Value)
		if !ok {
			r.fail(lineOf(entry), f.key, "not a value; allowed: one %s", describeType(f))
			return
		}
		if allowed := f.set(text); allowed != "" {
			r.fail(lineOf(entry), f.key, "%q is refused; allowed: %s", text, allowed)
		}
	})
}

// mapping calls visit for each entry of a mapping and records its line.
func (r *reader) mapping(path string, node ast.Node, visit func(string, *ast.MappingValueNode)) {
	var entries []*ast.MappingValueNode
	switch typed := node.(type) {
	case *ast.MappingNode:
		entries = typed.Values
	case *ast.MappingValueNode:
		entries = []*ast.MappingValueNode{typed}
	default:
		r.fail(lineOf(node), orFile(path), "must be a mapping of keys to values")
		return
	}
	for _, entry := range entries {
		key := entry.Key.GetToken().Value
		r.lines[strings.TrimPrefix(path+"."+key, ".")] = lineOf(entry)
		visit(key, entry)
	}
}

// scalar returns the text of a value. Only strings and, for counts, integers
// are taken, so that "name: true" is not read as text.
func scalar(f field, node ast.Node) (string, bool) {
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

func describeType(f field) string {
	if f.value.Kind() == reflect.String {
		return "string (quoted when it looks like a number)"
	}
	return "value with its unit"
}

func lineOf(node ast.Node) int {
	if entry, ok := node.(*ast.MappingValueNode); ok {
		return entry.Key.GetToken().Position.Line
	}
	return node.GetToken().Position.Line
}

func names[T any](m map[string]T) []string {
	list := make([]string, 0, len(m))
	for name := range m {
		list = append(list, name)
	}
	sort.Strings(list)
	return list
}

func orFile(path string) string {
	if path == "" {
		return "(file)"
	}
	return path
}

func (r *reader) loadSecret() {
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
			r.fail(r.lines[key], key, "cannot be read: %s; allowed: a readable file", err)
			return
		}
		cluster.Secret = strings.TrimSpace(string(data))
	}
	if len(cluster.Secret) < minSecretLength {
		r.fail(r.lines[key], key, "the secret is too short; allowed: %d characters or more", minSecretLength)
	}
}
