package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"
)

// routeHost is the host of all routes.
const routeHost = "shop.example"

// call makes one call of a client, on a new channel.
func call(g *gateway, method, target string, header map[string]string, body []byte) (int, []byte, error) {
	request, err := http.NewRequest(method, "http://"+g.front+target, bytes.NewReader(body))
	if err != nil {
		cannotRun("%v", err)
	}
	request.Host = routeHost
	for name, value := range header {
		request.Header.Set(name, value)
	}
	client := &http.Client{Timeout: 5500 * time.Millisecond, Transport: &http.Transport{DisableKeepAlives: true}}
	response, err := client.Do(request)
	if err != nil {
		return 0, nil, err
	}
	defer response.Body.Close()
	data, err := io.ReadAll(response.Body)
	return response.StatusCode, data, err
}

func itemID(job string, n int) string { return fmt.Sprintf("%s-item-%d", job, n) }

// submitJob hands a job in once under the prefix of its route and returns the status; 0 if there was no answer.
func submitJob(w *world, g *gateway, prefix, id string, items int) int {
	type item struct {
		ID      string            `json:"id"`
		Path    string            `json:"path"`
		Headers map[string]string `json:"headers"`
		Body    []byte            `json:"body"`
		Tokens  int               `json:"tokens"`
	}
	var doc struct {
		Requests []item `json:"requests"`
	}
	for n := range items {
		doc.Requests = append(doc.Requests, item{ID: itemID(id, n), Path: prefix + "3/" + id, Headers: map[string]string{"Model": "m", "Token-Usage": "350,40",
			"Prompt-Prefix": fmt.Sprintf("9c2e41:100,5d07%02x:250", n)}, Body: []byte("note " + itemID(id, n)), Tokens: 390})
	}
	body, err := json.Marshal(doc)
	if err != nil {
		cannotRun("%v", err)
	}
	status, _, err := call(g, http.MethodPost, prefix+id, map[string]string{"Attempt-Id": id, "Content-Type": "application/json"}, body)
	w.log("client: job %s with %d items sent to %s: status %d, %v", id, items, g.name, status, err)
	return status
}

// readJob reads all results of a job and returns the number of items and of listed results.
func readJob(w *world, g *gateway, id string) (total, listed int) {
	for attempts := 0; attempts < 50; attempts++ {
		status, data, err := call(g, http.MethodGet, fmt.Sprintf("/magnoliausher/lots/%s?after=%d", id, listed), map[string]string{"Wait-Ms": "1000"}, nil)
		page := decodePage(data)
		if err != nil || status != http.StatusOK || page == nil {
			w.log("client: reading %s from %d: status %d, %v", id, listed, status, err)
			time.Sleep(200 * time.Millisecond)
			continue
		}
		total = page.Total
		for n, r := range page.Results {
			w.log("client: %s position %d: %s is %s with %d events", id, listed+n, r.ID, r.State, strings.Count(r.Output, "\n")+1)
		}
		listed += len(page.Results)
		if len(page.Results) == 0 || listed >= total {
			return total, listed
		}
	}
	cannotRun("job %s cannot be read", id)
	return 0, 0
}

// jobPage is a page of results.
type jobPage struct {
	Total   int
	Next    int
	Results []struct{ ID, State, Output string }
}

// decodePage returns nil for bytes that are no page.
func decodePage(data []byte) *jobPage {
	var page jobPage
	if json.Unmarshal(data, &page) != nil {
		return nil
	}
	return &page
}
