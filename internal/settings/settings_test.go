package settings_test

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"github.com/onsi/gomega"

	"cicadaslip/internal/errs"
	"cicadaslip/internal/settings"
)

const validSettings = `vm:
  name: riga-1
  data_centre: riga-a
  region: riga
addresses:
  caller: 127.0.0.1:8080
  peer_rpc: 127.0.0.1:8081
  peer_udp: 127.0.0.1:8081
cluster:
  secret: 0123456789abcdef0123456789abcdef
platform:
  address: 127.0.0.1:9000
limits:
  body_bytes: 64KiB
`

func TestOmittedSettingsGetDefaults(t *testing.T) {
	g := gomega.NewWithT(t)
	s, err := settings.Parse("d.yaml", []byte(validSettings))
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Limits.BodyBytes).To(gomega.Equal(settings.Bytes(64 << 10)))
	g.Expect(s.Membership.SuspectAfter).To(gomega.Equal(time.Second))
	g.Expect(s.Log.Level).To(gomega.Equal("info"))
}

// Guards against an error that is accepted silently or reported without its
// position.
func TestErrorsNameFileLineKeyAndAllowedValues(t *testing.T) {
	for name, c := range map[string]struct{ old, new, want string }{
		"unknown key":         {"  region:", "  regoin: riga\n  region:", "d.yaml:4: vm.regoin: unknown key; allowed: data_centre"},
		"unknown section":     {"limits:", "limit:", "d.yaml:13: limit: unknown section; allowed: addresses"},
		"no unit":             {"64KiB", "65536", "d.yaml:14: limits.body_bytes: \"65536\" is refused; allowed: a size with unit"},
		"wrong unit":          {"64KiB", "64KB", "d.yaml:14: limits.body_bytes: \"64KB\" is refused"},
		"out of range":        {"64KiB", "65GiB", "from 1KiB to 64MiB"},
		"overflow":            {"64KiB", "9223372036854775807GiB", "limits.body_bytes"},
		"duration in bytes":   {"body_bytes: 64KiB", "read_timeout: 64KiB", "a duration with unit"},
		"duration no unit":    {"body_bytes: 64KiB", "read_timeout: 0", "a duration with unit"},
		"negative count":      {"body_bytes: 64KiB", "connections: -1", "a whole number without unit, from 1 to"},
		"fraction":            {"body_bytes: 64KiB", "connections: 1.5", "a whole number without unit"},
		"no data centre":      {"  data_centre: riga-a\n", "", "d.yaml:1: vm.data_centre: missing; required: every address belongs"},
		"host name":           {"127.0.0.1:8080", "localhost:8080", "d.yaml:6: addresses.caller: \"localhost:8080\" is refused; allowed: ip:port"},
		"unspecified address": {"127.0.0.1:8080", "0.0.0.0:8080", "addresses.caller"},
		"address used twice":  {"caller: 127.0.0.1:8080", "caller: 127.0.0.1:8081", "addresses.peer_rpc: 127.0.0.1:8081 is taken by addresses.caller"},
		"short secret":        {"0123456789abcdef0123456789abcdef", "short", "d.yaml:10: cluster.secret: the secret is too short"},
		"two secrets":         {"cluster:\n", "cluster:\n  secret_file: x\n", "exactly one of secret and secret_file"},
		"missing file":        {"secret: 0123456789abcdef0123456789abcdef", "secret_file: absent", "d.yaml:10: cluster.secret_file: cannot be read"},
		"not a string":        {"name: riga-1", "name: 12", "d.yaml:2: vm.name: not a value"},
		"list":                {"name: riga-1", "name: [a]", "d.yaml:2: vm.name: not a value"},
		"section is a value":  {"limits:\n  body_bytes: 64KiB", "limits: 3", "d.yaml:13: limits: must be a mapping"},
		"duplicate key":       {"  region: riga", "  region: riga\n  region: riga", "d.yaml:5: (file): YAML"},
		"order of timing":     {"limits:", "membership:\n  suspect_after: 5s\nlimits:", "membership.unreachable_after: 3s is refused; allowed: longer than"},
		"log level":           {"limits:", "log:\n  level: loud\nlimits:", "one of debug, info, warn, error"},
	} {
		t.Run(name, func(t *testing.T) {
			g := gomega.NewWithT(t)
			text := strings.Replace(validSettings, c.old, c.new, 1)
			g.Expect(text).NotTo(gomega.Equal(validSettings))
			_, err := settings.Parse("d.yaml", []byte(text))
			g.Expect(errs.Is(err, errs.InvalidSettings)).To(gomega.BeTrue())
			g.Expect(errs.As(err).Details).To(gomega.ContainElement(gomega.ContainSubstring(c.want)))
		})
	}
}

// Guards against parsing that stops at the first error.
func TestEveryErrorIsReported(t *testing.T) {
	g := gomega.NewWithT(t)
	text := strings.NewReplacer("64KiB", "x", "riga-1", "Riga!").Replace(validSettings)
	_, err := settings.Parse("d.yaml", []byte(text))
	g.Expect(errs.As(err).Details).To(gomega.HaveLen(2))
}

func TestSecretFileIsRelativeToSettingsFile(t *testing.T) {
	g := gomega.NewWithT(t)
	dir := t.TempDir()
	g.Expect(os.WriteFile(filepath.Join(dir, "key"), []byte(strings.Repeat("k", 32)+"\n"), 0o600)).To(gomega.Succeed())
	path := filepath.Join(dir, "d.yaml")
	text := strings.Replace(validSettings, "secret: 0123456789abcdef0123456789abcdef", "secret_file: key", 1)
	g.Expect(os.WriteFile(path, []byte(text), 0o600)).To(gomega.Succeed())
	s, err := settings.Load(path)
	g.Expect(err).NotTo(gomega.HaveOccurred())
	g.Expect(s.Cluster.Secret).To(gomega.Equal(strings.Repeat("k", 32)))
}
