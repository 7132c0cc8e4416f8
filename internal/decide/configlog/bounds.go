package configlog

// Bounds of what a Log accepts, in bytes of UTF-8 unless said otherwise. A change beyond one is rejected with
// configerror.Invalid.
const (
	MaxIDBytes       = 128      // of a change's ID and of a follower's name
	MaxNoteBytes     = 1024     // of a change's note, and of the reason of a rejection
	MaxPointerBytes  = 512      // of one pointer
	MaxValueBytes    = 64 << 10 // of one value in its canonical form
	MaxChangeBytes   = 1 << 20  // of all pointers and values of one change
	MaxDocumentBytes = 4 << 20  // of all pointers and values of the document
	MaxEntries       = 50_000   // entries of the document
	MaxMembers       = 10_000   // names of followers
	MaxRememberedIDs = 4_096    // latest IDs that are remembered, so that a repeated call makes one change
	maxValueDepth    = 64       // lists and objects nested in a value
)
