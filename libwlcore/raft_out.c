/* Actions of the replicated log: construction and release. */

#include "raft.h"

#include <stdlib.h>

/*
 * wl_raft_persist_free - release what a change to stored state owns and zero it
 */
void wl_raft_persist_free(wl_raft_persist_t *persist)
{
	wl_record_free(&wl_raft_members_schema, &persist->members);
	wl_buf_free(&persist->snapshot);
	wl_list_free(&wl_raft_entry_schema, &persist->entries);
	*persist = (wl_raft_persist_t){0};
}
