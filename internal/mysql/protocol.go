package mysql

// Values in the greeting and of session variables, and the user and database of a login.
const (
	user            = "app"
	database        = "warehouse"
	serverVersion   = "8.0.0-windflow"
	versionComment  = "windflow query router"
	nativePassword  = "mysql_native_password"
	protocolVersion = 10
	// salt has the 20 bytes that the protocol requires. It protects nothing, because the password is empty.
	salt = "windflow-needs-no-pw"
	// saltFirstPartLength is the number of bytes of the salt in the first of its two fields in the greeting.
	saltFirstPartLength = 8
)

// Capability flags of the server and of clients.
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

// Commands, the first byte of a command packet.
const (
	comQuit            = 0x01
	comInitDB          = 0x02
	comQuery           = 0x03
	comStatistics      = 0x09
	comPing            = 0x0e
	comResetConnection = 0x1f
)

// Values of fields in packets.
const (
	charsetUTF8MB4   = 45
	statusAutocommit = 2
	typeVarString    = 253
	headerOK         = 0x00
	headerNull       = 0xfb
	headerEOF        = 0xfe
	headerError      = 0xff
	// fixedColumnLength is the length in bytes of the fixed fields of a column definition.
	fixedColumnLength = 0x0c
)

// Packet and buffer sizes in bytes.
const (
	headerLength = 4
	maxPacket    = 64 << 10
	// maxSessionBuffer bounds what a session may buffer: two packets of the maximum length.
	maxSessionBuffer = 2*maxPacket + 2*headerLength
)

// Error codes of MySQL.
const (
	errTooManyConnections = 1040 // the request was rejected and did not run, so a retry is safe
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

// sqlStateGeneral is the SQLSTATE of an error code that is not in sqlStates.
const sqlStateGeneral = "HY000"

// sqlStates maps error codes to their SQLSTATEs.
var sqlStates = map[int]string{
	errTooManyConnections: "08004", errHandshake: "08S01", errAccessDenied: "28000",
	errUnknownCommand: "08S01", errUnknownDatabase: "42000", errParse: "42000", errPacketTooBig: "08S01",
	errPacketOrder: "08S01", errReadTimeout: "08S01", errInterrupted: "70100",
}
