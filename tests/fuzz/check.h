#ifndef FUZZ_CHECK_H
#define FUZZ_CHECK_H

#include <stdio.h>
#include <stdlib.h>

/* Ends the process if a condition does not hold; the driver then prints the input. */
#define FUZZ_CHECK(condition)                                                           \
	do {                                                                            \
		if (!(condition)) {                                                     \
			fprintf(stderr, "%s:%d: %s\n", __FILE__, __LINE__, #condition); \
			abort();                                                        \
		}                                                                       \
	} while (0)

#endif
