/* State charts: a chart that loads must take every event in every state. */

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
