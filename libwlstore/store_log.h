#ifndef WL_STORE_LOG_H
#define WL_STORE_LOG_H

#include <libwlcore/raft/raft.h>

#include "store.h"

/* Segments of the log.  Private to the store. */

typedef struct wl_segment {
	uint64_t seq;	     /* number in the file name; increases by one with each segment */
	uint64_t last_index; /* highest index ever written to it */
} wl_segment_t;

/* Record that the next sync appends, with one checksum. */
typedef struct wl_store_frame {
	uint64_t truncate_from; /* 0: none; entries from this index on in earlier frames are void */
	wl_list_t entries;	/* wl_raft_entry_t */
} wl_store_frame_t;

typedef struct wl_store_log {
	int folder_fd;
	wl_store_write_at_t write;
	wl_str_t folder;
	uint64_t segment_bytes;
	wl_segment_t *segments;
	size_t count;
	size_t capacity;
	int fd; /* of the last segment; -1: not open */
	uint64_t size;
	uint64_t next_seq;
	uint64_t stored_index; /* last entry in the files, after truncation */
	uint64_t last_index;   /* last entry, pending ones included */
	uint64_t snapshot_index;
	wl_store_frame_t pending;
} wl_store_log_t;

bool wl_store_log_open(wl_store_log_t *log, uint64_t snapshot_index, wl_list_t *entries,
		       wl_err_t *err);
void wl_store_log_close(wl_store_log_t *log);
void wl_store_log_truncate(wl_store_log_t *log, uint64_t from);
bool wl_store_log_append(wl_store_log_t *log, const wl_list_t *entries, wl_err_t *err);
bool wl_store_log_sync(wl_store_log_t *log, wl_err_t *err);
bool wl_store_log_compact(wl_store_log_t *log, uint64_t snapshot_index, wl_err_t *err);

#endif
