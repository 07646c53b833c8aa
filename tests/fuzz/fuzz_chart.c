/* Fuzzes the parser of state charts: a chart that is rejected must come with an error message. */

#include <libwlcore/state/state.h>

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size);

int LLVMFuzzerTestOneInput(const uint8_t *data, size_t size)
{
	const wl_chart_binding_t *binding = &wl_task_chart_binding;
	wl_chart_t *chart;
	wl_err_t err = {0};

	chart = wl_chart_load(binding, (wl_str_t){(const char *)data, size}, &err);
	if (!chart && err.text[0] == '\0')
		__builtin_trap();
	wl_chart_free(chart);
	return 0;
}
