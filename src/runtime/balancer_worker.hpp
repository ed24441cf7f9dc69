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
	/// State shared between the control thread and the traffic threads of a daemon.
	struct traffic_shared_state
	{
		published<routing_view> view;

		/// Local time at which the view was last confirmed to be current. After a pause, a thread forwards nothing
		/// until a confirmation later than the end of the pause.
		std::atomic<monotonic_time> current_as_of{};

		/// Newest revision seen in packets of other processes. `newer_revision` wakes the control thread when it grows.
		std::atomic<std::uint64_t> newest_seen{0};
		wakeup newer_revision;

		std::atomic<bool> stop{false};
		std::atomic<monotonic_time> last_packet{}; ///< Last caller datagram or answer; used while draining.

		/// Updates `newest_seen` with the revision of a packet.
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

	/// Endpoint from which the network fabric sends to one ingress endpoint, and to which answers are sent. It is
	/// learned from received datagrams; until then, the balancer cannot forward answers.
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
		std::span<ingress_return_path> return_paths; ///< One per ingress endpoint, shared by all traffic threads.
	};

	/// Traffic thread of a balancer. Forwards caller datagrams to agents, and answers to the network fabric. Forwarding
	/// takes no locks and does not allocate memory per packet.
	class balancer_worker
	{
	public:
		/// Opens the sockets.
		/// \returns	The worker, or a description of the failed socket call.
		[[nodiscard]] static result<std::unique_ptr<balancer_worker>, std::string>
		open(const balancer_worker_config& config, traffic_shared_state& traffic, metrics_shard& metrics);

		/// Returns the endpoint of the data socket. If the configured port is 0, the system chooses the port.
		[[nodiscard]] const endpoint& data() const noexcept
		{
			return config_.data;
		}

		/// Returns the endpoint of an ingress socket.
		[[nodiscard]] const endpoint& ingress(std::size_t index) const noexcept
		{
			return ingress_[index].settings.listen;
		}

		/// Runs the event loop until `traffic_shared_state::stop` is set. Call it on the worker's own thread.
		void run();

		/// Runs one iteration of the event loop: forwards the pending datagrams.
		/// \param timeout	Longest wait for the first datagram.
		void run_once(std::chrono::nanoseconds timeout);

	private:
		struct ingress_socket
		{
			ingress_settings settings;
			file_descriptor fd;
			std::unique_ptr<send_batch> out;
			std::shared_ptr<const endpoint> fabric; ///< This thread's cached copy of the shared value.
			monotonic_time fabric_updated_at{};
		};

		balancer_worker(const balancer_worker_config& config, traffic_shared_state& traffic, metrics_shard& metrics);

		void read_ingress(std::size_t index, const routing_view& view, monotonic_time now);
		void read_data(monotonic_time now);
		void forward(const flow_key& flow, std::span<const std::byte> payload, const routing_view& view);
		void send_answer(const packet& datagram);
		void update_return_path(std::size_t index, const endpoint& source, monotonic_time now);
		void discard_all();

		balancer_worker_config config_;
		traffic_shared_state& traffic_;
		metrics_shard& metrics_;
		poller poller_;
		std::vector<ingress_socket> ingress_;
		file_descriptor data_;
		std::unique_ptr<send_batch> agent_batch_;
		receive_batch receive_batch_;
		pause_detector pause_;
	};
}
