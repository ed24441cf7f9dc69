#pragma once

#include "nutmegturn/steering/agent_flows.hpp"

#include "node/node.hpp"
#include "runtime/udp.hpp"

#include <cstdint>
#include <span>

namespace nutmegturn::node
{
	/// Messages of an agent to balancers, and its probes to other agents. They leave with the next `flush`.
	class balancer_messages
	{
	public:
		/// Both have to live longer than this.
		/// \param peers	Socket to send on; not owned.
		balancer_messages(node& shared, const steering::agent_state& state, int peers);

		/// Takes what a balancer knows of the store, to pass it on with the next load reports.
		void pass_on(const steering::store_knowledge& knowledge) noexcept;

		/// Sends a load report with the newest known revision of the upstream's entry, and passes on what balancers
		/// told of the store, and the upstream's work. A balancer whose watch lost the answer that told of that
		/// revision reads the entries again.
		void send_load(steering::ipv4 balancer, const steering::load_report& report);

		/// Sends a load report to all balancers but one.
		void send_load_to_all_but(steering::ipv4 excluded);

		/// Tells balancers which flows the upstream holds.
		void send_held_flows(const steering::held_flows_notice& notice);

		/// Answers which flows of a query the upstream holds.
		void answer_query(const steering::message& query, steering::ipv4 balancer);

		/// Sends a message about a flow.
		/// \param packet	Packet that goes back to the balancer; may be empty.
		void send(steering::ipv4 balancer, steering::message_kind kind, const steering::flow_id& flow,
				  const steering::load_report& load, std::span<const std::byte> packet);

		/// Sends a message to the process of an instance.
		void send(steering::ipv4 receiver, const steering::message& msg);

		void flush() noexcept;

		/// Returns the number of messages that the system did not accept.
		[[nodiscard]] std::uint64_t failed() const noexcept;

	private:
		node& node_;
		const steering::agent_state& state_;
		runtime::send_batch batch_;
		steering::store_revision newest_entry_revision_; ///< Of the own upstream, according to any process.
		steering::record_evidence heard_of_upstreams_;   ///< Latest evidence of a balancer, of the whole group.
	};
}
