#pragma once

#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/control_send.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/time.hpp"

#include <queue>

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <vector>

namespace nutmegturn::test
{
	/// Control endpoint of a node.
	inline endpoint address_of(std::size_t i)
	{
		endpoint ep{{}, 7000};
		ep.ip.bytes[14] = static_cast<std::uint8_t>(i >> 8U);
		ep.ip.bytes[15] = static_cast<std::uint8_t>(i);
		return ep;
	}

	/// Simulated network with virtual time between nodes that exchange control messages. A `Node` has
	/// `on_message(endpoint, envelope, now, sends)` and `on_tick(now, sends)`.
	template <typename Node>
	class control_network
	{
	public:
		explicit control_network(std::uint64_t seed) : rng{seed} {}

		random_source rng;
		double loss = 0;
		double duplication = 0;
		std::chrono::milliseconds jitter{2}; ///< Added to 1 ms; causes reordering.
		std::vector<Node> nodes;
		std::vector<std::uint64_t> bytes_sent; ///< Per node, with 28 bytes of IP and UDP header per datagram.
		std::vector<std::uint64_t> sent_to;    ///< Datagrams sent to each node, including lost ones.
		std::vector<int> partition;            ///< Nodes with different values cannot reach each other.
		std::vector<bool> down;
		std::vector<monotonic_time> paused_until;
		bool count_bytes = false; ///< Encode each message to count its bytes.

		void add(Node node)
		{
			nodes.push_back(std::move(node));
			bytes_sent.push_back(0);
			sent_to.push_back(0);
			partition.push_back(0);
			down.push_back(false);
			paused_until.emplace_back();
			next_tick_.push_back(now_ + std::chrono::milliseconds{rng.below(100)});
		}

		[[nodiscard]] monotonic_time now() const
		{
			return now_;
		}

		/// Sends the messages of a node.
		void send(std::size_t from, std::vector<control_send>& sends)
		{
			for (auto& it : sends)
			{
				const auto to =
					static_cast<std::size_t>(it.destination.ip.bytes[14] << 8U | it.destination.ip.bytes[15]);
				if (to < nodes.size())
				{
					++sent_to[to];
				}
				if (count_bytes)
				{
					std::uint64_t number = 0;
					const auto datagram = encode_control(it.envelope, number, key_ring{});
					bytes_sent[from] += std::get<std::vector<std::byte>>(datagram).size() + 28;
				}
				for (int copies = rng.uniform() < duplication ? 2 : 1; copies > 0; --copies)
				{
					if (to < nodes.size() && partition[from] == partition[to] && rng.uniform() >= loss)
					{
						const auto delay = std::chrono::microseconds{
							1000 + rng.below(static_cast<std::uint64_t>(jitter.count()) * 1000 + 1)};
						in_transit_.push({now_ + delay, ++sent_, from, to, it.envelope});
					}
				}
			}
			sends.clear();
		}

		/// Runs for a time in steps of 1 ms.
		void run(std::chrono::milliseconds time)
		{
			std::vector<control_send> sends;
			for (const auto end = now_ + time; now_ < end; now_ += std::chrono::milliseconds{1})
			{
				while (!in_transit_.empty() && in_transit_.top().at <= now_)
				{
					const auto it = in_transit_.top();
					in_transit_.pop();
					if (!down[it.to] && now_ >= paused_until[it.to])
					{
						nodes[it.to].on_message(address_of(it.from), it.envelope, now_, sends);
						send(it.to, sends);
					}
					else if (!down[it.to])
					{
						// A process that resumes finds the datagram in its socket, and may run timers before it reads
						// it.
						in_transit_.push({paused_until[it.to] + std::chrono::milliseconds{5}, it.number, it.from, it.to,
										  it.envelope});
					}
				}
				for (std::size_t i = 0; i < nodes.size(); ++i)
				{
					if (now_ >= next_tick_[i] && !down[i] && now_ >= paused_until[i])
					{
						next_tick_[i] = now_ + std::chrono::milliseconds{100};
						nodes[i].on_tick(now_, sends);
						send(i, sends);
					}
				}
			}
		}

	private:
		struct datagram_in_transit
		{
			monotonic_time at;
			std::uint64_t number;
			std::size_t from;
			std::size_t to;
			wire::control_envelope envelope;

			[[nodiscard]] friend bool operator<(const datagram_in_transit& a, const datagram_in_transit& b)
			{
				return a.at != b.at ? a.at > b.at : a.number > b.number;
			}
		};

		monotonic_time now_{std::chrono::hours{1}};
		std::uint64_t sent_ = 0;
		std::priority_queue<datagram_in_transit> in_transit_;
		std::vector<monotonic_time> next_tick_;
	};
}
