package dispatch

// engineUsage is what this router has running on an engine, together with the other process of this router during a hot
// restart.
type engineUsage struct {
	threads          float64 // of queries of other than the preferred class
	preferredThreads float64
	work             float64 // estimated, in core seconds
	grantedMB        float64
	otherProcess     EngineUsage // the part of the other process
	countedWarm      bool        // it is in the sums over the warm engines
}

// add adds an attempt to the usage, or takes it off with sign -1.
func (u *engineUsage) add(a *attempt, sign float64) {
	threads := sign * float64(a.request.class.Threads)
	if a.preferred {
		u.preferredThreads += threads
	} else {
		u.threads += threads
	}
	u.work = max(u.work+sign*a.work, 0)
	u.grantedMB = max(u.grantedMB+sign*a.grantMB, 0)
}

// replaceOtherProcess replaces the usage of the other process.
func (u *engineUsage) replaceOtherProcess(usage EngineUsage) {
	former := u.otherProcess
	u.otherProcess = usage
	u.threads = u.threads + usage.Threads - former.Threads
	u.preferredThreads = u.preferredThreads + usage.PreferredThreads - former.PreferredThreads
	u.work = max(u.work+usage.Work-former.Work, 0)
	u.grantedMB = max(u.grantedMB+usage.GrantedMB-former.GrantedMB, 0)
}

// own is the usage of this process alone.
func (u *engineUsage) own(id EngineID) EngineUsage {
	return EngineUsage{
		ID:               id,
		Threads:          u.threads - u.otherProcess.Threads,
		PreferredThreads: u.preferredThreads - u.otherProcess.PreferredThreads,
		Work:             u.work - u.otherProcess.Work,
		GrantedMB:        u.grantedMB - u.otherProcess.GrantedMB,
	}
}
