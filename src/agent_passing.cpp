#include "nutmegturn/impl/agent_event.hpp"

#include <algorithm>

namespace nutmegturn
{
	void detail::drop_packet(const agent_event& e, reason why)
	{
		++e.state.counters.dropped[static_cast<std::size_t>(why)];
		e.actions.emplace_back(drop{why});
	}

	void detail::forward_packet(const agent_event& e, upstream_id upstream, const endpoint& agent, upstream_id origin,
								const endpoint& origin_agent, std::uint8_t flags, std::uint8_t position)
	{
		if (e.pkt.header.hops >= max_packet_hops)
		{
			drop_packet(e, reason::hop_limit);
			return;
		}
		auto header = e.pkt.header;
		header.upstream = upstream;
		header.origin = origin;
		header.origin_agent = origin_agent;
		header.flags = flags;
		header.search_position = position;
		header.rev = std::max(header.rev, e.state.rev);
		++header.hops;
		++e.state.counters.forwarded;
		e.actions.emplace_back(send_packet{agent, header, e.pkt.payload});
	}

	void detail::forward_as_origin(const agent_event& e, upstream_id upstream, const endpoint& agent,
								   std::uint8_t flags, std::uint8_t position)
	{
		forward_packet(e, upstream, agent, e.state.settings.upstream, e.state.settings.agent, flags, position);
	}

	void detail::return_to_origin(const agent_event& e, std::uint8_t flags)
	{
		const auto& header = e.pkt.header;
		const auto* origin = e.state.service->find(header.origin);
		const auto& agent = origin != nullptr ? origin->agent : header.origin_agent;
		if (agent.port == 0)
		{
			drop_packet(e, reason::unknown_sender);
			return;
		}
		forward_packet(e, header.origin, agent, header.origin, agent, flags, header.search_position);
	}

	void detail::deliver_packet(const agent_event& e, flow_slot slot)
	{
		auto& entry = e.state.flows.at(slot);
		entry.balancer = e.pkt.header.balancer;
		entry.last_active = e.now;
		++e.state.counters.delivered;
		if (e.state.requests.on_caller_datagram != nullptr)
		{
			e.state.requests.on_caller_datagram(e.state.requests.context, e.state, slot, e.pkt, e.now, e.random,
												e.actions);
			return;
		}
		e.actions.emplace_back(deliver{e.state.settings.upstream, slot, e.pkt.payload});
	}
}
