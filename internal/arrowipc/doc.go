// Package arrowipc checks Arrow IPC messages of an untrusted peer before Arrow decodes them.
//
// Arrow's decoder allocates what a message declares: lengths of vectors, compressed buffers, column names that share
// bytes, nested types. A few changed bytes can therefore exhaust the memory of the process, or its stack, which no
// recover can stop. An Inspector accepts a message only if what Arrow builds from it stays within fixed limits,
// and replaces compressed buffers by uncompressed ones within a limit, so that Arrow decompresses nothing.
//
// The format is specified at https://arrow.apache.org/docs/format/Columnar.html, its tables in Schema.fbs and
// Message.fbs of the Arrow project.
package arrowipc
