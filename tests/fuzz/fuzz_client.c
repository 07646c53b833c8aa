/*
 * Fuzzes what the client prints of answers. What it prints is bounded by the answer, and an error
 * answer gives an exit code of an error.
 */

#include <stdlib.h>
#include <sys/mman.h>
#include <sys/stat.h>
#include <unistd.h>

#include <cli/cli.h>

#include "check.h"

#define PRINTED_PER_BYTE  400 /* a row of two bytes has up to 16 columns */
#define PRINTED_MIN_BYTES 65536

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static int printed_fd = -1;
static int report_fd;

/* Standard output and standard error go to memory; the driver reports by the descriptor kept. */
static void streams_init(void)
{
	report_fd = dup(STDERR_FILENO);
	printed_fd = memfd_create("printed", 0);
	FUZZ_CHECK(report_fd >= 0 && printed_fd >= 0);
}

static off_t print(const wl_cli_settings_t *settings, const wl_fetched_t *fetched)
{
	struct stat printed;
	int out = dup(STDOUT_FILENO);
	wl_exit_t code;

	FUZZ_CHECK(ftruncate(printed_fd, 0) == 0 && lseek(printed_fd, 0, SEEK_SET) == 0);
	fflush(stdout);
	dup2(printed_fd, STDOUT_FILENO);
	dup2(printed_fd, STDERR_FILENO);
	wl_cli_print(settings, wl_buf_str(&fetched->body));
	code = wl_cli_error(fetched);
	fflush(stdout);
	dup2(out, STDOUT_FILENO);
	dup2(report_fd, STDERR_FILENO);
	close(out);
	FUZZ_CHECK(code != WL_EXIT_OK);
	FUZZ_CHECK(fstat(printed_fd, &printed) == 0);
	return printed.st_size;
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_fetched_t fetched = {.status = 400, .complete = true};
	wl_cli_settings_t settings = {0};

	if (printed_fd < 0)
		streams_init();
	wl_buf_set(&fetched.body, (wl_str_t){(const char *)data, size});
	for (int i = 0; i < 2; i++) {
		settings.json = i;
		FUZZ_CHECK((size_t)print(&settings, &fetched) <=
			   PRINTED_MIN_BYTES + PRINTED_PER_BYTE * size);
	}
	wl_buf_free(&fetched.body);
	return 0;
}
