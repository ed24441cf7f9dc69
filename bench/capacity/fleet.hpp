#pragma once

#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/membership.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <string_view>
#include <vector>

namespace capacity
{
	/// Kind of a control message, as distinguished by `traffic_counts`.
	enum class message_kind : std::uint8_t
	{
		probe,
		probe_ack,
		member_pull,
		member_page,
		update, ///< Message that carries only piggybacked updates.
		count
	};

	inline constexpr std::array<std::string_view, static_cast<std::size_t>(message_kind::count)> message_kind_names{
		"probe", "probe_ack", "member_pull", "member_page", "update"};

	/// Counts of sent messages.
	struct traffic_counts
	{
		std::array<std::uint64_t, static_cast<std::size_t>(message_kind::count)> messages{};
		std::array<std::uint64_t, static_cast<std::size_t>(message_kind::count)> bytes{}; ///< With IP and UDP headers.
		std::uint64_t updates = 0; ///< Piggybacked member updates.

		/// Returns the sum over all kinds.
		[[nodiscard]] std::uint64_t total_bytes() const noexcept;
		/// Returns the sum over all kinds.
		[[nodiscard]] std::uint64_t total_messages() const noexcept;
	};

	/// One simulated process.
	struct process
	{
		nutmegturn::membership_state members;
		bool down = false;
		int partition = 0;                ///< Processes in different network partitions cannot reach each other.
		std::uint64_t bytes_sent = 0;     ///< Bytes.
		std::uint64_t bytes_received = 0; ///< Bytes.
	};

	/// Simulation of processes in virtual time. Each datagram takes 1 ms to 3 ms. It is encoded by its sender and
	/// decoded by its receiver, without keys. Each process ticks every 100 ms.
	class fleet
	{
	public:
		/// Creates processes that already know each other and are in steady state.
		/// \param n	Number of processes; every tenth is a balancer, the others are agents of six upstreams each.
		/// \param seed	Seed of all random choices.
		fleet(std::size_t n, std::uint64_t seed);

		/// Advances the simulation.
		void run(std::chrono::milliseconds time);

		/// Restarts a process with a new incarnation, an empty member list and the first ten processes as seeds.
		void restart(std::size_t i);

		/// Advances the simulation until a condition is true, checked every 100 ms.
		/// \returns	Elapsed virtual time; at least `limit` if the condition was not met.
		template <typename Condition>
		std::chrono::milliseconds run_until(std::chrono::milliseconds limit, Condition condition)
		{
			std::chrono::milliseconds time{};
			while (time < limit && !condition())
			{
				run(std::chrono::milliseconds{100});
				time += std::chrono::milliseconds{100};
			}
			return time;
		}

		/// Sets all counts to 0.
		void reset_counts();

		std::vector<process> processes;
		traffic_counts sent;
		std::chrono::nanoseconds cpu{};      ///< Processor time of message handling, ticks and codec of all processes.
		std::chrono::nanoseconds tick_cpu{}; ///< Part of `cpu` spent in ticks, excluding the sending of messages.

	private:
		struct in_flight_datagram
		{
			std::size_t from;
			std::size_t to;
			std::vector<std::byte> datagram;
		};

		void send_messages(std::size_t from, nutmegturn::membership_output& out);
		[[nodiscard]] nutmegturn::member make_member(std::size_t i);

		nutmegturn::random_source random_;
		std::uint64_t now_ms_ = 3'600'000;
		std::array<std::vector<in_flight_datagram>, 4> in_flight_; ///< By arrival time in ms modulo the size.
		nutmegturn::replay_filter replays_;
	};
}
