// Package limpetvms owns the adapter of the platform's lagging list of live
// and leaving VMs.
package limpetvms

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// A VM holds one entry of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving"`
}

// A List holds the operation of the VM list as a seam.
type List struct {
	// Read returns the list, which may be many seconds old.
	Read func(ctx context.Context) ([]VM, error)
}

const callTimeout = 2 * time.Second

// NewHTTP returns the list at base.
func NewHTTP(base string) List {
	client := &http.Client{Transport: limpethttp.NewTransport(1), Timeout: callTimeout}
	return List{Read: func(ctx context.Context) (vms []VM, err error) {
		err = limpethttp.Call(ctx, client, http.MethodGet, base+"/v1/vms", nil, &vms)
		return vms, err
	}}
}
