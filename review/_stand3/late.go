package main

import "time"

func init() { cases["late"] = lateCase }

// lateCase names versions 2, 3 and 4 of the weights. The answer of the first write is lost, and a copy of
// it is executed 5 s later. Then all machines lose power.
func lateCase(k *kit) {
	m := startModels(k, "127.65")
	defer m.close()
	m.name(2) // the operator has repeated the write, whose first copy got no answer
	time.Sleep(time.Second)
	m.name(3)
	time.Sleep(time.Second)
	m.name(4)
	time.Sleep(3 * time.Second)
	if k.trouble {
		k.logf("the first copy of the write of version 2 is executed, 5 s after it was sent")
		m.write(2)
	}
	time.Sleep(6 * time.Second)
	m.judgeRecovery(func() {})
}
