#include "node/unrouted_packets.hpp"

namespace nutmegturn::node
{
	unrouted_packets::unrouted_packets(node& shared, std::function<void(std::span<const std::byte>)> steer)
		: node_{shared}, steer_{std::move(steer)}
	{
	}

	bool unrouted_packets::keep(std::span<const std::byte> bytes)
	{
		const auto now = node_.loop.now();
		while (!packets_.empty() && now - packets_.front().arrived > max_wait)
		{
			packets_.pop_front();
		}
		if (!node_.configuration_current() || packets_.size() >= max_packets)
		{
			return false;
		}
		packets_.push_back({.bytes = {bytes.begin(), bytes.end()}, .arrived = now});
		node_.orders_reader.confirm(now);
		return true;
	}

	void unrouted_packets::on_store_answer()
	{
		while (!packets_.empty() && node_.orders_reader.is_up_to_date_since(packets_.front().arrived))
		{
			const auto packet = std::move(packets_.front());
			packets_.pop_front();
			if (node_.loop.now() - packet.arrived <= max_wait)
			{
				steer_(packet.bytes);
			}
		}
	}
}
