// Package site runs fakes of a complete platform in one process on loopback: the
// store, and workers and targets in racks and failure domains.
package site

import (
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"net/netip"
	"sync"
	"time"

	"github.com/rattanshore/rattanshore/internal/fakes/faults"
	"github.com/rattanshore/rattanshore/internal/fakes/tables"
	"github.com/rattanshore/rattanshore/internal/fakes/target"
	"github.com/rattanshore/rattanshore/internal/fakes/worker"
	"github.com/rattanshore/rattanshore/internal/wire/plat"
)

// Layout describes a site. Workers and targets are spread evenly over the
// failure domains.
type Layout struct {
	Domains        []string
	Workers        int
	Accelerators   int
	WorkersPerRack int
	Targets        int
	Slots          int
	// RejectStale makes workers refuse stale epochs and expired deadlines.
	RejectStale bool
}

// Site is a running set of fakes.
type Site struct {
	Faults  *faults.Injector
	Table   *tables.Table
	Workers map[string]*worker.Worker
	address netip.AddrPort
	servers []*http.Server
	stop    chan struct{}
	once    sync.Once
}

// New starts a site. The store, the host list and the fault commands are served
// on the given address; port 0 picks a free port.
func New(layout Layout, listen netip.AddrPort) (*Site, error) {
	injector := faults.New()
	s := &Site{
		Faults: injector, Table: tables.New(injector),
		Workers: map[string]*worker.Worker{}, stop: make(chan struct{}),
	}
	hosts, err := s.addHosts(layout)
	if err != nil {
		s.Close()
		return nil, err
	}
	s.Table.SetHosts(hosts)
	mux := http.NewServeMux()
	mux.Handle("/", s.Table.Handler())
	s.registerControl(mux)
	s.address, err = s.serve(listen, mux)
	if err != nil {
		s.Close()
	}
	return s, err
}

// Address returns the address that the store listens on.
func (s *Site) Address() netip.AddrPort { return s.address }

// Close stops all fakes.
func (s *Site) Close() {
	s.once.Do(func() {
		close(s.stop)
		for _, server := range s.servers {
			_ = server.Close()
		}
	})
}

func (s *Site) addHosts(layout Layout) ([]plat.Host, error) {
	var hosts []plat.Host
	counts := map[string]int{}
	for i := range layout.Workers {
		domain := layout.Domains[i%len(layout.Domains)]
		rack := fmt.Sprintf("%s-rack-%d", domain, counts[domain]/max(1, layout.WorkersPerRack))
		counts[domain]++
		host := plat.Host{
			ID: fmt.Sprintf("worker-%02d", i), Kind: plat.Worker, Domain: domain, Rack: rack, Accelerators: layout.Accelerators,
		}
		w := worker.New(host, s.Faults, layout.RejectStale)
		address, err := s.serve(loopback(), w.Handler())
		if err != nil {
			return nil, err
		}
		host.Address = address
		s.Workers[host.ID] = w
		go w.Run(s.stop)
		hosts = append(hosts, host)
	}
	for i := range layout.Targets {
		domain := layout.Domains[i%len(layout.Domains)]
		host := plat.Host{
			ID: fmt.Sprintf("target-%02d", i), Kind: plat.Target, Domain: domain, Slots: layout.Slots, Connections: 64,
		}
		address, err := s.serve(loopback(), target.New(host, s.Faults).Handler())
		if err != nil {
			return nil, err
		}
		host.Address = address
		hosts = append(hosts, host)
	}
	return hosts, nil
}

func loopback() netip.AddrPort {
	return netip.MustParseAddrPort("127.0.0.1:0")
}

func (s *Site) serve(address netip.AddrPort, handler http.Handler) (netip.AddrPort, error) {
	listener, err := net.ListenTCP("tcp", net.TCPAddrFromAddrPort(address))
	if err != nil {
		return netip.AddrPort{}, err
	}
	server := &http.Server{Handler: handler, ReadHeaderTimeout: time.Minute, ErrorLog: discardLogger()}
	s.servers = append(s.servers, server)
	go func() { _ = server.Serve(listener) }()
	return netip.ParseAddrPort(listener.Addr().String())
}

// registerControl serves the commands with which scenarios control the fakes.
func (s *Site) registerControl(mux *http.ServeMux) {
	mux.HandleFunc("POST /fault/set", func(w http.ResponseWriter, r *http.Request) {
		var f faults.Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Set(f)
	})
	mux.HandleFunc("POST /fault/clear", func(w http.ResponseWriter, r *http.Request) {
		var f faults.Fault
		if err := json.NewDecoder(r.Body).Decode(&f); err != nil {
			http.Error(w, err.Error(), http.StatusBadRequest)
			return
		}
		s.Faults.Clear(f.Kind, f.Who)
	})
	mux.HandleFunc("GET /history", func(w http.ResponseWriter, _ *http.Request) {
		faults.WriteJSON(w, s.Faults.History())
	})
	mux.HandleFunc("GET /load", func(w http.ResponseWriter, _ *http.Request) {
		faults.WriteJSON(w, s.Table.Stats())
	})
	mux.HandleFunc("GET /rows", func(w http.ResponseWriter, _ *http.Request) {
		faults.WriteJSON(w, s.Table.Dump())
	})
}

// Set adds a fault. A worker that goes down for all hosts loses its tasks,
// as in a power failure.
func (s *Site) Set(f faults.Fault) {
	s.Faults.Set(f)
	if w, ok := s.Workers[f.Who]; ok && f.Kind == faults.Down && f.From == "" {
		w.Kill()
	}
}
