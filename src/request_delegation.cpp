#include "nutmegturn/impl/delegation_codec.hpp"
#include "nutmegturn/impl/request_actions.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <variant>

namespace nutmegturn
{
	using namespace detail;

	void requests_on_delegate(request_state& state, const packet& request, const endpoint& sender, flow_slot flow,
							  monotonic_time now, action_list& actions)
	{
		state.buffers.clear();
		if (state.suspended)
		{
			count_drop(actions, reason::not_current);
			return;
		}
		const auto header = decode_delegation_header(request.payload);
		if (!header)
		{
			count_drop(actions, reason::truncated);
			return;
		}
		const auto bytes = request.payload.subspan(delegation_header_size);
		const auto parsed = parse_coap(bytes);
		const auto* message = std::get_if<coap_message>(&parsed);
		if (message == nullptr || (!message->is_request() && message->type() != coap_type::reset))
		{
			count_drop(actions, reason::malformed);
			return;
		}
		const request_coordinator coordinator{sender, request.header.origin, header->coordinator, header->sequence};
		request_identity id;
		id.service = state.config.service;
		boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(id.scope.data()),
									 to_number(coordinator.upstream));
		boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(id.scope.data() + 8),
									 to_number(coordinator.process_incarnation));
		boost::endian::store_big_u64(reinterpret_cast<unsigned char*>(id.scope.data() + 16), coordinator.sequence);
		auto* entry = state.table.find(id);
		if (!message->is_request())
		{
			if (entry != nullptr)
			{
				cancel(state, *entry, now, actions);
			}
			return;
		}
		if (entry != nullptr)
		{
			if (entry->status == request_status::answered || entry->status == request_status::refused ||
				entry->status == request_status::unknown)
			{
				report_outcome(state, *entry, now, actions);
			}
			return;
		}
		if (header->delegate != state.config.issuer.process_incarnation)
		{
			// An earlier incarnation of this agent may have run the request.
			++state.unknown_counts[static_cast<std::size_t>(reason::token_foreign)];
			send_delegation_result(
				state, request.header, coordinator,
				{coordinator.process_incarnation, coordinator.sequence, request_status::unknown, reason::token_foreign},
				{}, actions);
			return;
		}
		entry = add_entry(state, id, request, *message, flow, now);
		if (entry == nullptr)
		{
			// Without an entry, a later duplicate would run, so the request must not be reported as not run.
			count_drop(actions, reason::table_full);
			return;
		}
		entry->coordinator = coordinator;
		entry->deadline = now + std::chrono::milliseconds{header->remaining_ms};
		entry->request.assign(bytes.begin(), bytes.end());
		if (!state.table.bind_token(*entry))
		{
			complete_refused(state, *entry, reason::replayed, now, actions);
			return;
		}
		if (state.draining || now >= entry->deadline)
		{
			complete_refused(state, *entry, state.draining ? reason::upstream_draining : reason::deadline_passed, now,
							 actions);
			return;
		}
		start_queued(state, now, actions);
		if (!state.queue.empty() || !try_start(state, *entry, now, actions))
		{
			enqueue(state, *entry, now, actions);
		}
	}

	void requests_on_delegate_result(request_state& state, const packet& datagram, monotonic_time now,
									 random_source& random, action_list& actions)
	{
		state.buffers.clear();
		const auto result = decode_delegation_result(datagram.payload);
		if (!result)
		{
			count_drop(actions, reason::malformed);
			return;
		}
		auto* found = state.table.find_delegation(result->sequence);
		if (result->coordinator != state.config.issuer.process_incarnation || found == nullptr ||
			found->peer.upstream != datagram.header.origin ||
			(found->status != request_status::delegated && found->status != request_status::unknown))
		{
			count_drop(actions, reason::replayed);
			return;
		}
		auto& entry = *found;
		const bool already_reported = entry.status == request_status::unknown;
		if (result->status == request_status::answered)
		{
			const auto bytes = datagram.payload.subspan(delegation_result_size);
			const auto parsed = parse_coap(bytes);
			const auto* message = std::get_if<coap_message>(&parsed);
			if (message == nullptr || !message->is_response() || make_coap_token(message->token()) != entry.token)
			{
				count_drop(actions, reason::malformed);
				return;
			}
			state.table.release_delegation(entry);
			complete_answered(state, entry, bytes, now, actions);
			return;
		}
		if (already_reported)
		{
			state.table.release_delegation(entry);
			count_drop(actions, reason::deadline_passed);
			return;
		}
		if (result->status == request_status::refused)
		{
			entry.dispatched = false;
			retry_placement(state, entry, result->why, now, random, actions);
			return;
		}
		state.table.release_delegation(entry);
		complete_unknown(state, entry, result->why, now, actions);
	}

	void requests_set_peers(request_state& state, std::span<const request_peer> peers)
	{
		state.peers.assign(peers.begin(), peers.end());
	}

	void requests_on_peer_gone(request_state& state, upstream_id peer, monotonic_time now, random_source& random,
							   action_list& actions)
	{
		state.buffers.clear();
		std::erase_if(state.peers, [&](const auto& it) { return it.upstream == peer; });
		const auto open = state.open;
		for (auto* it : open)
		{
			auto& entry = *it;
			if (entry.status != request_status::delegated || entry.peer.upstream != peer)
			{
				continue;
			}
			if (entry.idempotent)
			{
				retry_placement(state, entry, reason::upstream_unreachable, now, random, actions);
			}
			else
			{
				complete_unknown(state, entry, reason::upstream_unreachable, now, actions);
			}
		}
	}
}
