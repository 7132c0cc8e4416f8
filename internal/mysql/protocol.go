package mysql

// What this server announces to clients in the greeting, and the account of their login.
const (
	user            = "app"
	database        = "warehouse"
	serverVersion   = "8.0.0-windflow"
	versionComment  = "windflow query router"
	nativePassword  = "mysql_native_password"
	protocolVersion = 10
	// salt is 20 bytes; the password is empty, so that the salt protects nothing.
	salt = "windflow-needs-no-pw"
	// saltHead is how many bytes of the salt are in the first part of the greeting.
	saltFirstPartLength = 8
)

// Capability flags.
const (
	capLongPassword     = 1 << 0
	capFoundRows        = 1 << 1
	capLongFlag         = 1 << 2
	capConnectWithDB    = 1 << 3
	capProtocol41       = 1 << 9
	capSSL              = 1 << 11
	capTransactions     = 1 << 13
	capSecureConnection = 1 << 15
	capPluginAuth       = 1 << 19
	capLenencAuth       = 1 << 21

	serverCaps = capLongPassword | capFoundRows | capLongFlag | capConnectWithDB | capProtocol41 |
		capTransactions | capSecureConnection | capPluginAuth
)

// Commands.
const (
	comQuit            = 0x01
	comInitDB          = 0x02
	comQuery           = 0x03
	comStatistics      = 0x09
	comPing            = 0x0e
	comResetConnection = 0x1f
)

// Values of packets' fields.
const (
	charsetUTF8MB4   = 45
	statusAutocommit = 2
	typeVarString    = 253
	headerOK         = 0x00
	headerNull       = 0xfb
	headerEOF        = 0xfe
	headerError      = 0xff
	// fixedColumnLength is the length of the fixed fields of a column definition.
	fixedColumnLength = 0x0c
)

// Sizes, in bytes.
const (
	headerLength = 4
	maxPacket    = 64 << 10
	// maxSessionBuffer bounds what a session may send ahead of its answer.
	maxSessionBuffer = 2*maxPacket + 2*headerLength
)

// Error codes.
const (
	errTooManyConnections = 1040 // rejected: a retry is harmless
	errHandshake          = 1043
	errAccessDenied       = 1045
	errUnknownCommand     = 1047
	errUnknownDatabase    = 1049
	errParse              = 1064
	errNoSuchThread       = 1094
	errUnknown            = 1105
	errPacketTooBig       = 1153
	errPacketOrder        = 1156
	errReadTimeout        = 1159
	errInterrupted        = 1317
	errTimeout            = 3024
)

// sqlStateGeneral is the SQLSTATE of codes that are not in sqlStates.
const sqlStateGeneral = "HY000"

// sqlStates are the SQLSTATEs of error codes.
var sqlStates = map[int]string{
	errTooManyConnections: "08004", errHandshake: "08S01", errAccessDenied: "28000",
	errUnknownCommand: "08S01", errUnknownDatabase: "42000", errParse: "42000", errPacketTooBig: "08S01",
	errPacketOrder: "08S01", errReadTimeout: "08S01", errInterrupted: "70100",
}
