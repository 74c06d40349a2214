// Package cli is the command-line interface: it runs a controller, or sends requests to a running one.
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

// Version is the version of this build. The linker sets it for releases.
var Version = "dev"

// usageError is an error in the settings files or the command line. The exit code for it is 2.
type usageError struct{ error }

func (e usageError) Unwrap() error { return e.error }

// Run executes a command line and returns the exit code: 0 for success, 2 for an error in the settings
// files or the command line, 1 for any other error. It prints an error as a single line.
func Run(args []string, in io.Reader, out, errOut io.Writer) int {
	root := newRootCommand(in, out, errOut)
	root.SetArgs(args)
	root.SetOut(out)
	root.SetErr(errOut)
	err := root.Execute()
	if err == nil {
		return 0
	}
	fmt.Fprintln(errOut, "umberpaddle: "+strings.ReplaceAll(err.Error(), "\n", " "))
	var usage usageError
	if errors.As(err, &usage) {
		return 2
	}
	return 1
}

// configFlags holds the flags with the paths of the settings files.
type configFlags struct{ platform, operator string }

// loadSettings reads and checks the settings files.
func (f *configFlags) loadSettings() (*config.Settings, *config.OperatorSettings, error) {
	if f.platform == "" {
		return nil, nil, usageError{errors.New("the flag --config is required")}
	}
	settings, err := config.Load(f.platform)
	if err != nil {
		return nil, nil, usageError{err}
	}
	operator, err := config.LoadOperatorSettings(f.operator)
	if err != nil {
		return nil, nil, usageError{err}
	}
	return settings, operator, nil
}

func newRootCommand(in io.Reader, out, errOut io.Writer) *cobra.Command {
	var files configFlags
	root := &cobra.Command{Use: "umberpaddle", Short: "A cluster scheduler: runs a controller, or sends requests to one",
		SilenceUsage: true, SilenceErrors: true, Args: noArgs,
		RunE: func(*cobra.Command, []string) error { return serve(&files, errOut) }}
	root.SetFlagErrorFunc(func(_ *cobra.Command, err error) error { return usageError{err} })
	root.CompletionOptions.DisableDefaultCmd = true
	root.PersistentFlags().StringVar(&files.platform, "config", "", "the platform settings file (JSON)")
	root.PersistentFlags().StringVar(&files.operator, "operator-config", os.Getenv("UMBERPADDLE_OPERATOR_CONFIG"), "the operator settings file (JSON), optional")
	root.AddCommand(&cobra.Command{Use: "check-config", Short: "Check the settings files and exit", Args: noArgs,
		RunE: func(*cobra.Command, []string) error {
			if _, _, err := files.loadSettings(); err != nil {
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
	root.AddCommand(newLinksCommand(out))
	return root
}

// serve runs a controller until the process receives SIGINT or SIGTERM.
func serve(files *configFlags, errOut io.Writer) error {
	settings, operator, err := files.loadSettings()
	if err != nil {
		return err
	}
	ctx, stop := signal.NotifyContext(context.Background(), syscall.SIGINT, syscall.SIGTERM)
	defer stop()
	server := controller.NewServer(settings, operator, newLogger(errOut))
	server.ConfigureRuntime()
	return server.Run(ctx)
}

// clientTimeout bounds a request to a running controller.
const clientTimeout = 10 * time.Second

// addClientCommands adds the commands that send requests to a running controller.
func addClientCommands(root *cobra.Command, in io.Reader, out io.Writer) {
	var server string
	add := func(use, short string, run func(client *http.Client, baseURL, argument string) error) {
		cmd := &cobra.Command{Use: use, Short: short, Args: exactArgs(1), RunE: func(_ *cobra.Command, args []string) error {
			return run(&http.Client{Timeout: clientTimeout}, "http://"+server, args[0])
		}}
		cmd.Flags().StringVar(&server, "server", "127.0.0.1:8080", "address of a controller or load balancer")
		root.AddCommand(cmd)
	}
	add("submit FILE", "Submit a job described in JSON (- for standard input)", func(client *http.Client, baseURL, file string) error {
		job, err := readJob(in, file)
		if err != nil {
			return err
		}
		return request(client, out, "POST", baseURL+"/work", job)
	})
	add("status ID", "Show a job's state", func(client *http.Client, baseURL, id string) error {
		return request(client, out, "GET", baseURL+"/work/"+url.PathEscape(id), nil)
	})
	add("cancel ID", "Cancel a job", func(client *http.Client, baseURL, id string) error {
		return request(client, out, "POST", baseURL+"/work/"+url.PathEscape(id)+"/cancel", nil)
	})
}

// readJob reads a job's description from a file, or from in if the file is "-".
func readJob(in io.Reader, file string) (map[string]any, error) {
	if file != "-" {
		openedFile, err := os.Open(file)
		if err != nil {
			return nil, usageError{err}
		}
		defer openedFile.Close()
		in = openedFile
	}
	var job map[string]any
	if err := json.NewDecoder(in).Decode(&job); err != nil {
		return nil, usageError{fmt.Errorf("the job is not a JSON object: %w", err)}
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

// request sends an HTTP request and prints the response body as JSON. body is encoded as MessagePack; nil
// stands for no body.
func request(client *http.Client, out io.Writer, method, url string, body any) error {
	var reader io.Reader
	if body != nil {
		encodedBody, err := wire.Encode(body)
		if err != nil {
			return fmt.Errorf("encode the job: %w", err)
		}
		reader = bytes.NewReader(encodedBody)
	}
	req, err := http.NewRequest(method, url, reader)
	if err != nil {
		return usageError{err}
	}
	resp, err := client.Do(req)
	if err != nil {
		return fmt.Errorf("no response from the controller: %w", err)
	}
	defer resp.Body.Close()
	content, err := io.ReadAll(resp.Body)
	if err != nil {
		return fmt.Errorf("read the response: %w", err)
	}
	var decoded any
	if len(content) > 0 {
		if err := wire.Decode(content, &decoded); err != nil {
			return fmt.Errorf("decode the response: %w", err)
		}
	}
	text, err := json.Marshal(decoded)
	if err != nil {
		return fmt.Errorf("encode the response as JSON: %w", err)
	}
	if resp.StatusCode >= 300 {
		return fmt.Errorf("status %d: %s", resp.StatusCode, text)
	}
	fmt.Fprintln(out, string(text))
	return nil
}

// newLogger returns a logger with the level in LOG_LEVEL, or info if LOG_LEVEL is not set or not a level.
func newLogger(output io.Writer) *slog.Logger {
	level := slog.LevelInfo
	if name := os.Getenv("LOG_LEVEL"); name != "" {
		if err := level.UnmarshalText([]byte(name)); err != nil {
			level = slog.LevelInfo
		}
	}
	return slog.New(slog.NewTextHandler(output, &slog.HandlerOptions{Level: level}))
}
