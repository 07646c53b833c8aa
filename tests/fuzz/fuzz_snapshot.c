/*
 * Fuzzes the reader of snapshots. The input is read as it is, and with one of its items a second
 * time: a snapshot that is refused comes with an error and leaves an empty state, and one that is
 * read is written again, and that is read as the same state.
 */

#include <stdio.h>
#include <stdlib.h>

#include <libwlcore/state/state.h>

#include "check.h"

#define HEAD_BYTES 5 /* kind and length of an item */
#define CHART	   PROJECT_DIR "/charts/task.json"

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static wl_state_t *state;

static void chart_read(wl_buf_t *text)
{
	char chunk[4096];
	FILE *file = fopen(CHART, "rb");
	size_t len;

	FUZZ_CHECK(file != NULL);
	while ((len = fread(chunk, 1, sizeof(chunk), file)) > 0)
		wl_buf_append(text, (wl_str_t){chunk, len});
	fclose(file);
}

static wl_chart_t *chart;

static void state_free(void)
{
	wl_state_free(state);
	wl_chart_free(chart);
}

static void state_init(void)
{
	wl_state_options_t options = {0};
	wl_buf_t text = {0};
	wl_err_t err;

	chart_read(&text);
	chart = wl_chart_load(&wl_task_chart_binding, wl_buf_str(&text), &err);
	wl_buf_free(&text);
	FUZZ_CHECK(chart != NULL);
	options.task_chart = chart;
	state = wl_state_new(&options, &err);
	FUZZ_CHECK(state != NULL);
	atexit(state_free);
}

static void check_read(wl_str_t bytes)
{
	wl_buf_t once = {0};
	wl_buf_t twice = {0};
	wl_err_t err = {0};

	if (!wl_state_unpack(state, bytes, &err)) {
		FUZZ_CHECK(err.text[0] != '\0');
		FUZZ_CHECK(wl_state_revision(state) == 0);
		return;
	}
	wl_state_pack(state, &once);
	FUZZ_CHECK(wl_state_unpack(state, wl_buf_str(&once), &err));
	wl_state_pack(state, &twice);
	FUZZ_CHECK(wl_str_equal(wl_buf_str(&once), wl_buf_str(&twice)));
	wl_buf_free(&once);
	wl_buf_free(&twice);
}

/* Returns the length of the item at a position; 0 if there is none. */
static size_t item_len(wl_str_t bytes, size_t at)
{
	size_t len = 0;

	if (bytes.len - at < HEAD_BYTES)
		return 0;
	for (size_t i = 1; i < HEAD_BYTES; i++)
		len |= (size_t)(unsigned char)bytes.at[at + i] << (8 * (i - 1));
	return len <= bytes.len - at - HEAD_BYTES ? HEAD_BYTES + len : 0;
}

static void check_twice(wl_str_t bytes)
{
	size_t wanted = bytes.len ? wl_str_hash(bytes, 1) % bytes.len : 0;
	wl_buf_t more = {0};
	size_t at = 0;
	size_t len;

	while ((len = item_len(bytes, at)) > 0 && at + len <= wanted)
		at += len;
	if (len == 0)
		return;
	wl_buf_append(&more, (wl_str_t){bytes.at, at + len});
	wl_buf_append(&more, (wl_str_t){bytes.at + at, bytes.len - at});
	check_read(wl_buf_str(&more));
	wl_buf_free(&more);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_str_t bytes = {(const char *)data, size};

	if (!state)
		state_init();
	check_read(bytes);
	check_twice(bytes);
	return 0;
}
