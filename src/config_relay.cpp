#include "nutmegturn/config_relay.hpp"

#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/impl/config_push.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		using detail::make_push_chunk;
		using detail::reassemble_versions;
		using detail::to_unsigned;
		using detail::to_wire;
		using std::chrono::milliseconds;

		/// Returns whether records through the revision `named` may be taken into a store that is complete through
		/// `known`: revisions of a later era only when the restored service has settled.
		[[nodiscard]] bool is_settled(relay_state& state, revision known, revision named, monotonic_time now) noexcept
		{
			if (to_number(known) == 0 || era_of(named) <= era_of(known))
			{
				return true;
			}
			if (era_of(named) > state.later_era)
			{
				state.later_era = era_of(named);
				state.later_era_seen_at = now;
			}
			return now - state.later_era_seen_at >= state.settings.restore_settling_time;
		}

		/// Returns the request for the next read. All records of a restored service are read once it has settled, since
		/// a watch does not continue from a revision of a former era.
		[[nodiscard]] start_read make_read(const relay_state& state, revision complete_through, monotonic_time now)
		{
			const bool restored = to_number(complete_through) != 0 && state.later_era > era_of(complete_through);
			if (restored && now - state.later_era_seen_at >= state.settings.restore_settling_time)
			{
				return {revision{}, milliseconds{0}};
			}
			return {complete_through, state.settings.read_wait};
		}

		[[nodiscard]] wire::control_envelope make_envelope(const relay_state& state, revision complete_through)
		{
			wire::control_envelope envelope;
			envelope.version = 1;
			envelope.sender = to_wire(state.self);
			envelope.life = static_cast<std::int64_t>(state.process_incarnation);
			envelope.newest = to_wire(complete_through);
			return envelope;
		}

		/// Calls `visit` with the children of this process in the distribution tree of a reader. Trees of readers of
		/// odd rank use the reverse order of ranks, so that the trees of the two usual readers share few inner nodes.
		template <typename Visit>
		void for_each_child(const relay_state& state, member_id reader, Visit visit)
		{
			const auto zone_size = state.zone_peers.size();
			const auto root = std::ranges::find(state.zone_peers, reader, &relay_peer::id);
			if (root == state.zone_peers.end())
			{
				return;
			}
			const auto root_rank = static_cast<std::size_t>(root - state.zone_peers.begin());
			const bool backwards = root_rank % 2 == 1;
			const auto position =
				(backwards ? root_rank + zone_size - state.rank : state.rank + zone_size - root_rank) % zone_size;
			for (std::size_t i = 1; i <= state.settings.tree_fan_out; ++i)
			{
				const auto child = state.settings.tree_fan_out * position + i;
				if (child < zone_size)
				{
					visit(state.zone_peers[backwards ? (root_rank + zone_size - child) % zone_size
													 : (root_rank + child) % zone_size]);
				}
			}
		}

		void send_pull(relay_state& state, const endpoint& to, revision complete_through, relay_output& out)
		{
			wire::config_pull pull;
			pull.after = to_wire(complete_through);
			pull.nonce = static_cast<std::int64_t>(state.view_check_nonce);
			pull.offset = static_cast<std::int32_t>(state.partial_value.size());
			auto envelope = make_envelope(state, complete_through);
			envelope.__set_pull_message(pull);
			out.sends.push_back({to, envelope});
		}

		[[nodiscard]] const relay_peer* random_peer(const relay_state& state, random_source& rng, bool other_zone)
		{
			if (other_zone && !state.other_zone_peers.empty())
			{
				return &state.other_zone_peers[rng.below(state.other_zone_peers.size())];
			}
			if (state.zone_peers.size() < 2)
			{
				return nullptr;
			}
			const auto i = rng.below(state.zone_peers.size() - 1);
			return &state.zone_peers[i >= state.rank ? i + 1 : i];
		}

		/// Forwards a push to random members of other zones and to the children in the tree of a reader.
		void forward_push(relay_state& state, wire::config_push push, member_id reader, revision complete_through,
						  random_source& rng, relay_output& out)
		{
			auto envelope = make_envelope(state, complete_through);
			push.nonce = 0;
			push.current = view_is_current(state);
			push.reader = to_wire(reader);
			envelope.__set_push_message(push);
			if (reader != member_id{})
			{
				for_each_child(state, reader,
							   [&](const relay_peer& child) {
								   out.sends.push_back({child.control, envelope});
							   });
			}
			envelope.push_message.reader = 0;
			for (std::size_t i = 0; i < state.settings.push_fan_out && !state.other_zone_peers.empty(); ++i)
			{
				out.sends.push_back(
					{state.other_zone_peers[rng.below(state.other_zone_peers.size())].control, envelope});
			}
		}

		void send_confirmation(relay_state& state, const wire::confirmation& message, revision complete_through,
							   relay_output& out)
		{
			auto envelope = make_envelope(state, complete_through);
			envelope.__set_confirmation_message(message);
			for_each_child(state, member_id{to_unsigned(message.reader)},
						   [&](const relay_peer& child) {
							   out.sends.push_back({child.control, envelope});
						   });
		}

		/// Starts a view check: asks the service and a few members, preferably of other zones. The answers determine
		/// from which revision on the view is current.
		void start_view_check(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
							  relay_output& out)
		{
			state.is_view_current = false;
			state.view_check_nonce = rng() | 1U;
			state.view_check_started_at = now;
			state.received_answers = 0;
			state.expected_answers = 1;
			state.read_started_at = now;
			state.partial_value.clear();
			out.reads.push_back({store.complete_through, milliseconds{0}});
			for (std::size_t i = 0; i < state.settings.view_check_peers; ++i)
			{
				if (const auto* peer = random_peer(state, rng, i + 1 < state.settings.view_check_peers))
				{
					send_pull(state, peer->control, store.complete_through, out);
					++state.expected_answers;
				}
			}
		}

		void on_pull(const relay_state& state, const endpoint& source, const wire::config_pull& pull,
					 const record_source& store, relay_output& out)
		{
			const revision after{to_unsigned(pull.after)};
			auto push = after < store.complete_through
							? make_push_chunk(store.changes_since(after), after, store.complete_through,
											  static_cast<std::size_t>(std::max(pull.offset, 0)))
							: make_push_chunk({}, after, after, 0);
			push.nonce = pull.nonce;
			push.current = view_is_current(state);
			auto envelope = make_envelope(state, store.complete_through);
			envelope.__set_push_message(push);
			out.sends.push_back({source, envelope});
		}

		void on_push(relay_state& state, const endpoint& source, const wire::control_envelope& envelope,
					 const record_source& store, monotonic_time now, random_source& rng, relay_output& out)
		{
			const auto& push = envelope.push_message;
			const revision after{to_unsigned(push.after)};
			auto complete_through = store.complete_through;
			if (!is_settled(state, complete_through, revision{to_unsigned(envelope.newest)}, now))
			{
				return;
			}
			auto versions = reassemble_versions(state, push);
			if (after <= complete_through)
			{
				// Each part of a long value has `rev` equal to `after`; the last part completes its version.
				const bool is_last_part =
					push.records.size() == 1 && push.records[0].__isset.total && !versions.empty();
				const auto through = is_last_part ? std::max(revision{to_unsigned(push.rev)}, versions[0].rev)
												  : revision{to_unsigned(push.rev)};
				if (through > complete_through)
				{
					complete_through = through;
					out.applies.push_back({std::move(versions), complete_through, false});
					if (!is_last_part)
					{
						forward_push(state, push, member_id{to_unsigned(push.reader)}, complete_through, rng, out);
					}
				}
			}
			state.highest_revision =
				std::max({state.highest_revision, complete_through, revision{to_unsigned(push.rev)}});
			if (!state.is_view_current && state.view_check_nonce != 0 &&
				to_unsigned(push.nonce) == state.view_check_nonce)
			{
				// The answer of a peer that is itself not current does not confirm the view. Its versions are still
				// merged, and the peer is no longer waited for.
				if (push.current)
				{
					++state.received_answers;
				}
				else
				{
					--state.expected_answers;
				}
			}
			// Pulls the next chunk from the same peer without waiting for the next tick.
			if (revision{to_unsigned(envelope.newest)} > complete_through &&
				(push.nonce != 0 || after > complete_through))
			{
				send_pull(state, source, complete_through, out);
				state.next_pull = now + state.settings.pull_retry_interval;
			}
		}

		void on_confirmation(relay_state& state, const wire::confirmation& message, const record_source& store,
							 monotonic_time now, relay_output& out)
		{
			const member_id reader{to_unsigned(message.reader)};
			auto& newest = state.confirmations[reader];
			const auto root = std::ranges::find(state.zone_peers, reader, &relay_peer::id);
			if (to_unsigned(message.number) <= newest || root == state.zone_peers.end())
			{
				return;
			}
			newest = to_unsigned(message.number);
			state.highest_revision = std::max(state.highest_revision, revision{to_unsigned(message.rev)});
			state.confirmed_at = std::max(state.confirmed_at, now - milliseconds{std::max(message.age_ms, 0)});
			if (static_cast<std::size_t>(root - state.zone_peers.begin()) < state.rank)
			{
				state.lower_rank_confirmed_at = now;
				state.is_reader = false;
			}
			send_confirmation(state, message, store.complete_through, out);
		}

		/// Tells the zone that the service has answered this process.
		void confirm_service(relay_state& state, revision complete_through, relay_output& out)
		{
			wire::confirmation message;
			message.rev = to_wire(complete_through);
			message.reader = to_wire(state.self);
			message.number = static_cast<std::int64_t>(++state.confirmation_number);
			send_confirmation(state, message, complete_through, out);
		}

		/// Handles the answer of a service that was restored from an older copy: it is reachable, and read once it has
		/// settled. A view check no longer waits for it.
		void postpone_read(relay_state& state, monotonic_time since, const record_source& store, monotonic_time now,
						   relay_output& out)
		{
			state.is_reader = since != state.view_check_started_at;
			state.confirmed_at = now;
			state.next_read = std::max(now, state.later_era_seen_at + state.settings.restore_settling_time);
			state.expected_answers -= !state.is_view_current && state.expected_answers > 0 ? 1 : 0;
			confirm_service(state, store.complete_through, out);
		}

		/// Returns whether this process should read from the service now.
		[[nodiscard]] bool should_read(const relay_state& state, monotonic_time now) noexcept
		{
			auto ranks = state.settings.readers_per_zone;
			if (state.is_reader && now - state.lower_rank_confirmed_at > state.settings.confirmation_timeout)
			{
				return true;
			}
			for (auto since = state.confirmed_at + state.settings.confirmation_timeout;
				 now >= since && ranks < state.zone_peers.size(); since += state.settings.reader_doubling_interval)
			{
				ranks *= 2;
			}
			return state.rank < ranks;
		}
	}

	relay_state make_relay(const member& self, relay_settings settings)
	{
		relay_state state;
		state.settings = settings;
		state.self = self.id;
		state.process_incarnation = self.process_incarnation;
		state.zone = self.zone;
		state.zone_peers = {{self.id, self.control}};
		return state;
	}

	void relay_on_members(relay_state& state, const member_view& view)
	{
		state.zone_peers.clear();
		state.other_zone_peers.clear();
		for (const auto& it : view.members)
		{
			if (it.id == state.self || (it.liveness != member_liveness::dead && it.zone == state.zone))
			{
				state.zone_peers.push_back({it.id, it.control});
			}
			else if (it.liveness != member_liveness::dead)
			{
				state.other_zone_peers.push_back({it.id, it.control});
			}
		}
		// Ids are hashes of names and the same in all processes. The zone is mixed in only to make the order
		// independent of the probing order.
		const auto score = [salt = hash_name(state.zone)](const relay_peer& it)
		{ return random_source{to_number(it.id) ^ salt}(); };
		std::ranges::sort(state.zone_peers, {}, score);
		const auto at = std::ranges::find(state.zone_peers, state.self, &relay_peer::id);
		state.rank = static_cast<std::size_t>(at - state.zone_peers.begin());
		std::erase_if(
			state.confirmations, [&state](const auto& it)
			{ return std::ranges::find(state.zone_peers, it.first, &relay_peer::id) == state.zone_peers.end(); });
	}

	void relay_on_message(relay_state& state, const endpoint& source, const wire::control_envelope& envelope,
						  const record_source& store, monotonic_time now, random_source& rng, relay_output& out)
	{
		relay_on_digest(state, revision{to_unsigned(envelope.newest)});
		if (envelope.__isset.pull_message)
		{
			on_pull(state, source, envelope.pull_message, store, out);
		}
		if (envelope.__isset.push_message)
		{
			on_push(state, source, envelope, store, now, rng, out);
		}
		else if (const revision newest{to_unsigned(envelope.newest)};
				 newest > store.complete_through && now >= state.next_pull &&
				 is_settled(state, store.complete_through, newest, now))
		{
			state.next_pull = now + state.settings.pull_retry_interval;
			send_pull(state, source, store.complete_through, out);
		}
		if (envelope.__isset.confirmation_message)
		{
			on_confirmation(state, envelope.confirmation_message, store, now, out);
		}
	}

	void relay_on_read(relay_state& state, const read_result& result, const record_source& store, monotonic_time now,
					   random_source& rng, relay_output& out)
	{
		const auto since = state.read_started_at.value_or(now);
		state.read_started_at.reset();
		const bool settled = is_settled(state, store.complete_through, result.rev, now);
		const bool restored =
			to_number(store.complete_through) != 0 && era_of(result.rev) > era_of(store.complete_through);
		if (result.succeeded && restored && (!settled || result.after != revision{}))
		{
			postpone_read(state, since, store, now, out);
			return;
		}
		// A response of a stale service counts as a failed read, and its records are ignored.
		const bool is_up_to_date = result.succeeded && result.rev >= store.complete_through;
		// The read of a view check does not make this process a reader. Otherwise, all processes would read when
		// confirmations next fail to arrive.
		state.is_reader = is_up_to_date && since != state.view_check_started_at;
		if (!is_up_to_date)
		{
			const auto factor =
				state.rank < state.settings.readers_per_zone
					? 1
					: std::max<std::size_t>(1, state.zone_peers.size() / state.settings.fast_retry_ranks);
			state.next_read = now + milliseconds{1'000 + rng.below(3'000)} * factor;
			if (const auto* peer = random_peer(state, rng, true))
			{
				send_pull(state, peer->control, store.complete_through, out);
			}
			// The service is no longer waited for, so a view check can complete with the answers of the members.
			state.expected_answers -= !state.is_view_current && state.expected_answers > 0 ? 1 : 0;
			return;
		}
		state.next_read = now;
		state.confirmed_at = now;
		if (!state.is_view_current && since >= state.view_check_started_at)
		{
			++state.received_answers;
		}
		if (result.rev > store.complete_through)
		{
			out.applies.push_back({result.records, result.rev, result.after == revision{}});
			// Changes that do not fit in one message are not pushed: members see the new revision and pull them. So are
			// the records of a restored service, whose response does not tell which records are gone.
			auto versions = result.records;
			std::ranges::sort(versions, {}, &record_version::rev); // the order of the service is unspecified
			auto push = make_push_chunk(versions, result.after, result.rev, 0);
			if (!restored && revision{to_unsigned(push.rev)} == result.rev)
			{
				forward_push(state, push, state.self, result.rev, rng, out);
			}
		}
		state.highest_revision = std::max(state.highest_revision, result.rev);
		confirm_service(state, result.rev, out);
	}

	void relay_on_tick(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
					   relay_output& out)
	{
		const bool paused = state.last_tick && now - *state.last_tick > state.settings.pause_limit;
		if (!state.last_tick || paused)
		{
			state.confirmed_at = now;
			start_view_check(state, store, now, rng, out);
		}
		state.last_tick = now;
		if (!state.is_view_current)
		{
			const bool has_all_answers = state.received_answers >= state.expected_answers;
			if (state.received_answers > 0 &&
				(has_all_answers || now - state.view_check_started_at >= state.settings.view_check_timeout))
			{
				// The store must also contain revisions named by other messages, so that the view does not start at a
				// lower one.
				state.is_view_current = store.complete_through >= state.highest_revision;
			}
			else if (now - state.view_check_started_at >= state.settings.view_check_timeout)
			{
				start_view_check(state, store, now, rng, out);
			}
		}
		if (state.read_started_at &&
			now - *state.read_started_at > state.settings.read_timeout + state.settings.read_wait)
		{
			relay_on_read(state, {}, store, now, rng, out);
		}
		if (!state.read_started_at && now >= state.next_read && should_read(state, now))
		{
			state.read_started_at = now;
			out.reads.push_back(make_read(state, store.complete_through, now));
		}
		if (state.highest_revision > store.complete_through && now >= state.next_pull &&
			is_settled(state, store.complete_through, state.highest_revision, now))
		{
			state.next_pull = now + state.settings.pull_retry_interval;
			if (const auto* peer = random_peer(state, rng, rng.below(2) == 0))
			{
				send_pull(state, peer->control, store.complete_through, out);
			}
		}
	}

	void relay_on_digest(relay_state& state, revision newest) noexcept
	{
		state.highest_revision = std::max(state.highest_revision, newest);
	}

	bool view_is_current(const relay_state& state) noexcept
	{
		return state.is_view_current;
	}
}
