#ifndef WL_PRESET_H
#define WL_PRESET_H

#include <stdint.h>

/* Returns the value of an option, or its default, @otherwise, if the value is zero. */
static inline uint64_t wl_preset(uint64_t value, uint64_t otherwise)
{
	return value ? value : otherwise;
}

#endif
