package dispatch

// engineUsage describes what this router runs on an engine, including its other process during a hot restart.
type engineUsage struct {
	threads          float64 // of queries of all classes except the preferred class
	preferredThreads float64
	work             float64 // estimated, in core seconds
	grantedMB        float64
	otherProcess     EngineUsage // part of the other process
	countedWarm      bool        // included in the sums over the warm engines
}

// add adds an attempt to the usage, or removes it if sign is -1.
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

// replaceOtherProcess replaces the part of the other process.
func (u *engineUsage) replaceOtherProcess(usage EngineUsage) {
	former := u.otherProcess
	u.otherProcess = usage
	u.threads = u.threads + usage.Threads - former.Threads
	u.preferredThreads = u.preferredThreads + usage.PreferredThreads - former.PreferredThreads
	u.work = max(u.work+usage.Work-former.Work, 0)
	u.grantedMB = max(u.grantedMB+usage.GrantedMB-former.GrantedMB, 0)
}

// own returns the usage of this process alone.
func (u *engineUsage) own(id EngineID) EngineUsage {
	return EngineUsage{
		ID:               id,
		Threads:          u.threads - u.otherProcess.Threads,
		PreferredThreads: u.preferredThreads - u.otherProcess.PreferredThreads,
		Work:             u.work - u.otherProcess.Work,
		GrantedMB:        u.grantedMB - u.otherProcess.GrantedMB,
	}
}
