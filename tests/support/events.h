#ifndef TESTS_EVENTS_H
#define TESTS_EVENTS_H

extern "C" {
#include <libwlbase/ring.h>
#include <libwlcore/model/event.h>
}

#include <chrono>
#include <memory>
#include <string>

struct EventFree {
	void operator()(wl_event_t *event) const
	{
		wl_event_free(event);
		free(event);
	}
};

using Event = std::unique_ptr<wl_event_t, EventFree>;

/* The receiving end of an event ring. */
class Events
{
      public:
	explicit Events(uint32_t slots = 1024)
	{
		wl_err_t err;

		ring = wl_ring_new(slots, &err);
	}
	~Events()
	{
		while (next(0))
			;
		wl_ring_free(ring);
	}
	Events(const Events &) = delete;
	Events &operator=(const Events &) = delete;

	/* The next event, or null after the timeout. */
	Event next(int timeout_ms = 5000)
	{
		auto until =
			std::chrono::steady_clock::now() + std::chrono::milliseconds(timeout_ms);

		for (;;) {
			auto left = std::chrono::duration_cast<std::chrono::milliseconds>(
				until - std::chrono::steady_clock::now());
			int wait_ms = left.count() > 0 ? static_cast<int>(left.count()) : 0;
			void *item = wl_ring_wait(ring, wait_ms);

			if (item || wait_ms == 0)
				return Event(static_cast<wl_event_t *>(item));
		}
	}

	wl_ring_t *ring;
};

inline wl_str_t str(const char *text)
{
	return wl_str_from(text);
}

inline wl_str_t str(const std::string &text)
{
	return {text.data(), text.size()};
}

inline std::string text(const wl_buf_t &buf)
{
	return std::string(buf.at ? buf.at : "", buf.len);
}

#endif
