package main

import (
	"context"
	"errors"
	"fmt"
	"net"
	"net/http"
	"time"

	"github.com/alecthomas/kingpin/v2"

	"github.com/trefoilwalk/trefoilwalk/contract"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/engine"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/memplatform"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/platform"
	"github.com/trefoilwalk/trefoilwalk/internal/standin/service"
	"github.com/trefoilwalk/trefoilwalk/upstream"
)

// standInHeaderTimeout bounds the headers of a request to a stand-in.
const standInHeaderTimeout = 5 * time.Second

func addStandIns(app *kingpin.Application, commands map[string]func(context.Context) error) {
	parent := app.Command("stand-in", "Run a stand-in as its own process.")
	addPlatform(parent, commands)
	addEngine(parent, commands)
	addService(parent, commands)
}

func addPlatform(parent *kingpin.CmdClause, commands map[string]func(context.Context) error) {
	command := parent.Command("platform", "The platform's table, object store, list of instances and weight store.")
	listen := listenFlag(command)
	reads := command.Flag("reads", "Reads a second of table and object store; 0 for no limit.").Default("2000").Int()
	writes := command.Flag("writes", "Writes a second of table and object store; 0 for no limit.").Default("500").Int()
	lag := command.Flag("list-lag", "Lag of the list of instances.").Default("2s").Duration()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		p := memplatform.New()
		p.Store.SetRates(*reads, *writes)
		p.Instances.SetLag(*lag)
		return serve(ctx, *listen, func(string) http.Handler { return platform.Handler(p) })
	}
}

func addEngine(parent *kingpin.CmdClause, commands map[string]func(context.Context) error) {
	command := parent.Command("engine", "A model engine.")
	listen := listenFlag(command)
	role := command.Flag("role", "What the engine does.").Default("prefill").Enum("prefill", "decode")
	models := command.Flag("model", "A model that is loaded; may be repeated.").Required().Strings()
	checkFence := command.Flag("check-fence", "Refuse orders with an old fencing number.").Bool()
	restart := command.Flag("restart-after", "Restart after a crash; 0 for never.").Default("1s").Duration()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		options := engine.Options{CheckFence: *checkFence, RestartAfter: *restart}
		options.Role, _ = upstream.ParseRole(*role)
		for _, model := range *models {
			options.Models = append(options.Models, contract.ModelName(model))
		}
		return serve(ctx, *listen, func(url string) http.Handler {
			options.URL = url
			return engine.New(options).Handler()
		})
	}
}

func addService(parent *kingpin.CmdClause, commands map[string]func(context.Context) error) {
	command := parent.Command("service", "A plain service that answers with a hash of the call.")
	listen := listenFlag(command)
	takes := command.Flag("takes", "How long a call runs.").Default("5ms").Duration()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		s := service.New(service.Options{Takes: *takes})
		return serve(ctx, *listen, func(string) http.Handler { return s.Handler() })
	}
}

func listenFlag(command *kingpin.CmdClause) *string {
	return command.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
}

// serve answers HTTP until ctx ends. handler is given the server's own URL.
func serve(ctx context.Context, addr string, handler func(url string) http.Handler) error {
	l, err := net.Listen("tcp", addr)
	if err != nil {
		return err
	}
	url := "http://" + l.Addr().String()
	server := &http.Server{Handler: handler(url), ReadHeaderTimeout: standInHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = server.Close() })
	defer stop()
	fmt.Println(url)
	if err := server.Serve(l); !errors.Is(err, http.ErrServerClosed) {
		return err
	}
	return nil
}
