#include "raft_bus.h"

#include <algorithm>
#include <sstream>

static const uint64_t TICK_NS = 10 * MS;
static const uint64_t FULL_RETRY_NS = 200 * MS;
static const uint64_t MAX_DELAY_NS = 6000 * MS;

static wl_str_t view(const std::string &text)
{
	return {text.data(), text.size()};
}

static std::string text(const wl_buf_t &buf)
{
	return buf.at ? std::string(buf.at, buf.len) : std::string();
}

FakeDisk::~FakeDisk()
{
	wl_raft_saved_free(&stored);
}

uint64_t FakeDisk::last_index() const
{
	return stored.snapshot_index + stored.entries.count;
}

const wl_raft_entry_t *FakeDisk::entry(uint64_t index) const
{
	if (index <= stored.snapshot_index || index > last_index())
		return nullptr;
	return static_cast<wl_raft_entry_t *>(stored.entries.items) +
	       (index - stored.snapshot_index - 1);
}

void FakeDisk::compact(const wl_raft_persist_t &persist)
{
	wl_list_t kept = {};

	for (uint64_t i = persist.snapshot_index + 1; i <= last_index(); i++)
		wl_record_copy(&wl_raft_entry_schema, wl_list_add(&wl_raft_entry_schema, &kept),
			       entry(i));
	wl_list_free(&wl_raft_entry_schema, &stored.entries);
	stored.entries = kept;
	stored.snapshot_index = persist.snapshot_index;
	stored.snapshot_term = persist.snapshot_term;
	wl_buf_set(&stored.snapshot, wl_buf_str(&persist.snapshot));
}

void FakeDisk::apply(const wl_raft_persist_t &persist)
{
	auto *added = static_cast<const wl_raft_entry_t *>(persist.entries.items);

	if (persist.has_members || persist.has_snapshot) {
		wl_record_free(&wl_raft_members_schema, &stored.members);
		wl_record_copy(&wl_raft_members_schema, &stored.members, &persist.members);
	}
	if (persist.has_vote) {
		stored.term = persist.term;
		stored.vote = persist.vote;
	}
	while (persist.truncate_from && last_index() >= persist.truncate_from &&
	       stored.entries.count) {
		auto *items = static_cast<wl_raft_entry_t *>(stored.entries.items);
		wl_record_free(&wl_raft_entry_schema, &items[--stored.entries.count]);
	}
	if (persist.has_snapshot)
		compact(persist);
	for (size_t i = 0; i < persist.entries.count; i++)
		wl_record_copy(&wl_raft_entry_schema,
			       wl_list_add(&wl_raft_entry_schema, &stored.entries), &added[i]);
}

void FakeDisk::copy_to(wl_raft_saved_t *saved) const
{
	*saved = {};
	saved->term = stored.term;
	saved->vote = stored.vote;
	wl_record_copy(&wl_raft_members_schema, &saved->members, &stored.members);
	saved->snapshot_index = stored.snapshot_index;
	saved->snapshot_term = stored.snapshot_term;
	if (stored.snapshot.len)
		wl_buf_set(&saved->snapshot, wl_buf_str(&stored.snapshot));
	for (uint64_t i = stored.snapshot_index + 1; i <= last_index(); i++)
		wl_record_copy(&wl_raft_entry_schema,
			       wl_list_add(&wl_raft_entry_schema, &saved->entries), entry(i));
}

RaftBus::RaftBus(uint64_t seed) : random(seed)
{
}

RaftBus::~RaftBus()
{
	for (auto &item : nodes)
		crash(item.first);
}

void RaftBus::record_fault(const std::string &what)
{
	if (fault.empty())
		fault = "at " + std::to_string(now_ns / MS) + "ms: " + what;
}

BusNode &RaftBus::node(const std::string &name)
{
	return nodes.at(name);
}

void RaftBus::add(const std::vector<std::string> &all)
{
	names = all;
	for (const auto &name : all) {
		nodes[name].name = name;
		wipe(name);
	}
}

void RaftBus::wipe(const std::string &name)
{
	nodes[name].disk = std::make_unique<FakeDisk>();
	nodes[name].disk->id = next_id++ * 1000 + name.back();
}

void RaftBus::start(const std::string &name)
{
	BusNode &it = node(name);
	std::vector<wl_str_t> peers;
	wl_raft_options_t options = {};
	wl_raft_saved_t saved;
	wl_err_t err = {};

	for (const auto &peer : seeds.empty() ? names : seeds)
		peers.push_back(view(peer));
	options.max_voters = max_voters;
	options.never_found = never_found.count(name) > 0;
	options.replace_ms = replace_ms;
	options.id = it.disk->id;
	options.name = view(name);
	options.peers = peers.data();
	options.peer_count = peers.size();
	options.compact_entries = compact_entries;
	options.snapshot_chunk_bytes = chunk_bytes;
	options.seed = random();
	if (on_start)
		on_start(it);
	it.disk->copy_to(&saved);
	it.state.clear();
	it.applied = 0;
	it.raft = wl_raft_new(&options, &saved, now_ns, &err);
	if (!it.raft)
		record_fault(name + " does not start: " + err.text);
	wl_raft_saved_free(&saved);
}

void RaftBus::crash(const std::string &name)
{
	BusNode &it = node(name);

	if (it.raft && on_crash)
		on_crash(it);
	wl_raft_free(it.raft);
	it.raft = nullptr;
	for (auto &persist : it.persists)
		wl_raft_persist_free(&persist.second);
	it.persists.clear();
}

void RaftBus::cut(const std::string &a, const std::string &b)
{
	cut_one_way(a, b);
	cut_one_way(b, a);
}

void RaftBus::cut_one_way(const std::string &from, const std::string &to)
{
	cuts.insert({from, to});
}

void RaftBus::heal()
{
	cuts.clear();
}

bool RaftBus::is_cut(const std::string &from, const std::string &to) const
{
	return cuts.count({from, to}) != 0;
}

void RaftBus::send(const BusNode &from, const wl_raft_action_t &action)
{
	std::string to = text(action.name);
	wl_buf_t bytes = {};
	uint32_t copies = 1;

	if (random() % 1000 < drop_permille)
		copies = 0;
	else if (random() % 1000 < duplicate_permille)
		copies = 2;
	wl_record_pack(&wl_raft_msg_schema, &action.msg, &bytes);
	for (uint32_t i = 0; i < copies; i++) {
		uint64_t late = jitter_ns ? random() % jitter_ns : 0;

		if (delayed_permille && random() % 1000 < delayed_permille)
			late = random() % MAX_DELAY_NS;
		in_flight.push_back(
			{now_ns + delay_ns + late, order++, from.name, to, text(bytes)});
	}
	wl_buf_free(&bytes);
}

void RaftBus::on_commit(BusNode &at, const wl_raft_entry_t &entry)
{
	std::pair<uint64_t, std::string> value(entry.term, text(entry.data));
	auto found = committed.find(entry.index);

	if (entry.index != at.applied + 1)
		record_fault(at.name + " applies " + std::to_string(entry.index) + " after " +
			     std::to_string(at.applied));
	at.applied = entry.index;
	if (found == committed.end())
		committed[entry.index] = value;
	else if (found->second != value)
		record_fault(at.name + " commits an entry at index " + std::to_string(entry.index) +
			     " that differs from the one committed there before");
	if (entry.kind == WL_RAFT_DATA)
		at.state.push_back(value.second);
	if (entry.tag)
		outcomes[entry.tag] = "committed";
}

void RaftBus::on_restore(BusNode &at, const wl_raft_action_t &action)
{
	std::istringstream lines(text(action.data));
	std::string line;

	if (action.index < at.applied)
		record_fault(at.name + " restores a snapshot at index " +
			     std::to_string(action.index) + ", but has applied " +
			     std::to_string(at.applied));
	at.state.clear();
	while (std::getline(lines, line))
		at.state.push_back(line);
	at.applied = action.index;
}

void RaftBus::on_lead(const BusNode &at, uint64_t term)
{
	auto found = leaders.find(term);

	groups.insert(wl_raft_group(at.raft));
	if (groups.size() > 1)
		record_fault(at.name + " leads a second group");
	if (found != leaders.end() && found->second != at.disk->id)
		record_fault(at.name + " is a second leader of term " + std::to_string(term));
	leaders[term] = at.disk->id;
	if (!committed.empty() && wl_raft_commit_index(at.raft) < committed.rbegin()->first)
		record_fault(at.name + " leads with commit index " +
			     std::to_string(wl_raft_commit_index(at.raft)) + ", but index " +
			     std::to_string(committed.rbegin()->first) + " is committed");
}

void RaftBus::act(BusNode &at, wl_raft_action_t &action)
{
	switch (action.kind) {
	case WL_RAFT_DO_SEND:
		send(at, action);
		break;
	case WL_RAFT_DO_PERSIST:
		at.persists.emplace_back(now_ns + at.sync_ns, action.persist);
		action.persist = {};
		break;
	case WL_RAFT_DO_COMMIT:
		on_commit(at, action.entry);
		break;
	case WL_RAFT_DO_RESTORE:
		on_restore(at, action);
		break;
	case WL_RAFT_DO_LEAD:
		on_lead(at, action.term);
		break;
	case WL_RAFT_DO_FOLLOW:
		break;
	case WL_RAFT_DO_DROP:
		outcomes[action.tag] = wl_verdict_name(action.verdict);
		break;
	case WL_RAFT_DO_SNAPSHOT: {
		std::string state;
		wl_raft_event_t back = {};

		for (const auto &line : at.state)
			state += line + "\n";
		back.kind = WL_RAFT_EV_SNAPSHOT;
		back.index = at.applied;
		back.data = view(state);
		step(at, back);
		break;
	}
	}
}

void RaftBus::step(BusNode &at, const wl_raft_event_t &event)
{
	wl_raft_out_t out;

	if (!at.raft)
		return;
	wl_raft_out_init(&out);
	wl_raft_step(at.raft, now_ns, &event, &out);
	for (size_t i = 0; i < out.count; i++)
		act(at, out.actions[i]);
	wl_raft_out_clear(&out);
}

void RaftBus::event(const std::string &name, const wl_raft_event_t &event)
{
	step(node(name), event);
}

void RaftBus::propose(const std::string &name, const std::string &data)
{
	wl_raft_event_t event = {};

	event.kind = WL_RAFT_EV_PROPOSE;
	event.data = view(data);
	event.tag = next_tag++;
	outcomes[event.tag] = "waiting";
	proposed[event.tag] = data;
	step(node(name), event);
}

void RaftBus::sync_due(BusNode &at)
{
	while (!at.persists.empty() && at.persists.front().first <= now_ns) {
		wl_raft_event_t event = {};
		wl_raft_persist_t persist = at.persists.front().second;

		if (try_persist && !try_persist(at, persist)) {
			at.persists.front().first = now_ns + FULL_RETRY_NS;
			return;
		}
		at.persists.pop_front();
		at.disk->apply(persist);
		if (on_persist)
			on_persist(at, persist);
		event.kind = WL_RAFT_EV_PERSISTED;
		event.ticket = persist.ticket;
		wl_raft_persist_free(&persist);
		step(at, event);
	}
}

void RaftBus::deliver_due()
{
	std::vector<InFlight> due;

	for (const auto &m : in_flight)
		if (m.due <= now_ns)
			due.push_back(m);
	in_flight.erase(std::remove_if(in_flight.begin(), in_flight.end(),
				       [&](const InFlight &m) { return m.due <= now_ns; }),
			in_flight.end());
	std::sort(due.begin(), due.end(), [](const InFlight &a, const InFlight &b) {
		return std::make_pair(a.due, a.order) < std::make_pair(b.due, b.order);
	});
	for (const auto &m : due) {
		wl_raft_msg_t msg;
		wl_raft_event_t event = {};

		if (is_cut(m.from, m.to) || !nodes.count(m.to) || !node(m.to).raft)
			continue;
		if (!wl_record_unpack(&wl_raft_msg_schema, view(m.bytes), &msg, nullptr)) {
			record_fault("cannot decode a message from " + m.from + " to " + m.to);
			continue;
		}
		event.kind = WL_RAFT_EV_MSG;
		event.msg = &msg;
		event.name = view(m.from);
		step(node(m.to), event);
		wl_record_free(&wl_raft_msg_schema, &msg);
	}
}

void RaftBus::run(uint64_t ms)
{
	wl_raft_event_t tick = {};

	for (uint64_t end = now_ns + ms * MS; now_ns < end;) {
		now_ns += MS;
		deliver_due();
		for (auto &item : nodes) {
			sync_due(item.second);
			if (now_ns % TICK_NS == 0)
				step(item.second, tick);
		}
		check_lease();
	}
}

/* While the lease of a replica holds, no other replica leads a later term. */
void RaftBus::check_lease()
{
	for (const auto &a : nodes) {
		if (!a.second.raft || !wl_raft_lease_holds(a.second.raft, now_ns))
			continue;
		for (const auto &b : nodes)
			if (b.second.raft && wl_raft_is_leader(b.second.raft) &&
			    wl_raft_term(b.second.raft) > wl_raft_term(a.second.raft))
				record_fault(b.first + " leads while the lease of " + a.first +
					     " holds");
	}
}

/* A proposal reported as not-run is never committed; one reported as committed is in the log. */
void RaftBus::check_verdicts()
{
	std::set<std::string> all;

	for (const auto &item : committed)
		all.insert(item.second.second);
	for (const auto &item : outcomes) {
		bool there = all.count(proposed[item.first]) != 0;

		if (there ? item.second == "not-run" : item.second == "committed")
			record_fault("proposal " + std::to_string(item.first) + " is " +
				     item.second + " but " + (there ? "committed" : "lost"));
	}
}

std::string RaftBus::leader() const
{
	uint64_t term = 0;
	std::string name;

	for (const auto &item : nodes)
		if (item.second.raft && wl_raft_is_leader(item.second.raft) &&
		    wl_raft_term(item.second.raft) >= term) {
			term = wl_raft_term(item.second.raft);
			name = item.first;
		}
	return name;
}

/* If two logs have the same term at an index, all entries before it are equal. */
void RaftBus::check_logs()
{
	for (const auto &a : nodes) {
		for (const auto &b : nodes) {
			const FakeDisk &x = *a.second.disk;
			const FakeDisk &y = *b.second.disk;
			bool same = false;

			if (x.stored.members.group != y.stored.members.group)
				continue;
			for (uint64_t i = std::min(x.last_index(), y.last_index()); i > 0; i--) {
				const wl_raft_entry_t *p = x.entry(i);
				const wl_raft_entry_t *q = y.entry(i);

				if (!p || !q)
					break;
				if (p->term == q->term && text(p->data) != text(q->data))
					record_fault(
						"logs of " + a.first + " and " + b.first +
						" have different entries of one term at index " +
						std::to_string(i));
				if (same && p->term != q->term)
					record_fault("logs of " + a.first + " and " + b.first +
						     " agree on a later term but differ at index " +
						     std::to_string(i));
				same = same || p->term == q->term;
			}
		}
	}
}
