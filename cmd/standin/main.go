// Standin runs simple fakes of the platform, the workers and the backend servers of one
// deployment, so that real hosts can be tried out by hand.
package main

import (
	"context"
	"fmt"
	"net/netip"
	"os"
	"os/signal"
	"syscall"
	"time"

	"github.com/integrii/flaggy"

	"pollencroft/internal/standin"
)

func main() {
	users, listen := "kronach", "127.0.0.1:7000"
	flaggy.SetName("standin")
	flaggy.SetDescription("stand-ins of platform, workers and backend servers")
	flaggy.String(&users, "u", "users", "deployment: kronach or inzira")
	flaggy.String(&listen, "l", "listen", "address of the platform")
	flaggy.Parse()
	if err := run(users, listen); err != nil {
		fmt.Fprintln(os.Stderr, "standin:", err)
		os.Exit(1)
	}
}

func run(users, listen string) error {
	addr, err := netip.ParseAddrPort(listen)
	if err != nil {
		return err
	}
	u := standin.Kronach
	if users == standin.Inzira.Name {
		u = standin.Inzira
	}
	c, err := standin.NewCell(u, addr, time.Now)
	if err != nil {
		return err
	}
	defer c.Close()
	fmt.Printf("platform %s\n", c.Address)
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	<-ctx.Done()
	return nil
}
