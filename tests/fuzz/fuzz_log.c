/*
 * Fuzzes the reader of log files. The input replaces the first segment of an existing store;
 * opening the store must succeed or return an error message.
 */

#include <stdio.h>
#include <stdlib.h>
#include <sys/stat.h>
#include <unistd.h>
#include <dirent.h>
#include <string.h>

#include <libwlstore/store.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static char folder[64];

/* Removes the files of the folder whose names begin with a prefix. */
static void folder_clear(const char *prefix)
{
	struct dirent *entry;
	char path[512];
	DIR *dir = opendir(folder);

	while (dir && (entry = readdir(dir))) {
		if (strncmp(entry->d_name, prefix, strlen(prefix)) != 0)
			continue;
		snprintf(path, sizeof(path), "%s/%s", folder, entry->d_name);
		unlink(path);
	}
	if (dir)
		closedir(dir);
}

static void folder_remove(void)
{
	folder_clear("");
	rmdir(folder);
}

/* Finds the path of a log segment in the folder. */
static bool segment_find(char name[512])
{
	struct dirent *entry;
	DIR *dir = opendir(folder);
	bool found = false;

	while (dir && !found && (entry = readdir(dir))) {
		if (strncmp(entry->d_name, "log", 3) != 0)
			continue;
		snprintf(name, 512, "%s/%s", folder, entry->d_name);
		found = true;
	}
	if (dir)
		closedir(dir);
	return found;
}

static wl_store_t *store_open(wl_raft_saved_t *saved, wl_err_t *err)
{
	wl_store_options_t options = {.folder = wl_str_from(folder)};

	memset(saved, 0, sizeof(*saved));
	return wl_store_open(&options, saved, err);
}

/*
 * Writes a store with a vote and one entry, so that there is a segment to replace. It has no
 * founding record (group): opening it reads the segment and then returns an error.
 */
static void folder_write(void)
{
	wl_raft_persist_t persist = {.ticket = 1, .has_vote = true, .term = 1, .vote = 1};
	wl_raft_saved_t saved;
	wl_raft_entry_t *entry;
	wl_err_t err = {0};
	wl_store_t *store;

	mkdir(folder, 0700);
	store = store_open(&saved, &err);
	if (!store)
		abort();
	entry = wl_list_add(&wl_raft_entry_schema, &persist.entries);
	entry->index = 1;
	entry->term = 1;
	wl_buf_set(&entry->data, WL_STR("one"));
	if (!wl_store_write(store, &persist, &err) || !wl_store_sync(store, &err))
		abort();
	wl_store_close(store);
	wl_raft_saved_free(&saved);
	wl_raft_persist_free(&persist);
}

/*
 * Creates the store on the first call and returns the path of its segment. The store's identity and
 * vote are kept between inputs; each input replaces the segment.
 */
static const char *segment_name(void)
{
	static char name[512];

	if (name[0])
		return name;
	snprintf(folder, sizeof(folder), "fuzz-log.%d", (int)getpid());
	folder_write();
	atexit(folder_remove);
	if (!segment_find(name))
		abort();
	return name;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const char *name = segment_name();
	wl_raft_saved_t saved;
	wl_err_t err = {0};
	wl_store_t *store;
	FILE *file;

	folder_clear("log");
	file = fopen(name, "wb");
	if (!file || fwrite(data, 1, size, file) != size || fclose(file) != 0)
		abort();

	store = store_open(&saved, &err);
	if (!store && err.text[0] == '\0')
		__builtin_trap();
	if (store)
		wl_store_close(store);
	wl_raft_saved_free(&saved);
	return 0;
}
