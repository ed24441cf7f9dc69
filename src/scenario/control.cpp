#include "scenario/control.hpp"

#include "nutmegturn/agent_flows.hpp"
#include "nutmegturn/control_codec.hpp"

#include "scenario/world.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace nutmegturn::scenario
{
	namespace
	{
		using std::chrono::milliseconds;

		constexpr milliseconds tick_interval{100};
		constexpr milliseconds service_one_way_delay{2};
		constexpr std::chrono::seconds instance_list_interval{5};
		constexpr std::chrono::microseconds control_one_way_delay{500};
		/// IPv4 and UDP headers.
		constexpr std::size_t datagram_overhead_bytes = 28;

		record_source source_of(const control_state& control)
		{
			return {control.store.complete_through,
					[&control](revision after) { return config_store_changes_since(control.store, after); }};
		}

		bool reaches_service(const world& w, process_index i)
		{
			return i >= w.control.cut_off.size() || !w.control.cut_off[i];
		}

		void receive(world& w, process_index i, const endpoint& source, const std::vector<std::byte>& datagram);

		void send(world& w, process_index i, const control_send& it)
		{
			auto& from = *w.processes[i];
			const auto encoded = encode_control(it.envelope, from.control->last_message_number, w.control.keys);
			const auto* bytes = std::get_if<std::vector<std::byte>>(&encoded);
			const auto found = w.by_control_endpoint.find(it.destination);
			if (bytes == nullptr || found == w.by_control_endpoint.end())
			{
				return;
			}
			const auto to = found->second;
			const auto count = [&](const process& end) {
				w.control.balancer_bytes +=
					end.info.role == member_role::balancer ? bytes->size() + datagram_overhead_bytes : 0;
			};
			count(from);
			if (!w.net.connected(i, to))
			{
				return;
			}
			count(*w.processes[to]);
			w.net.transmit(
				control_one_way_delay, w.random,
				[&](std::chrono::microseconds delay)
				{
					w.queue.after(
						delay, [&w, to, source = from.info.control, datagram = *bytes]
						{ run_in_process(w, to, [&w, to, source, datagram] { receive(w, to, source, datagram); }); });
				});
		}

		void start_watch(world& w, process_index i, const start_read& it)
		{
			auto& control = w.control;
			if (!reaches_service(w, i))
			{
				// The request gets no response and times out.
				w.queue.after(w.processes[i]->control->relay.settings.read_timeout,
							  [&w, i, generation = w.processes[i]->generation, after = it.after] {
								  finish_read(w, i, generation, {false, after, {}, {}});
							  });
				return;
			}
			control.watches.push_back({i, w.processes[i]->generation, it.after, w.queue.now() + it.wait});
			w.queue.after(service_one_way_delay, [&w] { answer_watches(w); });
			w.queue.after(it.wait, [&w] { answer_watches(w); });
		}

		void apply_outputs(world& w, process_index i, const membership_output& members, const relay_output& relay)
		{
			auto& control = *w.processes[i]->control;
			control.members_changed = control.members_changed || !members.changes.empty();
			for (const auto& it : relay.applies)
			{
				const auto changes = it.full ? config_store_apply_full(control.store, it.records, it.complete_through)
											 : config_store_apply(control.store, it.records, it.complete_through);
				control.view_changed = control.view_changed || changes.deployment_changed;
				control.members.self.newest = control.store.newest;
			}
			for (const auto& it : members.sends)
			{
				send(w, i, it);
			}
			for (const auto& it : relay.sends)
			{
				send(w, i, it);
			}
			for (const auto& it : relay.reads)
			{
				start_watch(w, i, it);
			}
		}

		/// Rebuilds the view after changes of members or records.
		void update_view(world& w, process_index i)
		{
			auto& it = *w.processes[i];
			auto& control = *it.control;
			if (std::exchange(control.members_changed, false))
			{
				control.view_changed = true;
				relay_on_members(control.relay, make_member_view(control.members));
			}
			// Records received so far may be older than the revisions named in the responses to the start-up queries.
			const bool starting = !it.view && !view_is_current(control.relay);
			const bool newer = it.view && it.view->rev < control.store.current.rev;
			if (starting || (!control.view_changed && !newer) || to_number(control.store.newest) == 0)
			{
				return;
			}
			control.view_changed = false;
			const auto members = make_member_view(control.members);
			it.view =
				std::make_shared<const routing_view>(build_routing_view(control.store.current, members, it.view.get()));
			if (it.view->rev < it.highest_revision)
			{
				++w.counts.config_reversions;
				record_violation(w, fmt::format("{} reverted its configuration from revision {} to {}", it.info.name,
												to_number(it.highest_revision), to_number(it.view->rev)));
			}
			it.highest_revision = std::max(it.highest_revision, it.view->rev);
		}

		/// Updates the maximum configuration age with that of a process that forwards.
		void measure_config_age(world& w, process_index i)
		{
			const auto& it = *w.processes[i];
			const auto& store = it.control->store;
			const bool can_learn = w.reaches_service_through_peers(i);
			if (!may_forward(w, it) || !can_learn || store.newest >= w.service.newest())
			{
				return;
			}
			const auto missed = revision{to_number(store.newest) + 1};
			const auto since =
				std::max({w.service.accepted_at(missed), w.control.reachable_since, it.control->current_since});
			const double age = std::chrono::duration<double, std::milli>{w.queue.now() - since}.count();
			w.counts.config_age_max_ms = std::max(w.counts.config_age_max_ms, age);
		}

		void receive(world& w, process_index i, const endpoint& source, const std::vector<std::byte>& datagram)
		{
			auto& it = *w.processes[i];
			auto& control = *it.control;
			const auto decoded = decode_control(datagram, w.control.keys, control.replays);
			if (!std::holds_alternative<wire::control_envelope>(decoded))
			{
				return;
			}
			const auto& message = std::get<wire::control_envelope>(decoded);
			membership_output members;
			membership_on_message(control.members, source, message, w.queue.now(), it.random, members);
			relay_output relay;
			relay_on_message(control.relay, source, message, source_of(control), w.queue.now(), it.random, relay);
			apply_outputs(w, i, members, relay);
		}

		void tick(world& w, process_index i, std::uint64_t generation)
		{
			auto& it = *w.processes[i];
			if (!it.alive || it.generation != generation)
			{
				return;
			}
			w.queue.after(tick_interval, [&w, i, generation] { tick(w, i, generation); });
			const auto now = w.queue.now();
			if (it.paused_until > now)
			{
				return;
			}
			auto& control = *it.control;
			membership_output members;
			relay_output relay;
			if (now >= control.next_instance_list && reaches_service(w, i) && !w.service.is_down())
			{
				control.next_instance_list = now + instance_list_interval;
				membership_on_instance_list(control.members, w.instance_list(), members);
			}
			membership_on_tick(control.members, now, it.random, members);
			relay_on_tick(control.relay, source_of(control), now, it.random, relay);
			apply_outputs(w, i, members, relay);
			it.last_tick = now;
			update_view(w, i);
			const bool current = view_is_current(control.relay);
			if (current && !control.current)
			{
				control.current_since = now;
			}
			control.current = current;
			if (it.agent && it.view && current)
			{
				agent_on_confirmation(*it.agent, it.view->rev, now);
			}
			measure_config_age(w, i);
		}
	}

	void finish_read(world& w, process_index i, std::uint64_t generation, const read_result& result)
	{
		if (w.processes[i]->generation != generation)
		{
			return;
		}
		run_in_process(w, i,
					   [&w, i, result]
					   {
						   auto& it = *w.processes[i];
						   relay_output relay;
						   relay_on_read(it.control->relay, result, source_of(*it.control), w.queue.now(), it.random,
										 relay);
						   apply_outputs(w, i, {}, relay);
					   });
	}

	void start_control(world& w, process_index i)
	{
		auto& it = *w.processes[i];
		membership_settings settings;
		settings.seeds = w.seeds;
		it.control = std::make_unique<control_state>();
		it.control->members = make_membership(it.info, settings);
		it.control->relay = make_relay(it.info);
		it.view.reset();
		announce_self(w, i);
		w.queue.after(std::chrono::microseconds{w.random.below(100'000)},
					  [&w, i, generation = it.generation] { tick(w, i, generation); });
	}

	void announce_self(world& w, process_index i)
	{
		auto& it = *w.processes[i];
		std::vector<upstream_report> upstreams;
		if (it.agent)
		{
			upstreams.push_back({w.upstreams[it.upstream].id, it.agent->run_state});
		}
		membership_output out;
		membership_set_self(it.control->members, it.info.liveness, std::move(upstreams), w.queue.now(), it.random, out);
		apply_outputs(w, i, out, {});
		it.control->members_changed = true;
	}

	void answer_watches(world& w)
	{
		const auto now = w.queue.now();
		const auto due = [&](const pending_watch& it)
		{ return w.service.is_down() || w.service.has_newer(it.after) || it.deadline <= now; };
		const auto split = std::stable_partition(w.control.watches.begin(), w.control.watches.end(),
												 [&](const pending_watch& it) { return !due(it); });
		const std::vector<pending_watch> answers(split, w.control.watches.end());
		w.control.watches.erase(split, w.control.watches.end());
		for (const auto& it : answers)
		{
			const auto answer = reaches_service(w, it.reader) ? w.service.read(it.after, now) : std::nullopt;
			read_result result{answer.has_value(), it.after, {}, {}};
			if (answer)
			{
				result.rev = answer->rev;
				result.records = answer->records;
			}
			w.queue.after(service_one_way_delay,
						  [&w, it, result] { finish_read(w, it.reader, it.generation, result); });
		}
	}

	void observe_packet_revision(world& w, process_index i, revision rev)
	{
		if (auto& it = *w.processes[i]; it.control)
		{
			relay_on_digest(it.control->relay, rev);
		}
	}

	bool may_forward(const world& w, const process& it)
	{
		if (!it.view)
		{
			return false;
		}
		if (!it.control)
		{
			return true;
		}
		constexpr std::chrono::seconds pause_limit{2};
		return view_is_current(it.control->relay) && w.queue.now() - it.last_tick <= pause_limit;
	}
}
