// Package limpetstubserver serves stubs of the platform's services on fixed
// addresses, so that limpetd can run against them as a separate process.
package limpetstubserver

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"limpetmount.org/internal/limpethttp"
	"limpetmount.org/internal/limpetorder"
	"limpetmount.org/internal/limpetstub"
	"limpetmount.org/internal/limpettask"
	"limpetmount.org/internal/limpetvms"
)

// Command holds the flags of limpetbench platform.
type Command struct {
	Store    string   `help:"Address of the stub key-value service." default:"127.0.0.1:7000"`
	Platform string   `help:"Address of the stub services for ordering, usage reports and the VM list." default:"127.0.0.1:7001"`
	VM       []string `help:"Entry of the VM list as NAME,ZONE,PEER-ADDRESS; may be repeated." sep:"none"`
	Zone     []string `help:"Availability zones." default:"a,b"`
	Capacity int      `help:"Concurrent requests of an ordered engine." default:"8"`
}

// tokenTime is the time that an engine with an empty batch takes per token.
const tokenTime = 10 * time.Millisecond

// Run serves the stubs until the process is interrupted. For each ordered
// backend server it starts a stub engine on a free port.
func (c *Command) Run() error {
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGTERM, syscall.SIGINT)
	defer stop()
	g := limpettask.New(ctx)
	platform := limpetstub.NewPlatform()
	platform.StartTime = time.Second
	platform.Launch = func(_ limpetorder.Order, id string) (string, error) {
		return startServer(g, "127.0.0.1:0", limpetstub.NewEngine(id, c.Capacity, tokenTime).Handler())
	}
	for _, z := range c.Zone {
		platform.Prices = append(platform.Prices, limpetorder.Price{Zone: z, Standard: 10, Cheap: 3, Available: true, CheapAvailable: true})
	}
	for _, v := range c.VM {
		parts := strings.Split(v, ",")
		if len(parts) != 3 {
			return fmt.Errorf("VM %q is not of the form NAME,ZONE,PEER-ADDRESS", v)
		}
		platform.VMs = append(platform.VMs, limpetvms.VM{Name: parts[0], Zone: parts[1], Peer: parts[2]})
	}
	if _, err := startServer(g, c.Store, limpetstub.NewStore().Handler()); err != nil {
		return err
	}
	if _, err := startServer(g, c.Platform, platform.Handler()); err != nil {
		return err
	}
	fmt.Printf("store on %s, ordering, usage and VM list on %s\n", c.Store, c.Platform)
	<-ctx.Done()
	return g.Stop()
}

// startServer serves h on address and returns the address that it listens on.
func startServer(g *limpettask.Group, address string, h http.Handler) (string, error) {
	listener, err := net.Listen("tcp", address)
	if err != nil {
		return "", fmt.Errorf("stub server: %w", err)
	}
	limpethttp.Serve(g, listener, &http.Server{Handler: h})
	return listener.Addr().String(), nil
}
