package node

import (
	"encoding/json"
	"net/netip"
	"time"

	"windflow/dispatch"
	"windflow/internal/bgp"
	"windflow/internal/configclient"
	"windflow/internal/decide/configlog"
	"windflow/internal/decide/hotrestart"
	"windflow/internal/flightsql"
	"windflow/internal/router"
)

// messageSamples returns the messages of both versions of the protocol, with every field set. Version 1 has fewer
// fields and messages.
func messageSamples() []messageSample {
	one, two := sampleState(), sampleState()
	one.Version, one.Configuration = 0, nil
	return append(samplesOfBothVersions(),
		messageSample{"v1/hello", "hello", helloMessage{PID: 22071}, []string{"Process", "Version"}},
		messageSample{"v2/hello", "hello", helloMessage{PID: 22129, Process: 3, Version: hotrestart.ProtocolVersion}, nil},
		messageSample{"v1/state", "state", one, []string{"Version", "Configuration"}},
		messageSample{"v2/state", "state", two, nil},
		messageSample{
			"v1/ban", msgCordon,
			cordonMessage{Number: 7, ID: 2, Cordon: true, Known: true},
			[]string{"MemoryOnly"},
		},
		messageSample{"v2/ban", msgCordon, cordonMessage{Number: 8, ID: 3, Cordon: true, Known: true, MemoryOnly: true}, nil},
		messageSample{
			"v1/banned", msgCordonReply,
			cordonMessage{Number: 7, ID: 2, Cordon: true, Known: true},
			[]string{"MemoryOnly"},
		},
		messageSample{"v2/banned", msgCordonReply, cordonMessage{
			Number: 8, ID: 3, Cordon: true, Known: true,
			MemoryOnly: true,
		}, nil},
		messageSample{"v1/bye", msgBye, nil, nil},
		messageSample{"v2/wait", "wait", waitMessage{Phase: "serving", PID: 22130}, nil},
		messageSample{"v2/back", "back", nil, nil},
		messageSample{"v2/may", msgClaimID, idClaimMessage{Number: 9, ID: "00000000000000ff", Granted: true}, nil},
		messageSample{"v2/word", msgClaimIDReply, idClaimMessage{Number: 9, ID: "00000000000000ff", Granted: true}, nil},
		messageSample{"v2/configuration", msgConfiguration, sampleRevision(), nil},
	)
}

// samplesOfBothVersions returns the messages that are the same in both versions.
func samplesOfBothVersions() []messageSample {
	ticket := sampleTicket()
	return []messageSample{
		{"both/ready", "ready", readyMessage{Taken: []string{"clients", "door"}}, nil},
		{"both/go-ahead", "go-ahead", nil, nil},
		{"both/id-open", msgIDChange, router.IDChange{ID: "0000000000000007", Status: router.IDOpen}, []string{"Status"}},
		{"both/id-done", msgIDChange, router.IDChange{ID: "0000000000000008", Status: router.IDDone}, nil},
		{"both/id-spent", msgIDChange, router.IDChange{ID: "0000000000000009", Status: router.IDConsumed}, nil},
		{"both/id-unspent", msgIDChange, router.IDChange{ID: "000000000000000a", Status: router.IDReleased}, nil},
		{"both/use", msgUsage, usageMessage{Dispatch: sampleUsage(), Sessions: 41, EngineConns: 42, Leaving: true}, nil},
		{"both/kill", msgKill, killMessage{SessionID: 305419896, QueryOnly: true}, nil},
		{"both/bgp", msgBGP, sampleSession(), nil},
		{"both/claim-asked", msgTicketClaim, ticketClaimMessage{Number: 12, Handle: "5a0000000000000c"}, []string{"Ticket"}},
		{
			"both/claimed-none", msgTicketClaimReply,
			ticketClaimMessage{Number: 13, Handle: "5a0000000000000d"},
			[]string{"Ticket"},
		},
		{"both/claimed", msgTicketClaimReply, ticketClaimMessage{Number: 12, Handle: ticket.Handle, Ticket: &ticket}, nil},
		{"both/tickets", msgTickets, []flightsql.Ticket{ticket, otherTicket()}, nil},
		{"both/bgp-none", msgBGP, bgp.SessionState{}, []string{""}},
	}
}

func sampleState() stateMessage {
	revision := sampleRevision()
	return stateMessage{
		Version:    hotrestart.ProtocolVersion,
		Generation: 2,
		Core: router.State{
			OpenIDs:     []string{"0000000000000001"},
			ConsumedIDs: []string{"0000000000000002", "0000000000000003"}, Dispatch: sampleSnapshot(),
		},
		Listeners:     []string{"clients", "door"},
		Addresses:     map[string]string{"door": "127.0.0.1:8002", "clients": "127.0.0.1:3307"},
		Parts:         []string{"bgp"},
		Configuration: &revision,
	}
}

// sampleSnapshot returns a snapshot with two engines and two classes, so that a list that loses all but one entry is
// noticed.
func sampleSnapshot() dispatch.Snapshot {
	return dispatch.Snapshot{
		Known:    []dispatch.EngineID{1, 2, 12_000_000},
		Cordoned: []dispatch.EngineID{2},
		Engines: []dispatch.EngineSnapshot{
			{
				ID: 1, StartedAt: 11 * time.Second, WarmUpStart: 12 * time.Second, WarmUpEnd: 13 * time.Second, Slowness: 1.25,
				FailureShare: 0.0625,
				SlownessAt:   14 * time.Second, FailureShareAt: 15 * time.Second, ConnectionFailures: 3, OnProbation: true,
			},
			{
				ID: 2, StartedAt: 21 * time.Second, WarmUpStart: 22 * time.Second, WarmUpEnd: 23 * time.Second, Slowness: 2.5,
				FailureShare: 1e-7,
				SlownessAt:   24 * time.Second, FailureShareAt: 1796148879607449088, ConnectionFailures: 4, OnProbation: true,
			},
		},
		Classes: []dispatch.ClassSnapshot{
			{
				Name: "lookup", MeanServiceTime: 0.25, BoundedServiceTime: 0.5, BestServiceTime: 0.125, MeanEstimate: 1.5,
				GrantCorrection: 1.75, Observations: 31, ObservedAt: 32 * time.Second,
			},
			{
				Name: "load", MeanServiceTime: 1.25, BoundedServiceTime: 1.375, BestServiceTime: 1.125, MeanEstimate: 2.5,
				GrantCorrection: 2.75, Observations: 1e21, ObservedAt: 42 * time.Second,
			},
		},
		CompletedWork:   51.5,
		CompletedWorkAt: 52 * time.Second,
	}
}

func sampleUsage() dispatch.OtherProcessUsage {
	return dispatch.OtherProcessUsage{
		Engines: []dispatch.EngineUsage{
			{ID: 1, Threads: 1.5, PreferredThreads: 2.5, Work: 3.5, GrantedMB: 4.5, WarmUpWork: 5.5},
			{ID: 2, Threads: 6.5, PreferredThreads: 7.5, Work: 8.5, GrantedMB: 9.5, WarmUpWork: 10.5},
		},
		Queued: 61,
	}
}

func sampleRevision() configclient.Revision {
	return configclient.Revision{
		Revision: 71, Hash: configlog.Hash{0: 0xab, 31: 0xcd},
		Entries: map[string]json.RawMessage{
			"/classes/0": json.RawMessage(`{"name":"lookup"}`),
			"/zone":      json.RawMessage(`"a"`),
		},
	}
}

func sampleTicket() flightsql.Ticket {
	return flightsql.Ticket{
		Handle: "5a0000000000000c",
		Request: router.Request{
			ID: "000000000000000b", Class: "load", Tenant: "a-17", Statement: "SELECT 'ü' <&>", TableGroup: 81,
			SentAtMS: 1796148879607.25, BudgetMS: 20000.5, EstimateMS: 82.5, NeedMB: 83.5, Retry: true, Update: true,
		},
		DeadlineMS:  1796148899607.5,
		ExpiresAtMS: 1796148909607.75,
		SingleUse:   true,
	}
}

func otherTicket() flightsql.Ticket {
	t := sampleTicket()
	t.Handle, t.Request.ID, t.Request.TableGroup = "5a0000000000000e", "000000000000000c", -1
	return t
}

func sampleSession() bgp.SessionState {
	return bgp.SessionState{
		Peer: "10.0.0.9:179", HoldMS: 3000.5, FourByteAS: true, Buffered: []byte{0xff, 0, 0x13},
		Announced: []netip.Prefix{netip.MustParsePrefix("10.1.0.1/32"), netip.MustParsePrefix("fd00::1/128")},
		NextHop:   netip.MustParseAddr("10.0.0.1"),
	}
}
