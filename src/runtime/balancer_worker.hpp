#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/metrics.hpp"
#include "nutmegturn/packet.hpp"
#include "nutmegturn/routing_view.hpp"
#include "nutmegturn/settings.hpp"

#include "runtime/clock.hpp"
#include "runtime/poller.hpp"
#include "runtime/published.hpp"
#include "runtime/udp.hpp"

#include <atomic>
#include <memory>
#include <span>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// What the traffic threads of a daemon share with its control thread.
	struct traffic_shared_state
	{
		published<routing_view> view;

		/// Time on the own clock at which the view was last known to be current. Threads that were paused forward
		/// nothing until it is later than their waking.
		std::atomic<monotonic_time> current_as_of{};

		/// Newest revision in a packet of another process, and its control thread's wake-up.
		std::atomic<std::uint64_t> newest_seen{0};
		wakeup newer_revision;

		std::atomic<bool> stop{false};
		std::atomic<monotonic_time> last_packet{}; ///< Last datagram of a caller, for the drain.

		/// Notes a revision in a packet.
		void observe_revision(revision rev) noexcept
		{
			auto known = newest_seen.load(std::memory_order_relaxed);
			while (to_number(rev) > known)
			{
				if (newest_seen.compare_exchange_weak(known, to_number(rev), std::memory_order_relaxed))
				{
					newer_revision.notify();
					return;
				}
			}
		}
	};

	/// Endpoint from which the fabric sends to one ingress endpoint; answers go back there. A balancer that has not
	/// heard from the fabric yet cannot pass answers on.
	struct ingress_return_path
	{
		published<endpoint> fabric;
	};

	/// Configuration of one traffic thread of a balancer.
	struct balancer_worker_config
	{
		std::vector<ingress_settings> ingress;
		endpoint data;
		key_ring keys;
		std::span<ingress_return_path> return_paths; ///< One for each ingress endpoint, shared by all threads.
	};

	/// One traffic thread of a balancer: forwards datagrams of callers to agents and answers to the fabric. Takes no
	/// lock and allocates nothing per packet.
	class balancer_worker
	{
	public:
		/// Opens the sockets.
		/// \returns	The worker, or the socket call that failed.
		[[nodiscard]] static result<std::unique_ptr<balancer_worker>, std::string>
		open(const balancer_worker_config& config, traffic_shared_state& control, metrics_shard& metrics);

		/// Returns the endpoint of the data socket; the system has chosen the port when the configuration gave 0.
		[[nodiscard]] const endpoint& data() const noexcept
		{
			return config_.data;
		}

		/// Returns the endpoint of an ingress socket.
		[[nodiscard]] const endpoint& ingress(std::size_t index) const noexcept
		{
			return ingress_[index].settings.listen;
		}

		/// Forwards until `traffic_shared_state::stop` is set; to be called on the worker's own thread.
		void run();

		/// Forwards what waits now.
		/// \param timeout	Longest wait for a first datagram.
		void run_once(std::chrono::nanoseconds timeout);

	private:
		struct ingress_socket
		{
			ingress_settings settings;
			file_descriptor fd;
			std::unique_ptr<send_batch> out;
			std::shared_ptr<const endpoint> fabric; ///< This thread's copy of the shared value.
			monotonic_time fabric_updated_at{};
		};

		balancer_worker(const balancer_worker_config& config, traffic_shared_state& control, metrics_shard& metrics);

		void read_ingress(std::size_t index, const routing_view& view, monotonic_time now);
		void read_data(monotonic_time now);
		void forward(const flow_key& flow, std::span<const std::byte> payload, const routing_view& view);
		void send_answer(const packet& datagram);
		void update_return_path(std::size_t index, const endpoint& source, monotonic_time now);
		void discard_all();

		balancer_worker_config config_;
		traffic_shared_state& control_;
		metrics_shard& metrics_;
		poller poller_;
		std::vector<ingress_socket> ingress_;
		file_descriptor data_;
		std::unique_ptr<send_batch> agent_batch_;
		receive_batch receive_batch_;
		pause_detector pause_;
	};
}
