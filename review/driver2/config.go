package main

import "fmt"

// object is a JSON object.
type object = map[string]any

// configuration returns the platform's configuration of the router: the settings of a small deployment, as in
// deploy/example.json, with the engines and the notice board of this case.
func (w *world) configuration() object {
	members := []object{}
	for _, e := range w.engines {
		members = append(members, object{
			"id": fmt.Sprintf("s-%08x", e.id), "host_port": fmt.Sprintf("127.0.0.1:%d", e.port), "locality": "hall-a",
			"flavor": "std-8", "cell": 0, "phase": "active", "size": 1, "up_since_ms": 0,
		})
	}
	known := object{"rev": 1, "notices": []object{
		{"rev": 1, "pool": object{"revision": 1, "complete": true, "members": members}},
	}}
	return object{
		"name": "n0", "listen": w.listen, "seed": "8c1f30d27a5be964", "board": w.board.address, "known": known,
		"limits":   object{"cores": 1.0, "memory_mb": w.memoryMB, "sockets": 1024},
		"settings": settings(),
	}
}

// settings returns the object that the platform gives to each router.
func settings() object {
	return object{
		"balancers": 1, "me": 0, "zone": "hall-a", "failure-domains": []string{"hall-a", "hall-b"},
		"kinds": []string{"std-8"}, "period-ns": 5_000_000, "classes": classes(),
		"parties": []object{
			{"name": "rckik-south", "quota-rps": 160.0, "share": 0.31},
			{"name": "rckik-west", "quota-rps": 150.0, "share": 0.28},
		},
		"over-share-worth": 0.1,
		"limits": object{
			"attempts-cap": 5, "cancel": false, "second-copies": true, "retry-after": true,
			"max-retry-after-ns": 2_000_000_000, "connect-timeout-ns": 250_000_000, "conn-idle-ns": 30_000_000_000,
		},
		"rules": object{
			"cold-from": 0.36, "cold-ns": 12_000_000_000, "overload-factor": 2.0, "overload-for-ns": 1_500_000_000,
			"drain-grace-ns": 1_000_000_000, "answer-slack-ns": 20_000_000,
		},
		"specifics": object{
			"class-load": []bool{false, false, true}, "yields-to-loads": []bool{true, true, false},
			"width-by-class": []int{1, 4, 2}, "cores-by-kind": []int{8}, "kind-memory-mb": []float64{16384},
			"max-grant-share": 0.4, "grants-count": true, "priorities": true, "overbooked": "trim", "note-period-ns": 0,
		},
	}
}

func classes() []object {
	return []object{
		{
			"name": "lookup", "semantics": "idempotent", "goal-time-ns": 1_000_000_000, "deadline-ns": 5_000_000_000,
			"aim-stretch": 2.0, "credit": 1.0, "late-value": 0.0,
		},
		{
			"name": "report", "semantics": "idempotent", "goal-time-ns": 1_500_000_000, "deadline-ns": 20_000_000_000,
			"aim-stretch": 2.5, "credit": 10.0, "late-value": 0.4,
		},
		{
			"name": "load", "semantics": "at_most_once", "goal-time-ns": 3_000_000_000, "deadline-ns": 25_000_000_000,
			"aim-stretch": 3.0, "credit": 7.5, "late-value": 0.5,
		},
	}
}
