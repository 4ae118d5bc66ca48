// Package filbertstile holds the entities and the interfaces of a weight
// distribution system for bursts: what operators configure, what the programs
// share, and the seams behind which behaviour varies. Implementations live in
// the packages below this one.
package filbertstile
