#pragma once

#include "nutmegturn/steering/balancer_flows.hpp"
#include "nutmegturn/steering/holder_search.hpp"

#include "node/node.hpp"

#include <functional>

namespace nutmegturn::node
{
	/// Runs a balancer's searches for the holders of flows: timers, queries and probes. What happens next in a search
	/// is decided by the functions of `holder_search`.
	class search_runner
	{
	public:
		/// What a search sends.
		struct outputs
		{
			/// Sends a message with a packet, or with encoded flows, to an agent.
			std::function<void(steering::ipv4, steering::message_kind, std::span<const std::byte>)> send_packet;

			/// Sends a reset to the caller of a flow that no upstream holds. Its sequence number is near the caller's
			/// newest acknowledgement.
			std::function<void(const steering::flow_id&, std::uint32_t, reason)> reset_flow;
		};

		/// Creates a runner without searches.
		/// \param shared	State that both roles share; outlives the runner.
		/// \param state	Records the holders that are found; outlives the runner.
		search_runner(node& shared, steering::balancer_state& state, outputs out);

		/// Starts the search for a packet's flow, or adds the packet to a running search.
		/// \returns	False if the packet must be dropped since too many searches are running.
		[[nodiscard]] bool search(const steering::steering_decision& decision, const steering::segment& packet,
								  std::span<const std::byte> bytes);

		/// Handles what an agent's message says about flows that are searched.
		void handle_answers(const steering::message& msg, steering::ipv4 agent);

		/// Handles that the store's answer was applied to the catalog.
		void on_store_answer();

		/// Removes and logs searches that timed out.
		void expire();

	private:
		void handle_denied_flows();
		void schedule_denial_check();
		void check_denied_flows();
		void apply_search_step(const steering::search_step& step, steering::ipv4 agent);
		void schedule_probes();
		void send_probes();
		void send_probes(const std::vector<steering::holder_probe>& probes) const;
		void schedule_far_probes();
		void send_far_probes();
		void schedule_repeat();
		void repeat_queries();
		void send_queries();
		void log_expired(const steering::expired_search& search);

		node& node_;
		steering::balancer_state& state_;
		outputs out_;
		steering::holder_search search_;
		std::uint64_t denial_check_timer_ = 0; ///< Timer of the next check; 0 if none is due.
		monotonic_time last_queries_;          ///< When queries were sent last.
		bool repeat_scheduled_ = false;
		bool probes_scheduled_ = false;
		bool far_probes_scheduled_ = false;
	};
}
