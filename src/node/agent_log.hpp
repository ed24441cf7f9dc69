#pragma once

#include "nutmegturn/steering/agent_flows.hpp"

#include "node/node.hpp"

#include <span>

namespace nutmegturn::node
{
	/// Log lines and metrics about the flows and requests that an agent admits, forwards or declines.
	class agent_log
	{
	public:
		/// Both have to live longer than this.
		agent_log(node& shared, const steering::agent_state& state) noexcept : node_{shared}, state_{state} {}

		/// Logs that an opening packet goes to the upstream, with the entry that allows it. Other packets are ignored.
		/// \param waited	Time for which the packet waited at this agent.
		void log_admission(const steering::segment& packet, monotonic_clock::duration waited);

		/// Logs the id of a request with its flow. The id is read for logging only.
		void log_request(const steering::segment& packet, std::span<const std::byte> bytes,
						 monotonic_clock::duration waited);

		/// Logs that an opening packet goes back to its balancer.
		void log_decline(const steering::flow_id& flow, steering::admission_status why,
						 monotonic_clock::duration waited);

		/// Logs that an opening packet is not forwarded because its caller has gone.
		void log_abandoned(const steering::flow_id& flow, monotonic_clock::duration waited);

		/// Counts a packet of an open flow that is not forwarded, and logs the request that it starts.
		void log_dropped(const steering::queued_packet& packet);

	private:
		[[nodiscard]] std::string class_text(const steering::ipv4_endpoint& route) const;
		void record_admission_by_class(const steering::ipv4_endpoint& route, monotonic_clock::duration waited);
		void log_declined(const steering::flow_id& flow, std::string_view why, reason counted,
						  monotonic_clock::duration waited);

		node& node_;
		const steering::agent_state& state_;
	};
}
