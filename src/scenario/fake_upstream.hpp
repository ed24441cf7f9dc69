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
	/// How often each request ran, by request name, over all upstreams of a run.
	using execution_counts = std::unordered_map<std::string, std::uint32_t>;

	/// Capacity of an upstream, which the system is not told.
	struct upstream_model
	{
		double slots = 5;
		double cold_share = 0.2; ///< Share of the slots borne when cold; at least one request is always borne.
		std::chrono::milliseconds warm_up{30'000};
		std::chrono::milliseconds service_time{50};
		std::chrono::milliseconds crash_after_overload{2'000}; ///< Time above capacity after which it falls over.
	};

	/// Upstream of the platform: echoes datagrams, runs CoAP requests, starts cold, sheds, and falls over when it is
	/// given more than its capacity for long.
	class fake_upstream
	{
	public:
		/// Sends a datagram back through the socket (source number) that a request came from.
		using reply_function = std::function<void(std::uint64_t source, std::vector<std::byte> datagram)>;
		/// Runs a callback after a delay.
		using schedule_function = std::function<void(monotonic_clock::duration delay, std::function<void()> callback)>;

		fake_upstream(std::string service, std::string name, const upstream_model& model, execution_counts& executions,
					  reply_function send_reply, schedule_function schedule);

		/// Takes a CoAP datagram.
		void on_coap_datagram(std::uint64_t source, std::span<const std::byte> datagram, monotonic_time now);

		/// Returns the requests that it can run at once without falling over.
		[[nodiscard]] double capacity(monotonic_time now) const;

		/// Returns the requests in progress.
		[[nodiscard]] std::size_t in_progress() const noexcept
		{
			return running_;
		}

		/// Returns how often it fell over.
		[[nodiscard]] std::uint64_t overloads() const noexcept
		{
			return overloads_;
		}

		/// Returns the integral of (requests in progress) over time, in slot seconds.
		[[nodiscard]] double work_done() const noexcept
		{
			return work_slot_seconds_;
		}

		/// Falls back to cold, without a word.
		void reset_warm_up(monotonic_time now) noexcept
		{
			cold_since_ = now;
		}

		/// Loses everything in progress and starts cold.
		void restart(monotonic_time now);

		/// Takes datagrams without ever answering, or stops doing so.
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
		double overloaded_s_ = 0; ///< Seconds above capacity without a break.
		double work_slot_seconds_ = 0;
		std::size_t running_ = 0;
		std::uint64_t overloads_ = 0;
		std::uint64_t generation_ = 1;
		bool silent_ = false;
		/// Exchanges by source and message id, so that a retransmission does not run twice. The value is the response,
		/// empty while running.
		std::map<std::pair<std::uint64_t, std::uint16_t>, std::vector<std::byte>> exchanges_;
	};
}
