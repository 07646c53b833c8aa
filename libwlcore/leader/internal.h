#ifndef WL_LEADER_INTERNAL_H
#define WL_LEADER_INTERNAL_H

#include <sys/queue.h>

#include <libwlbase/units.h>
#include <libwlbase/rng.h>

#include "leader.h"
#include <libwlcore/place/place.h>
#include <libwlcore/state/internal.h>

/*
 * The leader's own, unreplicated record of a session.  Sending a view advances revision and
 * owners_index; if the view is lost, the next renewal sets them back and the view is sent again.
 */
typedef struct wl_leader_session {
	uint64_t id;
	wl_buf_t entry;
	wl_buf_t availability_zone;
	uint64_t renewed_ns;   /* when its latest renewal was received */
	uint64_t acked;	       /* highest list revision it has acknowledged */
	uint64_t revision;     /* list revision last received in a renewal or sent in a view */
	uint64_t owners_index; /* ownership index, likewise */
	bool draining;
	bool renewed;  /* has renewed with this leader, so revision and owners_index are known */
	bool view_due; /* a view is due: the members or the leader changed */
	bool ending;   /* its end has been proposed */
	size_t owned;  /* targets it owns, including grants in flight */
	TAILQ_ENTRY(wl_leader_session) link;
} wl_leader_session_t;

typedef enum wl_proposal_kind {
	WL_PROPOSAL_COMMAND, /* sent by an entry */
	WL_PROPOSAL_CANCEL,
	WL_PROPOSAL_OPEN,
	WL_PROPOSAL_END,
	WL_PROPOSAL_OWN,
	WL_PROPOSAL_FORGET,
	WL_PROPOSAL_ASSIGN,
	WL_PROPOSAL_REPORT,
	WL_PROPOSAL_REJECT,
	WL_PROPOSAL_KINDS
} wl_proposal_kind_t;

/* A call that is answered when its proposal is committed or dropped. */
typedef struct wl_waiter {
	wl_buf_t peer;
	uint64_t call;
	wl_buf_t customer; /* CANCEL */
	wl_list_t tasks;   /* CANCEL: task ids (strings) */
	TAILQ_ENTRY(wl_waiter) link;
} wl_waiter_t;

TAILQ_HEAD(wl_waiters, wl_waiter);

/* A command that was proposed to the log and is not yet committed or dropped. */
typedef struct wl_proposal {
	wl_str_t key; /* the bytes of tag */
	uint64_t tag;
	wl_proposal_kind_t kind;
	wl_buf_t name; /* OPEN: entry; OWN, FORGET: target */
	wl_msg_renew_t renew;
	uint64_t session; /* END, OWN */
	struct wl_waiters waiters;
	wl_list_t reports; /* REPORT: wl_report_head_t */
	TAILQ_ENTRY(wl_proposal) link;
} wl_proposal_t;

/* Identifies a report in a proposal, so that its sender is answered after the commit. */
typedef struct wl_report_head {
	wl_buf_t peer;
	wl_buf_t task;
	uint64_t attempt;
	uint64_t kind;
} wl_report_head_t;

extern const wl_schema_t wl_report_head_schema;

/* A list change that is not yet in force on all entries; the delay is measured. */
typedef struct wl_leader_change {
	uint64_t revision;
	uint64_t applied_ns;
	TAILQ_ENTRY(wl_leader_change) link;
} wl_leader_change_t;

TAILQ_HEAD(wl_leader_attempts, wl_leader_attempt);

/* The latest attempt of a task, from the choice of its target to its end. */
typedef struct wl_leader_attempt {
	wl_str_t key; /* task id */
	wl_buf_t task;
	uint64_t attempt;
	bool proposed; /* its assignment is proposed but not yet committed */
	bool may_evict;
	uint64_t sent_ns;
	wl_place_load_t load;
	struct wl_leader_attempts *list;
	TAILQ_ENTRY(wl_leader_attempt) link;
} wl_leader_attempt_t;

struct wl_leader {
	wl_leader_options_t options;
	wl_buf_t entry;
	wl_list_t replicas; /* strings: names of the group's members */
	wl_state_t *state;
	bool leading;
	uint64_t term;
	uint64_t group;
	uint64_t leading_since_ns; /* start of leadership */
	uint64_t expiry_base_ns;   /* earliest time from which session expiry is measured */
	uint64_t last_tick_ns;	   /* time of the last tick */
	uint64_t next_gauges_ns;
	uint64_t clock_base_ms; /* group clock at the start of leadership */
	uint64_t next_tag;
	wl_map_t by_tag;
	TAILQ_HEAD(wl_proposals, wl_proposal) proposals;
	uint64_t in_flight[WL_PROPOSAL_KINDS];

	TAILQ_HEAD(wl_leader_sessions, wl_leader_session) sessions;
	TAILQ_HEAD(wl_leader_changes, wl_leader_change) changes;

	bool grants_due;  /* a target may have no owner */
	bool counts_due;  /* the per-session target counts must be recomputed */
	bool balance_due; /* the sessions changed since targets were last found balanced */
	uint64_t next_balance_ns;
	uint64_t next_forget_ns;

	struct wl_waiters cancels;
	wl_cmd_task_report_t reports; /* proposed at the next tick */
	wl_list_t report_heads;	      /* wl_report_head_t, in the same order as reports */

	wl_place_t *place;
	wl_map_t by_attempt;
	struct wl_leader_attempts unsent; /* a message is due now */
	struct wl_leader_attempts sent;	  /* awaiting an answer, least recently sent first */
	struct wl_leader_attempts idle;	  /* no message is due */
	bool place_due;			  /* capacity or queues changed since the last round */
	uint64_t next_place_ns;
	uint64_t next_batch_ns;
};

/* leader.c */
wl_proposal_t *wl_leader_propose(wl_leader_t *leader, uint64_t now_ns, wl_proposal_kind_t kind,
				 wl_cmd_t *cmd, wl_out_t *out);
void wl_waiter_add(struct wl_waiters *waiters, wl_str_t peer, uint64_t call);
void wl_waiters_clear(struct wl_waiters *waiters);

/* sessions.c */
void wl_leader_sessions_sync(wl_leader_t *leader, uint64_t now_ns);
void wl_leader_sessions_clear(wl_leader_t *leader);
wl_leader_session_t *wl_leader_session_find(wl_leader_t *leader, uint64_t id);
void wl_leader_renew(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		     const wl_msg_renew_t *renew, wl_out_t *out);
void wl_leader_opened(wl_leader_t *leader, uint64_t now_ns, const wl_proposal_t *proposal,
		      const wl_result_t *result, wl_out_t *out);
void wl_leader_sessions_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out);
uint64_t wl_leader_min_acked(const wl_leader_t *leader);
bool wl_leader_in_force(const wl_leader_t *leader, uint64_t revision);
void wl_leader_change_applied(wl_leader_t *leader, uint64_t now_ns, uint64_t revision);

/* owners.c */
void wl_leader_announce(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
			const wl_announce_t *announce, wl_out_t *out);
void wl_leader_owners_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out);

/* tasks.c */
void wl_leader_tasks_rebuild(wl_leader_t *leader, uint64_t now_ns);
void wl_leader_tasks_clear(wl_leader_t *leader);
void wl_leader_report(wl_leader_t *leader, wl_str_t peer, const wl_msg_report_t *report,
		      wl_out_t *out);
void wl_leader_cancel(wl_leader_t *leader, wl_str_t peer, uint64_t call,
		      const wl_cmd_task_cancel_t *cancel);
void wl_leader_tasks_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out);
void wl_leader_assigned(wl_leader_t *leader);
void wl_leader_reported(wl_leader_t *leader, uint64_t now_ns, const wl_cmd_task_report_t *cmd,
			wl_out_t *out);
void wl_leader_reports_answer(const wl_proposal_t *proposal, wl_out_t *out);
void wl_leader_cancelled(wl_leader_t *leader, const wl_cmd_task_cancel_t *cmd);

/* placement.c */
void wl_leader_offer(wl_leader_t *leader, uint64_t now_ns, wl_str_t peer,
		     const wl_msg_offer_t *offer);
void wl_leader_place_tick(wl_leader_t *leader, uint64_t now_ns, wl_out_t *out);
wl_leader_attempt_t *wl_leader_attempt_find(const wl_leader_t *leader, wl_str_t task);
wl_leader_attempt_t *wl_leader_attempt_add(wl_leader_t *leader, const wl_task_t *task,
					   uint64_t number, wl_str_t target, const wl_need_t *need);
void wl_leader_attempt_try(wl_leader_attempt_t *attempt, const wl_task_t *task, uint64_t now_ns);
void wl_leader_attempt_remove(wl_leader_t *leader, wl_leader_attempt_t *attempt);
void wl_leader_attempt_move(wl_leader_attempt_t *attempt, struct wl_leader_attempts *list);

/* status.c */
typedef struct wl_leader_counts {
	uint64_t sessions;
	uint64_t targets;
	uint64_t targets_without_owner;
	uint64_t queued[WL_CLASSES];
	uint64_t placed;
	uint64_t ended;
} wl_leader_counts_t;

void wl_leader_count(const wl_leader_t *leader, wl_leader_counts_t *counts);
void wl_leader_count_wait(const wl_leader_t *leader, const wl_task_t *task);
void wl_leader_count_end(const wl_leader_t *leader, const wl_task_t *task);
void wl_leader_count_crash(const wl_leader_t *leader, const wl_task_t *task, wl_out_t *out);
void wl_leader_status_tick(wl_leader_t *leader, uint64_t now_ns);
void wl_leader_status_clear(wl_leader_t *leader);

/* query.c */
void wl_leader_query(const wl_leader_t *leader, uint64_t now_ns, const wl_msg_query_t *query,
		     wl_result_t *result);

#endif
