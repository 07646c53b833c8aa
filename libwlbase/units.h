#ifndef WL_UNITS_H
#define WL_UNITS_H

#include <stdint.h>

#define WL_NS_PER_US UINT64_C(1000)
#define WL_NS_PER_MS UINT64_C(1000000)
#define WL_NS_PER_S  UINT64_C(1000000000)
#define WL_US_PER_MS UINT64_C(1000)
#define WL_MS_PER_S  UINT64_C(1000)
#define WL_PERMILLE  UINT64_C(1000)

#endif
