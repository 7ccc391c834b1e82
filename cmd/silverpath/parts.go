package main

import (
	"context"
	"fmt"
	"maps"
	"slices"
	"strings"

	"silverpath/internal/controlplane/quorum"
	"silverpath/internal/policy/cells"
	"silverpath/internal/policy/configstore"
	"silverpath/internal/policy/statemachine"
	"silverpath/internal/settings"
)

// This file reads and writes documents in parts for the commands. Only parts that differ from the active version are sent.

// maxWholeMap is the size, in bytes, of the longest map that is proposed as one text. Small fleets so avoid the cost of parts, and
// their processes of older builds can read the map.
const maxWholeMap = 32 << 10

// goesInParts reports whether a text of a document is proposed in parts: a map is, if it is longer than maxWholeMap or the active
// version is in parts already.
func goesInParts(name, text string, active *configstore.Revision) bool {
	return name == configstore.DocMap && (active != nil && active.InParts || len(text) > maxWholeMap)
}

// mapParts holds the texts of a map's parts by name, those of them that differ from the active version, and the digest of all.
type mapParts struct {
	texts, changed map[string]string
	digest         uint64
}

// splitMap splits the text of a map into parts and compares them with the active version. It returns an error if the map is invalid
// or exceeds a size limit, so that such a map is refused before anything is sent.
func splitMap(text string, active *configstore.Revision) (s mapParts, err error) {
	m, err := settings.ParseCells([]byte(text))
	if err != nil {
		return s, err
	}
	s = mapParts{texts: settings.SplitCells(m), changed: map[string]string{}}
	if err := configstore.CheckSize(configstore.DocMap, s.texts); err != nil {
		return s, err
	}
	for name, text := range s.texts {
		if active == nil || !active.InParts || active.Parts[name].Digest != configstore.PartDigest(text) {
			s.changed[name] = text
		}
	}
	s.digest = configstore.TextsDigest(s.texts)
	return s, nil
}

// differences returns the fields in which the map differs from the active version, whose changed parts it reads from the group.
func (s mapParts) differences(ctx context.Context, g *quorum.Client, active *configstore.Revision) ([]configstore.Difference, error) {
	old := map[string]configstore.Part{}
	switch {
	case active == nil:
	case active.InParts:
		texts, err := partsOf(ctx, g, configstore.DocMap, active.ID, active.Parts, slices.Sorted(maps.Keys(s.changed)))
		if err != nil {
			return nil, err
		}
		for name, text := range texts {
			old[name] = configstore.Part{Digest: configstore.PartDigest(text), Text: text}
		}
	default:
		m, err := settings.ParseCells([]byte(active.Text))
		if err != nil {
			return nil, err
		}
		for name, text := range settings.SplitCells(m) {
			old[name] = configstore.Part{Digest: configstore.PartDigest(text), Text: text}
		}
	}
	return configstore.DiffParts(configstore.DocMap, old, s.changed)
}

// upload fills the changed parts into change. If they exceed the size of one change, it sends them to a draft in several changes and
// names the draft in change instead.
func (s mapParts) upload(ctx context.Context, g *quorum.Client, change *configstore.Change, active *configstore.Revision) error {
	change.Text, change.Digest = "", s.digest
	if active == nil || !active.InParts {
		if err := membersRead(ctx, g); err != nil {
			return err
		}
	}
	batches := configstore.Batches(s.changed)
	if len(batches) <= 1 {
		change.Parts = s.changed
		if len(s.changed) == 0 { // a change needs a part: the group then refuses this one as equal to the active version
			change.Parts = map[string]string{settings.CellParts()[0]: s.texts[settings.CellParts()[0]]}
		}
		return nil
	}
	change.Draft = newID()
	for _, one := range batches {
		if _, err := agreed(ctx, g, statemachine.Command{Config: &configstore.Change{Op: configstore.OpLoadDraft, Doc: change.Doc, Draft: change.Draft, Parts: one, Author: change.Author}}); err != nil {
			return err
		}
	}
	return nil
}

// membersRead returns an error that names the first member whose build does not support documents in parts. It is called before the
// first document in parts is proposed: such a member can't read its log entry, and would stop following the log there.
func membersRead(ctx context.Context, g *quorum.Client) error {
	var members []statemachine.Member
	var err error
	for _, addr := range g.Addrs {
		var st quorum.Status
		if st, err = g.StatusOf(ctx, addr); err == nil {
			members = st.Members
			break
		}
	}
	if err != nil {
		return err
	}
	for _, m := range members {
		st, err := g.StatusOf(ctx, m.Addr)
		if err != nil {
			return fmt.Errorf("failed to ask member %s whether it keeps documents in parts, as all members must before the first one: %w", m.Name, err)
		}
		if st.Format < configstore.PartsFormat {
			return fmt.Errorf("member %s is of a build that keeps no documents in parts: upgrade it first", m.Name)
		}
	}
	return nil
}

// proposedAlready returns the version that a change became when it was proposed before, or 0 if it was not. A change is proposed
// twice if the reply to the first proposal was lost.
func proposedAlready(ctx context.Context, g *quorum.Client, change configstore.Change, digest uint64, top int) int {
	r, err := g.Config(ctx)
	if err != nil || r.Store.Documents[change.Doc] == nil {
		return 0
	}
	d := r.Store.Documents[change.Doc]
	for _, e := range []*configstore.Revision{d.Proposed, d.Active} {
		if e != nil && e.ID == (configstore.ID{Version: top + 1, Digest: digest}) && e.Author == change.Author {
			return e.ID.Version
		}
	}
	return 0
}

// partsOf reads the texts of the named parts of a version from the group and verifies their digests. It skips names that are not in
// the version's manifest.
func partsOf(ctx context.Context, g *quorum.Client, doc string, id configstore.ID, manifest map[string]configstore.Part, names []string) (map[string]string, error) {
	texts, missing := map[string]string{}, []string{}
	for _, name := range names {
		if _, ok := manifest[name]; ok {
			missing = append(missing, name)
		}
	}
	for len(missing) > 0 {
		p, err := g.Parts(ctx, configstore.PartsRequest{Doc: doc, Version: id.Version, Names: missing})
		if err != nil {
			return nil, err
		}
		before := len(missing)
		for name, one := range p.Parts {
			if configstore.PartDigest(one.Text) != manifest[name].Digest {
				return nil, fmt.Errorf("part %s of %s %v does not match its digest", name, doc, id)
			}
			texts[name] = one.Text
		}
		missing = slices.DeleteFunc(missing, func(name string) bool { return texts[name] != "" })
		if len(missing) == before {
			return nil, fmt.Errorf("part %s of %s %v is missing from the reply", missing[0], doc, id)
		}
	}
	return texts, nil
}

// joinedText returns the text of a version in parts in the form of a file. For a proposed version e, which has only its changed
// parts, base is the active version that the other parts come from.
func joinedText(ctx context.Context, g *quorum.Client, doc string, e, base *configstore.Revision) (string, error) {
	all := maps.Clone(e.Parts)
	if base != nil && base != e {
		all = maps.Clone(base.Parts)
		maps.Copy(all, e.Parts)
	}
	if configstore.PartsDigest(all) != e.ID.Digest {
		return "", fmt.Errorf("%s %v changed while it was read: run the command again", doc, e.ID)
	}
	texts, err := partsOf(ctx, g, doc, e.ID, all, slices.Sorted(maps.Keys(all)))
	if err != nil {
		return "", err
	}
	var m *cells.Map
	if m, err = settings.JoinCells(nil, texts); err != nil {
		return "", err
	}
	return string(settings.FormatCells(m)), nil
}

// versionText returns the text of a stored version, whether it is one text or in parts. It returns an error if the group does not
// provide the text.
func versionText(ctx context.Context, g *quorum.Client, d *configstore.Document, e *configstore.Revision) (string, error) {
	switch {
	case !e.InParts && e.Text != "":
		return e.Text, nil
	case e == d.Active:
		return joinedText(ctx, g, d.Name, e, nil)
	case e == d.Proposed:
		return joinedText(ctx, g, d.Name, e, d.Active)
	case !e.InParts:
		return "", fmt.Errorf("version %d of %s is kept, but its text is too long for the group's summary", e.ID.Version, d.Name)
	}
	return "", fmt.Errorf("version %d of %s was in parts, and only the names of its changed parts are kept: %s", e.ID.Version, d.Name, strings.Join(e.ChangedParts, " "))
}
