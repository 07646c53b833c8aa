/*
 * Files with a checksum.
 *
 * A file consists of a header (magic number, version, length and checksum of the
 * rest) and one encoded record.  It is replaced atomically: written to a temporary
 * file, synced and renamed, and then the folder is synced.
 */

#include "store_file.h"

#include <endian.h>
#include <errno.h>
#include <fcntl.h>
#include <stdio.h>
#include <string.h>
#include <sys/stat.h>
#include <unistd.h>

#define FILE_MAGIC   0x31464c57u /* "WLF1" */
#define FILE_VERSION 1
#define FILE_MODE    0600
#define NAME_BYTES   64

typedef struct file_head {
	uint32_t magic;
	uint32_t version;
	uint64_t len;
	uint64_t checksum;
} file_head_t;

/*
 * wl_store_io_failed - set an error from errno after a failed call
 * @what: the failed operation
 *
 * Return: false.
 */
bool wl_store_io_failed(wl_str_t folder, const char *file, const char *what, wl_err_t *err)
{
	wl_code_t code = errno == ENOSPC || errno == EDQUOT ? WL_E_DISK_FULL : WL_E_IO;

	return wl_err_set(err, code, WL_UNKNOWN, WL_STR_FMT "/%s: %s: %s", WL_STR_ARG(folder), file,
			  what, strerrordesc_np(errno));
}

/*
 * wl_store_damaged - set an error for stored data that fails validation
 * @offset: in the file, bytes
 * @what: the failed check
 *
 * Return: false.
 */
bool wl_store_damaged(wl_str_t folder, const char *file, uint64_t offset, const char *what,
		      wl_err_t *err)
{
	return wl_err_set(err, WL_E_DAMAGED, WL_NOT_RUN, WL_STR_FMT "/%s: offset %llu: %s",
			  WL_STR_ARG(folder), file, (unsigned long long)offset, what);
}

/*
 * wl_store_write_all - write all bytes at an offset
 * @offset: in the file, bytes
 *
 * Return: false, with errno set, if not all bytes were written.
 */
bool wl_store_write_all(wl_store_write_at_t write_at, int fd, wl_str_t bytes, uint64_t offset)
{
	size_t done = 0;

	while (done < bytes.len) {
		ssize_t wrote =
			write_at(fd, bytes.at + done, bytes.len - done, (off_t)(offset + done));

		if (wrote < 0 && errno == EINTR)
			continue;
		if (wrote < 0)
			return false;
		if (wrote == 0) {
			errno = ENOSPC;
			return false;
		}
		done += (size_t)wrote;
	}
	return true;
}

static bool read_all(int fd, wl_buf_t *bytes)
{
	char chunk[65536];

	for (;;) {
		ssize_t got = read(fd, chunk, sizeof(chunk));

		if (got < 0 && errno == EINTR)
			continue;
		if (got <= 0)
			return got == 0;
		wl_buf_append(bytes, (wl_str_t){chunk, (size_t)got});
	}
}

/*
 * wl_store_read_file - read a whole file
 * @bytes: the content is appended
 * @exists: receives whether the file exists
 *
 * Return: false, with errno set, on a failure other than a missing file.
 */
bool wl_store_read_file(int folder_fd, const char *file, wl_buf_t *bytes, bool *exists)
{
	int fd = openat(folder_fd, file, O_RDONLY | O_CLOEXEC);
	bool ok;

	*exists = fd >= 0;
	if (fd < 0)
		return errno == ENOENT;
	ok = read_all(fd, bytes);
	close(fd);
	return ok;
}

static void temp_name(const char *file, char name[NAME_BYTES])
{
	snprintf(name, NAME_BYTES, "%s.tmp", file);
}

/*
 * wl_store_temp_remove - remove what a failed or killed wl_store_replace() left behind
 */
void wl_store_temp_remove(int folder_fd, const char *file)
{
	char name[NAME_BYTES];

	temp_name(file, name);
	unlinkat(folder_fd, name, 0);
}

/*
 * wl_store_replace - replace the content of a file durably and atomically
 *
 * After a failure the temporary file is removed: a full disk needs its space.
 *
 * Return: false, with errno set, on failure.
 */
bool wl_store_replace(wl_store_write_at_t write_at, int folder_fd, const char *file, wl_str_t bytes)
{
	char name[NAME_BYTES];
	int cause;
	bool ok;
	int fd;

	temp_name(file, name);
	fd = openat(folder_fd, name, O_WRONLY | O_CREAT | O_TRUNC | O_CLOEXEC, FILE_MODE);
	if (fd < 0)
		return false;
	ok = wl_store_write_all(write_at, fd, bytes, 0) && fsync(fd) == 0;
	if (close(fd) != 0)
		ok = false;
	ok = ok && renameat(folder_fd, name, folder_fd, file) == 0 && fsync(folder_fd) == 0;
	if (ok)
		return true;
	cause = errno;
	wl_store_temp_remove(folder_fd, file);
	errno = cause;
	return false;
}

/* The checksum includes the length, so that a flipped bit there is detected too. */
static uint64_t payload_checksum(wl_str_t payload)
{
	return wl_str_hash(payload, payload.len ^ FILE_VERSION);
}

/*
 * wl_checksummed_write - replace a file with a checksum
 * @err: WL_E_IO or WL_E_DISK_FULL, naming the file
 */
bool wl_checksummed_write(wl_store_write_at_t write_at, int folder_fd, wl_str_t folder,
			  const char *file, const wl_schema_t *schema, const void *record,
			  wl_err_t *err)
{
	wl_buf_t payload = {0};
	wl_buf_t bytes = {0};
	file_head_t head;
	bool ok;

	wl_record_pack(schema, record, &payload);
	head.magic = htole32(FILE_MAGIC);
	head.version = htole32(FILE_VERSION);
	head.len = htole64(payload.len);
	head.checksum = htole64(payload_checksum(wl_buf_str(&payload)));
	wl_buf_append(&bytes, (wl_str_t){(const char *)&head, sizeof(head)});
	wl_buf_append(&bytes, wl_buf_str(&payload));
	ok = wl_store_replace(write_at, folder_fd, file, wl_buf_str(&bytes));
	wl_buf_free(&payload);
	wl_buf_free(&bytes);
	return ok || wl_store_io_failed(folder, file, "replace", err);
}

static bool file_check(wl_str_t folder, const char *file, wl_str_t bytes, wl_str_t *payload,
		       wl_err_t *err)
{
	file_head_t head;

	if (bytes.len < sizeof(head))
		return wl_store_damaged(folder, file, bytes.len, "file ends within its header",
					err);
	memcpy(&head, bytes.at, sizeof(head));
	if (le32toh(head.magic) != FILE_MAGIC || le32toh(head.version) != FILE_VERSION)
		return wl_store_damaged(folder, file, 0, "unknown magic number or version", err);
	*payload = (wl_str_t){bytes.at + sizeof(head), bytes.len - sizeof(head)};
	if (le64toh(head.len) != payload->len)
		return wl_store_damaged(folder, file, bytes.len,
					"length differs from the one in the header", err);
	if (le64toh(head.checksum) != payload_checksum(*payload))
		return wl_store_damaged(folder, file, sizeof(head), "checksum mismatch", err);
	return true;
}

/*
 * wl_checksummed_read - read and verify a file with a checksum
 * @record: overwritten; empty if the file does not exist
 * @exists: receives whether the file exists
 * @err: WL_E_IO, or WL_E_DAMAGED naming file and offset
 */
bool wl_checksummed_read(int folder_fd, wl_str_t folder, const char *file,
			 const wl_schema_t *schema, void *record, bool *exists, wl_err_t *err)
{
	wl_buf_t bytes = {0};
	wl_str_t payload = {0};
	bool ok;

	memset(record, 0, schema->size);
	if (!wl_store_read_file(folder_fd, file, &bytes, exists)) {
		wl_buf_free(&bytes);
		return wl_store_io_failed(folder, file, "read", err);
	}
	if (!*exists)
		return true;
	ok = file_check(folder, file, wl_buf_str(&bytes), &payload, err);
	if (ok && !wl_record_unpack(schema, payload, record, NULL))
		ok = wl_store_damaged(folder, file, sizeof(file_head_t), "record cannot be decoded",
				      err);
	wl_buf_free(&bytes);
	return ok;
}
