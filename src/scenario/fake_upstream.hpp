#pragma once

#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <span>
#include <string>
#include <unordered_map>
#include <vector>

namespace nutmegturn::scenario
{
	/// Number of executions by attempt of a request, over all upstreams of a run.
	using execution_counts = std::unordered_map<std::string, std::uint32_t>;

	/// Capacity of a simulated upstream. The system under test does not know it.
	struct upstream_model
	{
		double slots = 5;
		double cold_share = 0.2; ///< Share of the slots available when cold; the capacity is at least one request.
		std::chrono::milliseconds warm_up{30'000};
		std::chrono::milliseconds service_time{50};
		std::chrono::milliseconds crash_after_overload{2'000}; ///< Duration of overload that crashes it.
	};

	/// Simulated upstream. It executes CoAP requests, starts cold, sheds load, and crashes after sustained overload.
	class fake_upstream
	{
	public:
		/// Sends a response through the socket (`source`) on which the request arrived.
		using reply_function = std::function<void(std::uint64_t source, std::vector<std::byte> datagram)>;
		/// Runs a callback after a delay.
		using schedule_function = std::function<void(monotonic_clock::duration delay, std::function<void()> callback)>;

		fake_upstream(std::string service, std::string name, const upstream_model& model, execution_counts& executions,
					  reply_function send_reply, schedule_function schedule);

		/// Processes a CoAP datagram.
		void on_coap_datagram(std::uint64_t source, std::span<const std::byte> datagram, monotonic_time now);

		/// Returns the number of concurrent requests that it sustains without overload.
		[[nodiscard]] double capacity(monotonic_time now) const;

		/// Returns the number of requests in progress.
		[[nodiscard]] std::size_t in_progress() const noexcept
		{
			return running_;
		}

		/// Returns how often overload crashed it.
		[[nodiscard]] std::uint64_t overloads() const noexcept
		{
			return overloads_;
		}

		/// Returns the integral of the requests in progress over time, in slot seconds.
		[[nodiscard]] double work_done() const noexcept
		{
			return work_slot_seconds_;
		}

		/// Resets the capacity to that of a cold upstream without notifying the agent.
		void reset_warm_up(monotonic_time now) noexcept
		{
			cold_since_ = now;
		}

		/// Loses all requests in progress and starts cold.
		void restart(monotonic_time now);

		/// Sets whether it ignores datagrams and sends no responses.
		void set_silent(bool silent) noexcept
		{
			silent_ = silent;
		}

	private:
		void advance(monotonic_time now);
		void finish(std::uint64_t generation, std::uint64_t source, const std::vector<std::byte>& response,
					monotonic_time now);

		std::string service_;
		std::string name_;
		upstream_model model_;
		execution_counts& executions_;
		reply_function send_reply_;
		schedule_function schedule_;
		monotonic_time cold_since_{};
		monotonic_time advanced_{};
		double overloaded_s_ = 0; ///< Duration of the current overload in seconds.
		double work_slot_seconds_ = 0;
		std::size_t running_ = 0;
		std::uint64_t overloads_ = 0;
		std::uint64_t generation_ = 1;
		bool silent_ = false;
		/// Responses by source and message id, so that a retransmission is not executed again; empty during execution.
		std::map<std::pair<std::uint64_t, std::uint16_t>, std::vector<std::byte>> exchanges_;
	};
}
