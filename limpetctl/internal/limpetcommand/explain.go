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

// explainCommand gathers what log files say of one request, job or item.
type explainCommand struct {
	ID    string   `arg:"" help:"Identifier of a request, job, item or backend server."`
	Files []string `arg:"" help:"Log files of VMs, one JSON object a line." type:"existingfile"`
	All   bool     `help:"Also lines about the item's job and changes of belief in between."`
}

// lineLargest bounds a line of a log, in bytes.
const lineLargest = 1 << 20

// belief holds the numbers of events that tell what a VM believes: leases,
// the store, the deployment, the director.
var belief = []float64{1201, 1202, 1203, 1204, 1209, 1733, 1810, 1811}

// A logLine is one line of a log. Fields holds all of it but time, VM and
// message.
type logLine struct {
	Time, VM, Message string
	Number            float64
	Fields            map[string]any
}

// Run prints the lines in the order of their times.
func (c *explainCommand) Run(g *Global) error {
	var lines []logLine
	for _, path := range c.Files {
		file, err := os.Open(path)
		if err != nil {
			return fmt.Errorf("log file: %w", err)
		}
		found, err := readLines(file)
		if closing := file.Close(); err == nil {
			err = closing
		}
		if err != nil {
			return fmt.Errorf("log file %s: %w", path, err)
		}
		lines = append(lines, found...)
	}
	chosen := choose(lines, c.ID, c.All)
	if len(chosen) == 0 {
		return limpeterror.NotFound.New("no line names %s; files of more VMs may", c.ID)
	}
	for _, l := range chosen {
		if _, err := fmt.Fprintln(g.Out, l); err != nil {
			return err
		}
	}
	return nil
}

// readLines reads JSON lines. Anything before the first brace of a line is
// passed over, and so are lines that hold no JSON.
func readLines(r io.Reader) ([]logLine, error) {
	var lines []logLine
	scanner := bufio.NewScanner(r)
	scanner.Buffer(make([]byte, 0, bufio.MaxScanTokenSize), lineLargest)
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

// choose returns the lines that name an identifier, by time. With all, lines
// of its job are added, and the changes of belief from the first to the last.
func choose(lines []logLine, id string, all bool) []logLine {
	sort.SliceStable(lines, func(i, j int) bool { return lines[i].Time < lines[j].Time })
	var chosen []logLine
	jobs := map[any]bool{}
	for _, l := range lines {
		if l.names(id) {
			chosen = append(chosen, l)
			if job := l.Fields["job"]; job != nil {
				jobs[job] = true
			}
		}
	}
	if !all || len(chosen) == 0 {
		return chosen
	}
	first, last := chosen[0].Time, chosen[len(chosen)-1].Time
	chosen = nil
	for _, l := range lines {
		within := l.Time >= first && l.Time <= last
		ofJob := l.Fields["item"] == nil && jobs[l.Fields["job"]]
		if l.names(id) || (within && (ofJob || slices.Contains(belief, l.Number))) {
			chosen = append(chosen, l)
		}
	}
	return chosen
}

func (l logLine) names(id string) bool {
	for _, v := range l.Fields {
		if v == id {
			return true
		}
	}
	return false
}

// String returns the line for reading.
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
