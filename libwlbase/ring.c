/*
 * Bounded ring of pointers, based on Concurrency Kit, with an eventfd that wakes the receiver.
 *
 * A sender reserves a slot and then stores its item there; the receiver stops at a slot without an
 * item.  Senders never wait for each other, as they do with ck_ring: one that is preempted between
 * the two steps, on a processor that it shares with the others, would make each of them spin for
 * a time slice, within which it is preempted in turn.
 */

#include "ring.h"

#include <errno.h>
#include <poll.h>
#include <stdlib.h>
#include <string.h>
#include <sys/eventfd.h>
#include <unistd.h>

#include <ck_md.h>
#include <ck_pr.h>

/*
 * Concurrency Kit orders memory accesses by inline assembly, which the thread
 * sanitizer cannot see.  The annotations tell the sanitizer that a push of an item
 * happens before its pop.
 */
#ifdef __SANITIZE_THREAD__
void __tsan_acquire(void *at);
void __tsan_release(void *at);

static void item_release(void *item)
{
	__tsan_release(item);
}

static void item_acquire(void *item)
{
	__tsan_acquire(item);
}
#else
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
	unsigned int reserved; /* by senders; slots are numbered from 0, and wrap around */
	char senders_only[CK_MD_CACHELINE - sizeof(unsigned int)];
	unsigned int taken;  /* by the receiver */
	unsigned int asleep; /* 1: the next push must write to the descriptor */
	char receiver_only[CK_MD_CACHELINE - 2 * sizeof(unsigned int)];
	void **items; /* NULL: free, or reserved and not stored yet */
	uint32_t slots;
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
	ring->items = wl_alloc(slots * sizeof(*ring->items));
	ring->slots = slots;
	ring->asleep = 1;
	ring->fd = fd;
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
	free(ring->items);
	free(ring);
}

/* Return: false if the ring is full. */
static bool slot_reserve(wl_ring_t *ring, unsigned int *slot)
{
	unsigned int at = ck_pr_load_uint(&ring->reserved);

	for (;;) {
		unsigned int seen = at;

		ck_pr_fence_load();
		if (at - ck_pr_load_uint(&ring->taken) < ring->slots - 1) {
			if (ck_pr_cas_uint_value(&ring->reserved, at, at + 1, &at))
				break;
			continue;
		}
		/* Full, unless the receiver took items that were reserved after the first load. */
		ck_pr_fence_load();
		at = ck_pr_load_uint(&ring->reserved);
		if (at == seen)
			return false;
	}
	*slot = at & (ring->slots - 1);
	return true;
}

/*
 * wl_ring_push - append an item; thread-safe, and never waits for another sender
 * @item: not NULL
 *
 * Return: false if the ring is full; the caller then keeps the item.
 */
bool wl_ring_push(wl_ring_t *ring, void *item)
{
	uint64_t one = 1;
	unsigned int slot;

	if (!slot_reserve(ring, &slot))
		return false;
	item_release(item);
	ck_pr_fence_release();
	ck_pr_store_ptr(&ring->items[slot], item);
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
 * Return: the oldest item, or NULL if there is none, or if its sender has not stored it yet.
 */
void *wl_ring_pop(wl_ring_t *ring)
{
	void **slot = &ring->items[ring->taken & (ring->slots - 1)];
	void *item = ck_pr_load_ptr(slot);

	if (!item)
		return NULL;
	ck_pr_fence_acquire();
	ck_pr_store_ptr(slot, NULL);
	ck_pr_fence_release();
	ck_pr_store_uint(&ring->taken, ring->taken + 1);
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
 * wl_ring_count - get the current number of items in the ring, with those being stored
 */
uint32_t wl_ring_count(const wl_ring_t *ring)
{
	unsigned int taken = ck_pr_load_uint(&ring->taken);

	ck_pr_fence_load();
	return ck_pr_load_uint(&ring->reserved) - taken;
}

/*
 * wl_ring_room - get the current number of free slots in the ring
 */
uint32_t wl_ring_room(const wl_ring_t *ring)
{
	uint32_t count = wl_ring_count(ring);

	return count < ring->slots - 1 ? ring->slots - 1 - count : 0;
}
