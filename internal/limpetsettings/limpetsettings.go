// Package limpetsettings defines the settings file of limpetd. Struct tags hold
// each setting's name, default, validation rule and documentation; the
// reference page is generated from them.
package limpetsettings

import (
	"fmt"
	"net/netip"
	"net/url"
	"os"
	"reflect"
	"strconv"
	"strings"
	"time"

	"gopkg.in/ini.v1"

	"limpetmount.org/internal/limpeterror"
)

// Settings holds the settings of one limpetd process.
type Settings struct {
	VM       VM       `ini:"vm" doc:"The VM that the process runs on."`
	Caller   Caller   `ini:"caller" doc:"The address for callers and trainers, behind the platform's load balancer."`
	Peer     Peer     `ini:"peer" doc:"The address for other VMs, over mutual TLS."`
	Operator Operator `ini:"operator" doc:"The address for limpetctl."`
	Metrics  Metrics  `ini:"metrics" doc:"The address for metrics."`
	Platform Platform `ini:"platform" doc:"The platform's interfaces."`
	Limits   Limits   `ini:"limits" doc:"Limits on request sizes, queues and attempts."`
	Timing   Timing   `ini:"timing" doc:"Periods and time limits."`
	Log      Log      `ini:"log" doc:"Logging, to standard error."`
}

// VM holds the section [vm].
type VM struct {
	Name    string `ini:"name" check:"set" doc:"Name of the VM, unique in the system."`
	Zone    string `ini:"zone" check:"set" doc:"Availability zone of the VM."`
	DataDir string `ini:"data" doc:"Directory for a snapshot of the configuration; empty on a VM without a disk."`
}

// Caller holds the section [caller].
type Caller struct {
	Address string `ini:"address" check:"address" doc:"IP address and port."`
	Cert    string `ini:"cert" doc:"Certificate file; empty for plain HTTP behind a load balancer that terminates TLS."`
	Key     string `ini:"key" doc:"Key file of the certificate."`
}

// Peer holds the section [peer].
type Peer struct {
	Address   string `ini:"address" check:"address" doc:"IP address and port."`
	Cert      string `ini:"cert" check:"set" doc:"Certificate file of this VM."`
	Key       string `ini:"key" check:"set" doc:"Key file of the certificate."`
	Authority string `ini:"authority" check:"set" doc:"Certificate file of the certificate authority that signs the VMs' certificates."`
}

// Operator holds the section [operator].
type Operator struct {
	Address          string `ini:"address" check:"address" doc:"IP address and port, served over TLS with the certificate of section peer."`
	BootstrapKeyHash string `ini:"hash" doc:"Hash of the bootstrap operator key, accepted while the configuration has no operator key; limpetctl key generate prints one."`
}

// Metrics holds the section [metrics].
type Metrics struct {
	Address string `ini:"address" check:"address" doc:"IP address and port."`
}

// Platform holds the section [platform].
type Platform struct {
	Store  string `ini:"store" check:"url" doc:"Address of the key-value service."`
	Orders string `ini:"orders" check:"url" doc:"Address of the interface for ordering backend servers."`
	Usage  string `ini:"usage" check:"url" doc:"Address of the interface that accepts usage reports."`
	VMs    string `ini:"vms" check:"url" doc:"Address of the list of VMs."`
}

// Limits holds the section [limits].
type Limits struct {
	MaxHeaderBytes int `ini:"header" default:"32768" check:"positive" doc:"Largest size of a request's headers, in bytes."`
	MaxBodyBytes   int `ini:"body" default:"4194304" check:"positive" doc:"Largest size of a request's body, in bytes."`
	MaxConns       int `ini:"connections" default:"4096" check:"positive" doc:"Connections of callers, VMs, operators and metrics together. Those without progress are closed first."`
	MaxQueued      int `ini:"queue" default:"256" check:"positive" doc:"Requests of one client account that may wait for a service on this VM."`
	MaxAttempts    int `ini:"retries" default:"3" check:"positive" doc:"Maximum number of attempts for one request."`
}

// Timing holds the section [timing].
type Timing struct {
	HeaderTimeout      time.Duration `ini:"header" default:"5s" check:"positive" doc:"Time limit for a request's headers."`
	BodyTimeout        time.Duration `ini:"body" default:"30s" check:"positive" doc:"Time limit for a request's body."`
	WriteTimeout       time.Duration `ini:"write" default:"20s" check:"positive" doc:"Time limit for writing each part of a response to a caller."`
	QueueTimeout       time.Duration `ini:"queue" default:"30s" check:"positive" doc:"Longest wait for admission."`
	FirstTokenTimeout  time.Duration `ini:"first" default:"10s" check:"positive" doc:"Time limit for a stream's first token, after which the request is retried on another server."`
	StallTimeout       time.Duration `ini:"stall" default:"3s" check:"positive" doc:"Time limit between tokens, after which the stream is resumed on another server."`
	ServiceTimeout     time.Duration `ini:"service" default:"30s" check:"positive" doc:"Time limit for a plain service's response."`
	HeartbeatInterval  time.Duration `ini:"heartbeat" default:"1s" check:"positive" doc:"Period of heartbeats between VMs."`
	MaxConfirmationAge time.Duration `ini:"confirm" default:"5s" check:"positive" doc:"Longest time since the configuration was last confirmed during which keys are still accepted."`
	LoadInterval       time.Duration `ini:"load" default:"1s" check:"positive" doc:"Period of reading load reports and the list of backend servers."`
	LeaseDuration      time.Duration `ini:"lease" default:"6s" check:"positive" doc:"Duration of the lease under which this VM holds duties."`
	UsageWindow        time.Duration `ini:"window" default:"5m" check:"positive" doc:"Length of a usage window; the same on all VMs."`
	SurplusDelay       time.Duration `ini:"surplus" default:"60s" check:"positive" doc:"How long there must be more backend servers than needed before one is drained."`
	ShutdownDelay      time.Duration `ini:"grace" default:"2s" check:"positive" doc:"Delay in a graceful shutdown between reporting not ready and refusing new connections, so that the load balancer can react."`
	DrainTimeout       time.Duration `ini:"drain" default:"10m" check:"positive" doc:"Longest wait for open requests in a graceful shutdown."`
}

// Log holds the section [log].
type Log struct {
	Level  string `ini:"level" default:"info" check:"level" doc:"debug, info, warning or error."`
	Format string `ini:"format" default:"json" check:"format" doc:"json or text."`
}

// Default returns settings in which every setting has its default value.
func Default() Settings {
	var s Settings
	visitSettings(&s, func(_ reflect.StructField, v reflect.Value, f reflect.StructField) {
		if d := f.Tag.Get("default"); d != "" {
			_ = setValue(v, d)
		}
	})
	return s
}

// visitSettings calls visit with the section, value and field of every setting.
func visitSettings(s *Settings, visit func(section reflect.StructField, v reflect.Value, f reflect.StructField)) {
	top := reflect.ValueOf(s).Elem()
	for i := range top.NumField() {
		section := top.Type().Field(i)
		for j := range top.Field(i).NumField() {
			visit(section, top.Field(i).Field(j), section.Type.Field(j))
		}
	}
}

// setValue parses text into v according to the type of v.
func setValue(v reflect.Value, text string) error {
	switch v.Interface().(type) {
	case time.Duration:
		d, err := time.ParseDuration(text)
		if err != nil {
			return limpeterror.Invalid.New("must be a duration such as 5s, not %q", text)
		}
		v.SetInt(int64(d))
	case int:
		n, err := strconv.Atoi(text)
		if err != nil {
			return limpeterror.Invalid.New("must be a whole number, not %q", text)
		}
		v.SetInt(int64(n))
	default:
		v.SetString(text)
	}
	return nil
}

// Load reads and validates a settings file. Invalid settings are returned
// together as *limpeterror.Findings, each with file, line and key; a missing
// setting has no line.
func Load(path string) (Settings, error) {
	data, err := os.ReadFile(path)
	if err != nil {
		return Settings{}, fmt.Errorf("settings: %w", err)
	}
	return Parse(path, data)
}

// Parse parses and validates settings. Its errors are *limpeterror.Findings that
// cite path as the file name.
func Parse(path string, data []byte) (Settings, error) {
	s := Default()
	f := &limpeterror.Findings{}
	file, err := ini.LoadSources(ini.LoadOptions{AllowShadows: true, IgnoreInlineComment: true}, data)
	if err != nil {
		f.Add(path, "%v", err)
		return s, f
	}
	lines := indexLines(data)
	placeOf := func(section, key string) string {
		if n, ok := lines[section+"\x00"+key]; ok {
			return fmt.Sprintf("%s:%d: [%s] %s", path, n, section, key)
		}
		return fmt.Sprintf("%s: [%s] %s", path, section, key)
	}
	known := map[string]bool{}
	visitSettings(&s, func(section reflect.StructField, v reflect.Value, field reflect.StructField) {
		sectionName, name := section.Tag.Get("ini"), field.Tag.Get("ini")
		known[sectionName+"\x00"+name] = true
		place := placeOf(sectionName, name)
		if file.HasSection(sectionName) && file.Section(sectionName).HasKey(name) {
			key := file.Section(sectionName).Key(name)
			if len(key.ValueWithShadows()) > 1 {
				f.Add(place, "is set more than once")
			}
			if err := setValue(v, key.String()); err != nil {
				f.Add(place, "%s", messageWithoutType(err))
				return
			}
		}
		checkValue(v, field.Tag.Get("check"), place, f)
	})
	for _, section := range file.Sections() {
		for _, key := range section.KeyStrings() {
			if !known[section.Name()+"\x00"+key] {
				f.Add(placeOf(section.Name(), key), "unknown setting")
			}
		}
	}
	return s, f.Err()
}

// messageWithoutType returns an error's message without the prefix that
// limpeterror.Invalid adds.
func messageWithoutType(err error) string {
	text := err.Error()
	if _, after, ok := strings.Cut(text, "limpet.invalid: "); ok {
		return after
	}
	return text
}

// indexLines maps each key to its line number. Map keys hold the section and
// the key, separated by a NUL byte.
func indexLines(data []byte) map[string]int {
	lines, section := map[string]int{}, ini.DefaultSection
	for n, line := range strings.Split(string(data), "\n") {
		line = strings.TrimSpace(line)
		if strings.HasPrefix(line, "[") {
			section = strings.Trim(line, "[] ")
			continue
		}
		if key, _, ok := strings.Cut(line, "="); ok {
			lines[section+"\x00"+strings.TrimSpace(key)] = n + 1
		}
	}
	return lines
}

// checkValue adds a finding when v violates the rule of a check tag.
func checkValue(v reflect.Value, rule, place string, f *limpeterror.Findings) {
	text := fmt.Sprint(v.Interface())
	switch rule {
	case "set":
		if text == "" {
			f.Add(place, "must be set")
		}
	case "address":
		if a, err := netip.ParseAddrPort(text); err != nil || a.Port() == 0 {
			f.Add(place, "must be an IP address with a port such as 10.0.0.1:7000, not %q", text)
		}
	case "url":
		if u, err := url.Parse(text); err != nil || (u.Scheme != "http" && u.Scheme != "https") || u.Host == "" {
			f.Add(place, "must be an address such as http://10.0.0.1:7000, not %q", text)
		}
	case "positive":
		if v.Int() <= 0 {
			f.Add(place, "must be above 0")
		}
	case "level":
		if text != "debug" && text != "info" && text != "warning" && text != "error" {
			f.Add(place, "must be debug, info, warning or error, not %q", text)
		}
	case "format":
		if text != "json" && text != "text" {
			f.Add(place, "must be json or text, not %q", text)
		}
	}
}

// Reference returns the reference page of all settings, in Markdown.
func Reference() string {
	var b strings.Builder
	b.WriteString("# Settings of limpetd\n\nThis page is generated by `limpetd reference`; do not edit it.\nThe file format is INI. A setting without a default is required unless its description says when it may be empty.\n")
	s := Default()
	section := ""
	visitSettings(&s, func(top reflect.StructField, _ reflect.Value, f reflect.StructField) {
		if top.Name != section {
			section = top.Name
			fmt.Fprintf(&b, "\n## [%s]\n\n%s\n\n| setting | default | meaning |\n| --- | --- | --- |\n", top.Tag.Get("ini"), top.Tag.Get("doc"))
		}
		fmt.Fprintf(&b, "| `%s` | %s | %s |\n", f.Tag.Get("ini"), f.Tag.Get("default"), f.Tag.Get("doc"))
	})
	return b.String()
}
