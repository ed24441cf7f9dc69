#pragma once

#include "node/node.hpp"

#include <deque>
#include <functional>
#include <span>
#include <vector>

namespace nutmegturn::node
{
	/// Keeps packets of flows that may be open on unknown routes until the store confirms that this process knows the
	/// newest configuration: the answer that told of the route may have been lost, and a reset would break the flow.
	class unrouted_packets
	{
	public:
		/// Largest number of packets that are kept. Callers send further ones again.
		static constexpr std::size_t max_packets = 256;

		/// Longest time for which a packet is kept. Its caller has sent it again by then.
		static constexpr std::chrono::milliseconds max_wait{1'000};

		/// \param shared	State that both roles share; outlives this object.
		/// \param steer	Called with each packet as soon as the configuration is known to be newer than its arrival.
		unrouted_packets(node& shared, std::function<void(std::span<const std::byte>)> steer);

		/// Keeps a packet that has just arrived and asks the store for a confirmation.
		/// \returns	False if the packet must be dropped, since the store is unreachable or too many packets are
		/// kept.
		[[nodiscard]] bool keep(std::span<const std::byte> bytes);

		/// Handles that the store's answer was applied to the catalog.
		void on_store_answer();

	private:
		struct kept_packet
		{
			std::vector<std::byte> bytes;
			monotonic_time arrived;
		};

		node& node_;
		std::function<void(std::span<const std::byte>)> steer_;
		std::deque<kept_packet> packets_; ///< In order of arrival.
	};
}
