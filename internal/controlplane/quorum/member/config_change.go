package member

import (
	"encoding/json"
	"fmt"
	"slices"

	"silverpath/internal/policy/configstore"
	"silverpath/internal/settings"
)

// completeChange completes a change of a document that comes from outside with what it touches, and returns why it can't be asked for;
// empty: it can. The leader writes what a change touches: a client of another build may know other fields.
func (m *Member) completeChange(c *configstore.Change) string {
	if reason := refuseChange(c); reason != "" || c.Op != configstore.OpPropose {
		return reason
	}
	var force *configstore.Revision
	version := 0
	if d := m.state.Config.Documents[c.Doc]; d != nil && d.Active != nil {
		force, version = d.Active, d.Active.ID.Version
	}
	if c.Version != version {
		return configstore.ErrStaleBase.Error() // what it differs in would be seen against another one
	}
	if force != nil && force.InParts && c.Text != "" {
		return c.Doc + " is in parts: a whole text can't be put on it, silverpath rules put splits it"
	}
	list, err := m.differences(c, force)
	if err != nil {
		return err.Error()
	}
	c.Exclusive, c.Scope = false, nil
	if force == nil { // it differs from nothing, and excludes nothing
		return ""
	}
	if at := configstore.FirstDependent(list); c.Rollout != nil && c.Rollout.CanaryRatio > 0 && at != "" {
		return "a part of the fleet can't act on it first: it differs in " + at
	}
	if c.Exclusive = configstore.HasExclusive(list); c.Exclusive {
		c.Scope = configstore.ScopeOf(c.Doc, list)
	}
	return ""
}

// refuseChange is why a change can't be asked for from outside, whatever is in force; empty: it can.
func refuseChange(c *configstore.Change) string {
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

// differences are the fields in which a change differs from what is in force: of one in parts those of the parts that it changes.
func (m *Member) differences(c *configstore.Change, force *configstore.Revision) ([]configstore.Difference, error) {
	if len(c.Parts) == 0 && c.Draft == "" {
		old := ""
		if force != nil {
			old = force.Text
		}
		return configstore.Diff(c.Doc, old, c.Text)
	}
	d := m.state.Config.Documents[c.Doc]
	if d == nil {
		d = &configstore.Document{Name: c.Doc}
	}
	changed, err := d.DraftedParts(*c)
	if err != nil {
		return nil, err
	}
	if force == nil { // it differs from nothing, and excludes nothing
		for name, text := range changed {
			if !json.Valid([]byte(text)) {
				return nil, fmt.Errorf("part %s: %s: not JSON", name, c.Doc)
			}
		}
		return nil, nil
	}
	var old map[string]configstore.Part
	switch {
	case force.InParts:
		old = force.Parts
	default: // the first one in parts: against the text split in the same way
		of, err := settings.ParseCells([]byte(force.Text))
		if err != nil {
			return nil, err
		}
		old = map[string]configstore.Part{}
		for name, text := range settings.SplitCells(of) {
			old[name] = configstore.Part{Digest: configstore.PartDigest(text), Text: text}
		}
	}
	return configstore.DiffParts(c.Doc, old, changed)
}
