package dispatch

import (
	"fmt"

	"windflow/internal/tracetest"
)

// This file adds actions, snapshots, usage and views to a trace, field by field. The recorded traces depend on the
// order of the fields and on the step numbers, so neither may change.

// Step numbers in a trace.
const (
	traceStart     = 1
	traceResources = 2
	traceCancel    = 3
	traceReject    = 4
	traceFail      = 5
	traceSubscribe = 6
	traceSetTimer  = 7
	traceSnapshot  = 20
	traceUsage     = 21
	traceView      = 22
	traceConfigure = 23
)

// traceAction adds an action and the index of the controller that returned it.
func traceAction(h *tracetest.Hash, controller int, action Action) {
	switch action := action.(type) {
	case StartAttempt:
		h.Step(traceStart)
		h.String(string(action.Request))
		h.Uint(uint64(action.Engine))
		h.Duration(action.Timeout)
		h.Duration(action.StartWithin)
	case SetResources:
		h.Step(traceResources)
		h.String(string(action.Request))
		h.Float(action.GrantMB)
		h.Int(int64(action.Priority))
	case CancelAttempt:
		h.Step(traceCancel)
		h.String(string(action.Request))
		h.Int(int64(action.Attempt))
	case Reject:
		h.Step(traceReject)
		h.String(string(action.Request))
		h.Duration(action.RetryAfter)
	case FailRequest:
		h.Step(traceFail)
		h.String(string(action.Request))
	case Subscribe:
		h.Step(traceSubscribe)
	case SetTimer:
		h.Step(traceSetTimer)
		h.Int(action.Tag)
		h.Duration(action.After)
	default:
		panic(fmt.Sprintf("no trace encoding for an action of type %T", action))
	}
	h.Int(int64(controller))
}

func traceSnapshotOf(h *tracetest.Hash, s Snapshot) {
	h.Step(traceSnapshot)
	traceIDs(h, s.Known)
	traceIDs(h, s.Cordoned)
	h.Int(int64(len(s.Engines)))
	for _, e := range s.Engines {
		h.Uint(uint64(e.ID))
		h.Duration(e.StartedAt)
		h.Duration(e.WarmUpStart)
		h.Duration(e.WarmUpEnd)
		h.Float(e.Slowness)
		h.Float(e.FailureShare)
		h.Duration(e.SlownessAt)
		h.Duration(e.FailureShareAt)
		h.Int(int64(e.ConnectionFailures))
		h.Bool(e.OnProbation)
	}
	h.Int(int64(len(s.Classes)))
	for _, k := range s.Classes {
		h.String(k.Name)
		for _, value := range []float64{
			k.MeanServiceTime, k.BoundedServiceTime, k.BestServiceTime,
			k.MeanEstimate, k.GrantCorrection, k.Observations,
		} {
			h.Float(value)
		}
		h.Duration(k.ObservedAt)
	}
	h.Float(s.CompletedWork)
	h.Duration(s.CompletedWorkAt)
}

func traceIDs(h *tracetest.Hash, ids []EngineID) {
	h.Int(int64(len(ids)))
	for _, id := range ids {
		h.Uint(uint64(id))
	}
}

func traceUsageOf(h *tracetest.Hash, usage OtherProcessUsage) {
	h.Step(traceUsage)
	h.Int(int64(usage.Queued))
	h.Int(int64(len(usage.Engines)))
	for _, u := range usage.Engines {
		h.Uint(uint64(u.ID))
		for _, v := range []float64{u.Threads, u.PreferredThreads, u.Work, u.GrantedMB, u.WarmUpWork} {
			h.Float(v)
		}
	}
}

func traceViewOf(h *tracetest.Hash, v *View) {
	h.Step(traceView)
	h.Int(int64(v.Queued))
	h.Float(v.Congestion)
	h.Float(v.ThreadsPerCore)
	h.Int(int64(len(v.Engines)))
	for _, e := range v.Engines {
		h.Uint(uint64(e.ID))
		h.String(e.Zone)
		h.String(e.Kind)
		h.Int(int64(e.State))
		for _, b := range []bool{e.Cordoned, e.WarmingUp, e.Ejected, e.Down} {
			h.Bool(b)
		}
		h.Duration(e.WarmUpEnd)
		h.Float(e.Slowness)
		h.Float(e.FailureShare)
		h.Int(int64(e.ConnectionFailures))
		h.Int(int64(e.Running))
		h.Float(e.Threads)
		h.Float(e.Work)
	}
}
