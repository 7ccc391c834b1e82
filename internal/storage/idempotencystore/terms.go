package idempotencystore

import (
	"encoding/json"
	"time"

	"silverpath/internal/policy/idempotency"
)

// fileTerms are the terms with which a file was last in use. A process with other settings retains the records by the longer of both.
type fileTerms struct {
	classes idempotency.ClassTerms
	// unknownRetention is how long after header.CompleteSince runs that are not in the file may be repeated, by the longest terms that were
	// in force since. It matters until header.Complete is set.
	unknownRetention time.Duration
}

// storedTerms is the stored form of fileTerms, as JSON. Durations are in nanoseconds.
type storedTerms struct {
	Classes          map[string]storedClass `json:"classes"`
	UnknownRetention int64                  `json:"unknown_ns"`
}

type storedClass struct {
	Window   int64 `json:"window_ns"`
	Deadline int64 `json:"deadline_ns"`
}

// empty reports whether there are no terms to store, as in a new file and in one of an earlier build.
func (t fileTerms) empty() bool { return t.classes == nil && t.unknownRetention == 0 }

// encode returns the stored form.
func (t fileTerms) encode() []byte {
	stored := storedTerms{Classes: map[string]storedClass{}, UnknownRetention: int64(t.unknownRetention)}
	for class, terms := range t.classes {
		stored.Classes[class] = storedClass{int64(terms.Window), int64(terms.Deadline)}
	}
	text, _ := json.Marshal(stored) // can't fail: the fields are numbers and strings
	return text
}

// decodeTerms decodes the stored form. Without one, or if it can't be read, it returns terms without classes, as if the file were of an
// earlier build.
func decodeTerms(text []byte) (t fileTerms) {
	var stored storedTerms
	if json.Unmarshal(text, &stored) != nil {
		return t
	}
	t.unknownRetention, t.classes = time.Duration(stored.UnknownRetention), idempotency.ClassTerms{}
	for class, terms := range stored.Classes {
		t.classes[class] = idempotency.Terms{Window: time.Duration(terms.Window), Deadline: time.Duration(terms.Deadline)}
	}
	return t
}

// storeTerms writes the terms of the classes after a change, and the records if the change has prolonged any. It returns at once if the
// terms have not changed.
func (s *Store) storeTerms() {
	s.mu.Lock()
	changed, extended := s.termsChanged, s.extended
	s.termsChanged, s.extended = false, false
	s.mu.Unlock()
	if !changed {
		return
	}
	s.file.header.terms.classes = s.owner.Terms()
	if !s.file.header.Complete {
		s.extendIncomplete()
	}
	switch h := s.file.header; {
	case s.needsRewrite: // the rewrite stores the terms
	case extended:
		s.rewriteOrFail()
	default:
		if err := s.file.commit(nil, &h); err != nil {
			s.writeFailed(err)
		}
	}
}

// extendIncomplete prolongs the time in which runs may be repeated that are not in the file, if the terms have become longer.
func (s *Store) extendIncomplete() {
	h := &s.file.header
	h.terms.unknownRetention = max(h.terms.unknownRetention, s.owner.LongestWindow())
	s.mu.Lock()
	s.ledger.ExtendIncomplete(time.Duration(h.CompleteSince) + h.terms.unknownRetention)
	s.mu.Unlock()
}

// longestRetention returns the longest time after a run in which another attempt may arrive, by the terms that the file was last in use
// with and by those in force.
func (s *Store) longestRetention() time.Duration {
	longest := s.owner.LongestWindow()
	for _, terms := range s.file.header.terms.classes {
		longest = max(longest, terms.Retention())
	}
	return longest
}
