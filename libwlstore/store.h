#ifndef WL_STORE_H
#define WL_STORE_H

#include <sys/types.h>

#include <libwlbase/err.h>
#include <libwlcore/raft/raft.h>

/* Files of one replica in its data folder: identity, group, vote, snapshot and log. */

/* Same as pwrite(2); tests replace it to simulate a full disk. */
typedef ssize_t (*wl_store_write_at_t)(int fd, const void *bytes, size_t len, off_t offset);

typedef struct wl_store_options {
	wl_str_t folder;
	uint64_t segment_bytes;	      /* size at which a new segment is started; 0: default */
	wl_store_write_at_t write_at; /* NULL: pwrite */
} wl_store_options_t;

typedef struct wl_store wl_store_t;

wl_store_t *wl_store_open(const wl_store_options_t *options, wl_raft_saved_t *saved, wl_err_t *err);
void wl_store_close(wl_store_t *store);
uint64_t wl_store_id(const wl_store_t *store);
bool wl_store_write(wl_store_t *store, const wl_raft_persist_t *persist, wl_err_t *err);
bool wl_store_sync(wl_store_t *store, wl_err_t *err);

#endif
