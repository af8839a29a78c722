// Package baseline provides the baseline that the sidecar's CPU cost is compared with: a minimal fasthttp proxy, which keeps
// connections open but makes no load balancing decisions, and a server that both forward to.
package baseline

import (
	"context"
	"errors"
	"math"
	"net"
	"os"
	"os/signal"
	"runtime"
	"runtime/debug"
	"strings"
	"syscall"
	"time"

	"github.com/valyala/fasthttp"

	"ledgespread/lab/sidecars"
)

// Serve runs the proxy until SIGTERM or an interrupt. It listens at the address in a sidecar's configuration file and
// forwards requests to the servers listed there, in turn.
func Serve(file string) error {
	configuration, err := sidecars.ReadConfiguration(file)
	if err != nil {
		return err
	}
	limits, _ := configuration["limits"].(map[string]any)
	cores, _ := limits["cores"].(float64)
	listen, _ := configuration["listen"].(string)
	known, _ := configuration["known"].(map[string]any)
	hosts, _ := known["hosts"].([]any)
	var addresses []string
	for _, entry := range hosts {
		if host, ok := entry.(map[string]any); ok {
			if at, ok := host["dial"].(string); ok {
				addresses = append(addresses, at)
			}
		}
	}
	if len(addresses) == 0 || listen == "" {
		return errors.New("the configuration has no servers or no listen address")
	}
	runtime.GOMAXPROCS(max(1, int(math.Ceil(cores))))
	debug.SetGCPercent(400) // same as the sidecar, so that garbage collection doesn't distort the comparison
	client := &fasthttp.HostClient{Addr: strings.Join(addresses, ","), MaxConns: 4096, MaxIdemponentCallAttempts: 1,
		ReadTimeout: 5 * time.Second, WriteTimeout: 5 * time.Second, NoDefaultUserAgentHeader: true}
	server := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		if string(ctx.Path()) == "/-/ready" {
			return
		}
		if err := client.Do(&ctx.Request, &ctx.Response); err != nil {
			ctx.Error("no answer", fasthttp.StatusBadGateway)
		}
	}}
	listener, err := net.Listen("tcp", listen)
	if err != nil {
		return err
	}
	stop := make(chan os.Signal, 1)
	signal.Notify(stop, syscall.SIGTERM, os.Interrupt)
	go func() {
		<-stop
		ctx, done := context.WithTimeout(context.Background(), time.Second)
		defer done()
		server.ShutdownWithContext(ctx)
	}()
	return server.Serve(listener)
}

// Echo starts a server that answers every request at once with its request ID, as the lab's backends do.
func Echo() (address string, stop func(), err error) {
	listener, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", nil, err
	}
	server := &fasthttp.Server{NoDefaultServerHeader: true, NoDefaultDate: true, Handler: func(ctx *fasthttp.RequestCtx) {
		ctx.Response.SetBody(append(append([]byte(nil), ctx.Request.Header.Peek("X-Request-ID")...), " echo"...))
	}}
	go server.Serve(listener)
	return listener.Addr().String(), func() { listener.Close() }, nil
}
