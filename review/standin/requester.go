//go:build review

package main

import (
	"bytes"
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"
)

type step struct {
	Count         int    `json:"Count"`
	Cpu           int64  `json:"Cpu,omitempty"` //nolint:revive // The platform's spelling.
	MemMb         int64  `json:"MemMb,omitempty"`
	EstimateMs    int64  `json:"EstimateMs,omitempty"`
	TargetMs      int64  `json:"TargetMs,omitempty"`
	After         []int  `json:"After,omitempty"`
	Gang          bool   `json:"Gang,omitempty"`
	LongRunning   bool   `json:"LongRunning,omitempty"`
	Fills         bool   `json:"Fills,omitempty"`
	MaxPerServer  int    `json:"MaxPerServer,omitempty"`
	MayMiss       int    `json:"MayMiss,omitempty"`
	RequiredLabel string `json:"RequiredLabel,omitempty"`
	Image         string `json:"Image,omitempty"`
}

// job is a job as a requester submits it.
type job struct {
	Spec        string `json:"Spec"`
	Steps       []step `json:"Steps"`
	RepeatCount int    `json:"RepeatCount,omitempty"`
	FirstRunMs  int64  `json:"FirstRunMs,omitempty"`
	IntervalMs  int64  `json:"IntervalMs,omitempty"`
	// failures counts the runs of each work item that ended failed, lastEnd is when a run of it last ended.
	failures map[string]int
	lastEnd  map[string]time.Time
	// cancelledAt is when the job's cancelling was acknowledged.
	cancelledAt time.Time
}

// answer is the answer to a request. Status is 0 if there was none.
type answer struct {
	Status  int
	State   string
	Waiting int
}

// requestTime is how long requesters wait for an answer.
const requestTime = 3 * time.Second

// request sends one request.
func (p *platform) request(method string, n *node, r route, id string, body []byte) answer {
	return p.requestWithin(requestTime, method, n, r, id, body)
}

// requestWithin sends one request and leaves after a time.
func (p *platform) requestWithin(wait time.Duration, method string, n *node, r route, id string, body []byte) answer {
	ctx, cancel := context.WithTimeout(context.Background(), wait)
	defer cancel()
	p.record.logf("%s %s%s to %s %s", method, r.Prefix, id, n.name, body)
	var result answer
	request, err := http.NewRequestWithContext(ctx, method, "http://"+n.front+r.Prefix+id, bytes.NewReader(body))
	if err == nil {
		request.Host = r.Host
		request.GetBody = nil
		request.Header.Set("Content-Type", "application/json")
		request.Header.Set("Deadline-Ms", strconv.FormatInt(requestTime.Milliseconds(), 10))
		client := &http.Client{Transport: &http.Transport{DisableKeepAlives: true}}
		var response *http.Response
		if response, err = client.Do(request); err == nil {
			var data []byte
			data, err = io.ReadAll(response.Body)
			_ = response.Body.Close()
			if err == nil {
				result.Status = response.StatusCode
				_ = json.Unmarshal(data, &result)
				p.record.logf("%s %s%s answered %d %s", method, r.Prefix, id, response.StatusCode, data)
			}
		}
	}
	if err != nil {
		p.record.logf("%s %s%s not answered: %v", method, r.Prefix, id, err)
	}
	return result
}

// submit hands a job in. Submitting the same job again sends the same request.
func (p *platform) submit(n *node, r route, id string, j *job) answer {
	return p.submitWithin(requestTime, n, r, id, j)
}

// submitWithin hands a job in and leaves after a time.
func (p *platform) submitWithin(wait time.Duration, n *node, r route, id string, j *job) answer {
	data, err := json.Marshal(j)
	if err != nil {
		return answer{}
	}
	p.mu.Lock()
	if p.jobs[id] == nil {
		j.failures, j.lastEnd = make(map[string]int), make(map[string]time.Time)
		p.jobs[id] = j
	}
	p.mu.Unlock()
	return p.requestWithin(wait, http.MethodPost, n, r, id, data)
}

// state asks for the state of a job.
func (p *platform) state(n *node, r route, id string) answer {
	return p.request(http.MethodGet, n, r, id, nil)
}

// cancelUntilAcknowledged cancels a job, and asks again until that is acknowledged.
func (p *platform) cancelUntilAcknowledged(n *node, r route, id string) {
	for range 5 {
		if a := p.request(http.MethodDelete, n, r, id, nil); a.Status/100 == 2 || a.Status == http.StatusGone {
			p.mu.Lock()
			p.jobs[id].cancelledAt = time.Now()
			p.mu.Unlock()
			return
		}
		time.Sleep(time.Second)
	}
}
