// Package limpetbuild tells which build of the program a process runs, so that
// operators can follow an upgrade.
package limpetbuild

import (
	"runtime/debug"
	"sync"

	"github.com/prometheus/client_golang/prometheus"
)

// Unknown is the revision of a program that was built outside a checkout.
const Unknown = "unknown"

// shownDigits is the number of digits of a revision that are shown.
const shownDigits = 12

// Revision returns the revision of the sources that this program was built from,
// with a plus sign if they were changed, or Unknown.
var Revision = sync.OnceValue(func() string {
	info, ok := debug.ReadBuildInfo()
	if !ok {
		return Unknown
	}
	return revision(info.Settings)
})

func revision(settings []debug.BuildSetting) string {
	found, modified := Unknown, ""
	for _, s := range settings {
		switch s.Key {
		case "vcs.revision":
			found = s.Value[:min(len(s.Value), shownDigits)]
		case "vcs.modified":
			if s.Value == "true" {
				modified = "+"
			}
		}
	}
	if found == Unknown {
		return found
	}
	return found + modified
}

// Register registers the metric that names the build.
func Register(r prometheus.Registerer) {
	build := prometheus.NewGaugeVec(prometheus.GaugeOpts{
		Name: "limpet_build_info", Help: "Always 1; the label names the revision of the sources that the process was built from.",
	}, []string{"revision"})
	build.WithLabelValues(Revision()).Set(1)
	r.MustRegister(build)
}
