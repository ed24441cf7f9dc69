#include "runtime/balancer_worker.hpp"

#include "nutmegturn/balancer.hpp"
#include "nutmegturn/packet_codec.hpp"
#include "nutmegturn/proxy_header.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::runtime
{
	namespace
	{
		/// Longest wait in the event loop; bounds the delay until a stop request or a pause is detected.
		constexpr std::chrono::milliseconds max_wait{100};

		/// Batches read from one socket in one pass, so that the other sockets are not starved.
		constexpr int max_batches_per_pass = 4;
	}

	balancer_worker::balancer_worker(const balancer_worker_config& config, traffic_shared_state& traffic,
									 metrics_shard& metrics)
		: config_{config}, traffic_{traffic}, metrics_{metrics}, receive_batch_{64}, pause_{read_clock()}
	{
	}

	result<std::unique_ptr<balancer_worker>, std::string>
	balancer_worker::open(const balancer_worker_config& config, traffic_shared_state& traffic, metrics_shard& metrics)
	{
		std::unique_ptr<balancer_worker> worker{new balancer_worker{config, traffic, metrics}};
		for (std::size_t i = 0; i < config.ingress.size(); ++i)
		{
			auto fd = open_udp(config.ingress[i].listen, true);
			if (!has_value(fd))
			{
				return std::get<1>(std::move(fd));
			}
			ingress_socket socket{config.ingress[i], std::get<0>(std::move(fd)), nullptr, nullptr, {}};
			socket.settings.listen = local_endpoint(socket.fd.get());
			socket.out = std::make_unique<send_batch>(socket.fd.get());
			if (!worker->poller_.add(socket.fd.get(), i))
			{
				return std::string{"cannot watch an ingress socket"};
			}
			worker->ingress_.push_back(std::move(socket));
		}
		auto fd = open_udp(config.data, true);
		if (!has_value(fd))
		{
			return std::get<1>(std::move(fd));
		}
		worker->data_ = std::get<0>(std::move(fd));
		worker->config_.data = local_endpoint(worker->data_.get());
		worker->agent_batch_ = std::make_unique<send_batch>(worker->data_.get());
		if (!worker->poller_.add(worker->data_.get(), config.ingress.size()))
		{
			return std::string{"cannot watch the data socket"};
		}
		return worker;
	}

	void balancer_worker::run()
	{
		while (!traffic_.stop.load(std::memory_order_relaxed))
		{
			run_once(max_wait);
		}
	}

	void balancer_worker::run_once(std::chrono::nanoseconds timeout)
	{
		const auto events = poller_.wait(timeout);
		const auto now = read_clock();
		if (pause_.tick(now))
		{
			// The age of the pending datagrams is unknown.
			discard_all();
			return;
		}
		const auto view = traffic_.view.load();
		const bool current = traffic_.current_as_of.load(std::memory_order_relaxed) >= pause_.resumed_at();
		if (!view || !current)
		{
			if (!events.empty())
			{
				discard_all();
			}
			return;
		}
		for (const auto& it : events)
		{
			if (it.data.u64 < ingress_.size())
			{
				read_ingress(it.data.u64, *view, now);
			}
			else
			{
				read_data(now);
			}
		}
		agent_batch_->flush();
		for (auto& it : ingress_)
		{
			it.out->flush();
		}
	}

	void balancer_worker::discard_all()
	{
		std::size_t n = discard_pending(data_.get());
		for (const auto& it : ingress_)
		{
			n += discard_pending(it.fd.get());
		}
		if (n > 0)
		{
			metrics_.add(counter::packets_dropped, traffic_.view.load() ? reason::paused : reason::not_current, n);
		}
	}

	void balancer_worker::read_ingress(std::size_t index, const routing_view& view, monotonic_time now)
	{
		auto& in = ingress_[index];
		for (int pass = 0; pass < max_batches_per_pass; ++pass)
		{
			const std::size_t n = receive_batch_.receive(in.fd.get());
			if (n == 0)
			{
				return;
			}
			metrics_.add(counter::packets_received, reason::none, n);
			traffic_.last_packet.store(now, std::memory_order_relaxed);
			for (std::size_t i = 0; i < n; ++i)
			{
				if (in.settings.mode == ingress_mode::plain)
				{
					forward({receive_batch_.source(i), in.settings.listen, transport::udp}, receive_batch_.payload(i),
							view);
					continue;
				}
				const auto decoded = decode_proxy_header(receive_batch_.payload(i));
				const auto* datagram = std::get_if<proxied_datagram>(&decoded);
				if (datagram == nullptr)
				{
					metrics_.add(counter::packets_dropped, std::get<reason>(decoded));
					continue;
				}
				update_return_path(index, receive_batch_.source(i), now);
				if (!datagram->local)
				{
					forward({datagram->source, datagram->destination, transport::udp}, datagram->payload, view);
				}
			}
			if (n < receive_batch_.capacity())
			{
				return;
			}
		}
	}

	void balancer_worker::update_return_path(std::size_t index, const endpoint& source, monotonic_time now)
	{
		auto& in = ingress_[index];
		// Several senders of the fabric may alternate; the shared value is replaced at most once a second, since
		// that allocates.
		constexpr std::chrono::seconds min_update_interval{1};
		if (in.fabric && (*in.fabric == source || now - in.fabric_updated_at < min_update_interval))
		{
			return;
		}
		in.fabric = std::make_shared<const endpoint>(source);
		in.fabric_updated_at = now;
		config_.return_paths[index].fabric.store(in.fabric);
	}

	void balancer_worker::forward(const flow_key& flow, std::span<const std::byte> payload, const routing_view& view)
	{
		const auto outcome = route_packet(view, flow);
		const auto* to = std::get_if<route>(&outcome);
		if (to == nullptr)
		{
			metrics_.add(counter::packets_dropped, std::get<reason>(outcome));
			return;
		}
		packet_header header;
		header.kind = packet_kind::forward;
		header.service = to->service;
		header.upstream = to->upstream;
		header.rev = view.rev;
		header.flow = flow;
		header.balancer = config_.data;
		const auto room = agent_batch_->reserve(encoded_header_size + payload.size());
		const auto size = encode_packet(header, payload, config_.keys, room);
		if (const auto* n = std::get_if<std::size_t>(&size))
		{
			agent_batch_->commit(to->agent, *n);
			metrics_.add(counter::packets_sent);
		}
		else
		{
			metrics_.add(counter::packets_dropped, std::get<reason>(size));
		}
	}

	void balancer_worker::read_data(monotonic_time now)
	{
		for (int pass = 0; pass < max_batches_per_pass; ++pass)
		{
			const std::size_t n = receive_batch_.receive(data_.get());
			for (std::size_t i = 0; i < n; ++i)
			{
				const auto decoded = decode_packet(receive_batch_.payload(i), config_.keys);
				const auto* datagram = std::get_if<packet>(&decoded);
				if (datagram == nullptr)
				{
					metrics_.add(counter::packets_dropped, std::get<reason>(decoded));
					continue;
				}
				traffic_.observe_revision(datagram->header.rev);
				if (datagram->header.kind == packet_kind::answer)
				{
					traffic_.last_packet.store(now, std::memory_order_relaxed);
					send_answer(*datagram);
				}
				else if (datagram->header.kind != packet_kind::newer_revision)
				{
					metrics_.add(counter::packets_dropped, reason::bad_kind);
				}
			}
			if (n < receive_batch_.capacity())
			{
				return;
			}
		}
	}

	void balancer_worker::send_answer(const packet& datagram)
	{
		const auto& flow = datagram.header.flow;
		for (std::size_t i = 0; i < ingress_.size(); ++i)
		{
			auto& in = ingress_[i];
			if (in.settings.mode == ingress_mode::plain)
			{
				if (in.settings.listen == flow.service)
				{
					in.out->add(flow.client, datagram.payload);
					metrics_.add(counter::packets_sent);
					return;
				}
				continue;
			}
			if (!in.fabric)
			{
				in.fabric = config_.return_paths[i].fabric.load();
			}
			if (!in.fabric)
			{
				continue;
			}
			const auto room = in.out->reserve(max_proxy_header_size + datagram.payload.size());
			const auto size = encode_proxy_header(flow.service, flow.client, room);
			if (const auto* n = std::get_if<std::size_t>(&size))
			{
				std::ranges::copy(datagram.payload, room.begin() + static_cast<std::ptrdiff_t>(*n));
				in.out->commit(*in.fabric, *n + datagram.payload.size());
				metrics_.add(counter::packets_sent);
			}
			return;
		}
		metrics_.add(counter::packets_dropped, reason::unknown_service);
	}
}
