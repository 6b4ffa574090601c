package main

import (
	"bytes"
	"encoding/json"
	"fmt"
	"io"
	"net/http"
	"strings"
	"time"

	"sandcourse/internal/planner"
	"sandcourse/internal/planner/planapi"
)

const (
	plannerTimeout        = 10 * time.Second
	maxStatusBytes        = 64 << 20 // limit far above the status of thousands of engines
	maxOrderResponseBytes = 1 << 16  // limit on the planner's response to an order
)

// orderRefusedError is the planner's reason for refusing an order.
type orderRefusedError string

func (e orderRefusedError) Error() string { return "refused: " + string(e) }

// plannerClient fetches the roles of engines from a planner and sends orders to the planner.
type plannerClient struct {
	address string
	http    http.Client
}

func newPlannerClient() *plannerClient {
	return &plannerClient{http: http.Client{Timeout: plannerTimeout}}
}

// status fetches the planner's records of all engines and its last decision.
func (p *plannerClient) status() (status planner.Status, err error) {
	response, err := p.http.Get("http://" + p.address + planapi.RolesPath)
	if err != nil {
		return status, err
	}
	defer response.Body.Close()
	if response.StatusCode != http.StatusOK {
		return status, fmt.Errorf("planner %s responded with status %s", p.address, response.Status)
	}
	return status, json.NewDecoder(io.LimitReader(response.Body, maxStatusBytes)).Decode(&status)
}

// order sends an order and returns the planner's response.
func (p *plannerClient) order(order planapi.Order) (string, error) {
	data, err := json.Marshal(order)
	if err != nil {
		return "", err
	}
	response, err := p.http.Post("http://"+p.address+planapi.OrderPath, "application/json", bytes.NewReader(data))
	if err != nil {
		return "", err
	}
	defer response.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(response.Body, maxOrderResponseBytes))
	if response.StatusCode != http.StatusOK {
		return "", orderRefusedError(strings.TrimSpace(string(text)))
	}
	return string(text), nil
}
