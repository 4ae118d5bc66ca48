// Package wire defines the messages that the processes of the system exchange. It
// is generated from wire.proto.
package wire

//go:generate protoc --go_out=../.. --go_opt=paths=source_relative -I ../.. ../../base/wire/wire.proto
