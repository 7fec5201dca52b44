package settings

import "strings"

// line returns the line of a key, or of its section, or 1.
func (r *reader) line(key string) int {
	if line, ok := r.lines[key]; ok {
		return line
	}
	section, _, _ := strings.Cut(key, ".")
	return max(1, r.lines[section])
}

func (r *reader) checkMissing() {
	for _, section := range names(r.fields) {
		for _, name := range names(r.fields[section]) {
			f := r.fields[section][name]
			if f.tag.Get("required") == "true" && f.value.String() == "" {
				r.fail(r.line(f.key), f.key, "missing; %s", reasonRequired(f.key))
			}
		}
	}
}

func reasonRequired(key string) string {
	if key == "vm.data_centre" {
		return "required: every address belongs to a data centre"
	}
	return "required"
}

// checkRelations checks the rules that concern several settings.
func (r *reader) checkRelations() {
	m := r.settings.Membership
	if m.SuspectAfter < 2*m.HeartbeatInterval {
		r.fail(r.line("membership.suspect_after"), "membership.suspect_after",
			"%s is refused; allowed: at least twice heartbeat_interval (%s)", m.SuspectAfter, m.HeartbeatInterval)
	}
	if m.UnreachableAfter <= m.SuspectAfter {
		r.fail(r.line("membership.unreachable_after"), "membership.unreachable_after",
			"%s is refused; allowed: longer than suspect_after (%s)", m.UnreachableAfter, m.SuspectAfter)
	}
	if c := r.settings.Cluster; (c.Secret == "") == (c.SecretFile == "") {
		r.fail(r.line("cluster.secret"), "cluster", "allowed: exactly one of secret and secret_file")
	}
	r.checkDistinctAddresses()
}

// checkDistinctAddresses refuses two TCP listeners on one address. The UDP
// address may equal a TCP one.
func (r *reader) checkDistinctAddresses() {
	a := r.settings.Addresses
	used := map[string]string{}
	for _, entry := range [][2]string{
		{"addresses.caller", a.Caller},
		{"addresses.peer_rpc", a.PeerRPC},
		{"addresses.metrics", a.Metrics},
	} {
		key, address := entry[0], entry[1]
		if address == "" || strings.HasSuffix(address, ":0") {
			continue
		}
		if other, taken := used[address]; taken {
			r.fail(r.line(key), key, "%s is taken by %s; allowed: another port", address, other)
		}
		used[address] = key
	}
}
