/*
 * Fuzzes the file of settings, which also names the seeds and the other replicas. A refused file
 * comes with an error, an accepted one names peers that can be dialled, and a file that is refused
 * when it is read again leaves the settings in force as they were.
 */

#include <stdlib.h>
#include <sys/mman.h>
#include <unistd.h>

#include <daemon/settings.h>
#include <libwlnet/address.h>

#include "check.h"

#define SECRET "secret"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static char folder[64];
static int settings_fd; /* in memory: a disk takes far longer than the test */
static char charts[] = PROJECT_DIR "/charts";
static char *argv[] = {"wisterialeadd", "--peer-secret-file", SECRET, "--chart-dir",
		       charts,		"--data-dir",	      "data", NULL};
static const int argc = sizeof(argv) / sizeof(argv[0]) - 1;

static void settings_write(const void *bytes, size_t size)
{
	FUZZ_CHECK(ftruncate(settings_fd, 0) == 0);
	FUZZ_CHECK(pwrite(settings_fd, bytes, size, 0) == (ssize_t)size);
}

static void secret_write(void)
{
	FILE *file = fopen(SECRET, "wb");

	FUZZ_CHECK(file && fputs("0123456789abcdef0123456789abcdef", file) >= 0 &&
		   fclose(file) == 0);
}

static void folder_remove(void)
{
	close(settings_fd);
	unlink(SECRET);
	if (chdir("..") == 0)
		rmdir(folder);
}

static void folder_init(void)
{
	char path[64];

	snprintf(folder, sizeof(folder), "fuzz-settings.XXXXXX");
	FUZZ_CHECK(mkdtemp(folder) && chdir(folder) == 0);
	atexit(folder_remove);
	secret_write();
	settings_fd = memfd_create("settings", 0);
	FUZZ_CHECK(settings_fd >= 0);
	snprintf(path, sizeof(path), "/proc/self/fd/%d", settings_fd);
	setenv("WISTERIALEAD_SETTINGS", path, 1);
}

static void check_address(wl_str_t text)
{
	wl_address_t address;
	wl_err_t err;
	wl_str_t ip;
	wl_str_t port;
	uint64_t number = 0;

	FUZZ_CHECK(wl_address_parse(text, &address, &err));
	FUZZ_CHECK(wl_str_split_last(text, ':', &ip, &port) && wl_str_u64(port, &number));
	FUZZ_CHECK(number > 0);
}

static void check_accepted(const wl_settings_t *settings)
{
	wl_str_t rest = wl_buf_str(&settings->store_seeds);
	wl_str_t seed;

	FUZZ_CHECK(settings->name.len > 0);
	for (size_t i = 0; i < settings->store_count; i++)
		check_address(settings->stores[i].address);
	while (rest.len > 0) {
		wl_str_split(rest, ',', &seed, &rest);
		check_address(seed);
	}
}

/* The settings in force, which were read from a valid file, after a refused one. */
static void check_kept(const void *data, size_t size)
{
	static const char valid[] = "WISTERIALEAD_NAME=10.0.0.1\nWISTERIALEAD_AVAILABILITY_ZONE=a\n"
				    "WISTERIALEAD_ROLE=entry,store\n"
				    "WISTERIALEAD_PEER_LISTEN=10.0.0.1:7720\n"
				    "WISTERIALEAD_STORE_SEEDS=10.0.0.1:7720,10.0.0.2:7720\n";
	wl_settings_t settings = {0};
	wl_settings_t fresh = {0};
	wl_err_t err = {0};

	settings_write(valid, sizeof(valid) - 1);
	FUZZ_CHECK(wl_settings_read(argc, argv, &settings, &err));
	FUZZ_CHECK(wl_settings_check(&settings, &err));
	settings_write(data, size);
	if (!wl_settings_reread(&settings, &fresh, &err))
		FUZZ_CHECK(err.text[0] != '\0');
	FUZZ_CHECK(settings.seeds.count == 2);
	wl_settings_free(&fresh);
	wl_settings_free(&settings);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_settings_t settings = {0};
	wl_err_t err = {0};

	if (folder[0] == '\0')
		folder_init();
	settings_write(data, size);
	if (wl_settings_read(argc, argv, &settings, &err) && wl_settings_check(&settings, &err))
		check_accepted(&settings);
	else
		FUZZ_CHECK(err.text[0] != '\0');
	wl_settings_free(&settings);
	check_kept(data, size);
	return 0;
}
