package configstore

import (
	"cmp"
	"fmt"
	"maps"
	"slices"
	"time"
)

// This file is the side of a process that holds a document in parts: it acts on a version only once it has every part of it, and the
// digest over them is the version's. Until then the last good one holds.

// piece is a version of a document in parts, as far as a process has it.
type piece struct {
	id    ID
	parts map[string]Part // nil until they are known by names and digests; a text that is not here yet is empty
}

func (p *piece) whole() bool {
	if p == nil || p.parts == nil {
		return false
	}
	for _, one := range p.parts {
		if one.Text == "" {
			return false
		}
	}
	return true
}

// missing are the names of parts whose texts are not here.
func (p *piece) missing() (names []string) {
	for _, name := range slices.Sorted(maps.Keys(p.parts)) {
		if p.parts[name].Text == "" {
			names = append(names, name)
		}
	}
	return names
}

// Guards can be left out by tests, which show the harm that each keeps away.
type Guards struct {
	NoSince bool // what changed since another version than the one here is put on it too
	NoSum   bool // the digest over all parts is not looked at
	NoText  bool // nor that of a part's text
	NoIndex bool // what is told by an older state of the group's log is taken too
	NoPace  bool // nobody waits before he asks
}

// Off counts what didn't follow from what was here, and why it was last.
type Off struct {
	Times int
	Why   string
}

// Want is what a process asks the group for: the manifest of a version, or texts of parts by name.
type Want struct {
	Doc     string   `json:"doc"`
	Version int      `json:"version"`
	Names   []string `json:"names,omitempty"`
}

// Pauses before a process asks for parts. One that comes back has a megabyte or two to ask for, and a zone that comes back is
// hundreds: each draws its moment by its own name, and waits longer each time that it got nothing.
const (
	firstSpread  = 2 * time.Second
	mostDoubled  = 4 // times: half a minute
	mostAskedFor = MostParts
)

// intake paces what a process asks for: one asking at a time.
type intake struct {
	asking bool
	vain   int           // times in a row that nothing came of it
	drawn  bool          // a pause is under way, or over
	from   time.Duration // it asks then
}

// draw is the pause before the next asking of a process: a part of the spread by its name, so that a thousand have a thousand moments.
func draw(who string, vain int) time.Duration {
	spread := firstSpread << min(vain, mostDoubled)
	share := float64(DigestOf(fmt.Sprint(who, "/", vain))>>11) / (1 << 53)
	return time.Duration(share * float64(spread))
}

// text finds the text of a part that is here already, under whichever version.
func (d *held) text(name string, digest uint64) string {
	for _, p := range []*piece{d.given, d.now, d.then} {
		if p != nil && p.parts[name].Text != "" && p.parts[name].Digest == digest {
			return p.parts[name].Text
		}
	}
	return ""
}

// off notes that something didn't follow.
func (d *held) off(format string, args ...any) {
	d.offs.Times++
	d.offs.Why = fmt.Sprintf(format, args...)
}

// aim is what a process has of a version that it was told of: nothing but its ID where that doesn't follow from what is here.
// Base is what the parts that came differ from, nil for nothing known.
func (d *held) aim(e *Entry, base *piece, out Guards) *piece {
	for _, p := range []*piece{d.given, d.now, d.then} {
		if p != nil && p.id == e.ID && p.parts != nil {
			return p
		}
	}
	to := &piece{id: e.ID}
	if base == nil || base.parts == nil || e.Parts == nil {
		return to
	}
	parts := make(map[string]Part, len(base.parts)+len(e.Parts))
	maps.Copy(parts, base.parts)
	for name, p := range e.Parts {
		if p.Text != "" && DigestOf(p.Text) != p.Digest && !out.NoText {
			d.off("part %s of %v: its text has another digest", name, e.ID)
			p.Text = ""
		}
		if p.Text == "" {
			p.Text = d.text(name, p.Digest)
		}
		parts[name] = p
	}
	if Sum(parts) != e.ID.Digest && !out.NoSum {
		d.off("%v: its parts come to another digest", e.ID)
		return to
	}
	to.parts = parts
	return to
}

// onto is the version here that parts told as changed since another one are put on, nil where there is none.
func (d *held) onto(since int, out Guards) *piece {
	if since == 0 {
		return &piece{parts: map[string]Part{}}
	}
	for _, p := range []*piece{d.given, d.now} {
		if p != nil && p.parts != nil && (p.id.Version == since || out.NoSince) {
			return p
		}
	}
	d.off("what changed since version %d was told, which is not here", since)
	return nil
}

// Bases are the versions of documents in parts that it has whole, to be told what has changed since.
func (h *Holder) Bases() map[string]int {
	bases := map[string]int{}
	for name, d := range h.docs {
		if d.given != nil {
			bases[name] = d.given.id.Version
		}
	}
	return bases
}

// differs are the texts of the parts of a version that differ from what the process was handed last. Whole: they are all.
func (d *held) differs(to *piece) (changed map[string]string, whole bool) {
	changed, whole = map[string]string{}, d.given == nil
	if !whole {
		for name := range d.given.parts {
			if _, ok := to.parts[name]; !ok {
				whole = true // one is gone
			}
		}
	}
	for name, p := range to.parts {
		if whole || d.given.parts[name].Digest != p.Digest {
			changed[name] = p.Text
		}
	}
	return changed, whole
}

// settle checks and hands out what is here whole by now.
func (h *Holder) settle(now time.Duration, check func(name, text string) error) (take []Took) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		if d.next != nil && d.refuses.Version != d.next.ID.Version {
			d.refuses = Refusal{}
			if err := h.look(now, name, d, check); err != nil {
				d.refuses = Refusal{d.next.ID.Version, err.Error()}
			}
		}
		to, of := d.force, d.now
		if d.next != nil && d.stage == Trial && slices.Contains(d.next.Canaries, h.Who) {
			to, of = d.next, d.then
		}
		switch {
		case to == nil || d.acts == to.ID.Version && (!to.Split || d.given != nil && d.given.id == to.ID):
		case !to.Split:
			d.acts, d.given = to.ID.Version, nil
			take = append(take, Took{Doc: name, Entry: to})
		case of.whole() && of.id == to.ID:
			t := Took{Doc: name, Entry: to}
			t.Parts, t.Whole = d.differs(of)
			d.acts, d.given = to.ID.Version, of
			take = append(take, t)
		}
	}
	return take
}

// look checks a version that is under way: one in parts once it is here whole, and then again once in a while, as what a process
// can't act on may follow from the time.
func (h *Holder) look(now time.Duration, name string, d *held, check func(name, text string) error) error {
	switch {
	case !d.next.Split:
		return check(name, d.next.Text)
	case !d.then.whole() || d.then.id != d.next.ID || h.CheckParts == nil:
		return nil
	case d.checked == d.next.ID && now-d.checkedAt < h.terms.TTL/3:
		return nil
	}
	changed, whole := d.differs(d.then)
	d.checked, d.checkedAt = d.next.ID, now
	return h.CheckParts(name, changed, whole)
}

// here reports whether a process has a version that is under way, so that it can say that it holds it.
func (d *held) here() bool {
	return d.next != nil && (!d.next.Split || d.then.whole() && d.then.id == d.next.ID && d.checked == d.next.ID)
}

// Current reports whether it acts on what it was told is in force.
func (h *Holder) Current() bool {
	for _, d := range h.docs {
		if d.force != nil && d.force.Split && (d.given == nil || d.given.id != d.force.ID) &&
			!(d.next != nil && d.given != nil && d.given.id == d.next.ID && d.stage == Trial) {
			return false
		}
	}
	return true
}

// Old are the documents of which it acts on an older version than it was told of, and since when.
func (h *Holder) Old() map[string]int {
	old := map[string]int{}
	for name, d := range h.docs {
		if d.force != nil && d.force.Split && d.acts != d.force.ID.Version && !d.now.whole() {
			old[name] = d.acts
		}
	}
	return old
}

// Again has a document that could not be acted on after all be handed whole, once.
func (h *Holder) Again(name string) {
	if d := h.docs[name]; d != nil && d.given != nil {
		d.given = nil
	}
}

// Offs is what didn't follow from what was here since the last call, by document.
func (h *Holder) Offs() map[string]Off {
	all := map[string]Off{}
	for name, d := range h.docs {
		if d.offs.Times > 0 {
			all[name], d.offs = d.offs, Off{}
		}
	}
	return all
}

// wants is what it lacks first, in the order of documents: what is in force before what is under way.
func (h *Holder) wants() (w Want, ok bool) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		for _, p := range []*piece{d.now, d.then} {
			if p == nil || p.whole() {
				continue
			}
			w = Want{Doc: name, Version: p.id.Version}
			if p.parts != nil {
				w.Names = p.missing()
				w.Names = w.Names[:min(len(w.Names), mostAskedFor)]
			}
			return w, true
		}
	}
	return w, false
}

// Wants is what to ask the group for now. It has one asking under way at most, whose end Got or Vain is told; ok is false where it
// asks for nothing yet, and at says when to look again, 0 for when it was told something.
func (h *Holder) Wants(now time.Duration) (w Want, at time.Duration, ok bool) {
	if h.intake.asking {
		return w, 0, false
	}
	if w, ok = h.wants(); !ok {
		h.intake = intake{}
		return w, 0, false
	}
	if !h.intake.drawn {
		h.intake.drawn = true
		h.intake.from = now + draw(h.Who, h.intake.vain)
	}
	if now < h.intake.from && !h.Out.NoPace {
		return w, h.intake.from, false
	}
	h.intake.asking = true
	return w, 0, true
}

// Misses reports whether parts are missing.
func (h *Holder) Misses() bool {
	_, ok := h.wants()
	return ok
}

// Vain is told that an asking had no answer, or a no.
func (h *Holder) Vain() {
	h.intake = intake{vain: h.intake.vain + 1}
}

// Got takes the answer to what it asked for: of a version by its ID, parts with their texts, or without where their names were asked
// for. It returns what to act on now.
func (h *Holder) Got(now time.Duration, w Want, id ID, parts map[string]Part, check func(name, text string) error) []Took {
	gained := false
	d := h.docs[w.Doc]
	for _, p := range []*piece{d.now, d.then} {
		if p == nil || p.id != id || p.whole() {
			continue
		}
		if len(w.Names) == 0 {
			gained = d.list(p, parts, h.Out) || gained
		} else {
			gained = d.fillIn(p, parts, h.Out) || gained
		}
	}
	if !gained {
		h.Vain()
	} else {
		h.intake = intake{drawn: true, from: now} // it goes on at once: the others drew other moments
	}
	return h.settle(now, check)
}

// list takes a manifest.
func (d *held) list(p *piece, parts map[string]Part, out Guards) bool {
	if p.parts != nil || len(parts) == 0 || len(parts) > MostParts {
		return false
	}
	if Sum(parts) != p.id.Digest && !out.NoSum {
		d.off("%v: the manifest has another digest", p.id)
		return false
	}
	all := make(map[string]Part, len(parts))
	for name, one := range parts {
		one.Text = d.text(name, one.Digest)
		all[name] = one
	}
	p.parts = all
	return true
}

// fillIn takes texts.
func (d *held) fillIn(p *piece, parts map[string]Part, out Guards) (gained bool) {
	for name, got := range parts {
		one, ok := p.parts[name]
		if !ok || one.Text != "" || got.Text == "" {
			continue
		}
		if DigestOf(got.Text) != one.Digest && !out.NoText {
			d.off("part %s of %v: its text has another digest", name, p.id)
			continue
		}
		one.Text = got.Text
		p.parts[name] = one
		gained = true
	}
	return gained
}

// texts are those of a document's version that is in force and of the one under way, whole or in parts.
func (d *held) texts() (list []string) {
	for _, e := range []*Entry{d.force, d.next} {
		if e != nil && e.Text != "" {
			list = append(list, e.Text)
		}
	}
	for _, p := range []*piece{d.given, d.then} {
		if p == nil {
			continue
		}
		for _, name := range slices.Sorted(maps.Keys(p.parts)) {
			if p != d.given && d.given != nil && d.given.parts[name].Digest == p.parts[name].Digest {
				continue
			}
			list = append(list, cmp.Or(p.parts[name].Text, "not here"))
		}
	}
	return list
}

// Touched is what stops here for changes that turn, empty where none does.
func (h *Holder) Touched() (list []*Touched) {
	for _, name := range slices.Sorted(maps.Keys(h.docs)) {
		d := h.docs[name]
		if d.stopped == 0 {
			continue
		}
		if here := d.here(); d.touched == nil || d.touchedBy != d.next.ID || d.touchedHere != here {
			d.touched, d.touchedBy, d.touchedHere = &Touched{}, d.next.ID, here
			d.touched.Touch(d.next.Touches, d.texts())
		}
		list = append(list, d.touched)
	}
	return list
}
