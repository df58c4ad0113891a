package comfreyfakeplatform

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"net"
	"net/http"
	"os"
	"time"

	"comfreyridge.example/comfreyridge/comfreyconfig"
	"comfreyridge.example/comfreyridge/comfreygroup"
)

// RunConfig configures Run. Listen and Folder must be set.
type RunConfig struct {
	// Listen is the address to listen on, such as "127.0.0.1:0".
	Listen string
	// Folder is the path of the folder to publish. It is published anew under
	// the next number whenever a file changes, valid or not.
	Folder string
	// HostsFile is the path of a JSON host list; empty for an empty list. It is
	// read anew whenever it changes.
	HostsFile string
	// Lag is by how much the host list lags.
	Lag time.Duration
	// Poll is how often folder and hosts file are looked at; 500 ms by default.
	Poll time.Duration
	// Ready, if set, is called with the address once the platform listens.
	Ready func(address string)
}

const (
	defaultPoll     = 500 * time.Millisecond
	shutdownTimeout = 2 * time.Second
	headerTimeout   = 5 * time.Second
)

// Run serves a platform until ctx ends. It returns an error if the address,
// the folder or the hosts file cannot be used at the start.
func Run(ctx context.Context, c RunConfig) error {
	if c.Poll <= 0 {
		c.Poll = defaultPoll
	}
	p := New()
	p.SetLag(c.Lag)
	f := &follower{config: c, platform: p}
	if err := f.follow(); err != nil {
		return err
	}
	l, err := net.Listen("tcp", c.Listen)
	if err != nil {
		return fmt.Errorf("comfreyfakeplatform: %w", err)
	}
	if c.Ready != nil {
		c.Ready(l.Addr().String())
	}
	s := &http.Server{Handler: p, ReadHeaderTimeout: headerTimeout}
	g := comfreygroup.New(ctx)
	g.Go("platform-serve", func(context.Context) error {
		if err := s.Serve(l); !errors.Is(err, http.ErrServerClosed) {
			return fmt.Errorf("comfreyfakeplatform: %w", err)
		}
		return nil
	})
	g.Go("platform-follow", f.run)
	g.Go("platform-stop", func(ctx context.Context) error {
		<-ctx.Done()
		d, cancel := context.WithTimeout(context.WithoutCancel(ctx), shutdownTimeout)
		defer cancel()
		if err := s.Shutdown(d); err != nil {
			return s.Close()
		}
		return nil
	})
	return g.Wait()
}

// follower publishes the folder and the hosts file when they change.
type follower struct {
	config   RunConfig
	platform *Platform
	folder   comfreyconfig.Hash
	hosts    []byte
}

// run follows until ctx ends. A file that cannot be read for a moment is tried
// again.
func (f *follower) run(ctx context.Context) error {
	t := time.NewTicker(f.config.Poll)
	defer t.Stop()
	for {
		select {
		case <-ctx.Done():
			return nil
		case <-t.C:
			_ = f.follow()
		}
	}
}

// follow publishes what changed.
func (f *follower) follow() error {
	d, err := comfreyconfig.LoadFolder(os.DirFS(f.config.Folder))
	if err != nil {
		return err
	}
	if h := comfreyconfig.NewRevision(1, d).Hash; h != f.folder {
		f.folder = h
		f.platform.Publish(d)
	}
	return f.followHosts()
}

func (f *follower) followHosts() error {
	if f.config.HostsFile == "" {
		return nil
	}
	b, err := os.ReadFile(f.config.HostsFile)
	if err != nil {
		return fmt.Errorf("comfreyfakeplatform: %w", err)
	}
	if bytes.Equal(b, f.hosts) {
		return nil
	}
	var hosts []comfreyconfig.Host
	if err := json.Unmarshal(b, &hosts); err != nil {
		return fmt.Errorf("comfreyfakeplatform: reading the hosts file: %w", err)
	}
	f.hosts = b
	return f.platform.SetHosts(hosts)
}
