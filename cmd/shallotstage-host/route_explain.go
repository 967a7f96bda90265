package main

import (
	"fmt"
	"io"
	"net/http"
	"net/url"
	"os"
	"strconv"
	"time"
)

// routeExplainTimeout bounds the question to an entry host.
const routeExplainTimeout = 5 * time.Second

// routeExplainArguments select the request to explain.
type routeExplainArguments struct {
	Address      string `arg:"--address,required" help:"metrics address of a running entry host, host:port"`
	Route        string `arg:"--route,required" help:"name of the route"`
	Organisation string `arg:"--organisation" help:"organisation of the caller; not for public routes"`
	Write        bool   `arg:"--write" help:"explain a write instead of a read"`
}

// explainRoute asks a running entry host where a request would go now, and prints the
// answer. The request itself is not sent.
func explainRoute(args *routeExplainArguments) int {
	query := url.Values{"route": {args.Route}, "organisation": {args.Organisation}, "write": {strconv.FormatBool(args.Write)}}
	question := url.URL{Scheme: "http", Host: args.Address, Path: "/route", RawQuery: query.Encode()}
	client := http.Client{Timeout: routeExplainTimeout}
	response, err := client.Get(question.String())
	if err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	defer func() { _ = response.Body.Close() }()
	out := os.Stdout
	status := 0
	if response.StatusCode != http.StatusOK {
		out, status = os.Stderr, 1
	}
	if _, err := io.Copy(out, response.Body); err != nil {
		fmt.Fprintln(os.Stderr, err)
		return 1
	}
	return status
}
