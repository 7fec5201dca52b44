package settings

import "strings"

// lineOfKey returns the line of a key, or the line of its section if the key is
// missing, or 1 if the section is missing as well.
func (r *settingsParser) lineOfKey(key string) int {
	if line, ok := r.lines[key]; ok {
		return line
	}
	section, _, _ := strings.Cut(key, ".")
	return max(1, r.lines[section])
}

// checkMissing records a fault for each required setting without a value.
func (r *settingsParser) checkMissing() {
	for _, section := range sortedKeys(r.fields) {
		for _, name := range sortedKeys(r.fields[section]) {
			f := r.fields[section][name]
			if f.tag.Get("required") == "true" && f.value.String() == "" {
				r.addFault(r.lineOfKey(f.key), f.key, "missing; %s", requiredMessage(f.key))
			}
		}
	}
}

// requiredMessage returns the message for a missing required setting.
func requiredMessage(key string) string {
	if key == "vm.data_centre" {
		return "required: every address belongs to a data centre"
	}
	return "required"
}

// checkCombinations checks the rules that involve several settings.
func (r *settingsParser) checkCombinations() {
	m := r.settings.Membership
	if m.SuspectAfter < 2*m.HeartbeatInterval {
		r.addFault(r.lineOfKey("membership.suspect_after"), "membership.suspect_after",
			"%s is refused; allowed: at least twice heartbeat_interval (%s)", m.SuspectAfter, m.HeartbeatInterval)
	}
	if m.UnreachableAfter <= m.SuspectAfter {
		r.addFault(r.lineOfKey("membership.unreachable_after"), "membership.unreachable_after",
			"%s is refused; allowed: longer than suspect_after (%s)", m.UnreachableAfter, m.SuspectAfter)
	}
	if c := r.settings.Cluster; (c.Secret == "") == (c.SecretFile == "") {
		r.addFault(r.lineOfKey("cluster.secret"), "cluster", "allowed: exactly one of secret and secret_file")
	}
	r.checkDistinctAddresses()
}

// checkDistinctAddresses rejects two TCP listeners with the same address. The
// UDP address may equal a TCP address.
func (r *settingsParser) checkDistinctAddresses() {
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
		if other, exists := used[address]; exists {
			r.addFault(r.lineOfKey(key), key, "%s is taken by %s; allowed: another port", address, other)
		}
		used[address] = key
	}
}
