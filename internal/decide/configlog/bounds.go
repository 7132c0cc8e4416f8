package configlog

// Limits of what a Log accepts; sizes are in bytes of UTF-8. A change that exceeds a limit is rejected with
// configerror.Invalid.
const (
	MaxIDBytes       = 128      // a change's ID, a follower's name or its instance
	MaxNoteBytes     = 1024     // a change's note or the reason of a rejection
	MaxPointerBytes  = 512      // one JSON pointer
	MaxValueBytes    = 64 << 10 // one value in canonical form
	MaxChangeBytes   = 1 << 20  // all pointers and values of one change
	MaxDocumentBytes = 4 << 20  // all pointers and values of the document
	MaxEntries       = 50_000   // entries in the document
	MaxMembers       = 10_000   // followers, counted by name; AddMember ignores further ones
	MaxRememberedIDs = 4_096    // IDs of the latest changes, kept so that a repeated call is not applied twice
	maxValueDepth    = 64       // nested arrays and objects in a value
)
