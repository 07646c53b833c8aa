/*
 * Memory that the connections of a listener hold.
 *
 * What a connection holds counts until it is closed or chosen to be closed.  Whole requests count
 * until they are answered, since the daemon keeps them for so long.
 */

#include "intake.h"

#include <string.h>

#include <libwlbase/units.h>

/* Kept free for requests that are small: one of so many parts of the limit. */
#define RESERVE_SHARE 4
/* Connections kept free for new callers: one of so many. */
#define SPARE_SHARE 8

const char *const wl_intake_phase_names[] = {"idle", "reading", "whole", "answering", NULL};

/*
 * wl_intake_init - initialize an empty account
 */
void wl_intake_init(wl_intake_t *intake, const wl_intake_options_t *options)
{
	memset(intake, 0, sizeof(*intake));
	intake->options = *options;
	TAILQ_INIT(&intake->connections);
}

static uint64_t held(const wl_intake_t *intake, const wl_intake_connection_t *connection)
{
	return intake->options.connection_bytes + connection->bytes;
}

/*
 * wl_intake_open - add a connection
 * @connection: zeroed; must stay in place until wl_intake_close()
 */
void wl_intake_open(wl_intake_t *intake, wl_intake_connection_t *connection, uint64_t now_ns)
{
	connection->since_ns = now_ns;
	intake->count++;
	intake->bytes += held(intake, connection);
	TAILQ_INSERT_TAIL(&intake->connections, connection, link);
}

/*
 * wl_intake_close - remove a connection that was closed
 */
void wl_intake_close(wl_intake_t *intake, wl_intake_connection_t *connection)
{
	if (connection->closing)
		intake->closing--;
	else
		intake->bytes -= held(intake, connection);
	intake->count--;
	TAILQ_REMOVE(&intake->connections, connection, link);
}

/*
 * wl_intake_hold - set what a connection holds beside its buffers
 */
void wl_intake_hold(wl_intake_t *intake, wl_intake_connection_t *connection, uint64_t bytes)
{
	if (!connection->closing)
		intake->bytes += bytes - connection->bytes;
	connection->bytes = bytes;
}

/*
 * wl_intake_phase_set - note the phase of a connection's request
 */
void wl_intake_phase_set(wl_intake_t *intake, wl_intake_connection_t *connection,
			 wl_intake_phase_t phase, uint64_t now_ns)
{
	(void)intake;
	if (phase == connection->phase)
		return;
	connection->phase = phase;
	connection->since_ns = now_ns;
}

/*
 * wl_intake_has_room - whether a connection may hold so many bytes
 *
 * Large requests leave a reserve to the small ones.
 */
bool wl_intake_has_room(const wl_intake_t *intake, const wl_intake_connection_t *connection,
			uint64_t bytes)
{
	uint64_t limit = intake->options.limit_bytes;

	if (bytes > intake->options.small_bytes)
		limit -= limit / RESERVE_SHARE;
	return intake->bytes + bytes - connection->bytes <= limit;
}

/*
 * wl_intake_is_crowded - whether too few connections are left for new callers
 */
bool wl_intake_is_crowded(const wl_intake_t *intake)
{
	size_t most = intake->options.max_connections;
	size_t spare = most / SPARE_SHARE;

	return intake->count - intake->closing > most - (spare ? spare : 1) ||
	       intake->bytes > intake->options.limit_bytes;
}

static bool may_be_closed(const wl_intake_connection_t *connection, bool answering)
{
	if (connection->closing)
		return false;
	return answering ? connection->phase == WL_INTAKE_ANSWERING
			 : connection->phase == WL_INTAKE_IDLE ||
				   connection->phase == WL_INTAKE_READING;
}

/* The connection that holds the most for the longest, by the product of both. */
static wl_intake_connection_t *heaviest(const wl_intake_t *intake, uint64_t now_ns, bool answering)
{
	wl_intake_connection_t *connection;
	wl_intake_connection_t *found = NULL;
	double most = -1;

	TAILQ_FOREACH (connection, &intake->connections, link) {
		double weight = (double)held(intake, connection) *
				(double)(now_ns - connection->since_ns + WL_NS_PER_MS);

		if (!may_be_closed(connection, answering) || weight <= most)
			continue;
		most = weight;
		found = connection;
	}
	return found;
}

/*
 * wl_intake_choose - choose the connection that is given up first
 *
 * Those whose request is incomplete come first, then those whose answer is not read.
 *
 * Return: NULL if all of them wait for their answer.
 */
wl_intake_connection_t *wl_intake_choose(wl_intake_t *intake, uint64_t now_ns)
{
	wl_intake_connection_t *found = heaviest(intake, now_ns, false);

	return found ? found : heaviest(intake, now_ns, true);
}

/*
 * wl_intake_give_up - note that a connection is being closed; what it holds counts no more
 */
void wl_intake_give_up(wl_intake_t *intake, wl_intake_connection_t *connection)
{
	if (connection->closing)
		return;
	connection->closing = true;
	intake->closing++;
	intake->closed[connection->phase]++;
	intake->bytes -= held(intake, connection);
}
