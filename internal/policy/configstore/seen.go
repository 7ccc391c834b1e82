package configstore

import (
	"cmp"
	"fmt"
	"slices"
	"time"
)

// Verdict is what may be done by a document.
type Verdict int

const (
	Good         Verdict = iota
	Behind               // a newer one has been known for a lease: nothing that is exclusive begins by this one
	Contradicted         // two documents of its version differ: nothing that is exclusive begins by either
	Quiet                // two have differed not long ago, and what either began may still come again
)

func (v Verdict) String() string { return [...]string{"good", "behind", "contradicted", "quiet"}[v] }

// News is what a process has learned just now.
type News int

const (
	Nothing  News = iota
	Newer         // a version above all that it knew
	Conflict      // a second document of one version
)

// Sighting is a document that somebody has.
type Sighting struct {
	ID     ID
	Source string // who said so
}

func (s Sighting) String() string { return fmt.Sprintf("%v by %s", s.ID, s.Source) }

// Bounds on what is remembered: what comes off a wire is not bounded by itself.
const (
	mostVersions = 16
	longestName  = 64
)

// version is what is known of a version's documents.
type version struct {
	n      int
	first  time.Duration // when it was first heard of
	by     []Sighting    // one, or the first two that differ
	differ time.Duration // since when two are known to
	told   string        // or that two differ, as somebody else said
}

func (v *version) contradicted() bool { return len(v.by) > 1 || v.told != "" }

// Seen is what a process has heard of others' rules. The zero value has heard nothing. Its times are those of the process's
// own monotonic clock.
type Seen struct {
	terms   Terms      // the longest lease and the rest of it that anyone named
	list    []*version // rising
	quiet   time.Duration
	longest time.Duration // that somebody was seen to be behind, or that two differed
}

// Agree takes the terms that a document names. Of two, the longer ones hold: they err on the safe side.
func (s *Seen) Agree(t Terms) {
	s.terms = Terms{max(s.terms.Lease, t.Lease), max(s.terms.Skew, t.Skew), max(s.terms.Drift, t.Drift),
		max(s.terms.Probe, t.Probe), max(s.terms.Wait, t.Wait), max(s.terms.Dual, t.Dual)}
}

// at returns what is known of a version, new where it is not too old to matter.
func (s *Seen) at(n int, now time.Duration) (v *version, newest bool) {
	i, known := slices.BinarySearchFunc(s.list, n, func(v *version, n int) int { return cmp.Compare(v.n, n) })
	if known {
		return s.list[i], false
	}
	if i == 0 && len(s.list) >= mostVersions {
		return nil, false
	}
	newest = i == len(s.list)
	v = &version{n: n, first: now}
	s.list = slices.Insert(s.list, i, v)
	if len(s.list) > mostVersions {
		s.list = slices.Delete(s.list, 0, 1)
	}
	return v, newest
}

// Hear takes that somebody has a document.
func (s *Seen) Hear(now time.Duration, id ID, source string) News {
	v, newest := s.at(id.Version, now)
	if v == nil {
		return Nothing
	}
	switch {
	case len(v.by) == 0 || len(v.by) == 1 && v.by[0].ID != id:
		v.by = append(v.by, Sighting{id, source[:min(len(source), longestName)]})
		if len(v.by) == 2 && v.told == "" {
			s.differs(now, v)
			return Conflict
		}
	}
	if newest && len(s.list) > 1 {
		return Newer
	}
	return Nothing
}

// Told takes that somebody else knows of two documents of a version that differ, in his words.
func (s *Seen) Told(now time.Duration, n int, words string) News {
	v, _ := s.at(n, now)
	if v == nil || v.contradicted() || words == "" {
		return Nothing
	}
	v.told = words[:min(len(words), 4*longestName)]
	s.differs(now, v)
	return Conflict
}

// differs begins the stretch in which what either document has begun may come again. Until others know as well they go on,
// for Found at most.
func (s *Seen) differs(now time.Duration, v *version) {
	v.differ = now
	s.Hush(now, s.terms.Found()+s.terms.Dual)
}

// Hush has nothing exclusive begin for so long: somebody else has found two that differ.
func (s *Seen) Hush(now, d time.Duration) { s.quiet = max(s.quiet, now+d) }

// Hushed is how long nothing exclusive begins any more for what was found before.
func (s *Seen) Hushed(now time.Duration) time.Duration { return max(0, s.quiet-now) }

// Top is the newest document that was heard of, and who said so first; ok is false where there is none.
func (s *Seen) Top() (top Sighting, ok bool) {
	for _, v := range slices.Backward(s.list) {
		if len(v.by) > 0 {
			return v.by[0], true
		}
	}
	return Sighting{}, false
}

// Differ names the two documents of the newest version, where they differ, or is empty.
func (s *Seen) Differ() (n int, words string) {
	if len(s.list) == 0 {
		return 0, ""
	}
	v := s.list[len(s.list)-1]
	if v.told != "" || len(v.by) < 2 {
		return v.n, v.told
	}
	return v.n, v.by[0].String() + " and " + v.by[1].String()
}

// Judge tells what may be done by a document. The newest version decides: one above two that differ ends their quarrel, but
// for what they may have begun.
func (s *Seen) Judge(now time.Duration, id ID) Verdict {
	if n := len(s.list); n > 0 && s.list[n-1].contradicted() && id.Version <= s.list[n-1].n {
		s.longest = max(s.longest, now-s.list[n-1].differ)
		return Contradicted
	}
	if now < s.quiet {
		return Quiet
	}
	for _, v := range s.list {
		if v.n <= id.Version {
			continue
		}
		s.longest = max(s.longest, now-v.first)
		if now-v.first > stretch(s.terms.Lease, s.terms.Drift) {
			return Behind
		}
	}
	return Good
}

// Longest is the longest in which somebody was seen to act, or to want to, by a document that is not the newest, or that
// another one contradicts.
func (s *Seen) Longest() time.Duration { return s.longest }

// Terms are the terms that it goes by.
func (s *Seen) Terms() Terms { return s.terms }
