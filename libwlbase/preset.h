#ifndef WL_PRESET_H
#define WL_PRESET_H

#include <stdint.h>

/* An option's value, or its default where it is zero. */
static inline uint64_t wl_preset(uint64_t value, uint64_t otherwise)
{
	return value ? value : otherwise;
}

#endif
