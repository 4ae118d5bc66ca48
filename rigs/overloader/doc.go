// Package overloader tests the programs against clients that exceed the documented limits. Its
// tests start the real programs on loopback and check only what does not depend on the machine's
// speed: that the process lives, its peak memory, its open descriptors, and that it answers an
// ordinary request afterwards.
package overloader
