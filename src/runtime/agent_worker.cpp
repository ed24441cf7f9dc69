#include "runtime/agent_worker.hpp"

#include "nutmegturn/packet_codec.hpp"

#include <sodium.h>

#include <algorithm>
#include <utility>

namespace nutmegturn::runtime
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Interval of `requests_on_tick`, which must run at least every 50 ms.
		constexpr auto tick_interval = 20ms;

		/// Interval of `agent_on_tick`, run state updates and metrics.
		constexpr auto slow_tick_interval = 100ms;

		/// Batches read from the data socket in one pass, so that upstream sockets are not starved.
		constexpr int max_batches_per_pass = 4;

		/// Datagrams read from one upstream socket in one pass, so that the other sockets are not starved.
		constexpr int max_datagrams_per_pass = 16;

		/// First slot of the sockets for requests delegated to this agent. Other agents hold the flows of these
		/// requests, so several flows share a socket, selected by flow hash. Callers choose the CoAP message ids, and
		/// an upstream treats a repeated id on one socket as a retransmission; the number of sockets keeps such
		/// collisions rare.
		constexpr std::uint32_t first_delegate_slot = 0x80000000;
		constexpr std::uint32_t delegate_socket_count = 1'024;

		/// Warm-up time of an upstream of a plain datagram service, counted from its first response. The responses of
		/// such a service carry no information about its load.
		constexpr auto datagram_warm_up = 30s;

		constexpr std::uint64_t data_label = ~std::uint64_t{0};

		[[nodiscard]] std::uint64_t event_label(std::size_t upstream, flow_slot slot) noexcept
		{
			return static_cast<std::uint64_t>(upstream) << 32U | static_cast<std::uint32_t>(slot);
		}

		[[nodiscard]] std::uint64_t counter_delta(std::uint64_t now, std::uint64_t& reported) noexcept
		{
			return now - std::exchange(reported, now);
		}
	}

	agent_worker::agent_worker(const agent_worker_config& config, traffic_shared_state& traffic,
							   agent_shared_state& shared_state, metrics_shard& metrics)
		: config_{config}, traffic_{traffic}, shared_state_{shared_state}, metrics_{metrics}, random_{config.seed},
		  receive_batch_{64}, buffer_(65'536), served_(shared_state.upstreams.size()), pause_{read_clock()}
	{
		randombytes_buf(token_key_.data(), token_key_.size());
	}

	result<std::unique_ptr<agent_worker>, std::string> agent_worker::open(const agent_worker_config& config,
																		  traffic_shared_state& traffic,
																		  agent_shared_state& shared_state,
																		  metrics_shard& metrics)
	{
		std::unique_ptr<agent_worker> worker{new agent_worker{config, traffic, shared_state, metrics}};
		auto fd = open_udp(config.data);
		if (!has_value(fd))
		{
			return std::get<1>(std::move(fd));
		}
		worker->data_ = std::get<0>(std::move(fd));
		worker->send_batch_ = std::make_unique<send_batch>(worker->data_.get());
		if (!worker->poller_.add(worker->data_.get(), data_label))
		{
			return std::string{"cannot watch the data socket"};
		}
		return worker;
	}

	void agent_worker::run()
	{
		while (!traffic_.stop.load(std::memory_order_relaxed))
		{
			run_once();
		}
	}

	void agent_worker::run_once()
	{
		const auto events = poller_.wait(std::max<std::chrono::nanoseconds>(next_tick_ - read_clock(), 0ns));
		const auto now = read_clock();
		const auto view = traffic_.view.load();
		if (pause_.tick(now))
		{
			paused_ = true;
			// The age of the queued datagrams is unknown, so they are discarded; callers retransmit. Responses of
			// upstreams are still read.
			metrics_.add(counter::packets_dropped, reason::paused, discard_pending(data_.get()));
			for (const auto& it : served_)
			{
				if (it && it->service.protocol == service_protocol::coap)
				{
					requests_on_pause(it->requests, now, actions_);
					execute_actions(*it);
				}
			}
		}
		apply_directory(now);
		if (paused_ && view && traffic_.current_as_of.load(std::memory_order_relaxed) > pause_.resumed_at())
		{
			paused_ = false;
			for (const auto& it : served_)
			{
				if (it)
				{
					agent_on_confirmation(it->flows, view->rev, now);
					requests_on_resume(it->requests);
				}
			}
		}
		process_messages(now);
		for (const auto& it : events)
		{
			if (it.data.u64 != data_label)
			{
				read_upstream(it.data.u64, now);
			}
			else if (view && !paused_)
			{
				read_data(*view, now);
			}
			else
			{
				metrics_.add(counter::packets_dropped, view ? reason::paused : reason::not_current,
							 discard_pending(data_.get()));
			}
		}
		if (view && now >= next_tick_)
		{
			tick(*view, now);
		}
		next_tick_ = std::max(next_tick_, now - tick_interval) + (now >= next_tick_ ? tick_interval : 0ms);
		send_batch_->flush();
	}

	void agent_worker::apply_directory(monotonic_time now)
	{
		auto directory = shared_state_.directory.load();
		if (directory == directory_ || !directory)
		{
			return;
		}
		directory_ = std::move(directory);
		for (const auto& record : directory_->own_upstreams)
		{
			const auto service = std::ranges::find(directory_->services, record.service, &service_config::id);
			const auto shared =
				std::ranges::find_if(shared_state_.upstreams, [&](const auto& it) { return it->id == record.id; });
			if (service == directory_->services.end() || shared == shared_state_.upstreams.end())
			{
				continue;
			}
			auto& slot = served_[static_cast<std::size_t>(shared - shared_state_.upstreams.begin())];
			if (slot && (slot->config.service != record.service || slot->service.protocol != service->protocol))
			{
				// The existing flows and requests belong to the previous service.
				slot.reset();
			}
			if (!slot)
			{
				add_upstream(record, *service, **shared, now);
				continue;
			}
			slot->config = record;
			slot->service = *service;
			slot->flows.settings.connections = record.connections;
			slot->requests.config.admission.slots = record.slots;
			slot->requests.admission.config.slots = record.slots;
		}
		for (const auto& it : served_)
		{
			if (it)
			{
				update_peers(*it, now);
			}
		}
	}

	void agent_worker::add_upstream(const upstream_config& record, const service_config& service_record,
									upstream_shared_state& shared, monotonic_time now)
	{
		agent_settings limits;
		limits.upstream = record.id;
		limits.service = record.service;
		limits.agent = config_.data;
		limits.connections = record.connections;
		limits.redirects = config_.redirects;
		const auto index = static_cast<std::size_t>(
			std::ranges::find_if(shared_state_.upstreams, [&](const auto& it) { return it->id == record.id; }) -
			shared_state_.upstreams.begin());
		served_[index] = std::make_unique<served_upstream>(record, service_record, limits, index, shared, now);
		auto& it = *served_[index];
		it.delegate_sockets.resize(delegate_socket_count);
		request_config requests;
		requests.service = record.service;
		requests.upstream = record.id;
		requests.name = record.name;
		requests.issuer = {config_.self, config_.process_incarnation, record.id, token_key_};
		requests.admission.slots = record.slots;
		requests.admission.connections = record.connections;
		requests.table_bound = config_.request_outcomes;
		it.requests = make_request_state(requests, now, random_);
		it.flows.run_state = upstream_run_state::cold;
		if (service_record.protocol == service_protocol::coap)
		{
			set_request_hooks(it);
		}
	}

	void agent_worker::set_request_hooks(served_upstream& it)
	{
		it.flows.requests.context = &it;
		it.flows.requests.on_caller_datagram = [](void* context, agent_state&, flow_slot slot, const packet& datagram,
												  monotonic_time now, random_source& random, action_list& actions)
		{
			requests_on_caller_datagram(static_cast<served_upstream*>(context)->requests, datagram, slot, now, random,
										actions);
		};
		it.flows.requests.on_upstream_datagram = [](void* context, agent_state&, flow_slot slot,
													std::span<const std::byte> datagram, monotonic_time now,
													action_list& actions) {
			requests_on_upstream_datagram(static_cast<served_upstream*>(context)->requests, slot, datagram, now,
										  actions);
		};
		it.flows.requests.on_release =
			[](void* context, agent_state&, flow_slot slot, reason, monotonic_time now, action_list& actions)
		{ requests_on_flow_closed(static_cast<served_upstream*>(context)->requests, slot, now, actions); };
	}

	void agent_worker::process_messages(monotonic_time now)
	{
		shared_state_.inbound.consume_all(
			[&](const traffic_thread_message& message)
			{
				for (const auto& it : served_)
				{
					if (!it)
					{
						continue;
					}
					if (const auto* report = std::get_if<load_report>(&message))
					{
						agent_on_load_report(it->flows, *report, now);
					}
					else
					{
						const auto& announcement = std::get<redirect_announcement>(message);
						if (announcement.service == it->config.service)
						{
							agent_on_redirects(it->flows, announcement, now, actions_);
							execute_actions(*it);
						}
					}
				}
			});
	}

	void agent_worker::read_data(const routing_view& view, monotonic_time now)
	{
		for (int pass = 0; pass < max_batches_per_pass; ++pass)
		{
			const std::size_t n = receive_batch_.receive(data_.get());
			metrics_.add(counter::packets_received, reason::none, n);
			for (std::size_t i = 0; i < n; ++i)
			{
				const auto decoded = decode_packet(receive_batch_.payload(i), config_.keys);
				if (const auto* datagram = std::get_if<packet>(&decoded))
				{
					process_packet(*datagram, receive_batch_.source(i), view, now);
				}
				else
				{
					metrics_.add(counter::packets_dropped, std::get<reason>(decoded));
				}
			}
			if (n < receive_batch_.capacity())
			{
				return;
			}
		}
	}

	void agent_worker::process_packet(const packet& datagram, const endpoint& sender, const routing_view& view,
									  monotonic_time now)
	{
		const auto& header = datagram.header;
		traffic_.observe_revision(header.rev);
		if (header.kind == packet_kind::newer_revision)
		{
			return;
		}
		const auto found =
			std::ranges::find_if(served_, [&](const auto& it) { return it && it->config.id == header.upstream; });
		if (found == served_.end() || (*found)->config.service != header.service)
		{
			metrics_.add(counter::packets_dropped, reason::wrong_upstream);
			return;
		}
		auto& it = **found;
		const bool coap = it.service.protocol == service_protocol::coap;
		if (header.kind == packet_kind::forward)
		{
			agent_on_packet(it.flows, datagram, view, now, random_, actions_);
		}
		else if (header.kind == packet_kind::request_delegate && coap)
		{
			const auto slot = flow_slot{first_delegate_slot +
										static_cast<std::uint32_t>(flow_hash(header.flow) % delegate_socket_count)};
			requests_on_delegate(it.requests, datagram, sender, slot, now, actions_);
		}
		else if (header.kind == packet_kind::delegate_result && coap)
		{
			requests_on_delegate_result(it.requests, datagram, now, random_, actions_);
		}
		else
		{
			metrics_.add(counter::packets_dropped, reason::bad_kind);
		}
		execute_actions(it);
	}

	file_descriptor* agent_worker::upstream_socket(served_upstream& it, flow_slot slot)
	{
		const auto number = static_cast<std::uint32_t>(slot);
		auto& sockets = number >= first_delegate_slot ? it.delegate_sockets : it.sockets;
		const auto position = number >= first_delegate_slot ? number - first_delegate_slot : number;
		if (position >= sockets.size())
		{
			sockets.resize(position + 1);
		}
		return &sockets[position];
	}

	void agent_worker::read_upstream(std::uint64_t label, monotonic_time now)
	{
		const auto index = static_cast<std::size_t>(label >> 32U);
		const flow_slot slot{static_cast<std::uint32_t>(label)};
		auto* it = index < served_.size() ? served_[index].get() : nullptr;
		if (it == nullptr)
		{
			return;
		}
		for (int pass = 0; pass < max_datagrams_per_pass; ++pass)
		{
			const auto* fd = upstream_socket(*it, slot);
			if (!*fd)
			{
				return;
			}
			const auto n = ::recv(fd->get(), buffer_.data(), buffer_.size(), MSG_DONTWAIT);
			if (n < 0)
			{
				if (errno == ECONNREFUSED)
				{
					metrics_.add(counter::packets_dropped, reason::upstream_unreachable);
				}
				return;
			}
			if (it->first_answer == monotonic_time{})
			{
				it->first_answer = now;
			}
			const auto datagram = std::span<const std::byte>{buffer_}.first(static_cast<std::size_t>(n));
			if (static_cast<std::uint32_t>(slot) >= first_delegate_slot)
			{
				requests_on_upstream_datagram(it->requests, slot, datagram, now, actions_);
			}
			else
			{
				agent_on_upstream_datagram(it->flows, slot, datagram, now, actions_);
			}
			execute_actions(*it);
		}
	}

	void agent_worker::tick(const routing_view& view, monotonic_time now)
	{
		const bool slow = now >= next_slow_tick_;
		if (slow)
		{
			next_slow_tick_ = now + slow_tick_interval;
		}
		for (const auto& it : served_)
		{
			if (!it)
			{
				continue;
			}
			if (it->service.protocol == service_protocol::coap)
			{
				requests_on_tick(it->requests, now, random_, actions_);
				execute_actions(*it);
			}
			if (slow)
			{
				update_run_state(*it, now);
				agent_on_tick(it->flows, view, now, random_, actions_);
				execute_actions(*it);
				report_metrics(*it);
			}
		}
		if (slow)
		{
			report_load(now);
		}
	}

	void agent_worker::report_load(monotonic_time now)
	{
		load_report report;
		report.sequence = ++report_sequence_;
		std::int64_t flows = 0;
		std::int64_t in_progress = 0;
		std::int64_t redirects = 0;
		for (const auto& it : served_)
		{
			if (it)
			{
				report.loads.push_back(agent_load(it->flows));
				flows += static_cast<std::int64_t>(it->flows.flows.size());
				redirects += static_cast<std::int64_t>(it->flows.redirects.size());
				in_progress += it->flows.requests_in_progress;
				update_peers(*it, now);
			}
		}
		metrics_.set(gauge::flows_open, flows);
		metrics_.set(gauge::redirects, redirects);
		metrics_.set(gauge::requests_in_progress, in_progress);
		for (const auto& it : served_)
		{
			if (it && served_.size() > 1)
			{
				agent_on_load_report(it->flows, report, now);
			}
		}
		if (now >= next_report_)
		{
			next_report_ = now + load_report_interval;
			post_to_control(std::move(report));
		}
	}

	void agent_worker::update_run_state(served_upstream& it, monotonic_time now)
	{
		if (it.service.protocol == service_protocol::coap)
		{
			it.observed = it.requests.admission.run_state;
		}
		else if (it.first_answer != monotonic_time{})
		{
			it.observed =
				now - it.first_answer < datagram_warm_up ? upstream_run_state::warming : upstream_run_state::serving;
		}
		const auto admin_state = it.shared.admin_state.load(std::memory_order_relaxed);
		it.flows.run_state = admin_state == upstream_run_state::serving ? it.observed : admin_state;
		const bool should_drain = admin_state == upstream_run_state::draining ||
								  admin_state == upstream_run_state::leaving || admin_state == upstream_run_state::out;
		if (should_drain != it.drain_started)
		{
			it.drain_started = should_drain;
			if (should_drain)
			{
				requests_begin_drain(it.requests);
			}
			else
			{
				it.requests.draining = false;
			}
		}
		it.flows.requests_in_progress = static_cast<std::uint32_t>(it.requests.admission.start_times.size());
		it.flows.request_limit = static_cast<std::uint32_t>(it.requests.admission.limit);
		it.shared.observed.store(it.observed, std::memory_order_relaxed);
		it.shared.flows.store(static_cast<std::uint32_t>(it.flows.flows.size()), std::memory_order_relaxed);
		it.shared.in_progress.store(it.flows.requests_in_progress, std::memory_order_relaxed);
		it.shared.idle.store(it.flows.flows.size() == 0 && requests_idle(it.requests), std::memory_order_relaxed);
	}

	void agent_worker::update_peers(served_upstream& it, monotonic_time now)
	{
		if (it.service.protocol != service_protocol::coap || !directory_)
		{
			return;
		}
		std::vector<request_peer> peers;
		std::map<upstream_id, incarnation> incarnations;
		for (const auto& known : it.flows.placement.peers)
		{
			const auto found = directory_->peers.find(known.load.upstream);
			if (found == directory_->peers.end() || !found->second.alive)
			{
				continue;
			}
			incarnations[known.load.upstream] = found->second.process_incarnation;
			const bool usable =
				now - known.reported_at < load_report_lifetime &&
				(known.load.state == upstream_run_state::serving || known.load.state == upstream_run_state::warming);
			if (usable)
			{
				const auto busy = std::min(known.load.in_progress, known.load.limit);
				peers.push_back({known.load.upstream, found->second.agent, found->second.process_incarnation,
								 known.load.limit - busy});
			}
		}
		for (const auto& [upstream, process_incarnation] : it.known_incarnations)
		{
			const auto found = incarnations.find(upstream);
			if (found == incarnations.end() || found->second != process_incarnation)
			{
				requests_on_peer_gone(it.requests, upstream, now, random_, actions_);
				execute_actions(it);
			}
		}
		it.known_incarnations = std::move(incarnations);
		requests_set_peers(it.requests, peers);
	}

	void agent_worker::report_metrics(served_upstream& it)
	{
		const auto& now = it.flows.counters;
		auto& before = it.reported;
		metrics_.add(counter::packets_passed_on, reason::none, counter_delta(now.forwarded, before.forwarded));
		metrics_.add(counter::flows_admitted, reason::none, counter_delta(now.admitted, before.admitted));
		metrics_.add(counter::flows_moved, reason::none, counter_delta(now.placed, before.placed));
		for (std::size_t i = 0; i < now.dropped.size(); ++i)
		{
			const auto why = static_cast<reason>(i);
			if (const auto n = counter_delta(now.dropped[i], before.dropped[i]); n > 0)
			{
				metrics_.add(counter::packets_dropped, why, n);
			}
			if (const auto n = counter_delta(now.released[i], before.released[i]); n > 0)
			{
				metrics_.add(counter::flows_closed, why, n);
			}
			if (const auto n = counter_delta(it.requests.not_run_counts[i], it.reported_not_run[i]); n > 0)
			{
				metrics_.add(counter::requests_rejected, why, n);
			}
			if (const auto n = counter_delta(it.requests.unknown_counts[i], it.reported_unknown[i]); n > 0)
			{
				metrics_.add(counter::requests_unknown, why, n);
			}
		}
	}

	void agent_worker::send_to_upstream(const deliver& action)
	{
		const auto found =
			std::ranges::find_if(served_, [&](const auto& it) { return it && it->config.id == action.upstream; });
		if (found == served_.end())
		{
			metrics_.add(counter::packets_dropped, reason::wrong_upstream);
			return;
		}
		auto& it = **found;
		auto* fd = upstream_socket(it, action.flow);
		if (!*fd)
		{
			auto opened = connect_udp(it.config.target);
			if (!has_value(opened) || !poller_.add(std::get<0>(opened).get(), event_label(it.index, action.flow)))
			{
				metrics_.add(counter::packets_dropped, reason::connections_full);
				return;
			}
			*fd = std::get<0>(std::move(opened));
		}
		// ECONNREFUSED is a pending error of an earlier datagram; this one was not sent, so it is sent again.
		if (::send(fd->get(), action.payload.data(), action.payload.size(), MSG_DONTWAIT) < 0 &&
			(errno != ECONNREFUSED ||
			 ::send(fd->get(), action.payload.data(), action.payload.size(), MSG_DONTWAIT) < 0))
		{
			metrics_.add(counter::packets_dropped, reason::upstream_unreachable);
			return;
		}
		metrics_.add(counter::packets_sent);
	}

	void agent_worker::retire_socket(file_descriptor& socket)
	{
		if (socket)
		{
			poller_.remove(socket.get());
			retired_sockets_.add(std::move(socket), read_clock());
		}
	}

	void agent_worker::execute_actions(served_upstream& served)
	{
		for (auto& it : actions_)
		{
			if (const auto* send = std::get_if<send_packet>(&it))
			{
				const auto room = send_batch_->reserve(encoded_header_size + send->payload.size());
				const auto size = encode_packet(send->header, send->payload, config_.keys, room);
				if (const auto* n = std::get_if<std::size_t>(&size))
				{
					send_batch_->commit(send->destination, *n);
					metrics_.add(counter::packets_sent);
				}
				else
				{
					metrics_.add(counter::packets_dropped, std::get<reason>(size));
				}
			}
			else if (const auto* datagram = std::get_if<deliver>(&it))
			{
				send_to_upstream(*datagram);
			}
			else if (const auto* closed = std::get_if<close_flow>(&it))
			{
				retire_socket(*upstream_socket(served, closed->flow));
			}
			else if (auto* event = std::get_if<audit_event>(&it))
			{
				post_to_control(std::move(*event));
			}
		}
		actions_.clear();
		for (auto& it : served.flows.announcements)
		{
			post_to_control(std::move(it));
		}
		served.flows.announcements.clear();
	}

	void agent_worker::post_to_control(const control_thread_message& message)
	{
		if (shared_state_.outbound.push(message))
		{
			shared_state_.control_wakeup.notify();
		}
		else
		{
			shared_state_.queue_full.fetch_add(1, std::memory_order_relaxed);
		}
	}
}
