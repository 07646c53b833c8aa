/* Bounded ring of pointers, based on Concurrency Kit, with an eventfd that wakes the receiver. */

#include "ring.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_pr.h>
#include <ck_ring.h>

/*
 * Concurrency Kit orders memory accesses by inline assembly, which the thread
 * sanitizer cannot see.  The annotations tell the sanitizer that a push of an item
 * happens before its pop, and to ignore accesses to the slots of the ring.
 */
#ifdef __SANITIZE_THREAD__
void AnnotateIgnoreReadsBegin(const char *file, int line);
void AnnotateIgnoreReadsEnd(const char *file, int line);
void AnnotateIgnoreWritesBegin(const char *file, int line);
void AnnotateIgnoreWritesEnd(const char *file, int line);
void __tsan_acquire(void *at);
void __tsan_release(void *at);

static void slots_begin(void)
{
	AnnotateIgnoreReadsBegin(__FILE__, __LINE__);
	AnnotateIgnoreWritesBegin(__FILE__, __LINE__);
}

static void slots_end(void)
{
	AnnotateIgnoreWritesEnd(__FILE__, __LINE__);
	AnnotateIgnoreReadsEnd(__FILE__, __LINE__);
}

static void item_release(void *item)
{
	__tsan_release(item);
}

static void item_acquire(void *item)
{
	__tsan_acquire(item);
}
#else
static void slots_begin(void)
{
}

static void slots_end(void)
{
}

static void item_release(void *item)
{
	(void)item;
}

static void item_acquire(void *item)
{
	(void)item;
}
#endif

struct wl_ring {
	struct ck_ring ring;
	struct ck_ring_buffer *buffer;
	uint32_t slots;
	unsigned int asleep; /* 1: the next push must write to the descriptor */
	int fd;
};

/*
 * wl_ring_new - create a ring
 * @slots: a power of two, at least 4; the ring holds one item less
 * @err: WL_E_BAD_INPUT, WL_E_IO
 *
 * Return: the ring, or NULL.
 */
wl_ring_t *wl_ring_new(uint32_t slots, wl_err_t *err)
{
	wl_ring_t *ring;
	int fd;

	if (slots < 4 || (slots & (slots - 1)) != 0) {
		wl_err_set(err, WL_E_BAD_INPUT, WL_NOT_RUN,
			   "ring of %u slots: must be a power of two, at least 4", slots);
		return NULL;
	}
	fd = eventfd(0, EFD_NONBLOCK | EFD_CLOEXEC);
	if (fd < 0) {
		wl_err_set(err, WL_E_IO, WL_NOT_RUN, "eventfd: %s", strerror(errno));
		return NULL;
	}

	ring = wl_alloc(sizeof(*ring));
	ring->buffer = wl_alloc(slots * sizeof(*ring->buffer));
	ring->slots = slots;
	ring->asleep = 1;
	ring->fd = fd;
	ck_ring_init(&ring->ring, slots);
	return ring;
}

/*
 * wl_ring_free - release a ring; the caller must release its items first
 */
void wl_ring_free(wl_ring_t *ring)
{
	if (!ring)
		return;
	close(ring->fd);
	free(ring->buffer);
	free(ring);
}

/*
 * wl_ring_push - append an item; thread-safe
 *
 * Return: false if the ring is full; the caller then keeps the item.
 */
bool wl_ring_push(wl_ring_t *ring, void *item)
{
	uint64_t one = 1;
	bool taken;

	item_release(item);
	slots_begin();
	taken = ck_ring_enqueue_mpsc(&ring->ring, ring->buffer, item);
	slots_end();
	if (!taken)
		return false;
	ck_pr_fence_memory();
	if (ck_pr_load_uint(&ring->asleep) == 0)
		return true;
	if (ck_pr_fas_uint(&ring->asleep, 0) == 0)
		return true;
	while (write(ring->fd, &one, sizeof(one)) < 0 && errno == EINTR)
		;
	return true;
}

/*
 * wl_ring_pop - remove the oldest item; only for the receiver's thread
 *
 * Return: the oldest item, or NULL if there is none.
 */
void *wl_ring_pop(wl_ring_t *ring)
{
	void *item;
	bool taken;

	slots_begin();
	taken = ck_ring_dequeue_mpsc(&ring->ring, ring->buffer, &item);
	slots_end();
	if (!taken)
		return NULL;
	item_acquire(item);
	return item;
}

/*
 * wl_ring_rearm - request that the next push make the descriptor readable
 *
 * Call it before the wl_ring_pop() that finds the ring empty, then poll
 * wl_ring_fd().
 */
void wl_ring_rearm(wl_ring_t *ring)
{
	uint64_t count;

	while (read(ring->fd, &count, sizeof(count)) < 0 && errno == EINTR)
		;
	ck_pr_store_uint(&ring->asleep, 1);
	ck_pr_fence_memory();
}

/*
 * wl_ring_wait - remove the oldest item, and wait for one if the ring is empty
 * @timeout_ms: maximum wait, milliseconds
 *
 * Return: the item, or NULL if none was pushed in time.
 */
void *wl_ring_wait(wl_ring_t *ring, int timeout_ms)
{
	struct pollfd wait = {.fd = ring->fd, .events = POLLIN};
	void *item = wl_ring_pop(ring);

	if (item)
		return item;
	wl_ring_rearm(ring);
	item = wl_ring_pop(ring);
	if (item)
		return item;
	poll(&wait, 1, timeout_ms);
	return wl_ring_pop(ring);
}

/*
 * wl_ring_fd - get the descriptor that becomes readable when an item is pushed
 */
int wl_ring_fd(const wl_ring_t *ring)
{
	return ring->fd;
}

/*
 * wl_ring_count - get the current number of items in the ring
 */
uint32_t wl_ring_count(const wl_ring_t *ring)
{
	return ck_ring_size(&ring->ring);
}

/*
 * wl_ring_room - get the current number of free slots in the ring
 */
uint32_t wl_ring_room(const wl_ring_t *ring)
{
	return ring->slots - 1 - ck_ring_size(&ring->ring);
}
