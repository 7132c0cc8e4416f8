package brain_test

import (
	"fmt"
	"time"

	"windflow/brain"
)

// A controller with one class and one engine sends the first query at once.
func Example() {
	c, err := brain.New(brain.Config{Seed: 7, Gateways: 1, MaxAttempts: 3,
		Kinds:   []brain.Kind{{Name: "std", Cores: 8}},
		Classes: []brain.Class{{Name: "lookup", Aim: time.Second, Deadline: 5 * time.Second, Worth: 1, Threads: 1}}})
	if err != nil {
		fmt.Println(err)
		return
	}
	now := 10 * time.Second
	actions := c.Handle(now, brain.EngineList{Mode: brain.ListFull, Engines: []brain.Engine{{ID: 1, Kind: "std"}}}, nil)
	actions = c.Handle(now, brain.Arrival{Request: "q1", Class: "lookup", TimeLeft: 5 * time.Second}, actions)
	for _, a := range actions {
		if send, ok := a.(brain.Send); ok {
			fmt.Println("send", send.Request, "to engine", send.Engine)
		}
	}
	// Output: send q1 to engine 1
}
