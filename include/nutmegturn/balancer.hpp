#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/reason.hpp"
#include "nutmegturn/routing_view.hpp"

#include <cstddef>
#include <span>
#include <variant>

namespace nutmegturn
{
	/// Destination to which a balancer sends a packet.
	struct route
	{
		endpoint agent; ///< Data endpoint of the primary's agent.
		upstream_id upstream{};
		service_id service{};

		/// Compares all parts.
		[[nodiscard]] friend bool operator==(const route&, const route&) noexcept = default;
	};

	/// A route, or the reason why the packet is dropped.
	using route_outcome = std::variant<route, reason>;

	/// Returns the route of a flow's packets: the agent of the primary of its bucket. Allocates nothing; the result
	/// depends only on the view and the key.
	/// \returns	`unknown_service` when no service has the address, `no_upstream` when the service has no candidate.
	[[nodiscard]] route_outcome route_packet(const routing_view& view, const flow_key& key) noexcept;

	/// Routes the packets of a batch. With 70,000 upstreams the tables exceed the processor's caches; in a batch the
	/// memory loads overlap instead of following one another.
	/// \param view		View to route with.
	/// \param keys		Flows of the packets.
	/// \param outcomes	Receives the same values as `route_packet` returns; at least as long as `keys`.
	void route_packets(const routing_view& view, std::span<const flow_key> keys,
					   std::span<route_outcome> outcomes) noexcept;
}
