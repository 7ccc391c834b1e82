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

// Documents in parts, as commands write and read them: what is sent is what differs.

// maxWholeMap is the longest map, in bytes, that goes as one text while what is active does too: a small fleet pays for nothing new, and
// its older builds read it.
const maxWholeMap = 32 << 10

// goesInParts reports whether a text of a document goes in parts, on top of what is active.
func goesInParts(name, text string, active *configstore.Revision) bool {
	return name == configstore.DocMap && (active != nil && active.InParts || len(text) > maxWholeMap)
}

// mapParts is a map in parts, with those that differ from what is active.
type mapParts struct {
	texts, changed map[string]string
	digest         uint64
}

// splitMap splits a map. It is an error that names the bound that the map is beyond, before anything is sent.
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

// differences are the fields in which a map in parts differs from what is active.
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

// upload sends the parts that changed into a draft where they are more than one change carries, and fills the change in.
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
		if len(s.changed) == 0 { // it says so itself
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

// membersRead names a member that could not keep a document in parts, before the first one is put: it would lose its place in the log.
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
			return fmt.Errorf("member %s can't be asked whether it keeps documents in parts: the first one needs them all: %w", m.Name, err)
		}
		if st.Format < configstore.PartsFormat {
			return fmt.Errorf("member %s is of a build that keeps no documents in parts: upgrade it first", m.Name)
		}
	}
	return nil
}

// proposedAlready is the version that a change has become which was proposed twice, as the first answer was lost on the way; 0: none.
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

// partsOf reads the texts of parts by name, of those that a version has.
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
				return nil, fmt.Errorf("part %s of %s %v is not what it was said to be", name, doc, id)
			}
			texts[name] = one.Text
		}
		missing = slices.DeleteFunc(missing, func(name string) bool { return texts[name] != "" })
		if len(missing) == before {
			return nil, fmt.Errorf("part %s of %s %v can't be read", missing[0], doc, id)
		}
	}
	return texts, nil
}

// joinedText is the whole text of a version in parts, as a file has it. Base is what is in active, where the version is under way.
func joinedText(ctx context.Context, g *quorum.Client, doc string, e, base *configstore.Revision) (string, error) {
	all := maps.Clone(e.Parts)
	if base != nil && base != e {
		all = maps.Clone(base.Parts)
		maps.Copy(all, e.Parts)
	}
	if configstore.PartsDigest(all) != e.ID.Digest {
		return "", fmt.Errorf("%s %v has changed as it was read: again", doc, e.ID)
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

// versionText is the text of a version that is kept, in whichever form.
func versionText(ctx context.Context, g *quorum.Client, d *configstore.Document, e *configstore.Revision) (string, error) {
	switch {
	case !e.InParts && e.Text != "":
		return e.Text, nil
	case e == d.Active:
		return joinedText(ctx, g, d.Name, e, nil)
	case e == d.Proposed:
		return joinedText(ctx, g, d.Name, e, d.Active)
	case !e.InParts:
		return "", fmt.Errorf("version %d of %s is kept, and too long to be shown with the others", e.ID.Version, d.Name)
	}
	return "", fmt.Errorf("version %d of %s was in parts and is over: of it is kept which changed: %s", e.ID.Version, d.Name, strings.Join(e.ChangedParts, " "))
}
