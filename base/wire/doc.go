// Package wire holds the messages between the processes of the system,
// generated from wire.proto.
package wire

//go:generate protoc --go_out=. --go_opt=paths=source_relative -I ../.. ../../base/wire/wire.proto
