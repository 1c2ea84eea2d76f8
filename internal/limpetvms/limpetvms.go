// Package limpetvms is a client for the platform's list of live and leaving VMs.
// The list can be out of date.
package limpetvms

import (
	"context"
	"net/http"
	"time"

	"limpetmount.org/internal/limpethttp"
)

// A VM is an entry of the platform's list.
type VM struct {
	Name    string `json:"name"`
	Zone    string `json:"zone"`
	Peer    string `json:"peer"`
	Leaving bool   `json:"leaving"`
}

// A List is a client for the VM list. Its operation is a function field, so that
// tests can replace it.
type List struct {
	// Read returns the list, which can be many seconds old.
	Read func(ctx context.Context) ([]VM, error)
}

const callTimeout = 2 * time.Second

// NewHTTP returns a client for the list at the URL base.
func NewHTTP(base string) List {
	client := &http.Client{Transport: limpethttp.NewTransport(1), Timeout: callTimeout}
	return List{Read: func(ctx context.Context) (vms []VM, err error) {
		err = limpethttp.Call(ctx, client, http.MethodGet, base+"/v1/vms", nil, &vms)
		return vms, err
	}}
}
