package limpetcommand

import (
	"bufio"
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"os"
	"slices"
	"sort"
	"strings"

	"limpetmount.org/internal/limpeterror"
)

// explainCommand selects the log lines about one request, job, item or backend
// server.
type explainCommand struct {
	ID    string   `arg:"" help:"Identifier of a request, job, item or backend server."`
	Files []string `arg:"" help:"Log files of VMs, one JSON object per line." type:"existingfile"`
	All   bool     `help:"Also show lines about the item's job, and lease, store and deployment events in between."`
}

// maxLineBytes is the length limit of a log line.
const maxLineBytes = 1 << 20

// stateEvents holds the numbers of the limpetlog events that report changes in
// what a VM knows of its leases, the store, the deployment and the director.
var stateEvents = []float64{1201, 1202, 1203, 1204, 1209, 1733, 1810, 1811}

// A logLine is one parsed line of a log. Number is the event number. Fields holds
// all other fields of the line except its level.
type logLine struct {
	Time, VM, Message string
	Number            float64
	Fields            map[string]any
}

// Run prints the selected lines of all files in order of time.
func (c *explainCommand) Run(g *Global) error {
	var lines []logLine
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("log file: %w", err)
		}
		found, err := readLines(file)
		if closeErr := file.Close(); err == nil {
			err = closeErr
		}
		if err != nil {
			return fmt.Errorf("log file %s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	selected := selectLines(lines, c.ID, c.All)
	if len(selected) == 0 {
		return limpeterror.NotFound.New("no log line mentions %s; try the log files of more VMs", c.ID)
	}
	for _, l := range selected {
		if _, err := fmt.Fprintln(g.Out, l); err != nil {
			return err
		}
	}
	return nil
}

// readLines parses JSON lines. It ignores anything before the first brace of a
// line, and lines that hold no JSON object.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), maxLineBytes)
	for scanner.Scan() {
		data := scanner.Bytes()
		if start := bytes.IndexByte(data, '{'); start >= 0 {
			data = data[start:]
		}
		var fields map[string]any
		if json.Unmarshal(data, &fields) != nil {
			continue
		}
		l := logLine{Fields: fields}
		l.Time, _ = fields["time"].(string)
		l.VM, _ = fields["vm"].(string)
		l.Message, _ = fields["msg"].(string)
		l.Number, _ = fields["event"].(float64)
		for _, name := range []string{"time", "vm", "msg", "event", "level"} {
			delete(fields, name)
		}
		lines = append(lines, l)
	}
	return lines, scanner.Err()
}

// selectLines returns the lines that mention an identifier, in order of time.
// With all, it adds the lines about its job, and the state events between the
// first and the last of these lines.
func selectLines(lines []logLine, id string, all bool) []logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	var selected []logLine
	jobs := map[any]bool{}
	for _, l := range lines {
		if l.mentions(id) {
			selected = append(selected, l)
			if job := l.Fields["job"]; job != nil {
				jobs[job] = true
			}
		}
	}
	if !all || len(selected) == 0 {
		return selected
	}
	first, last := selected[0].Time, selected[len(selected)-1].Time
	selected = nil
	for _, l := range lines {
		within := l.Time >= first && l.Time <= last
		ofJob := l.Fields["item"] == nil && jobs[l.Fields["job"]]
		if l.mentions(id) || (within && (ofJob || slices.Contains(stateEvents, l.Number))) {
			selected = append(selected, l)
		}
	}
	return selected
}

func (l logLine) mentions(id string) bool {
	for _, v := range l.Fields {
		if v == id {
			return true
		}
	}
	return false
}

// String formats the line for an operator, with its fields sorted by name.
func (l logLine) String() string {
	names := make([]string, 0, len(l.Fields))
	for name := range l.Fields {
		names = append(names, name)
	}
	sort.Strings(names)
	var b strings.Builder
	fmt.Fprintf(&b, "%s %s %.0f %s", l.Time, l.VM, l.Number, l.Message)
	for _, name := range names {
		fmt.Fprintf(&b, " %s=%v", name, l.Fields[name])
	}
	return b.String()
}
