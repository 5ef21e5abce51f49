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

// standInHeaderTimeout bounds the time to read the headers of a request.
const standInHeaderTimeout = 5 * time.Second

func addStandIns(app *kingpin.Application, commands map[string]func(context.Context) error) {
	parent := app.Command("stand-in", "Run a stand-in as its own process.")
	addPlatform(parent, commands)
	addEngine(parent, commands)
	addService(parent, commands)
}

func addPlatform(parent *kingpin.CmdClause, commands map[string]func(context.Context) error) {
	command := parent.Command("platform", "Run the platform's table, object store, instance list and weight store in memory.")
	listen := listenFlag(command)
	reads := command.Flag("reads", "Limit on reads per second of table and object store; 0 for none.").Default("2000").Int()
	writes := command.Flag("writes", "Limit on writes per second of table and object store; 0 for none.").Default("500").Int()
	lag := command.Flag("list-lag", "Delay until a change shows in the instance list.").Default("2s").Duration()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		p := memplatform.New()
		p.Store.SetRates(*reads, *writes)
		p.Instances.SetLag(*lag)
		return serve(ctx, *listen, func(string) http.Handler { return platform.Handler(p) })
	}
}

func addEngine(parent *kingpin.CmdClause, commands map[string]func(context.Context) error) {
	command := parent.Command("engine", "Run a language-model engine.")
	listen := listenFlag(command)
	role := command.Flag("role", "Role of the engine.").Default("prefill").Enum("prefill", "decode")
	models := command.Flag("model", "Name of a loaded model; may be repeated.").Required().Strings()
	checkFence := command.Flag("check-fence", "Refuse orders with an outdated fencing number.").Bool()
	restart := command.Flag("restart-after", "Delay until the engine restarts after a crash; 0 for never.").Default("1s").Duration()
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
	command := parent.Command("service", "Run a plain service that answers with a hash of the call.")
	listen := listenFlag(command)
	takes := command.Flag("takes", "Processing time of a call.").Default("5ms").Duration()
	commands[command.FullCommand()] = func(ctx context.Context) error {
		s := service.New(service.Options{Takes: *takes})
		return serve(ctx, *listen, func(string) http.Handler { return s.Handler() })
	}
}

func listenFlag(command *kingpin.CmdClause) *string {
	return command.Flag("listen", "Address to listen on.").Default("127.0.0.1:0").String()
}

// serve prints the URL of the server and serves HTTP until ctx ends. It calls handler
// once, with that URL.
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
