//go:build cgo

package main

// The Go runtime lets SIGHUP end the process until receiveHangups is called, which is after the initialization
// of all packages. It keeps the signal ignored if it finds it so. Constructors run before the runtime; only
// those of glibc receive the arguments.

/*
#include <signal.h>
#include <string.h>

#ifdef __GLIBC__
__attribute__((constructor)) static void ignore_hangup(int argc, char **argv) {
	if (argc > 1 && strcmp(argv[1], "gateway") == 0)
		signal(SIGHUP, SIG_IGN);
}
#endif
*/
import "C"
