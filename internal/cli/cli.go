// Package cli is the command line.
package cli

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"log/slog"
	"net/http"
	"net/url"
	"os"
	"os/signal"
	"strings"
	"syscall"
	"time"

	"github.com/spf13/cobra"

	"umberpaddle/internal/config"
	"umberpaddle/internal/controller"
	"umberpaddle/internal/wire"
)

// Version is set by the linker for releases.
var Version = "dev"

// usageError is bad settings or a bad command line: exit code 2.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Run runs a command line and returns the exit code.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRoot(in, out, errOut)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "umberpaddle: "+strings.ReplaceAll(err.Error(), "\n", " "))
	var u usageError
	if errors.As(err, &u) {
		return 2
	}
	return 1
}

// configFlags are the flags that name the settings files.
type configFlags struct{ platform, operator string }

// load reads and checks the settings files.
func (f *configFlags) load() (*config.Settings, *config.Operator, error) {
	if f.platform == "" {
		return nil, nil, usageError{errors.New("--config is missing")}
	}
	settings, err := config.Load(f.platform)
	if err != nil {
		return nil, nil, usageError{err}
	}
	operator, err := config.LoadOperator(f.operator)
	if err != nil {
		return nil, nil, usageError{err}
	}
	return settings, operator, nil
}

func newRoot(in io.Reader, out, errOut io.Writer) *cobra.Command {
	var files configFlags
	root := &cobra.Command{Use: "umberpaddle", Short: "A cluster scheduler: serves as a controller, or talks to one",
		SilenceUsage: true, SilenceErrors: true, Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serve(&files, errOut) }}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&files.platform, "config", "", "the platform's settings file (JSON)")
	root.PersistentFlags().StringVar(&files.operator, "operator-config", os.Getenv("UMBERPADDLE_OPERATOR_CONFIG"), "the operators' own settings file (JSON), optional")
	root.AddCommand(&cobra.Command{Use: "check-config", Short: "Check the settings files and exit", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			if _, _, err := files.load(); err != nil {
				return err
			}
			fmt.Fprintln(out, "settings are good")
			return nil
		}})
	root.AddCommand(&cobra.Command{Use: "version", Short: "Print the version", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			fmt.Fprintln(out, "umberpaddle "+Version)
			return nil
		}})
	addClientCommands(root, in, out)
	root.AddCommand(linksCommand(out))
	return root
}

// serve runs a controller until it is told to stop.
func serve(files *configFlags, errOut io.Writer) error {
	settings, operator, err := files.load()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	node := controller.NewServer(settings, operator, logger(errOut))
	node.FitMachine()
	return node.Run(ctx)
}

// clientTimeout bounds a request to a running controller.
const clientTimeout = 10 * time.Second

// addClientCommands adds the commands that talk to a running controller.
func addClientCommands(root *cobra.Command, in io.Reader, out io.Writer) {
	var server string
	add := func(use, short string, run func(c *http.Client, base, argument string) error) {
		cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return run(&http.Client{Timeout: clientTimeout}, "http://"+server, args[0])
		}}
		cmd.Flags().StringVar(&server, "server", "127.0.0.1:8080", "address of a controller or load balancer")
		root.AddCommand(cmd)
	}
	add("submit FILE", "Submit a job described in JSON (- for standard input)", func(c *http.Client, base, file string) error {
		job, err := readJob(in, file)
		if err != nil {
			return err
		}
		return request(c, out, "POST", base+"/work", job)
	})
	add("status ID", "Show a job's state", func(c *http.Client, base, id string) error {
		return request(c, out, "GET", base+"/work/"+url.PathEscape(id), nil)
	})
	add("cancel ID", "Cancel a job", func(c *http.Client, base, id string) error {
		return request(c, out, "POST", base+"/work/"+url.PathEscape(id)+"/cancel", nil)
	})
}

// readJob reads a job's description from a file, or from standard input (-).
func readJob(in io.Reader, file string) (map[string]any, error) {
	if file != "-" {
		f, err := os.Open(file)
		if err != nil {
			return nil, usageError{err}
		}
		defer f.Close()
		in = f
	}
	var job map[string]any
	if err := json.NewDecoder(in).Decode(&job); err != nil {
		return nil, usageError{fmt.Errorf("job is not a JSON object: %w", err)}
	}
	return job, nil
}

func noArgs(cmd *cobra.Command, args []string) error { return wrapUsage(cobra.NoArgs(cmd, args)) }

func exactArgs(n int) cobra.PositionalArgs {
	return func(cmd *cobra.Command, args []string) error { return wrapUsage(cobra.ExactArgs(n)(cmd, args)) }
}

func wrapUsage(err error) error {
	if err != nil {
		return usageError{err}
	}
	return nil
}

// request sends a message and prints the answer as JSON.
func request(c *http.Client, out io.Writer, method, url string, body any) error {
	var rd io.Reader
	if body != nil {
		b, err := wire.Encode(body)
		if err != nil {
			return fmt.Errorf("encode job: %w", err)
		}
		rd = bytes.NewReader(b)
	}
	req, err := http.NewRequest(method, url, rd)
	if err != nil {
		return usageError{err}
	}
	resp, err := c.Do(req)
	if err != nil {
		return fmt.Errorf("controller not reached: %w", err)
	}
	defer resp.Body.Close()
	b, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("answer not read: %w", err)
	}
	var v any
	if len(b) > 0 {
		if err := wire.Decode(b, &v); err != nil {
			return fmt.Errorf("answer not understood: %w", err)
		}
	}
	text, err := json.Marshal(v)
	if err != nil {
		return fmt.Errorf("answer not printed: %w", err)
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	fmt.Fprintln(out, string(text))
	return nil
}

func logger(w io.Writer) *slog.Logger {
	level := slog.LevelInfo
	if s := os.Getenv("LOG_LEVEL"); s != "" {
		if err := level.UnmarshalText([]byte(s)); err != nil {
			level = slog.LevelInfo
		}
	}
	return slog.New(slog.NewTextHandler(w, &slog.HandlerOptions{Level: level}))
}
