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
	/// Kind of a control message, for the counts.
	enum class message_kind : std::uint8_t
	{
		probe,
		probe_ack,
		member_pull,
		member_page,
		update, ///< Only piggybacked updates.
		count
	};

	inline constexpr std::array<std::string_view, static_cast<std::size_t>(message_kind::count)> message_kind_names{
		"probe", "probe_ack", "member_pull", "member_page", "update"};

	/// Messages sent.
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
		int partition = 0;                ///< Processes of different sides do not reach each other.
		std::uint64_t bytes_sent = 0;     ///< Bytes.
		std::uint64_t bytes_received = 0; ///< Bytes.
	};

	/// Processes in virtual time. Each datagram takes 1 ms to 3 ms, is encoded by its sender and decoded by its
	/// receiver, without keys; ticks are 100 ms apart.
	class fleet
	{
	public:
		/// Creates processes that already know each other and are at rest.
		/// \param n	Number; every tenth is a balancer, the others serve six upstreams each.
		fleet(std::size_t n, std::uint64_t seed);

		/// Runs for a time.
		void run(std::chrono::milliseconds time);

		/// Starts a process with a new incarnation and with the first ten processes as seeds.
		void restart(std::size_t i);

		/// Runs until a condition holds, checked every 100 ms.
		/// \returns	Time until then, or `limit`.
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
		std::chrono::nanoseconds cpu{};      ///< Decisions and codec of all processes.
		std::chrono::nanoseconds tick_cpu{}; ///< Part of `cpu` spent in ticks, without sending.

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
