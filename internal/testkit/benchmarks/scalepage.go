package benchmarks

import (
	"fmt"
	"slices"
	"strconv"
	"strings"

	"silverpath/internal/policy/capacity"
)

// tablesStart and tablesEnd mark the tables of docs/results/scale.md, which are rendered from
// docs/results/scale.json alone.
const (
	tablesStart = "<!-- tables: rendered of scale.json -->"
	tablesEnd   = "<!-- end of tables -->"
)

// scaleCauses gives, by series, the reason why the fit did not predict the value that it was checked against.
var scaleCauses = map[string]string{
	"caller.cpu.followers":           "it does not grow: 0.53 to 0.89 ms a second at all sizes, by as much as plays beside other runs differ",
	"caller.cpu_of_all.callers":      "a check costs less as more come together, as at the server",
	"leader.heard.followers":         "it does not grow: it falls from 1.5 to 0.8 us",
	"leader.opened.followers":        "a step: a member has room for 128 connections, and beyond it each word of a follower opens one anew",
	"leader.targets.tenants":         "a mixture: a part that grows with the tenants, and one with the tenants and the servers of their shards; the plays differ by up to 1.6 times",
	"leader.waits.followers":         "1,024 processes are registered at most, and 27% of 1,400 were refused",
	"leader.wholes.tenants":          "a mixture: each tenant is looked up in turn, which grows by the square, and routed, which does not; the square overstates it",
	"member.snapshot_size.followers": "1,024 processes are registered at most, and 27% of 1,400 were refused",
	"router.added_p99.requests":      "a difference of two 99ths of a hundred: at one size the plays differ by up to 3.7 times, beside other runs",
	"router.bytes_in.servers":        "checks come later than set: see router.opened.servers",
	"router.bytes_in.tenants.file":   "a reading takes so long that fewer are in a stretch: three maps in 5 s up to 3,000 tenants, two at 9,000, one at 21,000",
	"router.bytes_out.servers":       "checks come later than set: see router.opened.servers",
	"router.cpu.requests":            "a request costs less as more come together: see router.cpu_each.requests",
	"router.cpu.servers":             "the square holds for a round (router.round.servers); with 930 a round takes so long that there are 0.75 to 1 a second in place of 2 (router.opened.servers)",
	"router.cpu.tenants.file":        "the square holds for a reading (router.follows.tenants); at 21,000 one fell into 5 s in place of three (router.bytes_in.tenants.file)",
	"router.cpu_each.requests":       "it falls, from 460 to 480 us at 100 a second to 180 to 190 us at 1,600: fewer wake-ups for each (presumed: not taken apart)",
	"router.find.servers":            "times of under 4 us, of which plays beside other runs differ by 1.4 times",
	"router.follows.tenants":         "the plays at 21,000 are 1.6 and 2.2 s, beside other runs; the line of the square foretold 2.2 s",
	"router.force.followers.classes": "a step between 160 and 330 followers, 1.8 to 2.0 s before it and 2.5 to 2.7 s after; not taken apart: connections are opened anew at 160 too",
	"router.force.followers.map":     "a step, as for classes: 1.3 to 1.5 s before it, and 1.6 s after; not taken apart",
	"router.messages.servers":        "checks come later than set: see router.opened.servers",
	"router.opened.servers":          "the pause of 500 ms comes after a round of checks, and with 930 a round takes 0.5 to 0.8 s (by 929 and 696 checks a second in place of 1,860): each check ends with a look at all servers under one lock (router.round.servers)",
	"router.pick.servers":            "it does not grow: 1.0 to 1.6 us at all sizes",
	"router.ready.restarts":          "it does not grow: 12 to 23 ms at all rates",
	"router.ready.tenants.group":     "it does not grow: 35 to 56 ms at all sizes, most of it the first word to the group",
	"router.resident.servers":        "930 connections and goroutines at once; up to 240 the program's own 13 MB hide it (presumed: not taken apart)",
	"router.route.tenants":           "the plays at 21,000 are 88 and 184 us, beside other runs",
	"router.route.zones":             "it falls: only the servers of a tenant's zone are looked at",
	"server.cpu.callers":             "a check costs less as more come together: less what the server needs at rest 0.36 ms each at 50 a second, 0.13 to 0.16 ms at 1,000",
	"server.part.callers":            "each word sorts the names of all callers, by more than a line; the plays at 480 are 163 and 226 us, beside other runs",
	"server.resident.callers":        "it ends at 13.4 MB, where the collector's first goal is reached",
	"server.round.callers":           "each word sorts the names of all callers, by more than a line; the plays at 480 differ by 1.4 times, beside other runs",
}

// replaceTables returns the page with the tables of the results between its markers.
func replaceTables(page string, r capacity.Results) (string, error) {
	before, rest, ok := strings.Cut(page, tablesStart)
	_, after, ended := strings.Cut(rest, tablesEnd)
	if !ok || !ended {
		return "", fmt.Errorf("page has no table markers: %s", tablesStart)
	}
	return before + tablesStart + "\n\n" + renderTables(r) + tablesEnd + after, nil
}

// formatFigure formats a value with about three significant digits.
func formatFigure(v float64) string {
	if v != 0 && (v < 0.001 && v > -0.001) {
		return strconv.FormatFloat(v, 'g', 2, 64)
	}
	text := strconv.FormatFloat(v, 'f', 4, 64)
	switch a := max(v, -v); {
	case a >= 100:
		text = strconv.FormatFloat(v, 'f', 0, 64)
	case a >= 10:
		text = strconv.FormatFloat(v, 'f', 1, 64)
	case a >= 1:
		text = strconv.FormatFloat(v, 'f', 2, 64)
	}
	return text
}

// renderTables renders one table for each role and varied quantity, with the medians, the fit, and the
// predicted and the measured value. Tables of the poor fits and of the fixed quantities follow.
func renderTables(r capacity.Results) string { //nolint:cyclop // one measurement from top to bottom; its split is in docs/ROADMAP.md
	var b strings.Builder
	fmt.Fprintf(&b, "Command: `%s`. Machine: %s. Program: %s.\n\n", r.Command, r.Machine, r.Program)
	type group struct{ role, varies string }
	var groups []group
	for _, x := range r.Series {
		if g := (group{x.Role, x.Varies}); !slices.Contains(groups, g) {
			groups = append(groups, g)
		}
	}
	slices.SortFunc(groups, func(x, y group) int { return strings.Compare(x.role+" "+x.varies, y.role+" "+y.varies) })
	var poorFits []capacity.Series
	for _, g := range groups {
		fmt.Fprintf(&b, "### %s by %s\n\n| figure | unit | of | plays | medians at | slope | foretold | measured | off |\n|---|---|---|---|---|---|---|---|---|\n", g.role, strings.ReplaceAll(g.varies, "_", " "))
		for _, x := range r.Series {
			if x.Role != g.role || x.Varies != g.varies {
				continue
			}
			var at []string
			for _, p := range x.Points {
				at = append(at, fmt.Sprintf("%s: %s", formatNumber(p.Size), formatFigure(p.Median())))
			}
			fmt.Fprintf(&b, "| %s | %s | %s | %d | %s | %s |\n", x.Name, x.Unit, x.MeasuredOn, x.Repetitions, strings.Join(at, ", "), fitColumns(x.Fit))
			if x.Fit != nil && !x.Fit.Reliable() {
				poorFits = append(poorFits, x)
			}
		}
		b.WriteByte('\n')
	}
	fmt.Fprintf(&b, "### Slopes that are not believed\n\n| figure | held against | foretold | measured | off | cause |\n|---|---|---|---|---|---|\n")
	for _, x := range poorFits {
		cause := x.Fit.Cause
		if cause == "" {
			cause = "not known"
		}
		fmt.Fprintf(&b, "| %s | %s | %s | %s | %+.0f%% | %s |\n", x.Name, formatNumber(x.Fit.CheckAt), formatFigure(x.Fit.Predicted), formatFigure(x.Fit.Measured), 100*x.Fit.RelativeError, cause)
	}
	b.WriteString("\n### What stayed\n\n| figures | fixed |\n|---|---|\n")
	seen := map[string]bool{}
	for _, x := range r.Series {
		var list []string
		for k, v := range x.Fixed {
			list = append(list, k+" "+formatNumber(v))
		}
		slices.Sort(list)
		line := fmt.Sprintf("| %s by %s, %s | %s |\n", x.Role, strings.ReplaceAll(x.Varies, "_", " "), x.MeasuredOn, strings.Join(list, ", "))
		if len(list) > 0 && !seen[line] {
			seen[line] = true
			b.WriteString(line)
		}
	}
	b.WriteByte('\n')
	return b.String()
}

// formatNumber formats a value with as many digits as it needs.
func formatNumber(v float64) string { return strconv.FormatFloat(v, 'f', -1, 64) }

// fitColumns returns the table columns of a fit.
func fitColumns(f *capacity.Fit) string {
	if f == nil {
		return "none | | | "
	}
	by := "n"
	if f.Power == 2 {
		by = "n²"
	}
	mark := ""
	if !f.Reliable() {
		mark = " **not believed**"
	}
	return fmt.Sprintf("%s %+.3g %s, of %s to %s | %s at %s | %s | %+.0f%%%s", formatFigure(f.Base), f.Slope, by, formatNumber(f.From), formatNumber(f.To),
		formatFigure(f.Predicted), formatNumber(f.CheckAt), formatFigure(f.Measured), 100*f.RelativeError, mark)
}
