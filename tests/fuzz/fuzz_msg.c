/*
 * Fuzzes the decoder of peer messages. A message that decodes must encode to bytes that decode
 * again, and the second encoding must equal the first.
 */

#include <stdlib.h>

#include <libwlcore/model/cmd.h>
#include <libwlcore/model/msg.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

static void check_command(const wl_msg_t *msg)
{
	wl_cmd_t cmd;
	wl_err_t err;

	if (msg->kind == WL_MSG_COMMAND &&
	    wl_cmd_unpack(wl_buf_str(&msg->u.command.cmd), &cmd, &err))
		wl_cmd_free(&cmd);
}

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_buf_t once = {0};
	wl_buf_t twice = {0};
	wl_msg_t msg;
	wl_msg_t back;
	wl_err_t err;

	if (!wl_msg_unpack((wl_str_t){(const char *)data, size}, &msg, &err))
		return 0;
	check_command(&msg);
	wl_msg_pack(&msg, &once);
	if (!wl_msg_unpack(wl_buf_str(&once), &back, &err))
		abort();
	wl_msg_pack(&back, &twice);
	if (!wl_str_equal(wl_buf_str(&once), wl_buf_str(&twice)))
		abort();
	wl_msg_free(&msg);
	wl_msg_free(&back);
	wl_buf_free(&once);
	wl_buf_free(&twice);
	return 0;
}
