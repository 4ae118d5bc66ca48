// Package filbertstile defines the types and interfaces of a weight
// distribution system for bursts: the operators' configuration, the data that
// the programs share, and the interfaces that have several implementations. The
// implementations are in the packages below this one.
package filbertstile
