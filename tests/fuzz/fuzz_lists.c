/*
 * Fuzzes the parser of the customer and plan lists. The input holds the customers, a NUL byte and
 * the plans. Every customer of accepted lists must have a plan; rejected lists must come with an
 * error message.
 */

#include <string.h>

#include <libwlcore/model/lists.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	wl_str_t customers;
	wl_str_t plans;
	wl_lists_t *lists;
	wl_err_t err = {0};

	wl_str_split((wl_str_t){(const char *)data, size}, '\0', &customers, &plans);
	lists = wl_lists_new(customers, plans, &err);
	if (!lists && err.text[0] == '\0')
		__builtin_trap();
	for (size_t i = 0; lists && i < wl_lists_customer_count(lists); i++)
		if (!wl_lists_plan_of(lists, wl_buf_str(&wl_lists_customer_at(lists, i)->name)))
			__builtin_trap();
	wl_lists_free(lists);
	return 0;
}
