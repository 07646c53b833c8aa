#ifndef WL_STORE_FILE_H
#define WL_STORE_FILE_H

#include <sys/types.h>

#include <libwlbase/record.h>

#include "store.h"

/* Files with a checksum that are replaced atomically.  Private to the store. */

bool wl_store_io_failed(wl_str_t folder, const char *file, const char *what, wl_err_t *err);
bool wl_store_damaged(wl_str_t folder, const char *file, uint64_t offset, const char *what,
		      wl_err_t *err);
bool wl_store_write_all(wl_store_write_at_t write_at, int fd, wl_str_t bytes, uint64_t offset);
bool wl_store_read_file(int folder_fd, const char *file, wl_buf_t *bytes, bool *exists);
void wl_store_temp_remove(int folder_fd, const char *file);
bool wl_store_replace(wl_store_write_at_t write_at, int folder_fd, const char *file,
		      wl_str_t bytes);
bool wl_checksummed_write(wl_store_write_at_t write_at, int folder_fd, wl_str_t folder,
			  const char *file, const wl_schema_t *schema, const void *record,
			  wl_err_t *err);
bool wl_checksummed_read(int folder_fd, wl_str_t folder, const char *file,
			 const wl_schema_t *schema, void *record, bool *exists, wl_err_t *err);

#endif
