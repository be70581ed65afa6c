// Command crankstandin serves stand-ins of the platform over HTTP for tests and
// for the demo. "crankstandin platform" serves a log and an instance list,
// "crankstandin worker" serves one worker and registers it in the list.
package main

import (
	"context"
	"flag"
	"fmt"
	"net"
	"net/http"
	"os"
	"os/signal"
	"syscall"
	"time"

	crank "cranberrycrank"
	"cranberrycrank/pkg/crankwire"
	"cranberrycrank/standin/crankfakehttp"
	"cranberrycrank/standin/crankfakelist"
	"cranberrycrank/standin/crankfakelog"
	"cranberrycrank/standin/crankfakeworker"
)

func main() {
	if err := run(os.Args[1:]); err != nil {
		fmt.Fprintln(os.Stderr, "crankstandin:", err)
		os.Exit(1)
	}
}

func run(args []string) error {
	ctx, stop := signal.NotifyContext(context.Background(), os.Interrupt, syscall.SIGTERM)
	defer stop()
	if len(args) == 0 {
		return fmt.Errorf("usage: crankstandin platform|worker [flags]")
	}
	switch args[0] {
	case "platform":
		return runPlatform(ctx, args[1:])
	case "worker":
		return runWorker(ctx, args[1:])
	}
	return fmt.Errorf("unknown stand-in %q", args[0])
}

func runPlatform(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("platform", flag.ContinueOnError)
	logAddr := flags.String("log", "127.0.0.1:7400", "address of the log")
	listAddr := flags.String("list", "127.0.0.1:7401", "address of the instance list")
	lag := flags.Duration("lag", time.Second, "lag of the instance list")
	retention := flags.Duration("retention", time.Hour, "age at which log entries are dropped")
	probe := flags.Bool("probe", true, "take instances that accept no connection off the list")
	if err := flags.Parse(args); err != nil {
		return err
	}
	list := crankfakelist.New(crankfakelist.Config{Lag: *lag})
	log := crankfakelog.New(crankfakelog.Config{Retention: *retention})
	if *probe {
		go probeInstances(ctx, list)
	}
	errs := make(chan error, 2)
	go func() { errs <- serve(ctx, *listAddr, crankfakehttp.ListHandler(list)) }()
	go func() { errs <- serve(ctx, *logAddr, crankfakehttp.LogHandler(log)) }()
	return <-errs
}

const probePeriod = time.Second

// probeInstances takes instances that accept no connection off the list.
func probeInstances(ctx context.Context, list *crankfakelist.List) {
	for ctx.Err() == nil {
		for _, i := range list.Current() {
			conn, err := net.DialTimeout("tcp", i.Addr, probePeriod)
			if err != nil {
				list.Remove(i.ID)
				continue
			}
			conn.Close()
		}
		time.Sleep(probePeriod)
	}
}

func runWorker(ctx context.Context, args []string) error {
	flags := flag.NewFlagSet("worker", flag.ContinueOnError)
	id := flags.String("id", "worker-1", "identity")
	addr := flags.String("addr", "127.0.0.1:7500", "address")
	zone := flags.String("zone", "", "availability zone")
	rack := flags.String("rack", "", "rack")
	list := flags.String("list", "127.0.0.1:7401", "address of the instance list")
	accelerators := flags.Int("accelerators", 8, "accelerators")
	cores := flags.Int("cores", 60, "cores")
	memory := flags.Int("memory-mib", 256<<10, "memory in MiB")
	slots := flags.Int("slots", 8, "tasks at once")
	journal := flags.String("journal", "", "file to which starts and ends are written")
	if err := flags.Parse(args); err != nil {
		return err
	}
	capacity := crank.Resources{Accelerators: *accelerators, Cores: *cores, MemoryMiB: *memory, Slots: *slots}
	observe, err := openJournal(*journal)
	if err != nil {
		return err
	}
	epoch := fmt.Sprintf("%s-%d", *id, time.Now().UnixNano())
	w := crankfakeworker.New(crankfakeworker.Config{ID: *id, Epoch: epoch, Capacity: capacity, Observe: observe})
	instance := crank.Instance{ID: *id, Role: crank.RoleWorker, Addr: *addr, Zone: *zone, Rack: *rack, Epoch: epoch, Capacity: capacity}
	go register(ctx, *list, instance)
	return serve(ctx, *addr, crankfakehttp.WorkerHandler(w))
}

// openJournal returns an observer that appends one line per event to a file, or
// nil when the path is empty.
func openJournal(path string) (func(crankfakeworker.Event), error) {
	if path == "" {
		return nil, nil
	}
	file, err := os.OpenFile(path, os.O_CREATE|os.O_APPEND|os.O_WRONLY, 0o644)
	if err != nil {
		return nil, err
	}
	return func(e crankfakeworker.Event) {
		fmt.Fprintf(file, "%d %s %s %s %d %d %s %q\n", e.At.UnixMilli(), e.Worker, e.Kind, e.Attempt.Job, e.Attempt.Number, e.Tasks, e.State, e.Payload)
	}, nil
}

const registerPeriod = 2 * time.Second

// register puts the worker on the list once per registerPeriod, as the platform's
// agent does, so that a removed worker returns.
func register(ctx context.Context, list string, i crank.Instance) {
	client := crankwire.NewClient(crankwire.ClientConfig{Addr: list})
	for ctx.Err() == nil {
		call, cancel := context.WithTimeout(ctx, registerPeriod)
		_ = client.Call(call, "list put", http.MethodPut, "/instances", i, nil)
		cancel()
		time.Sleep(registerPeriod)
	}
}

func serve(ctx context.Context, addr string, handler http.Handler) error {
	server := &http.Server{Addr: addr, Handler: handler, ReadHeaderTimeout: 5 * time.Second}
	go func() {
		<-ctx.Done()
		server.Close()
	}()
	if err := server.ListenAndServe(); err != http.ErrServerClosed {
		return err
	}
	return nil
}
