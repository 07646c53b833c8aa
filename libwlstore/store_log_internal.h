#ifndef WL_STORE_LOG_INTERNAL_H
#define WL_STORE_LOG_INTERNAL_H

#include "store_log.h"

/* File format of the log's segments; numbers are little-endian. */

#define WL_SEGMENT_PREFIX     "log-"
#define WL_SEGMENT_NAME_BYTES 32
#define WL_SEGMENT_MAGIC      0x31534c57u /* "WLS1" */
#define WL_SEGMENT_VERSION    1
#define WL_FRAME_MAGIC	      0xf14d4c57u

typedef struct wl_segment_head {
	uint32_t magic;
	uint32_t version;
	uint64_t seq;
} wl_segment_head_t;

typedef struct wl_frame_head {
	uint32_t magic;
	uint32_t len; /* of the payload, bytes */
	uint64_t checksum;
} wl_frame_head_t;

extern const wl_schema_t wl_store_frame_schema;

void wl_segment_name(uint64_t seq, char name[WL_SEGMENT_NAME_BYTES]);
uint64_t wl_frame_checksum(uint64_t seq, wl_str_t payload);
wl_segment_t *wl_segment_add(wl_store_log_t *log, uint64_t seq);
bool wl_segment_open(wl_store_log_t *log, uint64_t size, wl_err_t *err);

#endif
