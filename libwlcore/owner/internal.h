#ifndef WL_OWNER_INTERNAL_H
#define WL_OWNER_INTERNAL_H

#include <libwlbase/units.h>
#include <libwlbase/rng.h>
#include <libwlbase/heap.h>
#include <libwlcore/owner/evict.h>
#include <libwlcore/owner/health.h>
#include <libwlcore/owner/owner.h>
#include <libwlcore/owner/pairs.h>

/*
 * Types and functions shared by the files of the owner component.
 *
 * The leader grants a target to an entry, its owner, under an epoch.  The owner
 * adopts the target: it sends the epoch, and from its answer on the target refuses
 * lower epochs.  Work that earlier owners started there is taken over: attempts
 * are assigned to the new owner, requests only keep their reservations
 * (inherited) until they have ended.
 */

#define WL_NEVER_NS	     UINT64_MAX /* an unset deadline */
#define WL_THROTTLE_PERMILLE 300

typedef enum wl_target_state {
	WL_TARGET_UNADOPTED, /* granted to this entry, no announce received yet */
	WL_TARGET_ADOPTING,
	WL_TARGET_READY,
	WL_TARGET_SILENT,
	WL_TARGET_LEAVING,
	WL_TARGET_QUARANTINED,
	WL_TARGET_GONE, /* granted to another entry; requests of this one may still run there */
	WL_TARGET_STATES
} wl_target_state_t;

typedef enum wl_target_event {
	WL_TARGET_ANNOUNCED,
	WL_TARGET_ADOPTED,
	WL_TARGET_REBOOT, /* announced a boot id other than the adopted one */
	WL_TARGET_SILENCE,
	WL_TARGET_LEAVE, /* announced that it drains */
	WL_TARGET_STAY,	 /* announced that it does not drain */
	WL_TARGET_FAIL,	 /* its health demands quarantine */
	WL_TARGET_PROBE, /* its quarantine has ended; it is tried again */
	WL_TARGET_GRANT, /* granted to this entry under a new epoch */
	WL_TARGET_MOVED, /* granted to another entry */
	WL_TARGET_EVENTS
} wl_target_event_t;

extern const char *const wl_target_state_names[];

/* Context of the event that is being handled. */
typedef struct wl_owner_ctx {
	wl_owner_t *owner;
	uint64_t now_ns;
	wl_out_t *out;
} wl_owner_ctx_t;

typedef enum wl_attempt_phase {
	WL_ATTEMPT_WAITING, /* for capacity to be freed; nothing is reserved or sent yet */
	WL_ATTEMPT_STARTING,
	WL_ATTEMPT_RUNNING,
	WL_ATTEMPT_CHECKPOINTING,
	WL_ATTEMPT_CHECKPOINTED, /* stops once the checkpoint is committed */
	WL_ATTEMPT_STOPPING,
	WL_ATTEMPT_ENDED,  /* its final report is not committed yet */
	WL_ATTEMPT_ACKING, /* its report is committed; the target is sent an acknowledgement */
	WL_ATTEMPT_CLOSED, /* kept to answer a repeated assignment */
} wl_attempt_phase_t;

/* One attempt to run a task on a target. */
typedef struct wl_attempt {
	wl_str_t key; /* "task/attempt" */
	wl_buf_t key_text;
	wl_buf_t task;
	uint64_t number;
	struct wl_owned_target *owned; /* NULL: not on a target of this entry */
	wl_buf_t target;
	uint64_t epoch;
	wl_attempt_phase_t phase;
	wl_msg_assign_t *assign; /* NULL if adopted, or once the attempt has ended */
	wl_buf_t kind;
	uint64_t work_class;
	bool restartable;
	wl_need_t need;	    /* reserved for it when it is not throttled */
	wl_need_t reserved; /* what the ledger reserves for it now */
	bool uncertain;	    /* a start may have reached the target without an answer */
	bool started;	    /* the target is known to have run it */
	bool stop_wanted;
	bool evict_wanted; /* with stop_wanted: take a checkpoint first */
	bool throttled;
	uint64_t call_id; /* id of the command in flight; 0: none */
	uint64_t next_ns; /* when the next command is due */
	uint64_t retries;
	uint64_t echoed_seq;	 /* newest announce that a start command echoed */
	uint64_t listed_seq;	 /* newest announce that listed it */
	uint64_t phase_since_ns; /* when the present phase began */
	uint64_t progress_permille;
	uint64_t checkpoint_ran_ms; /* run time when the newest checkpoint was first seen */
	uint64_t slowdown_permille;
	uint64_t ran_ms;
	uint64_t peak_cpu_millis; /* largest usage reported */
	uint64_t peak_memory_mib;
	wl_buf_t result;
	wl_buf_t checkpoint;
	wl_report_t report; /* newest report to the leader */
	bool report_sent;
	bool report_pending;
	TAILQ_ENTRY(wl_attempt) target_link;
	TAILQ_ENTRY(wl_attempt) report_link;
	TAILQ_ENTRY(wl_attempt) closed_link;
} wl_attempt_t;

TAILQ_HEAD(wl_attempts, wl_attempt);

/* A target granted to this entry; the ledger has its capacity and reservations. */
typedef struct wl_owned_target {
	wl_str_t key;
	wl_owner_t *owner;
	wl_target_t *target;
	wl_heap_node_t due;
	uint64_t session;      /* session of this entry to which the target is granted */
	uint64_t granted_ns;   /* when the grant of the present epoch arrived */
	uint64_t adopted_boot; /* boot id adopted under the present epoch; 0: not adopted */
	wl_list_t assigned; /* wl_assignment_t: attempts on the target when the epoch was granted */
	uint64_t adopt_call_id;
	uint64_t adopt_next_ns;
	uint64_t adopt_retries;
	wl_need_t capacity; /* as announced */
	bool admitted;	    /* the target's state (WL_TARGET_*) admits new work */
	bool leaving;
	bool adopted_left;	     /* the adopted boot announced that it drains */
	bool overloaded;	     /* more is reserved than its capacity */
	bool leases_ended;	     /* every lease that may have been granted has expired */
	uint64_t inherited_requests; /* requests of earlier owners that still reserve capacity */
	uint64_t renew_call_id;
	uint64_t renew_seq;
	uint64_t renew_next_ns;
	uint64_t usage_taken_ns;   /* when the target measured its newest usage */
	uint64_t last_action_ns;   /* newest throttle or eviction */
	uint64_t last_pressure_ns; /* when urgent work last lacked capacity, or unthrottle() ran */
	uint64_t last_request_ns;  /* when the newest request ended */
	wl_buf_t last_service;	   /* service of that request */
	uint64_t request_slowdown_permille;
	uint64_t batch_slot_limit; /* slots that batch work reserved after the newest eviction */
	uint64_t last_eviction_ns; /* 0: batch work is not limited */
	uint64_t slot_regain_ns;   /* time without pressure after which batch work regains a slot */
	wl_health_t health;
	wl_offer_row_t offered; /* as last sent to the leader */
	uint64_t offered_ns;
	struct wl_attempts attempts;
	TAILQ_ENTRY(wl_owned_target) link;
} wl_owned_target_t;

typedef enum wl_owner_call_kind {
	WL_CALL_ADOPT,
	WL_CALL_START,
	WL_CALL_RENEW,
	WL_CALL_THROTTLE,
	WL_CALL_CHECKPOINT,
	WL_CALL_STOP,
	WL_CALL_ACK,
	WL_CALL_KINDS
} wl_owner_call_kind_t;

/* A command to a target that awaits its answer. */
typedef struct wl_owner_call {
	wl_str_t key; /* the bytes of id */
	uint64_t id;
	wl_owner_call_kind_t kind;
	wl_buf_t target;
	wl_buf_t attempt; /* key of the attempt; empty: none */
	uint64_t epoch;
	uint64_t boot;
	uint64_t seq;
	uint64_t cpu_permille;
	TAILQ_ENTRY(wl_owner_call) link;
} wl_owner_call_t;

struct wl_owner {
	wl_owner_options_t options;
	wl_rng_t rng;
	wl_map_t by_name;
	TAILQ_HEAD(wl_owned_targets, wl_owned_target) owned;
	wl_heap_t due;
	wl_map_t attempts;
	struct wl_attempts reports; /* attempts with a report that is not committed */
	struct wl_attempts closed;  /* oldest first */
	wl_map_t calls;
	TAILQ_HEAD(wl_owner_calls, wl_owner_call) open_calls;
	uint64_t next_call_id;
	uint64_t term;		   /* newest leader term seen */
	uint64_t view_index;	   /* newest ownership change applied */
	uint64_t session;	   /* newest session that was valid */
	uint64_t session_until_ns; /* end of its validity */
	uint64_t previous_session;
	uint64_t previous_session_until_ns;
	bool session_ok; /* whether the session was valid at the last check */
	bool reports_unsent;
	bool offers_due; /* a target has restarted: the leader is told before it places work */
	uint64_t report_next_ns;
	uint64_t offer_next_ns;
	uint64_t full_offer_next_ns;
	wl_buf_t offer_leader;
	uint64_t states[WL_TARGET_STATES]; /* number of targets in each state */
	const wl_evict_policy_t *eviction;
	wl_pairs_t pairs;
	wl_kinds_t kinds;
	wl_map_t pressure_by_service;
	TAILQ_HEAD(wl_pressures, wl_pressure) pressures;
};

/* owner.c */
wl_owned_target_t *wl_owner_find(const wl_owner_t *owner, wl_str_t target);
bool wl_owned_may_command(const wl_owned_target_t *owned, uint64_t now_ns);
bool wl_owned_may_renew(const wl_owned_target_t *owned, uint64_t now_ns);
void wl_owned_handle_event(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			   wl_target_event_t event);
void wl_owned_sync_ledger(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);
void wl_owned_schedule_now(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);

/* owned.c */
wl_owned_target_t *wl_owned_add(const wl_owner_ctx_t *ctx, const wl_owner_row_t *row);
void wl_owned_grant(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, const wl_owner_row_t *row);
void wl_owned_revoke(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);
void wl_owned_free(wl_owner_t *owner, wl_owned_target_t *owned);
void wl_owned_run(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);

/* announce.c */
void wl_owner_handle_call(const wl_owner_ctx_t *ctx, const wl_call_t *call);
void wl_owner_handle_announce(const wl_owner_ctx_t *ctx, const wl_announce_t *announce);

/* adopt.c */
void wl_owned_adopt(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);
void wl_owned_adopt_done(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			 const wl_owner_call_t *call, bool accepted,
			 const wl_target_answer_t *answer);
void wl_owned_set_inherited(wl_owned_target_t *owned, uint64_t requests);
uint64_t wl_owned_leases_end_ns(const wl_owned_target_t *owned);
void wl_owned_check_leases(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);

/* call.c */
uint64_t wl_owned_send_command(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			       wl_owner_call_kind_t kind, const wl_attempt_t *attempt,
			       wl_target_command_t *command);
void wl_owned_command_unassigned(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
				 wl_owner_call_kind_t kind, wl_str_t task, uint64_t number);
void wl_owner_handle_fetched(const wl_owner_ctx_t *ctx, const wl_fetched_t *fetched);
void wl_owner_calls_free(wl_owner_t *owner);

/* attempt.c */
wl_attempt_t *wl_attempt_find(const wl_owner_t *owner, wl_str_t task, uint64_t number);
wl_attempt_t *wl_attempt_add(wl_owner_t *owner, wl_owned_target_t *owned, wl_str_t task,
			     uint64_t number);
void wl_attempt_detach(wl_attempt_t *attempt);
void wl_attempt_enter(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_attempt_phase_t phase);
void wl_attempt_set_reserved(wl_attempt_t *attempt, const wl_need_t *need);
void wl_attempt_release(wl_attempt_t *attempt);
void wl_attempt_free(wl_owner_t *owner, wl_attempt_t *attempt);
void wl_attempt_close(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt);
void wl_attempt_end(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_report_kind_t kind,
		    wl_str_t reason);
void wl_owner_expire_closed(const wl_owner_ctx_t *ctx);

/* tasks.c */
void wl_owner_handle_assign(const wl_owner_ctx_t *ctx, const wl_msg_assign_t *assign);
void wl_owner_handle_stop(const wl_owner_ctx_t *ctx, const wl_msg_stop_t *stop);
void wl_attempt_stop(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, bool evict);
void wl_attempt_run(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt);
void wl_attempt_started(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt);
void wl_attempt_command_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			     const wl_owner_call_t *call, const wl_fetched_t *fetched,
			     const wl_target_answer_t *answer);

/* usage.c */
void wl_owned_update_attempts(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned,
			      const wl_list_t *tasks, uint64_t seq);
void wl_attempt_update(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
		       const wl_task_usage_t *usage);
void wl_owned_renew_leases(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);

/* report.c */
void wl_attempt_report(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, wl_report_kind_t kind,
		       wl_str_t reason);
void wl_attempt_resend_report(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt);
void wl_owner_handle_reported(const wl_owner_ctx_t *ctx, const wl_msg_reported_t *reported);
void wl_owner_send_reports(const wl_owner_ctx_t *ctx, bool all);

/* offer.c */
void wl_owner_send_offers(const wl_owner_ctx_t *ctx);
bool wl_owned_serves_requests(const wl_owned_target_t *owned, uint64_t now_ns);
void wl_owned_reserve_for_urgent(const wl_owner_ctx_t *ctx, const wl_owned_target_t *owned,
				 wl_need_t *need);

/* pressure.c */
void wl_owned_add_waiting(const wl_owned_target_t *owned, const wl_attempt_t *before,
			  wl_need_t *need);
bool wl_owned_reclaim_capacity(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);
uint64_t wl_owned_free_batch_slots(const wl_owned_target_t *owned, uint64_t now_ns);
uint64_t wl_owned_unthrottle_ns(const wl_owned_target_t *owned);
void wl_owned_relieve_overload(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned);
void wl_attempt_throttle(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, uint64_t cpu_permille);
void wl_attempt_throttle_done(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt,
			      uint64_t cpu_permille, bool certain);
void wl_attempt_update_throttled(const wl_owner_ctx_t *ctx, wl_attempt_t *attempt, bool throttled);
void wl_owner_pressures_free(wl_owner_t *owner);

/* observe.c */
void wl_owned_record_outcome(const wl_owner_ctx_t *ctx, wl_owned_target_t *owned, wl_str_t kind,
			     bool ok);

#endif
