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
	plannerTimeout = 10 * time.Second
	maxStatusBytes = 64 << 20 // far over what a fleet of thousands needs
	maxAnswerBytes = 1 << 16  // to an order
)

// orderRefusedError is an order that the planner refused, with its reason.
type orderRefusedError string

func (e orderRefusedError) Error() string { return "refused: " + string(e) }

// plannerClient asks a planner for roles, and gives it orders.
type plannerClient struct {
	address string
	http    http.Client
}

func newPlannerClient() *plannerClient {
	return &plannerClient{http: http.Client{Timeout: plannerTimeout}}
}

// status is what the planner knows of all engines, and its last decision.
func (p *plannerClient) status() (status planner.Status, err error) {
	answer, err := p.http.Get("http://" + p.address + planapi.RolesPath)
	if err != nil {
		return status, err
	}
	defer answer.Body.Close()
	if answer.StatusCode != http.StatusOK {
		return status, fmt.Errorf("planner %s answers %s", p.address, answer.Status)
	}
	return status, json.NewDecoder(io.LimitReader(answer.Body, maxStatusBytes)).Decode(&status)
}

// order gives an order, and returns the planner's answer.
func (p *plannerClient) order(order planapi.Order) (string, error) {
	data, err := json.Marshal(order)
	if err != nil {
		return "", err
	}
	answer, err := p.http.Post("http://"+p.address+planapi.OrderPath, "application/json", bytes.NewReader(data))
	if err != nil {
		return "", err
	}
	defer answer.Body.Close()
	text, _ := io.ReadAll(io.LimitReader(answer.Body, maxAnswerBytes))
	if answer.StatusCode != http.StatusOK {
		return "", orderRefusedError(strings.TrimSpace(string(text)))
	}
	return string(text), nil
}
