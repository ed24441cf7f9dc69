#include "nutmegturn/impl/delegation_codec.hpp"
#include "nutmegturn/impl/request_actions.hpp"

#include <algorithm>

namespace nutmegturn
{
	using namespace detail;

	namespace
	{
		// The delegate's deadline is earlier by this margin, so that its result arrives before the coordinator's
		// deadline makes the outcome unknown.
		constexpr std::chrono::milliseconds result_margin{250};

		bool try_delegate(request_state& state, request_entry& entry, std::optional<upstream_id> except,
						  monotonic_time now, random_source& random, action_list& actions)
		{
			request_peer* best = nullptr;
			std::uint64_t equals = 0;
			for (auto& it : state.peers)
			{
				if (it.available_slots == 0 || it.upstream == except ||
					(best != nullptr && it.available_slots < best->available_slots))
				{
					continue;
				}
				equals = best != nullptr && it.available_slots == best->available_slots ? equals + 1 : 1;
				if (random.below(equals) == 0)
				{
					best = &it;
				}
			}
			if (best == nullptr || entry.coordinator)
			{
				return false;
			}
			--best->available_slots;
			entry.peer = *best;
			state.table.bind_delegation(entry, state.next_sequence++);
			entry.status = request_status::delegated;
			entry.dispatched = true;
			entry.delegated_at = now;
			send_delegation(state, entry, entry.request, now, actions);
			return true;
		}
	}

	namespace detail
	{
		bool try_start(request_state& state, request_entry& entry, monotonic_time now, action_list& actions)
		{
			const auto ticket = admission_try_start(state.admission, now);
			if (!ticket)
			{
				return false;
			}
			entry.ticket = ticket;
			entry.status = request_status::running;
			entry.dispatched = true;
			send_to_upstream(state, entry.flow, entry.request, actions);
			return true;
		}

		void send_delegation(request_state& state, request_entry& entry, std::span<const std::byte> message,
							 monotonic_time now, action_list& actions)
		{
			auto header = entry.header;
			header.kind = packet_kind::request_delegate;
			header.flags = 0;
			header.hops = 0;
			header.origin = state.config.upstream;
			header.upstream = entry.peer.upstream;
			const auto remaining = std::max(entry.deadline - now - result_margin, monotonic_clock::duration::zero());
			auto bytes = encode(delegation_header{
				state.config.issuer.process_incarnation, entry.peer.process_incarnation, entry.sequence,
				static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(remaining).count())});
			bytes.insert(bytes.end(), message.begin(), message.end());
			entry.last_sent = now;
			actions.emplace_back(send_packet{entry.peer.agent, header, store_payload(state, std::move(bytes))});
		}

		void enqueue(request_state& state, request_entry& entry, monotonic_time now, action_list& actions)
		{
			entry.status = request_status::queued;
			if (const auto evicted = state.queue.push(entry.header.flow.client.ip, &entry))
			{
				complete_unplaced(state, **evicted, reason::queue_full, now, actions);
			}
		}

		void start_queued(request_state& state, monotonic_time now, action_list& actions)
		{
			while (!state.queue.empty())
			{
				const auto ticket = admission_try_start(state.admission, now);
				if (!ticket)
				{
					return;
				}
				auto& entry = **state.queue.pop();
				entry.ticket = ticket;
				entry.status = request_status::running;
				entry.dispatched = true;
				send_to_upstream(state, entry.flow, entry.request, actions);
			}
		}

		void place(request_state& state, request_entry& entry, std::optional<upstream_id> except, monotonic_time now,
				   random_source& random, action_list& actions)
		{
			if (!state.draining && state.queue.empty() && try_start(state, entry, now, actions))
			{
				return;
			}
			if (try_delegate(state, entry, except, now, random, actions))
			{
				return;
			}
			if (state.draining)
			{
				complete_unplaced(state, entry, reason::upstream_draining, now, actions);
				return;
			}
			enqueue(state, entry, now, actions);
		}

		void retry_placement(request_state& state, request_entry& entry, reason why, monotonic_time now,
							 random_source& random, action_list& actions)
		{
			state.table.release_delegation(entry);
			entry.may_have_run = entry.may_have_run || entry.dispatched;
			const auto except = entry.peer.upstream;
			if (entry.cancelled || now >= entry.deadline)
			{
				complete_unplaced(state, entry, entry.cancelled ? reason::cancelled : why, now, actions);
			}
			else if (!state.budget.try_spend())
			{
				complete_unplaced(state, entry, reason::retry_budget_spent, now, actions);
			}
			else
			{
				place(state, entry, except, now, random, actions);
			}
		}
	}
}
