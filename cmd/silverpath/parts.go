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

// maxSingleTextMap is the size, in bytes, of the longest map that is proposed as one text. It spares small
// fleets the cost of parts and lets processes of older builds read their maps.
const maxSingleTextMap = 32 << 10

// sentInParts reports whether a text of a document is proposed in parts: a map is, if it is longer than maxSingleTextMap or the active
// version is in parts already.
func sentInParts(name, text string, active *configstore.Revision) bool {
	return name == configstore.DocMap && (active != nil && active.InParts || len(text) > maxSingleTextMap)
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
		texts, err := readParts(ctx, g, configstore.DocMap, active.ID, active.Parts, slices.Sorted(maps.Keys(s.changed)))
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
		if err := checkMembersSupportParts(ctx, g); err != nil {
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
	for _, batch := range batches {
		if _, err := submitCommand(ctx, g, statemachine.Command{Config: &configstore.Change{Op: configstore.OpLoadDraft, Doc: change.Doc, Draft: change.Draft, Parts: batch, Author: change.Author}}); err != nil {
			return err
		}
	}
	return nil
}

// checkMembersSupportParts returns an error that names the first member whose build does not support documents in parts. It is
// called before the first document in parts is proposed: such a member can't apply its log entry, so its state would diverge from
// the group's.
func checkMembersSupportParts(ctx context.Context, g *quorum.Client) error {
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

// findProposedVersion returns the version that a change became when it was proposed before, or 0 if it was not. A change is proposed
// twice if the reply to the first proposal was lost.
func findProposedVersion(ctx context.Context, g *quorum.Client, change configstore.Change, digest uint64, highest int) int {
	r, err := g.Config(ctx)
	if err != nil || r.Store.Documents[change.Doc] == nil {
		return 0
	}
	d := r.Store.Documents[change.Doc]
	for _, revision := range []*configstore.Revision{d.Proposed, d.Active} {
		if revision != nil && revision.ID == (configstore.ID{Version: highest + 1, Digest: digest}) && revision.Author == change.Author {
			return revision.ID.Version
		}
	}
	return 0
}

// readParts reads the texts of the named parts of a version from the group and verifies their digests. It skips names that are not in
// the version's manifest.
func readParts(ctx context.Context, g *quorum.Client, doc string, id configstore.ID, manifest map[string]configstore.Part, names []string) (map[string]string, error) {
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
		for name, part := range p.Parts {
			if configstore.PartDigest(part.Text) != manifest[name].Digest {
				return nil, fmt.Errorf("part %s of %s %v does not match its digest", name, doc, id)
			}
			texts[name] = part.Text
		}
		missing = slices.DeleteFunc(missing, func(name string) bool { return texts[name] != "" })
		if len(missing) == before {
			return nil, fmt.Errorf("part %s of %s %v is missing from the reply", missing[0], doc, id)
		}
	}
	return texts, nil
}

// readJoinedText returns the text of a version in parts in the form of a file. For a proposed version, which has only its changed
// parts, base is the active version that the other parts come from.
func readJoinedText(ctx context.Context, g *quorum.Client, doc string, revision, base *configstore.Revision) (string, error) {
	manifest := maps.Clone(revision.Parts)
	if base != nil && base != revision {
		manifest = maps.Clone(base.Parts)
		maps.Copy(manifest, revision.Parts)
	}
	if configstore.PartsDigest(manifest) != revision.ID.Digest {
		return "", fmt.Errorf("%s %v changed while it was read: run the command again", doc, revision.ID)
	}
	texts, err := readParts(ctx, g, doc, revision.ID, manifest, slices.Sorted(maps.Keys(manifest)))
	if err != nil {
		return "", err
	}
	var m *cells.Map
	if m, err = settings.JoinCells(nil, texts); err != nil {
		return "", err
	}
	return string(settings.FormatCells(m)), nil
}

// readVersionText returns the text of a stored version, whether it is one text or in parts. It returns an error if the group does not
// provide the text.
func readVersionText(ctx context.Context, g *quorum.Client, d *configstore.Document, revision *configstore.Revision) (string, error) {
	switch {
	case !revision.InParts && revision.Text != "":
		return revision.Text, nil
	case revision == d.Active:
		return readJoinedText(ctx, g, d.Name, revision, nil)
	case revision == d.Proposed:
		return readJoinedText(ctx, g, d.Name, revision, d.Active)
	case !revision.InParts:
		return "", fmt.Errorf("version %d of %s is kept, but its text is too long for the group's summary", revision.ID.Version, d.Name)
	}
	return "", fmt.Errorf("version %d of %s was in parts and is over: of it is kept which changed: %s", revision.ID.Version, d.Name, strings.Join(revision.ChangedParts, " "))
}
