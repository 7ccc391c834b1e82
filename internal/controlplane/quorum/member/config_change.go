package member

import (
	"encoding/json"
	"fmt"
	"slices"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// completeChange sets the scope of a change that a client proposes, and whether it is exclusive. It returns the reason if the change is not
// allowed; empty: it is allowed. The leader computes the scope because a client of another build may not have the same fields.
func (m *Member) completeChange(c *configstore.Change) string {
	if reason := checkExternalChange(c); reason != "" || c.Op != configstore.OpPropose {
		return reason
	}
	var active *configstore.Revision
	version := 0
	if document := m.state.Config.Documents[c.Doc]; document != nil && document.Active != nil {
		active, version = document.Active, document.Active.ID.Version
	}
	if c.Version != version {
		return configstore.ErrStaleBase.Error() // the differences would be computed against another version
	}
	if active != nil && active.InParts && c.Text != "" {
		return c.Doc + " is in parts: a whole text can't be put on it, silverpath rules put splits it"
	}
	differences, err := m.differences(c, active)
	if err != nil {
		return err.Error()
	}
	c.Exclusive, c.Scope = false, nil
	if active == nil { // a first version has no differences, so it is not exclusive
		return ""
	}
	if dependent := configstore.FirstDependent(differences); c.Rollout != nil && c.Rollout.CanaryRatio > 0 && dependent != "" {
		return "a part of the fleet can't act on it first: it differs in " + dependent
	}
	if c.Exclusive = configstore.HasExclusive(differences); c.Exclusive {
		c.Scope = configstore.ScopeOf(c.Doc, differences)
	}
	return ""
}

// checkExternalChange returns why a client may not propose a change, whatever the active version is; empty: it may.
func checkExternalChange(c *configstore.Change) string {
	switch c.Op {
	case configstore.OpPropose, configstore.OpLoadDraft, configstore.OpWithdraw, configstore.OpRevert, configstore.OpHold, configstore.OpRelease:
	default:
		return "only the group's leader may"
	}
	switch {
	case !slices.Contains(configstore.DocumentNames, c.Doc):
		return "no such document: " + c.Doc
	case c.Author == configstore.MonitorAuthor:
		return "only the group's leader may"
	case c.Doc == configstore.DocMap && (c.Op == configstore.OpRevert || c.Rollout != nil):
		return "a map is neither watched nor taken back, as its versions follow each other in time: move the tenant again, or abort"
	case (len(c.Parts) > 0 || c.Draft != "") && c.Doc != configstore.DocMap:
		return "only a map is in parts"
	}
	return ""
}

// differences returns the fields in which a change differs from the active version. For a change in parts it compares the changed parts
// only.
func (m *Member) differences(c *configstore.Change, active *configstore.Revision) ([]configstore.Difference, error) {
	if len(c.Parts) == 0 && c.Draft == "" {
		old := ""
		if active != nil {
			old = active.Text
		}
		return configstore.Diff(c.Doc, old, c.Text)
	}
	document := m.state.Config.Documents[c.Doc]
	if document == nil {
		document = &configstore.Document{Name: c.Doc}
	}
	changed, err := document.ProposedParts(*c)
	if err != nil {
		return nil, err
	}
	if active == nil { // a first version has no differences
		for name, text := range changed {
			if !json.Valid([]byte(text)) {
				return nil, fmt.Errorf("part %s: %s: not JSON", name, c.Doc)
			}
		}
		return nil, nil
	}
	var old map[string]configstore.Part
	switch {
	case active.InParts:
		old = active.Parts
	default: // the first version in parts: compare with the active text, split in the same way
		cellMap, err := settings.ParseCells([]byte(active.Text))
		if err != nil {
			return nil, err
		}
		old = map[string]configstore.Part{}
		for name, text := range settings.SplitCells(cellMap) {
			old[name] = configstore.Part{Digest: configstore.PartDigest(text), Text: text}
		}
	}
	return configstore.DiffParts(c.Doc, old, changed)
}
