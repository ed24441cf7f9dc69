#include "nutmegturn/membership.hpp"

#include "nutmegturn/control_codec.hpp"

#include <algorithm>
#include <bit>
#include <iterator>
#include <tuple>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		using std::chrono::milliseconds;

		constexpr milliseconds flush_interval{20};
		constexpr milliseconds max_sync_interval{30'000};
		/// Time after the start from which a process counts as synced even if it has found no synced peer.
		constexpr std::chrono::seconds max_unsynced_time{10};
		/// Interval of pulls after an unsynced peer has sent all members it knows.
		constexpr milliseconds unsynced_pull_interval{500};
		constexpr std::int32_t sync_page_size = 32; // about 4 KB
		constexpr std::int32_t initial_page_size = 64;
		constexpr std::size_t max_page_bytes = 14'000; // leaves space for the frame in the largest control message
		constexpr std::size_t max_pending_probes = 1'024;
		constexpr int max_random_tries = 16;

		[[nodiscard]] std::int64_t wire_id(member_id id) noexcept
		{
			return static_cast<std::int64_t>(id);
		}

		[[nodiscard]] bool may_be_alive(member_liveness liveness) noexcept
		{
			return liveness != member_liveness::dead;
		}

		/// Within one sequence number and incarnation, suspect and dead take precedence over the state that the member
		/// announced itself.
		[[nodiscard]] int liveness_precedence(member_liveness liveness) noexcept
		{
			switch (liveness)
			{
				case member_liveness::alive:
					return 0;
				case member_liveness::leaving:
					return 1;
				case member_liveness::suspect:
					return 2;
				case member_liveness::dead:
					break;
			}
			return 3;
		}

		[[nodiscard]] bool supersedes(const member& a, const member& b) noexcept
		{
			return std::tuple{a.sequence, a.process_incarnation, liveness_precedence(a.liveness)} >
				   std::tuple{b.sequence, b.process_incarnation, liveness_precedence(b.liveness)};
		}

		[[nodiscard]] bool has_equal_upstreams(const member& a, const member& b) noexcept
		{
			return std::ranges::equal(a.upstreams, b.upstreams,
									  [](const upstream_report& x, const upstream_report& y)
									  { return x.id == y.id && x.state == y.state; });
		}

		void enqueue_update(membership_state& state, member_id id, bool urgent)
		{
			std::erase_if(state.update_queue, [id](const queued_update& it) { return it.id == id; });
			const auto n = static_cast<std::uint32_t>(std::bit_width(state.members.size() + 1));
			state.update_queue.push_back({id, 3 * n, urgent});
		}

		[[nodiscard]] const member* find(const membership_state& state, member_id id)
		{
			if (id == state.self.id)
			{
				return &state.self;
			}
			const auto it = state.members.find(id);
			return it == state.members.end() ? nullptr : &it->second.info;
		}

		void send(membership_output& out, const endpoint& to, const wire::control_envelope& envelope)
		{
			out.sends.push_back({to, envelope});
		}

		/// Adds the update of a known member to an envelope, unless the envelope already has it.
		void attach_update(const membership_state& state, wire::control_envelope& envelope, member_id id)
		{
			const auto* known = find(state, id);
			if (known != nullptr && std::ranges::none_of(envelope.updates, [id](const wire::member_update& update)
														 { return update.id == wire_id(id); }))
			{
				envelope.updates.push_back(to_wire(*known));
			}
		}

		[[nodiscard]] const member* random_member(const membership_state& state, random_source& rng, member_id except)
		{
			for (int i = 0; i < max_random_tries && !state.ids.empty(); ++i)
			{
				const auto& it = state.members.at(state.ids[rng.below(state.ids.size())]).info;
				if (may_be_alive(it.liveness) && it.id != except)
				{
					return &it;
				}
			}
			return nullptr;
		}

		/// Sends urgent updates to a few random members.
		void flush_urgent_updates(membership_state& state, monotonic_time now, random_source& rng,
								  membership_output& out)
		{
			const bool urgent = std::ranges::any_of(state.update_queue, &queued_update::urgent);
			if (!urgent || now < state.last_flush + flush_interval)
			{
				return;
			}
			state.last_flush = now;
			std::vector<wire::member_update> updates;
			for (auto it = state.update_queue.rbegin(); it != state.update_queue.rend(); ++it)
			{
				const auto* known = it->urgent && updates.size() < state.settings.max_piggybacked_updates
										? find(state, it->id)
										: nullptr;
				if (known != nullptr)
				{
					updates.push_back(to_wire(*known));
					it->urgent = false;
				}
			}
			for (std::size_t i = 0; i < state.settings.fan_out; ++i)
			{
				if (const auto* to = random_member(state, rng, state.self.id))
				{
					auto envelope = membership_envelope(state);
					envelope.updates = updates;
					send(out, to->control, envelope);
				}
			}
		}

		void set_liveness(membership_state& state, tracked_member& it, member_liveness after, monotonic_time now)
		{
			const auto id = it.info.id;
			std::erase(state.suspects, id);
			std::erase(state.dead, id);
			it.info.liveness = after;
			it.liveness_since = now;
			if (after == member_liveness::suspect)
			{
				state.suspects.push_back(id);
			}
			else if (after == member_liveness::dead)
			{
				state.dead.push_back(id);
			}
		}

		void declare_liveness(membership_state& state, member_id id, member_liveness after, monotonic_time now,
							  membership_output& out)
		{
			auto& it = state.members.at(id);
			const auto before = it.info.liveness;
			set_liveness(state, it, after, now);
			out.changes.push_back({id, before, after, false});
			enqueue_update(state, id, true);
		}

		void apply_update_of_self(membership_state& state, const member& update)
		{
			auto& self = state.self;
			const bool is_suspected =
				update.liveness == member_liveness::suspect || update.liveness == member_liveness::dead;
			if ((update.process_incarnation != self.process_incarnation || is_suspected) &&
				update.sequence >= self.sequence)
			{
				self.sequence = update.sequence + 1;
				enqueue_update(state, self.id, true);
			}
		}

		void apply_update(membership_state& state, const member& update, monotonic_time now, membership_output& out)
		{
			if (update.id == state.self.id)
			{
				apply_update_of_self(state, update);
				return;
			}
			const auto found = state.members.find(update.id);
			if (found == state.members.end())
			{
				if (may_be_alive(update.liveness))
				{
					auto& it = state.members[update.id];
					it.info = update;
					state.ids.push_back(update.id);
					state.candidates.erase(update.id);
					set_liveness(state, it, update.liveness, now);
					out.changes.push_back({update.id, std::nullopt, update.liveness, false});
					enqueue_update(state, update.id, true);
				}
				return;
			}
			auto& it = found->second;
			if (!supersedes(update, it.info))
			{
				return;
			}
			const auto before = it.info.liveness;
			const bool restarted = update.process_incarnation != it.info.process_incarnation;
			const bool differs = restarted || before != update.liveness || !has_equal_upstreams(update, it.info);
			const auto newest = std::max(update.newest, it.info.newest);
			it.info = update;
			it.info.newest = newest;
			set_liveness(state, it, update.liveness, now);
			if (differs)
			{
				out.changes.push_back({update.id, before, update.liveness, restarted});
			}
			enqueue_update(state, update.id, differs);
		}

		void send_probe(membership_state& state, member_id target, const endpoint& to, monotonic_time now,
						random_source& rng, membership_output& out)
		{
			wire::probe probe;
			const auto nonce = rng();
			probe.nonce = static_cast<std::int64_t>(nonce);
			probe.target = wire_id(target);
			auto envelope = membership_envelope(state);
			// A suspect or dead member must receive this state to be able to refute it.
			if (const auto* known = find(state, target);
				known != nullptr && (known->liveness == member_liveness::suspect || !may_be_alive(known->liveness)))
			{
				attach_update(state, envelope, target);
			}
			envelope.__set_probe_message(probe);
			send(out, to, envelope);
			if (target != member_id{} && state.pending_probes.size() < max_pending_probes)
			{
				state.pending_probes.push_back({nonce, target, now, false, std::nullopt, 0});
			}
		}

		void send_indirect_probes(membership_state& state, const pending_probe& pending, random_source& rng,
								  membership_output& out)
		{
			for (std::size_t i = 0; i < state.settings.indirect_probes; ++i)
			{
				if (const auto* helper = random_member(state, rng, pending.target))
				{
					wire::probe probe;
					probe.nonce = static_cast<std::int64_t>(pending.nonce);
					probe.target = wire_id(pending.target);
					probe.__set_on_behalf_of(wire_id(state.self.id));
					auto envelope = membership_envelope(state);
					envelope.__set_probe_message(probe);
					send(out, helper->control, envelope);
				}
			}
		}

		void expire_probes(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto probes = std::exchange(state.pending_probes, {});
			for (auto it : probes)
			{
				const auto age = now - it.started;
				const auto known = state.members.find(it.target);
				const bool is_own_probe =
					!it.requester && known != state.members.end() && may_be_alive(known->second.info.liveness);
				if (is_own_probe && !it.indirect_sent && age >= state.settings.direct_timeout)
				{
					it.indirect_sent = true;
					send_indirect_probes(state, it, rng, out);
				}
				if (age < state.settings.indirect_timeout)
				{
					state.pending_probes.push_back(it);
				}
				else if (is_own_probe && known->second.info.liveness != member_liveness::suspect &&
						 now >= state.suspicion_resumes_at)
				{
					declare_liveness(state, it.target, member_liveness::suspect, now, out);
				}
			}
		}

		void expire_suspicions(membership_state& state, monotonic_time now, membership_output& out)
		{
			const auto suspects = state.suspects;
			for (const auto id : suspects)
			{
				if (now >= state.members.at(id).liveness_since + state.settings.suspicion_timeout)
				{
					declare_liveness(state, id, member_liveness::dead, now, out);
				}
			}
		}

		void probe_ring(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			constexpr std::size_t successors = 2; // so that two adjacent members may fail at the same time
			auto it = state.members.upper_bound(state.self.id);
			std::size_t found = 0;
			for (std::size_t i = 0; i < state.members.size() && found < successors; ++i)
			{
				if (it == state.members.end())
				{
					it = state.members.begin();
				}
				if (may_be_alive(it->second.info.liveness))
				{
					send_probe(state, it->first, it->second.info.control, now, rng, out);
					++found;
				}
				++it;
			}
		}

		/// Probes a random dead member, a random instance that is only listed, and a random seed without live member,
		/// each with a probability that depends on the size of the fleet. This merges the sides of a healed partition,
		/// and a fleet that was split at its start.
		void probe_at_low_rate(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			// The fleet as a whole probes each target a few times per second, regardless of its size. If every process
			// probed each target, the seeds of 1,000 processes would send 95 KB/s of replies.
			constexpr std::size_t fleet_probes_per_period = 4;
			const auto alive = state.members.size() - state.dead.size() + 1;
			const auto is_due = [&rng, alive](std::size_t n)
			{ return n != 0 && rng.below(alive) < fleet_probes_per_period * n; };
			if (is_due(state.dead.size()))
			{
				const auto id = state.dead[rng.below(state.dead.size())];
				const auto& it = state.members.at(id);
				if (now >= it.liveness_since + state.settings.dead_retention)
				{
					std::erase(state.dead, id);
					std::erase(state.ids, id);
					state.members.erase(id);
				}
				else
				{
					send_probe(state, id, it.info.control, now, rng, out);
				}
			}
			if (is_due(state.candidates.size()))
			{
				auto it = state.candidates.lower_bound(member_id{rng()});
				it = it == state.candidates.end() ? state.candidates.begin() : it;
				send_probe(state, it->first, it->second, now, rng, out);
			}
			if (is_due(state.settings.seeds.size()))
			{
				const auto& seed = state.settings.seeds[rng.below(state.settings.seeds.size())];
				const bool known = std::ranges::any_of(
					state.members, [&seed](const auto& it)
					{ return it.second.info.control == seed && may_be_alive(it.second.info.liveness); });
				if (seed != state.self.control && !known)
				{
					send_probe(state, member_id{}, seed, now, rng, out);
				}
			}
		}

		/// Requests a page of members from a random peer: consecutive pages of the whole list after the start, and
		/// single pages later, to find updates that gossip failed to deliver.
		void pull_members(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto* peer = random_member(state, rng, state.self.id);
			if (peer == nullptr)
			{
				return;
			}
			if (state.synced)
			{
				// The interval starts short and doubles, because a peer asked at the start may have known only a few
				// members. It is randomised so that processes that started together do not pull in step.
				state.sync_interval = std::min(2 * state.sync_interval, max_sync_interval);
			}
			const auto half = state.sync_interval / 2;
			state.next_sync =
				now + half + milliseconds{rng.below(static_cast<std::uint64_t>(state.sync_interval.count()))};
			const bool fits_one_page = state.members.size() <= static_cast<std::size_t>(sync_page_size);
			wire::member_pull pull;
			pull.after = static_cast<std::int64_t>(!state.synced ? state.sync_cursor : fits_one_page ? 0 : rng());
			pull.limit = state.synced ? sync_page_size : initial_page_size;
			auto envelope = membership_envelope(state);
			envelope.__set_member_pull_message(pull);
			send(out, peer->control, envelope);
		}

		void answer_pull(membership_state& state, const endpoint& source, const wire::member_pull& pull,
						 membership_output& out)
		{
			auto envelope = membership_envelope(state);
			envelope.updates.clear();
			envelope.updates.push_back(to_wire(state.self));
			auto it = state.members.upper_bound(member_id{static_cast<std::uint64_t>(pull.after)});
			constexpr std::size_t member_bytes = 120;
			constexpr std::size_t upstream_bytes = 14;
			std::size_t bytes = 0;
			for (auto left = std::clamp(pull.limit, 0, initial_page_size); left > 0 && it != state.members.end();
				 --left, ++it)
			{
				bytes += member_bytes + it->second.info.name.size() + it->second.info.zone.size() +
						 upstream_bytes * it->second.info.upstreams.size();
				if (bytes > max_page_bytes)
				{
					break;
				}
				envelope.updates.push_back(to_wire(it->second.info));
			}
			wire::member_page page;
			// A process that has just started knows few members. If its list counted as complete, a peer would stop
			// pulling and miss the other members. This occurred when a whole zone restarted.
			page.last = pull.limit > 0 && it == state.members.end();
			page.complete = page.last && state.synced;
			envelope.__set_member_page_message(page);
			send(out, source, envelope);
		}

		void on_page(membership_state& state, const wire::control_envelope& envelope)
		{
			if (!state.synced && envelope.updates.size() > 1)
			{
				const auto last = static_cast<std::uint64_t>(envelope.updates.back().id);
				state.sync_cursor = std::max(state.sync_cursor, last);
			}
			if (!state.synced && envelope.member_page_message.last)
			{
				state.synced = envelope.member_page_message.complete;
				state.sync_cursor = 0;
				state.sync_interval = state.synced ? state.sync_interval : unsynced_pull_interval;
			}
		}

		void on_probe(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
					  monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto& probe = envelope.probe_message;
			if (probe.__isset.on_behalf_of)
			{
				const auto target = state.members.find(member_id{static_cast<std::uint64_t>(probe.target)});
				if (target != state.members.end() && state.pending_probes.size() < max_pending_probes)
				{
					send_probe(state, target->first, target->second.info.control, now, rng, out);
					state.pending_probes.back().requester = source;
					state.pending_probes.back().requester_nonce = static_cast<std::uint64_t>(probe.nonce);
				}
				return;
			}
			// A member that reuses the address of another must not answer probes of that other member.
			if (probe.target != 0 && probe.target != wire_id(state.self.id))
			{
				return;
			}
			wire::probe_ack ack;
			ack.nonce = probe.nonce;
			ack.target = wire_id(state.self.id);
			auto answer = membership_envelope(state);
			answer.__set_ack_message(ack);
			send(out, source, answer);
		}

		/// Requests the update of a sender that is unknown, suspect or dead here, or has another incarnation than the
		/// one known. The request carries the known state, so that the sender can refute it.
		void request_update_of_sender(membership_state& state, const endpoint& source,
									  const wire::control_envelope& envelope, membership_output& out)
		{
			const auto* sender = find(state, member_id{static_cast<std::uint64_t>(envelope.sender)});
			if (sender == nullptr ||
				sender->process_incarnation != incarnation{static_cast<std::uint64_t>(envelope.life)} ||
				sender->liveness == member_liveness::suspect || !may_be_alive(sender->liveness))
			{
				auto request = membership_envelope(state);
				if (sender != nullptr)
				{
					attach_update(state, request, sender->id);
				}
				request.__set_member_pull_message({}); // limit 0: only the update of the member that replies
				send(out, source, request);
			}
		}

		void on_ack(membership_state& state, const wire::probe_ack& ack, membership_output& out)
		{
			const auto it = std::ranges::find_if(state.pending_probes,
												 [&ack](const pending_probe& pending) {
													 return pending.nonce == static_cast<std::uint64_t>(ack.nonce) &&
															wire_id(pending.target) == ack.target;
												 });
			if (it == state.pending_probes.end())
			{
				return;
			}
			if (it->requester)
			{
				wire::probe_ack forwarded;
				forwarded.nonce = static_cast<std::int64_t>(it->requester_nonce);
				forwarded.target = ack.target;
				auto envelope = membership_envelope(state);
				envelope.__set_ack_message(forwarded);
				attach_update(state, envelope, it->target);
				send(out, *it->requester, envelope);
			}
			state.pending_probes.erase(it);
		}
	}

	membership_state make_membership(member self, membership_settings settings)
	{
		membership_state state;
		state.settings = std::move(settings);
		state.self = std::move(self);
		enqueue_update(state, state.self.id, true);
		return state;
	}

	wire::control_envelope membership_envelope(membership_state& state)
	{
		wire::control_envelope envelope;
		envelope.version = 1;
		envelope.sender = wire_id(state.self.id);
		envelope.life = static_cast<std::int64_t>(state.self.process_incarnation);
		envelope.newest = static_cast<std::int64_t>(state.self.newest);
		const auto n = std::min(state.settings.max_piggybacked_updates, state.update_queue.size());
		std::ranges::partial_sort(state.update_queue, state.update_queue.begin() + static_cast<std::ptrdiff_t>(n),
								  std::greater{}, &queued_update::sends_left);
		for (std::size_t i = 0; i < n; ++i)
		{
			auto& it = state.update_queue[i];
			--it.sends_left;
			if (const auto* known = find(state, it.id))
			{
				envelope.updates.push_back(to_wire(*known));
			}
		}
		std::erase_if(state.update_queue, [](const queued_update& it) { return it.sends_left == 0; });
		return envelope;
	}

	void membership_on_message(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
							   monotonic_time now, random_source& rng, membership_output& out)
	{
		for (const auto& update : envelope.updates)
		{
			if (const auto it = from_wire(update))
			{
				apply_update(state, *it, now, out);
			}
		}
		if (const auto it = state.members.find(member_id{static_cast<std::uint64_t>(envelope.sender)});
			it != state.members.end())
		{
			it->second.info.newest =
				std::max(it->second.info.newest, revision{static_cast<std::uint64_t>(envelope.newest)});
		}
		if (envelope.__isset.probe_message || envelope.__isset.ack_message)
		{
			request_update_of_sender(state, source, envelope, out);
		}
		if (envelope.__isset.probe_message)
		{
			on_probe(state, source, envelope, now, rng, out);
		}
		if (envelope.__isset.ack_message)
		{
			on_ack(state, envelope.ack_message, out);
		}
		if (envelope.__isset.member_pull_message)
		{
			answer_pull(state, source, envelope.member_pull_message, out);
		}
		if (envelope.__isset.member_page_message)
		{
			on_page(state, envelope);
		}
		flush_urgent_updates(state, now, rng, out);
	}

	void membership_on_tick(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
	{
		if (state.last_tick && now - *state.last_tick > state.settings.pause_limit)
		{
			// Replies may still be unread in the sockets, and suspicions may have been refuted during the pause.
			state.pending_probes.clear();
			state.suspicion_resumes_at = now + state.settings.pause_grace;
			for (const auto id : state.suspects)
			{
				state.members.at(id).liveness_since = state.suspicion_resumes_at;
			}
		}
		state.last_tick = now;
		expire_probes(state, now, rng, out);
		expire_suspicions(state, now, out);
		if (now >= state.next_ring_probe)
		{
			state.next_ring_probe = now + state.settings.ring_probe_period;
			probe_ring(state, now, rng, out);
		}
		if (now >= state.next_random_probe)
		{
			state.next_random_probe = now + state.settings.probe_period;
			if (const auto* it = random_member(state, rng, state.self.id))
			{
				send_probe(state, it->id, it->control, now, rng, out);
			}
		}
		if (now >= state.next_slow_probe)
		{
			state.next_slow_probe = now + state.settings.probe_period;
			probe_at_low_rate(state, now, rng, out);
		}
		state.sync_deadline = state.sync_deadline.value_or(now + max_unsynced_time);
		state.synced = state.synced || now >= *state.sync_deadline;
		if (now >= state.next_sync)
		{
			pull_members(state, now, rng, out);
		}
		flush_urgent_updates(state, now, rng, out);
	}

	void membership_on_instance_list(membership_state& state, std::span<const listed_instance> list,
									 membership_output& out)
	{
		state.candidates.clear();
		for (const auto& instance : list)
		{
			const auto id = make_id<member_id>(instance.name);
			const auto it = state.members.find(id);
			if (it != state.members.end())
			{
				if (it->second.listed_leaving != instance.leaving)
				{
					it->second.listed_leaving = instance.leaving;
					out.changes.push_back({id, it->second.info.liveness, it->second.info.liveness, false});
				}
			}
			else if (id != state.self.id)
			{
				state.candidates.emplace(id, instance.control);
			}
		}
	}

	void membership_set_self(membership_state& state, member_liveness liveness, std::vector<upstream_report> upstreams,
							 monotonic_time now, random_source& rng, membership_output& out)
	{
		state.self.liveness = liveness;
		state.self.upstreams = std::move(upstreams);
		++state.self.sequence;
		enqueue_update(state, state.self.id, true);
		state.last_flush = now - flush_interval;
		flush_urgent_updates(state, now, rng, out);
	}

	member_view make_member_view(const membership_state& state)
	{
		member_view view;
		view.members.reserve(state.members.size() + 1);
		for (const auto& [id, it] : state.members)
		{
			view.members.push_back(it.info);
			if (it.listed_leaving && it.info.liveness == member_liveness::alive)
			{
				view.members.back().liveness = member_liveness::leaving;
			}
		}
		const auto at = std::ranges::lower_bound(view.members, state.self.id, {}, &member::id);
		view.members.insert(at, state.self);
		return view;
	}
}
