package placer

// maxAnnouncements is the number of announcements of an adapter that are kept. Within
// versionGrace there are seldom more.
const maxAnnouncements = 16

// Announcement is a version of an adapter with the time at which it was announced.
type Announcement struct {
	Version int64
	At      Time
}

// VersionHistory holds the latest announcements of an adapter. Several versions may be
// announced within a short time, and the time for which an older one may still be used counts
// from the first announcement after it. The zero value is empty.
type VersionHistory struct {
	rows []Announcement // versions and times increase
}

// Add adds an announcement. It returns false if the version is not newer than those before.
func (h *VersionHistory) Add(a Announcement) bool {
	if a.Version <= h.Newest() {
		return false
	}
	for len(h.rows) > 0 && h.rows[len(h.rows)-1].At >= a.At {
		h.rows = h.rows[:len(h.rows)-1] // all versions before a were outdated earlier
	}
	for len(h.rows) > 1 && a.At-h.rows[1].At > versionGrace {
		h.rows = h.rows[1:] // versions before the later row may not be used in any case
	}
	if len(h.rows) == maxAnnouncements {
		h.rows[1].At = h.rows[0].At // outdates the versions between them too early rather than too late
		h.rows = h.rows[1:]
	}
	h.rows = append(h.rows, a)
	return true
}

// Newest returns the newest version, 0 if there is none.
func (h *VersionHistory) Newest() int64 {
	if len(h.rows) == 0 {
		return 0
	}
	return h.rows[len(h.rows)-1].Version
}

// OutdatedSince returns the time from which a newer version than the given one has been known. It
// returns false if there is none.
func (h *VersionHistory) OutdatedSince(version int64) (Time, bool) {
	for _, row := range h.rows {
		if row.Version > version {
			return row.At, true
		}
	}
	return 0, false
}

// Required returns the oldest version that may be used if older ones than an announced version
// may be used for the given time after the announcement. It is 0 if any version may be used.
func (h *VersionHistory) Required(now Time, grace Time) int64 {
	required := int64(0)
	for _, row := range h.rows {
		if now-row.At >= grace {
			required = row.Version
		}
	}
	return required
}

// All returns the announcements, in the order of their versions.
func (h *VersionHistory) All() []Announcement { return h.rows }
