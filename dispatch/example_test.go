package dispatch_test

import (
	"fmt"
	"time"

	"windflow/dispatch"
)

// A controller with one class and one idle engine starts the first request immediately.
func Example() {
	c, err := dispatch.New(dispatch.Config{
		Seed:        7,
		Routers:     1,
		MaxAttempts: 3,
		Kinds:       []dispatch.EngineKind{{Name: "std", Cores: 8}},
		Classes: []dispatch.Class{{
			Name:             "lookup",
			LatencyObjective: time.Second,
			Deadline:         5 * time.Second,
			PriorityWeight:   1,
			Threads:          1,
		}},
	})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	list := []dispatch.Endpoint{{ID: 1, Kind: "std"}}
	actions := c.Handle(now, dispatch.EndpointList{Mode: dispatch.ListComplete, Endpoints: list}, nil)
	arrival := dispatch.Arrival{Request: "q1", Class: "lookup", TimeLeft: 5 * time.Second}
	actions = c.Handle(now, arrival, actions)
	for _, action := range actions {
		if start, ok := action.(dispatch.StartAttempt); ok {
			fmt.Println("start", start.Request, "on engine", start.Engine)
		}
	}
	// Output: start q1 on engine 1
}
