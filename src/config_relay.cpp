#include "nutmegturn/config_relay.hpp"

#include "nutmegturn/control_codec.hpp"

#include <algorithm>
#include <iterator>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		using std::chrono::milliseconds;

		constexpr std::size_t record_overhead = 32;

		[[nodiscard]] std::int64_t to_wire(revision rev) noexcept
		{
			return static_cast<std::int64_t>(rev);
		}

		[[nodiscard]] std::int64_t to_wire(member_id id) noexcept
		{
			return static_cast<std::int64_t>(id);
		}

		[[nodiscard]] std::uint64_t unsign(std::int64_t n) noexcept
		{
			return static_cast<std::uint64_t>(n);
		}

		[[nodiscard]] wire::control_envelope envelope_of(const relay_state& state, revision complete)
		{
			wire::control_envelope envelope;
			envelope.version = 1;
			envelope.sender = to_wire(state.self);
			envelope.life = static_cast<std::int64_t>(state.life);
			envelope.newest = to_wire(complete);
			return envelope;
		}

		/// Calls `use` with the children of this process in the tree of a reader. Readers of odd rank take the ranks
		/// backwards, so that the trees of the two usual readers hardly share a member with children.
		template <typename Use>
		void for_each_child(const relay_state& state, member_id reader, Use use)
		{
			const auto n = state.zone_peers.size();
			const auto root = std::ranges::find(state.zone_peers, reader, &relay_peer::id);
			if (root == state.zone_peers.end())
			{
				return;
			}
			const auto r = static_cast<std::size_t>(root - state.zone_peers.begin());
			const bool backwards = r % 2 == 1;
			const auto position = (backwards ? r + n - state.rank : state.rank + n - r) % n;
			for (std::size_t i = 1; i <= state.settings.tree_fan_out; ++i)
			{
				const auto child = state.settings.tree_fan_out * position + i;
				if (child < n)
				{
					use(state.zone_peers[backwards ? (r + n - child) % n : (r + child) % n]);
				}
			}
		}

		[[nodiscard]] wire::record_version to_wire(const record_version& it)
		{
			wire::record_version out;
			out.key = it.key;
			out.rev = to_wire(it.rev);
			if (it.value)
			{
				out.__set_value(*it.value);
			}
			return out;
		}

		/// Returns as many versions after a revision as one message holds, with `rev` through which they are complete.
		/// A version that does not fit alone is sent in parts, one for each pull.
		[[nodiscard]] wire::config_push take_chunk(const std::vector<record_version>& versions, revision after,
												   revision complete, std::size_t offset)
		{
			wire::config_push push;
			push.after = to_wire(after);
			push.rev = to_wire(after);
			push.chunks = 1;
			std::size_t bytes = 0;
			for (std::size_t i = 0; i < versions.size(); ++i)
			{
				const auto& it = versions[i];
				const auto size = record_overhead + it.key.size() + (it.value ? it.value->size() : 0);
				if (bytes + size > max_control_chunk_bytes)
				{
					if (i == 0 && it.value)
					{
						auto part = to_wire(it);
						const auto from = std::min(offset, it.value->size());
						part.__set_value(
							it.value->substr(from, max_control_chunk_bytes - record_overhead - it.key.size()));
						part.__set_offset(static_cast<std::int32_t>(from));
						part.__set_total(static_cast<std::int32_t>(it.value->size()));
						push.records.push_back(part);
					}
					return push;
				}
				bytes += size;
				push.records.push_back(to_wire(it));
				// Complete through a revision only when none of its versions is left out.
				if (i + 1 == versions.size() || versions[i + 1].rev != it.rev)
				{
					push.rev = to_wire(it.rev);
				}
				if (push.records.size() == max_control_elements)
				{
					return push;
				}
			}
			push.rev = to_wire(std::max(complete, after));
			return push;
		}

		void send_pull(relay_state& state, const endpoint& to, revision complete, relay_output& out)
		{
			wire::config_pull pull;
			pull.after = to_wire(complete);
			pull.nonce = static_cast<std::int64_t>(state.view_check_nonce);
			pull.offset = static_cast<std::int32_t>(state.partial_value.size());
			auto envelope = envelope_of(state, complete);
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

		/// Sends what is new to random members of other zones and along the tree of a reader.
		void pass_on(relay_state& state, wire::config_push push, member_id reader, revision complete,
					 random_source& rng, relay_output& out)
		{
			auto envelope = envelope_of(state, complete);
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

		void send_confirmation(relay_state& state, const wire::confirmation& message, revision complete,
							   relay_output& out)
		{
			auto envelope = envelope_of(state, complete);
			envelope.__set_confirmation_message(message);
			for_each_child(state, member_id{unsign(message.reader)},
						   [&](const relay_peer& child) {
							   out.sends.push_back({child.control, envelope});
						   });
		}

		/// Asks the service and a few members, of other zones first; the answers decide on which revision to run.
		void ask_everybody(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
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
			const revision after{unsign(pull.after)};
			auto push = after < store.complete_through
							? take_chunk(store.changes_since(after), after, store.complete_through,
										 static_cast<std::size_t>(std::max(pull.offset, 0)))
							: take_chunk({}, after, after, 0);
			push.nonce = pull.nonce;
			push.current = view_is_current(state);
			auto envelope = envelope_of(state, store.complete_through);
			envelope.__set_push_message(push);
			out.sends.push_back({source, envelope});
		}

		/// Collects the parts of a long value; returns the versions that are whole.
		[[nodiscard]] std::vector<record_version> whole_versions(relay_state& state, const wire::config_push& push)
		{
			std::vector<record_version> versions;
			for (const auto& it : push.records)
			{
				const revision rev{unsign(it.rev)};
				if (!it.__isset.total)
				{
					versions.push_back({it.key, rev, it.__isset.value ? std::optional{it.value} : std::nullopt});
					continue;
				}
				constexpr std::int32_t max_value = 1 << 20;
				if (rev != state.partial_value_revision)
				{
					state.partial_value.clear();
					state.partial_value_revision = rev;
				}
				if (it.total > max_value || it.offset != static_cast<std::int32_t>(state.partial_value.size()))
				{
					continue;
				}
				state.partial_value += it.value;
				if (state.partial_value.size() == static_cast<std::size_t>(it.total))
				{
					versions.push_back({it.key, rev, std::exchange(state.partial_value, {})});
				}
			}
			return versions;
		}

		void on_push(relay_state& state, const endpoint& source, const wire::control_envelope& envelope,
					 const record_source& store, monotonic_time now, random_source& rng, relay_output& out)
		{
			const auto& push = envelope.push_message;
			const revision after{unsign(push.after)};
			auto complete = store.complete_through;
			auto versions = whole_versions(state, push);
			if (after <= complete)
			{
				// A long value is complete once its last part is there, although each part says `rev` = `after`.
				const bool last_part = push.records.size() == 1 && push.records[0].__isset.total && !versions.empty();
				const auto through =
					last_part ? std::max(revision{unsign(push.rev)}, versions[0].rev) : revision{unsign(push.rev)};
				if (through > complete)
				{
					complete = through;
					out.applies.push_back({std::move(versions), complete, false});
					if (!last_part)
					{
						pass_on(state, push, member_id{unsign(push.reader)}, complete, rng, out);
					}
				}
			}
			state.highest_revision = std::max({state.highest_revision, complete, revision{unsign(push.rev)}});
			if (!state.is_view_current && state.view_check_nonce != 0 && unsign(push.nonce) == state.view_check_nonce)
			{
				// A peer that is itself not current proves nothing, but what it sent counts, and it has answered.
				if (push.current)
				{
					++state.received_answers;
				}
				else
				{
					--state.expected_answers;
				}
			}
			// The next chunk is pulled at once from the same peer.
			if (revision{unsign(envelope.newest)} > complete && (push.nonce != 0 || after > complete))
			{
				send_pull(state, source, complete, out);
				state.next_pull = now + state.settings.pull_retry_interval;
			}
		}

		void on_confirmation(relay_state& state, const wire::confirmation& message, const record_source& store,
							 monotonic_time now, relay_output& out)
		{
			const member_id reader{unsign(message.reader)};
			auto& newest = state.confirmations[reader];
			const auto root = std::ranges::find(state.zone_peers, reader, &relay_peer::id);
			if (unsign(message.number) <= newest || root == state.zone_peers.end())
			{
				return;
			}
			newest = unsign(message.number);
			state.highest_revision = std::max(state.highest_revision, revision{unsign(message.rev)});
			state.confirmed_at = std::max(state.confirmed_at, now - milliseconds{std::max(message.age_ms, 0)});
			if (static_cast<std::size_t>(root - state.zone_peers.begin()) < state.rank)
			{
				state.lower_rank_confirmed_at = now;
				state.is_reader = false;
			}
			send_confirmation(state, message, store.complete_through, out);
		}

		/// Returns whether this process is to read now.
		[[nodiscard]] bool reads(const relay_state& state, monotonic_time now) noexcept
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
		state.life = self.life;
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
		// Ids are hashes of names, alike everywhere; mixing in the zone only keeps the order apart from that of
		// probing.
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
		relay_on_digest(state, revision{unsign(envelope.newest)});
		if (envelope.__isset.pull_message)
		{
			on_pull(state, source, envelope.pull_message, store, out);
		}
		if (envelope.__isset.push_message)
		{
			on_push(state, source, envelope, store, now, rng, out);
		}
		else if (revision{unsign(envelope.newest)} > store.complete_through && now >= state.next_pull)
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
		// A stale service proves nothing; it counts as a failed read, and nothing of it is taken over.
		const bool proven = result.succeeded && result.rev >= store.complete_through;
		// The read of a start does not make a reader: otherwise all processes would read at the next gap.
		state.is_reader = proven && since != state.view_check_started_at;
		if (!proven)
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
			// The service was asked, and a start may go on with what the members say.
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
			// Longer news than one message is announced by its revision; members pull it.
			auto versions = result.records;
			std::ranges::sort(versions, {}, &record_version::rev); // the service states no order
			auto push = take_chunk(versions, result.after, result.rev, 0);
			if (revision{unsign(push.rev)} == result.rev)
			{
				pass_on(state, push, state.self, result.rev, rng, out);
			}
		}
		state.highest_revision = std::max(state.highest_revision, result.rev);
		wire::confirmation message;
		message.rev = to_wire(result.rev);
		message.reader = to_wire(state.self);
		message.number = static_cast<std::int64_t>(++state.confirmation_number);
		send_confirmation(state, message, result.rev, out);
	}

	void relay_on_tick(relay_state& state, const record_source& store, monotonic_time now, random_source& rng,
					   relay_output& out)
	{
		const bool paused = state.last_tick && now - *state.last_tick > state.settings.pause_limit;
		if (!state.last_tick || paused)
		{
			state.confirmed_at = now;
			ask_everybody(state, store, now, rng, out);
		}
		state.last_tick = now;
		if (!state.is_view_current)
		{
			const bool all = state.received_answers >= state.expected_answers;
			if (state.received_answers > 0 &&
				(all || now - state.view_check_started_at >= state.settings.view_check_timeout))
			{
				// Revisions named meanwhile must be there, too, so that the process does not start on a lower one.
				state.is_view_current = store.complete_through >= state.highest_revision;
			}
			else if (now - state.view_check_started_at >= state.settings.view_check_timeout)
			{
				ask_everybody(state, store, now, rng, out);
			}
		}
		if (state.read_started_at &&
			now - *state.read_started_at > state.settings.read_timeout + state.settings.read_wait)
		{
			relay_on_read(state, {}, store, now, rng, out);
		}
		if (!state.read_started_at && now >= state.next_read && reads(state, now))
		{
			state.read_started_at = now;
			out.reads.push_back({store.complete_through, state.settings.read_wait});
		}
		if (state.highest_revision > store.complete_through && now >= state.next_pull)
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
