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

		constexpr milliseconds flush_spacing{20};
		constexpr milliseconds longest_sync_spacing{30'000};
		/// Time after the start from which a process counts as synced even if it has met no synced peer.
		constexpr std::chrono::seconds longest_unsynced{10};
		/// Spacing of the pulls that follow after a peer that is not synced has sent all it knows.
		constexpr milliseconds unsynced_spacing{500};
		constexpr std::int32_t sync_page = 32; // near 4 KB
		constexpr std::int32_t first_page = 64;
		constexpr std::size_t page_bytes = 14'000; // below the largest control message, with room for the frame
		constexpr std::size_t max_pending = 1'024;
		constexpr int random_tries = 16;

		[[nodiscard]] std::int64_t wire_id(member_id id) noexcept
		{
			return static_cast<std::int64_t>(id);
		}

		[[nodiscard]] bool works(member_liveness liveness) noexcept
		{
			return liveness != member_liveness::dead;
		}

		/// Within one sequence number and life, accusations override what the member said of itself.
		[[nodiscard]] int rank_of(member_liveness liveness) noexcept
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

		[[nodiscard]] bool newer(const member& a, const member& b) noexcept
		{
			return std::tuple{a.sequence, a.life, rank_of(a.liveness)} >
				   std::tuple{b.sequence, b.life, rank_of(b.liveness)};
		}

		[[nodiscard]] bool same_upstreams(const member& a, const member& b) noexcept
		{
			return std::ranges::equal(a.upstreams, b.upstreams,
									  [](const upstream_report& x, const upstream_report& y)
									  { return x.id == y.id && x.state == y.state; });
		}

		void enqueue(membership_state& state, member_id id, bool urgent)
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

		/// Adds what is known of a member to an envelope, unless it is there already.
		void attach(const membership_state& state, wire::control_envelope& envelope, member_id id)
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
			for (int i = 0; i < random_tries && !state.ids.empty(); ++i)
			{
				const auto& it = state.members.at(state.ids[rng.below(state.ids.size())]).info;
				if (works(it.liveness) && it.id != except)
				{
					return &it;
				}
			}
			return nullptr;
		}

		/// Sends changes that were not yet announced to a few random members.
		void flush(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			const bool urgent = std::ranges::any_of(state.update_queue, &queued_update::urgent);
			if (!urgent || now < state.last_flush + flush_spacing)
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

		void accuse(membership_state& state, member_id id, member_liveness after, monotonic_time now,
					membership_output& out)
		{
			auto& it = state.members.at(id);
			const auto before = it.info.liveness;
			set_liveness(state, it, after, now);
			out.changes.push_back({id, before, after, false});
			enqueue(state, id, true);
		}

		void apply_to_self(membership_state& state, const member& update)
		{
			auto& self = state.self;
			const bool accused =
				update.liveness == member_liveness::suspect || update.liveness == member_liveness::dead;
			if ((update.life != self.life || accused) && update.sequence >= self.sequence)
			{
				self.sequence = update.sequence + 1;
				enqueue(state, self.id, true);
			}
		}

		void apply(membership_state& state, const member& update, monotonic_time now, membership_output& out)
		{
			if (update.id == state.self.id)
			{
				apply_to_self(state, update);
				return;
			}
			const auto found = state.members.find(update.id);
			if (found == state.members.end())
			{
				if (works(update.liveness))
				{
					auto& it = state.members[update.id];
					it.info = update;
					state.ids.push_back(update.id);
					state.candidates.erase(update.id);
					set_liveness(state, it, update.liveness, now);
					out.changes.push_back({update.id, std::nullopt, update.liveness, false});
					enqueue(state, update.id, true);
				}
				return;
			}
			auto& it = found->second;
			if (!newer(update, it.info))
			{
				return;
			}
			const auto before = it.info.liveness;
			const bool restarted = update.life != it.info.life;
			const bool differs = restarted || before != update.liveness || !same_upstreams(update, it.info);
			const auto newest = std::max(update.newest, it.info.newest);
			it.info = update;
			it.info.newest = newest;
			set_liveness(state, it, update.liveness, now);
			if (differs)
			{
				out.changes.push_back({update.id, before, update.liveness, restarted});
			}
			enqueue(state, update.id, differs);
		}

		void send_probe(membership_state& state, member_id target, const endpoint& to, monotonic_time now,
						random_source& rng, membership_output& out)
		{
			wire::probe probe;
			const auto nonce = rng();
			probe.nonce = static_cast<std::int64_t>(nonce);
			probe.target = wire_id(target);
			auto envelope = membership_envelope(state);
			// An accused member must hear of it to be able to refute.
			if (const auto* known = find(state, target);
				known != nullptr && (known->liveness == member_liveness::suspect || !works(known->liveness)))
			{
				attach(state, envelope, target);
			}
			envelope.__set_probe_message(probe);
			send(out, to, envelope);
			if (target != member_id{} && state.pending_probes.size() < max_pending)
			{
				state.pending_probes.push_back({nonce, target, now, false, std::nullopt, 0});
			}
		}

		void ask_others(membership_state& state, const pending_probe& waiting, random_source& rng,
						membership_output& out)
		{
			for (std::size_t i = 0; i < state.settings.indirect_probes; ++i)
			{
				if (const auto* helper = random_member(state, rng, waiting.target))
				{
					wire::probe probe;
					probe.nonce = static_cast<std::int64_t>(waiting.nonce);
					probe.target = wire_id(waiting.target);
					probe.__set_on_behalf_of(wire_id(state.self.id));
					auto envelope = membership_envelope(state);
					envelope.__set_probe_message(probe);
					send(out, helper->control, envelope);
				}
			}
		}

		void expire_probes(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto waiting = std::exchange(state.pending_probes, {});
			for (auto it : waiting)
			{
				const auto age = now - it.started;
				const auto known = state.members.find(it.target);
				const bool mine = !it.requester && known != state.members.end() && works(known->second.info.liveness);
				if (mine && !it.indirect_sent && age >= state.settings.direct_timeout)
				{
					it.indirect_sent = true;
					ask_others(state, it, rng, out);
				}
				if (age < state.settings.indirect_timeout)
				{
					state.pending_probes.push_back(it);
				}
				else if (mine && known->second.info.liveness != member_liveness::suspect &&
						 now >= state.suspicion_resumes_at)
				{
					accuse(state, it.target, member_liveness::suspect, now, out);
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
					accuse(state, id, member_liveness::dead, now, out);
				}
			}
		}

		void probe_ring(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			constexpr std::size_t successors = 2; // so that two neighbours may die at once
			auto it = state.members.upper_bound(state.self.id);
			std::size_t found = 0;
			for (std::size_t i = 0; i < state.members.size() && found < successors; ++i)
			{
				if (it == state.members.end())
				{
					it = state.members.begin();
				}
				if (works(it->second.info.liveness))
				{
					send_probe(state, it->first, it->second.info.control, now, rng, out);
					++found;
				}
				++it;
			}
		}

		/// Probes one of: a dead member, a member that is only listed, a seed. Two halves of a healed partition and a
		/// fleet that was split at its start find each other this way.
		void probe_slowly(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			// The fleet as a whole probes each of them a few times a second, whatever its size: if every process did,
			// the seeds of 1,000 processes would send 95 KB/s of answers.
			constexpr std::size_t fleet_rate = 4;
			const auto alive = state.members.size() - state.dead.size() + 1;
			const auto due = [&rng, alive](std::size_t n) { return n != 0 && rng.below(alive) < fleet_rate * n; };
			if (due(state.dead.size()))
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
			if (due(state.candidates.size()))
			{
				auto it = state.candidates.lower_bound(member_id{rng()});
				it = it == state.candidates.end() ? state.candidates.begin() : it;
				send_probe(state, it->first, it->second, now, rng, out);
			}
			if (due(state.settings.seeds.size()))
			{
				const auto& seed = state.settings.seeds[rng.below(state.settings.seeds.size())];
				const bool known =
					std::ranges::any_of(state.members, [&seed](const auto& it)
										{ return it.second.info.control == seed && works(it.second.info.liveness); });
				if (seed != state.self.control && !known)
				{
					send_probe(state, member_id{}, seed, now, rng, out);
				}
			}
		}

		/// Asks a peer for a page of its members: all of them after the start, and later a few now and then, so that an
		/// update that reached nobody by gossip is found.
		void pull_members(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto* peer = random_member(state, rng, state.self.id);
			if (peer == nullptr)
			{
				return;
			}
			if (state.synced)
			{
				// The spacing doubles, because a peer that was asked at the start may itself have known only a few.
				// Random, so that pulls of processes that started together do not meet.
				state.sync_interval = std::min(2 * state.sync_interval, longest_sync_spacing);
			}
			const auto half = state.sync_interval / 2;
			state.next_sync =
				now + half + milliseconds{rng.below(static_cast<std::uint64_t>(state.sync_interval.count()))};
			const bool whole = state.members.size() <= static_cast<std::size_t>(sync_page);
			wire::member_pull pull;
			pull.after = static_cast<std::int64_t>(!state.synced ? state.sync_cursor : whole ? 0 : rng());
			pull.limit = state.synced ? sync_page : first_page;
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
			for (auto left = std::clamp(pull.limit, 0, first_page); left > 0 && it != state.members.end(); --left, ++it)
			{
				bytes += member_bytes + it->second.info.name.size() + it->second.info.zone.size() +
						 upstream_bytes * it->second.info.upstreams.size();
				if (bytes > page_bytes)
				{
					break;
				}
				envelope.updates.push_back(to_wire(it->second.info));
			}
			wire::member_page page;
			// A process that has just started knows few members; a peer that took its list for the whole would stop
			// asking and miss the others, as happened when a whole zone restarted.
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
				state.sync_interval = state.synced ? state.sync_interval : unsynced_spacing;
			}
		}

		void on_probe(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
					  monotonic_time now, random_source& rng, membership_output& out)
		{
			const auto& probe = envelope.probe_message;
			if (probe.__isset.on_behalf_of)
			{
				const auto target = state.members.find(member_id{static_cast<std::uint64_t>(probe.target)});
				if (target != state.members.end() && state.pending_probes.size() < max_pending)
				{
					send_probe(state, target->first, target->second.info.control, now, rng, out);
					state.pending_probes.back().requester = source;
					state.pending_probes.back().requester_nonce = static_cast<std::uint64_t>(probe.nonce);
				}
				return;
			}
			// An address that another member has taken over must not answer for the earlier one.
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

		/// A sender that is unknown, accused, or has another life than known is told so and asked for its own update.
		void reconcile(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
					   membership_output& out)
		{
			const auto* sender = find(state, member_id{static_cast<std::uint64_t>(envelope.sender)});
			if (sender == nullptr || sender->life != incarnation{static_cast<std::uint64_t>(envelope.life)} ||
				sender->liveness == member_liveness::suspect || !works(sender->liveness))
			{
				auto ask = membership_envelope(state);
				if (sender != nullptr)
				{
					attach(state, ask, sender->id);
				}
				ask.__set_member_pull_message({}); // limit 0: only the sender itself
				send(out, source, ask);
			}
		}

		void on_ack(membership_state& state, const wire::probe_ack& ack, membership_output& out)
		{
			const auto it = std::ranges::find_if(state.pending_probes,
												 [&ack](const pending_probe& waiting) {
													 return waiting.nonce == static_cast<std::uint64_t>(ack.nonce) &&
															wire_id(waiting.target) == ack.target;
												 });
			if (it == state.pending_probes.end())
			{
				return;
			}
			if (it->requester)
			{
				wire::probe_ack passed;
				passed.nonce = static_cast<std::int64_t>(it->requester_nonce);
				passed.target = ack.target;
				auto envelope = membership_envelope(state);
				envelope.__set_ack_message(passed);
				attach(state, envelope, it->target);
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
		enqueue(state, state.self.id, true);
		return state;
	}

	wire::control_envelope membership_envelope(membership_state& state)
	{
		wire::control_envelope envelope;
		envelope.version = 1;
		envelope.sender = wire_id(state.self.id);
		envelope.life = static_cast<std::int64_t>(state.self.life);
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
				apply(state, *it, now, out);
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
			reconcile(state, source, envelope, out);
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
		flush(state, now, rng, out);
	}

	void membership_on_tick(membership_state& state, monotonic_time now, random_source& rng, membership_output& out)
	{
		if (state.last_tick && now - *state.last_tick > state.settings.pause_limit)
		{
			// Answers may wait unread in the sockets, and suspicions may have been refuted meanwhile.
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
			probe_slowly(state, now, rng, out);
		}
		state.sync_deadline = state.sync_deadline.value_or(now + longest_unsynced);
		state.synced = state.synced || now >= *state.sync_deadline;
		if (now >= state.next_sync)
		{
			pull_members(state, now, rng, out);
		}
		flush(state, now, rng, out);
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
		enqueue(state, state.self.id, true);
		state.last_flush = now - flush_spacing;
		flush(state, now, rng, out);
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
