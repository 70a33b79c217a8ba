package lineage_test

import (
	"fmt"
	"maps"
	"slices"
	"testing"

	"pgregory.net/rapid"

	"github.com/laburnumring/laburnumring"
	"github.com/laburnumring/laburnumring/internal/lineage"
	"github.com/laburnumring/laburnumring/pkg/clock"
)

// stream is a stream of the model.
type stream struct {
	id      string
	version string
	at      clock.Millis
	// written is set once its origin is in the record.
	written bool
}

// write is an append that the platform may still carry out.
type write struct {
	versions []laburnumring.SoftwareVersion
	origins  []laburnumring.StreamOrigin
	// remove is the version to remove if the record is at the given revision; empty for none.
	remove   string
	revision int64
}

// fleet is a model of routers, the platform's list and record, and the streams that servers began.
type fleet struct {
	t   *rapid.T
	now clock.Millis
	// listed holds the versions that have servers, seen those that the list names, recorded those in the record.
	listed   map[string]bool
	seen     map[string]bool
	recorded map[string]bool
	revision int64
	// complete is the era in which the record was confirmed, from 1; 0 if it was not.
	complete int64
	origins  []laburnumring.StreamOrigin
	routers  []*node
	streams  []stream
	// late holds writes whose response was lost, and which may be carried out later.
	late []write
	// copy is a backup of the platform, from which it may recover. registered is when all servers are listed again after
	// a recovery, and era counts these.
	copy       backup
	registered clock.Millis
	era        int64
}

// backup is a copy of what the platform holds.
type backup struct {
	at       clock.Millis
	seen     map[string]bool
	recorded map[string]bool
	complete int64
	revision int64
	origins  int
}

// node is a router of the model.
type node struct {
	tracker *lineage.Tracker
	// listAt is when it last read the list. cut is set while it reaches neither the list nor the record.
	listAt clock.Millis
	cut    bool
	// era is the era of the list that it last read, used the latest one that it has read anything of, and eraAt when it
	// first did.
	era   int64
	used  int64
	eraAt clock.Millis
	// next is the first origin of the record that it has not read, in the era nextEra.
	next    int
	nextEra int64
}

const (
	longestRequest = 15 * clock.Second
	// writers is the number of routers that record the origins of streams for all.
	writers = 3
	// maxCopyAge is the age of the oldest copy from which the platform recovers, and registrationTime the time in which
	// servers write their entries again after that. settleTime bounds the time for which streams are refused then.
	maxCopyAge       = 10 * clock.Second
	registrationTime = 2 * clock.Second
	settleTime       = 5 * clock.Second
)

func (f *fleet) start(i int) {
	tr := lineage.New()
	tr.SetLongestRequest(longestRequest)
	f.routers[i] = &node{tracker: tr, eraAt: f.now}
	f.readList(f.routers[i])
}

func (f *fleet) readList(n *node) {
	f.use(n)
	if f.era > n.era {
		n.tracker.Restored(f.now, f.era)
		n.era = f.era
	}
	n.tracker.SetList(f.now, entries(slices.Sorted(maps.Keys(f.seen))))
	n.tracker.ListRead(f.now)
	n.listAt = f.now
}

// drill takes the platform back to the backup. It must be some seconds old, and the versions that it has lost must have
// servers that register again: nothing else tells of a version that came and went in that time.
func (f *fleet) drill() {
	if f.copy.recorded == nil || f.now-f.copy.at > maxCopyAge {
		return
	}
	for _, s := range f.streams {
		if f.now-s.at <= longestRequest && !f.copy.recorded[s.version] && !f.listed[s.version] {
			return
		}
	}
	f.seen, f.recorded = maps.Clone(f.copy.seen), maps.Clone(f.copy.recorded)
	f.complete, f.revision = f.copy.complete, f.copy.revision
	for _, o := range f.origins[f.copy.origins:] {
		f.setWritten(o, false)
	}
	f.origins = f.origins[:f.copy.origins]
	f.late, f.copy = nil, backup{}
	f.era++
	f.registered = f.now + registrationTime
}

// setWritten records whether the record has the origin of a stream.
func (f *fleet) setWritten(o laburnumring.StreamOrigin, written bool) {
	for i := range f.streams {
		if laburnumring.StreamKey(f.streams[i].id) == o.Stream {
			f.streams[i].written = written
		}
	}
}

// forgotten reports whether the record lacks a version that has open streams.
func (f *fleet) forgotten(version string) bool {
	return !f.recorded[version] && slices.ContainsFunc(f.streams, func(s stream) bool {
		return s.version == version && f.now-s.at <= longestRequest
	})
}

// apply carries out a write.
func (f *fleet) apply(w write) {
	if w.remove != "" {
		if w.revision != f.revision {
			return
		}
		delete(f.recorded, w.remove)
		f.revision++
	}
	for _, v := range w.versions {
		f.recorded[v.Version] = true
		f.revision++
	}
	f.origins = append(f.origins, w.origins...)
	for _, o := range w.origins {
		f.setWritten(o, true)
	}
}

// send sends a write to the platform and reports whether its response arrives.
func (f *fleet) send(w write) bool {
	switch rapid.IntRange(0, 5).Draw(f.t, "fate") {
	case 0:
		f.late = append(f.late, w)
		return false
	case 1:
		f.apply(w)
		return false
	case 2:
		return false
	}
	f.apply(w)
	return true
}

// use records that a router reads something of the platform's era.
func (f *fleet) use(n *node) {
	if f.era > n.used {
		n.used, n.eraAt = f.era, f.now
	}
}

func (f *fleet) readRecord(n *node) {
	f.use(n)
	var versions []laburnumring.SoftwareVersion
	for v := range f.recorded {
		versions = append(versions, software(v))
	}
	n.tracker.SetRecorded(f.now, laburnumring.VersionList{
		Versions: versions, Era: f.era, Complete: f.complete == f.era+1,
	})
	if !n.tracker.AnySeveral() {
		return
	}
	if n.nextEra != f.era {
		n.next, n.nextEra = 0, f.era
	}
	n.tracker.Learn(f.now, f.origins[n.next:])
	n.next = len(f.origins)
}

// step does one random thing.
func (f *fleet) step() {
	n := f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(f.t, "router")]
	switch rapid.SampledFrom([]string{
		"wait", "wait", "serve", "leave", "list", "list", "admit", "announce", "begin", "begin", "begin", "write", "relay", "kill",
		"kill_all", "cut", "late", "remove", "take_up", "take_up", "take_up", "copy", "drill", "confirm",
	}).Draw(f.t, "step") {
	case "wait":
		f.now += clock.Millis(rapid.SampledFrom([]int64{50, 300, 1000, 3000, 20000, 50000}).Draw(f.t, "ms"))
		if f.now >= f.registered {
			f.seen = maps.Clone(f.listed)
		}
		for _, n := range f.routers {
			n.tracker.Prune(f.now, f.now-n.listAt)
			if !n.cut && f.now-n.listAt > 2*clock.Second {
				f.readList(n)
			}
			n.tracker.Prune(f.now, f.now-n.listAt)
		}
	case "serve":
		v := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(f.t, "version")
		f.listed[v], f.seen[v] = true, true
	case "leave":
		if v := rapid.SampledFrom([]string{"v1", "v2", "v3"}).Draw(f.t, "version"); !f.forgotten(v) {
			delete(f.listed, v)
			delete(f.seen, v)
		}
	case "copy":
		f.copy = backup{
			at: f.now, seen: maps.Clone(f.seen), recorded: maps.Clone(f.recorded), complete: f.complete, revision: f.revision,
			origins: len(f.origins),
		}
	case "drill":
		f.drill()
	case "confirm":
		if era, ok := n.tracker.Confirmable(); ok && era == f.era && !n.cut {
			f.complete = era + 1
			f.revision++
			n.tracker.Confirmed(era)
		}
	case "cut":
		if n.cut = !n.cut; !n.cut {
			f.readList(n)
		}
	case "list":
		if !n.cut {
			f.readList(n)
		}
	case "admit":
		if versions := n.tracker.Unadmitted(); len(versions) > 0 && !n.cut && f.send(write{versions: versions}) {
			n.tracker.Admit(f.now, versions)
		}
	case "announce":
		f.routers[rapid.IntRange(0, len(f.routers)-1).Draw(f.t, "peer")].tracker.Announced(f.now, n.tracker.Announcements())
	case "begin":
		// A router that cannot read the list sends nothing.
		if !n.cut {
			f.begin(n)
		}
	case "write":
		writer := slices.Index(f.routers, n) < writers
		if origins := n.tracker.Unrecorded(f.now, 100, writer); len(origins) > 0 && !n.cut && f.send(write{origins: origins}) {
			n.tracker.Recorded(origins)
		}
	case "relay":
		origins := n.tracker.Relays(3, relayTimes)
		for _, w := range f.routers[:min(writers, len(f.routers))] {
			if w != n && rapid.IntRange(0, 3).Draw(f.t, "loss") > 0 {
				w.tracker.Relayed(f.now, origins)
			}
		}
	case "kill":
		f.start(rapid.IntRange(0, len(f.routers)-1).Draw(f.t, "killed"))
	case "kill_all":
		for i := range f.routers {
			f.start(i)
		}
	case "late":
		if len(f.late) > 0 {
			f.apply(f.late[0])
			f.late = f.late[1:]
		}
	case "remove":
		if versions := n.tracker.Forgettable(f.now); len(versions) > 0 && !n.cut {
			if f.send(write{remove: versions[0].Version, revision: f.revision}) {
				n.tracker.Forget(versions[0])
			}
		}
	case "take_up":
		f.takeUp(n)
	}
}

// begin begins a stream at a version that the router may use.
func (f *fleet) begin(n *node) {
	admitted := n.tracker.Admitted(f.now)
	var usable []string
	for v := range f.seen {
		if f.listed[v] && admitted[software(v).Key()] {
			usable = append(usable, v)
		}
	}
	if len(usable) == 0 {
		return
	}
	slices.Sort(usable)
	s := stream{
		id: fmt.Sprint("s", len(f.streams)), version: rapid.SampledFrom(usable).Draw(f.t, "version"), at: f.now,
	}
	f.streams = append(f.streams, s)
	n.tracker.Begin(f.now, laburnumring.NewStreamOrigin(s.id, entries([]string{s.version})[0]), "llm")
}

// takeUp takes up a random stream that is not too old. It must not go on at another version, and must go on if its origin
// is in the record.
func (f *fleet) takeUp(n *node) {
	var open []stream
	for _, s := range f.streams {
		if f.now-s.at <= longestRequest {
			open = append(open, s)
		}
	}
	if len(open) == 0 {
		return
	}
	s := rapid.SampledFrom(open).Draw(f.t, "stream")
	named := rapid.Bool().Draw(f.t, "named")
	o, r := n.tracker.Resolve("llm", laburnumring.StreamKey(s.id), named, false)
	if r == lineage.Unread {
		if n.cut {
			return
		}
		f.readRecord(n)
		o, r = n.tracker.Resolve("llm", laburnumring.StreamKey(s.id), named, true)
	}
	switch {
	case r == lineage.Unknown && named && s.written:
		f.t.Fatalf("stream %s of version %s is recorded but unknown", s.id, s.version)
	case r == lineage.Unsettled && f.now-n.eraAt > settleTime:
		f.t.Fatalf("stream %s of version %s is refused %v after the router's first use of the era", s.id, s.version, f.now-n.eraAt)
	case r != lineage.Unknown && r != lineage.Unsettled && name(o.Software) != s.version:
		f.t.Fatalf("stream %s of version %s goes on at version %s, resolution %d", s.id, s.version, name(o.Software), r)
	}
}

// TestStreamsAreNotJoined plays routers that are killed, alone and all at once, while versions come and go in any order
// and writes are lost, late or carried out twice.
func TestStreamsAreNotJoined(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		f := &fleet{t: t, now: 1000, listed: map[string]bool{"v1": true}, seen: map[string]bool{"v1": true}, recorded: make(map[string]bool)}
		f.routers = make([]*node, rapid.IntRange(1, 5).Draw(t, "routers"))
		for i := range f.routers {
			f.start(i)
		}
		for range rapid.IntRange(1, 300).Draw(t, "steps") {
			f.step()
		}
	})
}
