package main

import "windflow/dispatch"

// wireAction is the encoded form of an action. Exactly one field is set; its JSON name is the name of the message.
type wireAction struct {
	Dispatch    *wireDispatch    `json:"DISPATCH,omitempty"`
	AssignTerms *wireAssignTerms `json:"ASSIGN_TERMS,omitempty"`
	Cancel      *wireCancel      `json:"CANCEL,omitempty"`
	PushBack    *wirePushBack    `json:"PUSH_BACK,omitempty"`
	Error       *wireError       `json:"ERROR,omitempty"`
	Follow      *wireFollow      `json:"FOLLOW,omitempty"`
	Schedule    *wireSchedule    `json:"SCHEDULE,omitempty"`
}

// The fields of each message are in alphabetical order of their JSON names, because the recorded exchanges of the
// simulator have them in that order.

type wireDispatch struct {
	AllowForNS int64              `json:"allow-for-ns,omitempty"` // 0 means until the request's deadline
	Executor   dispatch.EngineID  `json:"executor"`
	Ref        dispatch.RequestID `json:"ref"`
	Who        int64              `json:"who"`
}

type wireAssignTerms struct {
	AllotMB     float64            `json:"allot-mb"`
	Ref         dispatch.RequestID `json:"ref"`
	WeightClass int                `json:"weight-class"`
	Who         int64              `json:"who"`
}

type wireCancel struct {
	Hop int                `json:"hop"`
	Ref dispatch.RequestID `json:"ref"`
	Who int64              `json:"who"`
}

type wirePushBack struct {
	NotBeforeForNS int64              `json:"not-before-for-ns,omitempty"` // 0 means no advice on when to retry
	Ref            dispatch.RequestID `json:"ref"`
	Who            int64              `json:"who"`
}

type wireError struct {
	Ref dispatch.RequestID `json:"ref"`
	Who int64              `json:"who"`
}

type wireFollow struct {
	On  bool  `json:"on"`
	Who int64 `json:"who"`
}

type wireSchedule struct {
	DelayNS int64 `json:"delay-ns"`
	Tag     int64 `json:"tag"`
	Who     int64 `json:"who"`
}

// encodeAction converts an action of the instance with the number who to its encoded form.
func encodeAction(who int64, action dispatch.Action) wireAction {
	switch action := action.(type) {
	case dispatch.StartAttempt:
		return wireAction{Dispatch: &wireDispatch{
			AllowForNS: int64(action.Timeout), Executor: action.Engine, Ref: action.Request, Who: who,
		}}
	case dispatch.SetResources:
		return wireAction{AssignTerms: &wireAssignTerms{
			AllotMB: action.GrantMB, Ref: action.Request, WeightClass: action.Priority, Who: who,
		}}
	case dispatch.CancelAttempt:
		return wireAction{Cancel: &wireCancel{Hop: action.Attempt, Ref: action.Request, Who: who}}
	case dispatch.Reject:
		return wireAction{PushBack: &wirePushBack{
			NotBeforeForNS: max(int64(action.RetryAfter), 0), Ref: action.Request, Who: who,
		}}
	case dispatch.FailRequest:
		return wireAction{Error: &wireError{Ref: action.Request, Who: who}}
	case dispatch.Subscribe:
		return wireAction{Follow: &wireFollow{On: true, Who: who}}
	case dispatch.SetTimer:
		return wireAction{Schedule: &wireSchedule{DelayNS: int64(action.After), Tag: action.Tag, Who: who}}
	}
	return wireAction{}
}
