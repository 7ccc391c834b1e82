package configstore

import (
	"fmt"
	"maps"
	"slices"
)

// propose starts a change of a document, based on its active version.
func (s *Store) propose(c Change) (*Document, error) {
	d := s.Documents[c.Doc]
	if d == nil {
		d = &Document{Name: c.Doc}
	}
	inParts := len(c.Parts) > 0 || c.Draft != ""
	if err := s.checkProposal(d, c, inParts); err != nil {
		return d, err
	}
	digest := NewID(1, []byte(c.Text)).Digest
	var parts map[string]Part
	if inParts {
		var err error
		if parts, digest, err = d.changedParts(c); err != nil {
			return d, err
		}
	}
	switch {
	case d.Active != nil && d.Active.ID.Digest == digest:
		return d, fmt.Errorf("version %d of %s says the same", d.activeVersion(), c.Doc)
	case slices.Contains(d.RejectedDigests, digest) && !c.AllowRejected:
		return d, fmt.Errorf("%w: made things worse", ErrRejectedBefore)
	}
	d.RejectedDigests = slices.DeleteFunc(d.RejectedDigests, func(rejected uint64) bool { return rejected == digest })
	d.HighestVersion++
	r := &Revision{ID: ID{d.HighestVersion, digest}, Format: max(1, c.Format), Text: c.Text, Author: clip(c.Author), ProposedAt: c.At,
		Exclusive: c.Exclusive, Scope: c.Scope, Rollout: c.Rollout, InParts: inParts, Parts: parts}
	if inParts {
		r.Format, d.Draft = max(PartsFormat, c.Format), nil
	}
	d.Proposed, d.Stage, d.HoldReason = r, StageProposed, clip(c.Reason)
	s.Documents[c.Doc] = d
	return d, nil
}

// checkProposal returns the reason why a change can't be proposed, before its contents are checked.
func (s *Store) checkProposal(d *Document, c Change, inParts bool) error {
	switch {
	case c.Doc == "" || len(s.Documents) >= maxDocuments && s.Documents[c.Doc] == nil:
		return fmt.Errorf("%d documents are all that there can be", maxDocuments)
	case !inParts && d.Active != nil && d.Active.InParts:
		return fmt.Errorf("%s is in parts: a whole text can't be put on it, silverpath rules put splits it", c.Doc)
	case inParts && c.Text != "":
		return fmt.Errorf("%s: a text beside parts", c.Doc)
	case !inParts && (len(c.Text) > maxTextSize || c.Text == ""):
		return fmt.Errorf("%s: %d bytes, of 1 to %d", c.Doc, len(c.Text), maxTextSize)
	case d.Proposed != nil:
		return fmt.Errorf("%w: version %d of %s is %s", ErrChangePending, d.Proposed.ID.Version, c.Doc, d.Stage)
	case c.Version != d.activeVersion():
		return fmt.Errorf("%w: %d of %s, not %d", ErrStaleBase, d.activeVersion(), c.Doc, c.Version)
	}
	return nil
}

// activeVersion returns the active version, or 0 if there is none.
func (d *Document) activeVersion() int {
	if d.Active == nil {
		return 0
	}
	return d.Active.ID.Version
}

// revert proposes the contents from before the active version as a new version. It goes through the same stages as any change.
func (d *Document) revert(c Change) error {
	if d.Active == nil || d.Active.ID.Version != c.Version {
		return fmt.Errorf("%w: version %d of %s is not in force", ErrNoSuchChange, c.Version, c.Doc)
	}
	if d.Proposed != nil {
		return fmt.Errorf("%w: version %d of %s is %s", ErrChangePending, d.Proposed.ID.Version, c.Doc, d.Stage)
	}
	if d.Active.InParts {
		return fmt.Errorf("%s is in parts, of which no version before is kept: put what it was", c.Doc)
	}
	for _, previous := range slices.Backward(d.History) {
		if previous.ActiveSince == 0 || previous.ID.Digest == d.Active.ID.Digest {
			continue // never active, or the same contents
		}
		d.rejectDigest(d.Active.ID.Digest)
		d.Active.Outcome = clip("taken back: " + c.Reason)
		d.HighestVersion++
		d.Proposed = &Revision{ID: ID{d.HighestVersion, previous.ID.Digest}, Format: previous.Format, Text: previous.Text, Author: clip(c.Author), ProposedAt: c.At,
			Exclusive: d.Active.Exclusive, Scope: d.Active.Scope, RevertsTo: previous.ID.Version}
		d.Stage, d.HoldReason = StageProposed, ""
		return nil
	}
	return fmt.Errorf("%w: nothing was in force before", ErrNoSuchChange)
}

// loadDraft adds parts to the document's draft, which a later proposal names. It serves changes that are too large for one log entry.
func (s *Store) loadDraft(c Change) (*Document, error) {
	d := s.Documents[c.Doc]
	if d == nil {
		if c.Doc == "" || len(s.Documents) >= maxDocuments {
			return nil, fmt.Errorf("%d documents are all that there can be", maxDocuments)
		}
		d = &Document{Name: c.Doc}
	}
	if c.Draft == "" || len(c.Draft) > maxPartNameSize {
		return d, fmt.Errorf("%s: a draft's name: of 1 to %d bytes", c.Doc, maxPartNameSize)
	}
	if err := CheckChangeSize(c.Doc, c.Parts); err != nil {
		return d, err
	}
	drafted := map[string]string{}
	if d.Draft != nil && d.Draft.ID == c.Draft {
		maps.Copy(drafted, d.Draft.Parts)
	}
	maps.Copy(drafted, c.Parts)
	if err := CheckSize(c.Doc, drafted); err != nil {
		return d, err
	}
	d.Draft = &Draft{c.Draft, drafted}
	s.Documents[c.Doc] = d
	return d, nil
}

// ProposedParts returns the parts that a change proposes: its own, or those of the draft that it names.
func (d *Document) ProposedParts(c Change) (map[string]string, error) {
	if c.Draft == "" {
		return c.Parts, CheckChangeSize(d.Name, c.Parts)
	}
	if d.Draft == nil || d.Draft.ID != c.Draft {
		return nil, fmt.Errorf("%w: no draft %.70q of %s: another has begun", ErrNoSuchChange, c.Draft, d.Name)
	}
	return d.Draft.Parts, nil
}

// changedParts returns the parts in which a change differs from the active version, and the digest of the whole document with them. It
// returns an error if that is not the digest that the change names: the change was then based on other parts.
func (d *Document) changedParts(c Change) (changed map[string]Part, digest uint64, err error) {
	texts, err := d.ProposedParts(c)
	if err != nil {
		return nil, 0, err
	}
	var active map[string]Part
	if d.Active != nil {
		active = d.Active.Parts
	}
	changed = map[string]Part{}
	for name, text := range texts {
		p := Part{d.HighestVersion + 1, PartDigest(text), text}
		if previous, ok := active[name]; !ok || previous.Digest != p.Digest {
			changed[name] = p
		}
	}
	merged := mergeParts(active, changed)
	allTexts := make(map[string]string, len(merged))
	for name, p := range merged {
		allTexts[name] = p.Text
	}
	if err := CheckSize(d.Name, allTexts); err != nil {
		return nil, 0, err
	}
	if digest = PartsDigest(merged); digest != c.Digest {
		return nil, 0, fmt.Errorf("%s: with these parts its digest is %016x, not %016x: they are of another version", d.Name, digest, c.Digest)
	}
	return changed, digest, nil
}

// mergeParts returns the parts with the changed ones in place of those of the same names.
func mergeParts(parts, changed map[string]Part) map[string]Part {
	merged := make(map[string]Part, len(parts)+len(changed))
	maps.Copy(merged, parts)
	maps.Copy(merged, changed)
	return merged
}
