#ifndef WL_CLOCK_H
#define WL_CLOCK_H

#include <stdint.h>

uint64_t wl_clock_ns(void);
uint64_t wl_clock_process_ms(void);
uint64_t wl_clock_thread_ms(void);

#endif
