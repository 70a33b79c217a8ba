// Package lineage tracks which software version began each stream, so that a stream goes on at that version only.
//
// A version may begin streams once the platform's record names it, so the record, read after a stream began, names its
// version. If it names no other one of the service, the stream is of that version. While it names several, the routers
// record the origin of each of their streams, and a stream whose origin is not known does not go on.
//
// The package does no I/O, starts no goroutine and reads no clock: callers pass the time.
package lineage

import (
	"cmp"
	"maps"
	"slices"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

const (
	// maxOriginTTL limits the time for which the origin of a stream is kept. originRequests is that time in durations of
	// the longest request: one that begins the stream, and one that takes it up.
	maxOriginTTL   = 1 * clock.Minute
	originRequests = 2
	// forgetRequests is how long a version must be missing from the list until it is removed from the record, in
	// durations of the longest request: one may run when its server leaves the list, its caller may take it up for as long
	// again, and the third is a margin. minForgetTime is the least such time, and defaultRequest the longest request
	// where routes set no limit.
	forgetRequests = 3
	minForgetTime  = 45 * clock.Second
	defaultRequest = 1 * clock.Minute
	// readmitTime is how long a version may be missing from the list until it must be recorded again before it begins
	// streams. It is far below minForgetTime, so that no router uses a version that another one removes.
	readmitTime = 30 * clock.Second
	// maxListGap is the age of the list above which versions may have come and gone unseen.
	maxListGap = 5 * clock.Second
	// announceTTL is how long the announcement of a peer holds.
	announceTTL = 2 * clock.Second
	// delegateTime is how long a stream may wait for room in a message to the routers that record it.
	delegateTime = 1 * clock.Second
	// relayedTTL is how long a router keeps the origin of another one's stream that it has recorded and not read from the
	// record since.
	relayedTTL = 10 * clock.Second
	// maxOrigins limits the origins that are kept, those of this router and those read from the record.
	maxOrigins = 1 << 16
)

// version is what is known of a software version.
type version struct {
	// listed is set while the list has a server of the version, whatever its state. lastListed is when it was last seen
	// to have one, or became known. unlistedAt is since when it is known to have had none all the while.
	listed     bool
	lastListed clock.Millis
	unlistedAt clock.Millis
	// admitted is set once this router has recorded the version on the platform.
	admitted bool
	// recorded is set if the version was in the record when it was last read or written.
	recorded bool
	// announcedAt is when a peer last said that it has recorded the version; 0 if none has.
	announcedAt clock.Millis
}

// Tracker holds the versions and the origins of streams that one router knows. It is not safe for concurrent use.
type Tracker struct {
	versions map[laburnumring.SoftwareVersion]*version
	origins  map[uint64]origin
	// unrecorded holds the streams whose origins are not recorded, as far as this router knows, the oldest first.
	unrecorded []begun
	// unverified holds the streams begun here whose origins are not verified yet.
	unverified []unverified
	// forgetTime is how long a version must be missing from the list until it is removed from the record.
	forgetTime clock.Millis
	// originTTL is how long the origin of a stream is kept.
	originTTL clock.Millis
	// listAt is when the list was last the platform's newest, as far as the tracker was told; 0 before.
	listAt clock.Millis
	recovery
}

// New returns a tracker that knows no version.
func New() *Tracker {
	return &Tracker{
		versions: make(map[laburnumring.SoftwareVersion]*version), origins: make(map[uint64]origin),
		forgetTime: forgetRequests * defaultRequest,
		originTTL:  maxOriginTTL,
	}
}

// SetLongestRequest sets the longest time that a request may take; 0 if there is no limit.
func (t *Tracker) SetLongestRequest(d clock.Millis) {
	if d == 0 {
		d = defaultRequest
	}
	t.forgetTime = max(minForgetTime, forgetRequests*d)
	t.originTTL = min(maxOriginTTL, originRequests*d)
}

// version returns the state of a version, which is new if it is not known yet.
func (t *Tracker) version(now clock.Millis, v laburnumring.SoftwareVersion) *version {
	s, ok := t.versions[v]
	if !ok {
		s = &version{lastListed: now, unlistedAt: now}
		t.versions[v] = s
	}
	return s
}

// SetList records the versions of all servers that the platform lists, whatever their state. After a long time without
// the list, all versions have to be recorded again: others may have removed one that left and came back.
func (t *Tracker) SetList(now clock.Millis, entries []laburnumring.ServerEntry) {
	if t.eraAt == 0 {
		t.eraAt = now
	}
	listed := make(map[laburnumring.SoftwareVersion]bool)
	for _, e := range entries {
		listed[e.Software()] = true
	}
	for v := range listed {
		t.version(now, v)
	}
	unseen := t.listAt > 0 && now-t.listAt >= readmitTime
	for v, s := range t.versions {
		if unseen {
			s.admitted = false
		}
		if listed[v] {
			if !s.listed && now-s.lastListed >= readmitTime {
				s.admitted = false
			}
			s.listed = true
			continue
		}
		if s.listed {
			s.lastListed, s.unlistedAt = now, now
		}
		s.listed = false
	}
}

// Prune removes what has expired. listAge is the age of the list.
func (t *Tracker) Prune(now, listAge clock.Millis) {
	t.ListRead(now - listAge)
	for v, s := range t.versions {
		if !s.listed && listAge > maxListGap {
			s.unlistedAt = now
		}
		if !s.listed && !s.recorded && now-s.unlistedAt >= t.forgetTime {
			delete(t.versions, v)
		}
	}
	waiting := make(map[uint64]bool, len(t.unrecorded))
	for _, b := range t.unrecorded {
		waiting[b.stream] = true
	}
	maps.DeleteFunc(t.origins, func(stream uint64, o origin) bool {
		return now-o.at >= t.originTTL || o.relayed && !waiting[stream] && now-o.at >= relayedTTL
	})
	t.unrecorded = slices.DeleteFunc(t.unrecorded, func(b begun) bool {
		_, ok := t.origins[b.stream]
		return !ok
	})
	t.unverified = slices.DeleteFunc(t.unverified, func(u unverified) bool {
		_, ok := t.origins[u.stream]
		return !ok
	})
}

// Admitted returns the keys of the versions that may begin streams.
func (t *Tracker) Admitted(now clock.Millis) map[uint64]bool {
	out := make(map[uint64]bool)
	for v, s := range t.versions {
		if s.listed && (s.admitted || s.announced(now)) {
			out[v.Key()] = true
		}
	}
	return out
}

func (s *version) announced(now clock.Millis) bool {
	return s.announcedAt > 0 && now-s.announcedAt < announceTTL
}

// Unadmitted returns the listed versions that this router has to record.
func (t *Tracker) Unadmitted() []laburnumring.SoftwareVersion {
	return t.sorted(func(s *version) bool { return s.listed && !s.admitted })
}

// Admit records that the platform has accepted versions in its record.
func (t *Tracker) Admit(now clock.Millis, versions []laburnumring.SoftwareVersion) {
	for _, v := range versions {
		s := t.version(now, v)
		s.admitted, s.recorded = true, true
	}
}

// Announcements returns the versions that peers may rely on to be recorded.
func (t *Tracker) Announcements() []laburnumring.SoftwareVersion {
	return t.sorted(func(s *version) bool { return s.listed && s.admitted })
}

// Announced records the announcements of a peer.
func (t *Tracker) Announced(now clock.Millis, versions []laburnumring.SoftwareVersion) {
	for _, v := range versions {
		t.version(now, v).announcedAt = now
	}
}

// sorted returns the versions for which f holds, in a fixed order.
func (t *Tracker) sorted(f func(*version) bool) []laburnumring.SoftwareVersion {
	var out []laburnumring.SoftwareVersion
	for v, s := range t.versions {
		if f(s) {
			out = append(out, v)
		}
	}
	slices.SortFunc(out, func(a, b laburnumring.SoftwareVersion) int {
		return cmp.Or(cmp.Compare(a.Service, b.Service), cmp.Compare(a.Version, b.Version))
	})
	return out
}

// SetRecorded records which versions the platform's record has.
func (t *Tracker) SetRecorded(now clock.Millis, list laburnumring.VersionList) {
	for _, s := range t.versions {
		s.recorded = false
	}
	for _, v := range list.Versions {
		t.version(now, v).recorded = true
	}
	t.enterEra(now, list.Era)
	if list.Era == t.era {
		t.complete = t.complete || list.Complete
	}
}

// Restored records that the platform has lost the latest changes of its record, and begun an era.
func (t *Tracker) Restored(now clock.Millis, era int64) {
	t.enterEra(now, era)
	for _, s := range t.versions {
		s.admitted = false
	}
	services := make(map[uint64]string, len(t.versions))
	for v := range t.versions {
		services[v.Key()] = v.Service
	}
	t.unrecorded = nil
	for stream, o := range t.origins {
		if service, ok := services[o.Software]; ok {
			t.unrecorded = append(t.unrecorded, begun{stream: stream, service: service, at: o.at})
		}
	}
	slices.SortFunc(t.unrecorded, func(a, b begun) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.stream, b.stream))
	})
}

// Resolution says how the origin of a stream was determined.
type Resolution int

// Resolutions of a stream.
const (
	// Known means that this router began the stream or has read its origin from the record.
	Known Resolution = iota + 1
	// Only means that the stream can be of one version only. Which server began it is not known.
	Only
	// Unknown means that the stream may be of several versions.
	Unknown
	// Unread means that the record must be read first.
	Unread
	// Unsettled means that the record and the list may lack versions that they lost in a recovery of the platform.
	Unsettled
)

// Resolve determines the origin of a stream of a service that its caller takes up. named is false if the caller did not
// name the stream. read is set if the record has been read since the caller asked, so since the stream began.
func (t *Tracker) Resolve(service string, stream uint64, named, read bool) (laburnumring.StreamOrigin, Resolution) {
	settled := t.Settled()
	if o, ok := t.origins[stream]; ok && named && (settled || t.survived || o.own) {
		return o.StreamOrigin, Known
	}
	if !read {
		return laburnumring.StreamOrigin{}, Unread
	}
	if !settled {
		return laburnumring.StreamOrigin{}, Unsettled
	}
	if key, ok := t.only(service); ok {
		return laburnumring.StreamOrigin{Software: key}, Only
	}
	return laburnumring.StreamOrigin{}, Unknown
}

// only returns the key of the only version of a service that the record had when it was last read. An unconfirmed record
// may lack versions that this router knows.
func (t *Tracker) only(service string) (uint64, bool) {
	var key uint64
	n := 0
	for v, s := range t.versions {
		if v.Service == service && s.recorded {
			key = v.Key()
			n++
		}
	}
	return key, n == 1 && (t.complete || !t.Several(service))
}

// Several reports whether streams of several versions of a service may be open, so that their origins have to be
// recorded.
func (t *Tracker) Several(service string) bool {
	n := 0
	for v := range t.versions {
		if v.Service == service {
			n++
		}
	}
	return n > 1
}

// Counts returns how many versions of a service the record and the list had when they were last read.
func (t *Tracker) Counts(service string) (recorded, listed int) {
	for v, s := range t.versions {
		if v.Service != service {
			continue
		}
		if s.recorded {
			recorded++
		}
		if s.listed {
			listed++
		}
	}
	return recorded, listed
}

// AnySeveral reports whether Several holds for any service.
func (t *Tracker) AnySeveral() bool {
	for v := range t.versions {
		if t.Several(v.Service) {
			return true
		}
	}
	return false
}

// Forgettable returns the recorded versions that no longer have streams.
func (t *Tracker) Forgettable(now clock.Millis) []laburnumring.SoftwareVersion {
	return t.sorted(func(s *version) bool { return s.recorded && !s.listed && now-s.unlistedAt >= t.forgetTime })
}

// Forget records that a version was removed from the record.
func (t *Tracker) Forget(v laburnumring.SoftwareVersion) { delete(t.versions, v) }
