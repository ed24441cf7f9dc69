#include "nutmegturn/steering/agent_flows.hpp"
#include "nutmegturn/steering/message_arrival.hpp"

#include "node/agent_log.hpp"
#include "node/balancer_messages.hpp"
#include "node/node.hpp"
#include "node/process_signals.hpp"
#include "node/suspended_time.hpp"
#include "platform/packet_format.hpp"
#include "runtime/udp.hpp"

#include <fmt/format.h>
#include <sys/socket.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <csignal>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::agent_decision;
		using steering::ipv4;
		using steering::message;
		using steering::message_kind;
		using steering::segment;
		using steering::to_endpoint;
		using steering::to_ipv4;
		using steering::to_string;

		constexpr std::size_t batch_size = 64;

		/// Interval of checks whether a load report is due.
		constexpr auto load_interval = 100ms;

		/// Interval of checks of the waiting opening packets while there are any.
		constexpr auto queue_check_interval = 20ms;

		/// Interval of sweeps for idle flows.
		constexpr auto sweep_interval = 1s;

		/// Delay before the process ends, in which balancers learn that this agent stops. Packets that they send to it
		/// later are lost.
		constexpr auto stop_notice_time = 50ms;

		class agent_node
		{
		public:
			agent_node(const steering::node_settings& settings, const settings_file& file, node_log& log)
				: node_{settings, file, log}, status_{node_.loop,
													  [this](std::string_view path) { return respond(path); }},
				  signals_{node_.loop, [this](int signal) { on_signal(signal); }}
			{
				state_.gate.instance = settings.instance;
				state_.gate.zone = settings.zone;
				state_.gate.service = settings.service;
				node_.catalog.own_service = state_.gate.service;
				node_.orders_reader.use_agent_intervals();
				node_.upstreams_reader.use_agent_intervals();
				node_.upstreams_reader.set_watch_scope_selector(
					[this]
					{
						const auto& first_listing = node_.upstreams_reader.state().first_listing;
						return choose_watch_scope(state_, node_.catalog, first_listing, node_.loop.now());
					});
				state_.knows_all_flows = settings.first_start;
				state_.gate.started = node_.loop.now();
				state_.watched_since = node_.loop.now();
			}

			/// Opens the sockets.
			/// \returns	An empty string, or the reason for the failure.
			[[nodiscard]] std::string open()
			{
				const auto& settings = node_.settings;
				auto peers = runtime::open_udp(to_endpoint({.ip = settings.instance, .port = settings.peer_port}));
				auto outbound = runtime::open_udp(to_endpoint(settings.upstream_outbound));
				auto upstream = runtime::connect_udp(to_endpoint(settings.upstream));
				for (const auto* it : {&peers, &outbound, &upstream})
				{
					if (!has_value(*it))
					{
						return std::get<1>(*it);
					}
				}
				peers_ = std::move(std::get<0>(peers));
				outbound_ = std::move(std::get<0>(outbound));
				upstream_ = std::move(std::get<0>(upstream));
				to_balancers_.emplace(node_, state_, peers_.get());
				to_callers_.emplace(outbound_.get(), batch_size);
				to_upstream_.emplace(upstream_.get(), batch_size);
				if (!node_.loop.watch(peers_.get(), [this] { read_peers(); }) ||
					!node_.loop.watch(outbound_.get(), [this] { read_outbound(); }) ||
					!node_.loop.watch(upstream_.get(), [this] { read_upstream_errors(); }))
				{
					return "epoll_ctl failed for a UDP socket";
				}
				return node_.listen(status_);
			}

			void run()
			{
				node_.loop.after_each_iteration([this] { flush(); });
				node_.start();
				report_load();
				sweep();
				node_.loop.run();
			}

		private:
			[[nodiscard]] status_response respond(std::string_view path)
			{
				return node_.respond(path, node_.loaded() && !state_.gate.stopping, state_.flows.size());
			}

			/// Drops what waited if the process was paused. Call it before anything that may forward waiting packets.
			void check_for_pause()
			{
				record_loop_iteration(arrival_, node_.loop.now());
				const auto suspended = read_suspended_time().value_or(loop_times_.suspended);
				if (!record_iteration(loop_times_, node_.loop.now(), suspended))
				{
					return;
				}
				const auto dropped = handle_pause(state_);
				if (const auto n = dropped.openings + dropped.flow_packets; n > 0)
				{
					node_.metrics.add(counter::packets_dropped, reason::paused, n);
					node_.log.write(log_level::warning, "waiting_dropped",
									"process was paused; packets that waited for the upstream dropped",
									{{"openings", std::to_string(dropped.openings)},
									 {"flow_packets", std::to_string(dropped.flow_packets)}});
				}
			}

			void read_peers()
			{
				check_for_pause();
				const auto n = batch_.receive(peers_.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto msg = steering::decode_message(batch_.payload(i));
					const auto from = to_ipv4(batch_.source(i));
					if (!msg || !from)
					{
						node_.record_undecodable(from, batch_.payload(i));
						continue;
					}
					++node_.messages.received[static_cast<std::size_t>(msg->kind)];
					const auto balancer = msg->kind == message_kind::probe ? msg->reply_to : from->ip;
					node_.handle_reported_orders(balancer, *msg, balancer);
					if (msg->kind == message_kind::subscribe)
					{
						handle_subscribe(*msg, from->ip);
						continue;
					}
					if (msg->kind == message_kind::query)
					{
						to_balancers_->answer_query(*msg, from->ip);
						continue;
					}
					if (msg->kind == message_kind::probe_relay)
					{
						handle_probe_relay(*msg, from->ip);
						continue;
					}
					handle_packet(*msg, balancer);
				}
				if (n < batch_size)
				{
					record_socket_emptied(arrival_);
				}
			}

			/// \param waited	Time for which the packet waited at this agent.
			void handle_packet(const message& msg, ipv4 balancer, monotonic_clock::duration waited = {})
			{
				const auto packet = platform::decode_packet(msg.packet);
				if (!packet)
				{
					return;
				}
				const auto decision =
					handle_balancer_packet(state_, node_.catalog, msg, *packet, balancer, node_.loop.now());
				if (decision.waits)
				{
					enqueue_opening(msg, *packet, balancer);
					return;
				}
				deliver(decision.preceding);
				apply_decision(decision, *packet, msg.packet, waited);
				schedule_request_check();
			}

			void enqueue_opening(const message& msg, const segment& packet, ipv4 balancer)
			{
				const auto now = node_.loop.now();
				const auto evicted =
					add_opening(state_.queue, make_waiting_opening(state_, node_.catalog, msg, packet, balancer, now));
				if (evicted)
				{
					return_opening(*evicted);
				}
				return_expired_openings();
				schedule_queue_check();
			}

			/// Returns a waiting opening packet to its balancer, which tries another upstream or rejects the flow.
			void return_opening(const steering::waiting_opening& opening)
			{
				const auto now = node_.loop.now();
				const auto status = current_admission_status(state_.gate, node_.catalog, now);
				const bool admits = admits_new_flows(state_.gate, node_.catalog, now);
				const auto why = admits ? steering::admission_status::full : status;
				if (admits)
				{
					record_returned_as_full(state_, opening, now);
				}
				decisions_.log_decline(opening.flow, why, now - opening.queued_at);
				send_declined(opening);
			}

			/// Drops a packet whose caller has gone. Its balancer learns that the flow is not open here, and does not
			/// place it again.
			void drop_abandoned(const steering::waiting_opening& opening)
			{
				decisions_.log_abandoned(opening.flow, node_.loop.now() - opening.queued_at);
				send_declined(opening);
			}

			void send_declined(const steering::waiting_opening& opening)
			{
				to_balancers_->send(opening.balancer, message_kind::declined, opening.flow,
									make_load_report(state_, node_.catalog, node_.loop.now()), opening.packet);
			}

			void return_expired_openings()
			{
				const auto expired = take_expired_openings(state_, node_.catalog, node_.loop.now());
				std::ranges::for_each(expired.returned, [this](const auto& it) { return_opening(it); });
				std::ranges::for_each(expired.abandoned, [this](const auto& it) { drop_abandoned(it); });
			}

			/// Forwards waiting opening packets while the upstream can start their requests.
			void forward_waiting_openings()
			{
				const auto now = node_.loop.now();
				while (const auto opening = take_admissible_opening(state_, node_.catalog, now))
				{
					const auto waited = now - opening->queued_at;
					node_.metrics.observe(distribution::queue_seconds, std::chrono::duration<double>{waited}.count());
					message msg;
					msg.kind = message_kind::open;
					msg.service = opening->service;
					msg.version = opening->version;
					msg.packet = opening->packet;
					handle_packet(msg, opening->balancer, waited);
				}
			}

			/// Forwards packets of open flows to the upstream.
			void deliver(std::span<const steering::queued_packet> packets)
			{
				for (const auto& it : packets)
				{
					if (const auto packet = platform::decode_packet(it.bytes))
					{
						send_to_upstream(*packet, it.bytes, node_.loop.now() - it.queued_at);
					}
				}
			}

			/// Forwards the waiting requests that the upstream can start, and those that have waited for long.
			void forward_waiting_requests()
			{
				const auto due = take_due_requests(state_, node_.catalog, node_.loop.now());
				deliver(due.delivered);
				for (const auto& it : due.dropped)
				{
					decisions_.log_dropped(it);
				}
				schedule_request_check();
			}

			void schedule_request_check()
			{
				const auto deadline = next_request_deadline(state_.requests);
				if (!deadline || (request_check_timer_ != 0 && request_check_at_ <= *deadline))
				{
					return;
				}
				node_.loop.cancel(request_check_timer_);
				request_check_at_ = *deadline;
				request_check_timer_ = node_.loop.call_at(*deadline,
														  [this]
														  {
															  check_for_pause();
															  request_check_timer_ = 0;
															  forward_waiting_requests();
														  });
			}

			void schedule_queue_check()
			{
				if (queue_check_scheduled_ || state_.queue.waiting.empty())
				{
					return;
				}
				queue_check_scheduled_ = true;
				node_.loop.call_at(node_.loop.now() + queue_check_interval, [this] { check_queue(); });
			}

			void check_queue()
			{
				check_for_pause();
				queue_check_scheduled_ = false;
				return_expired_openings();
				forward_waiting_openings();
				schedule_queue_check();
			}

			/// Sends a packet of a flow with unknown holder as a probe to the agents that a balancer names.
			void handle_probe_relay(const message& request, ipv4 balancer)
			{
				const auto probe_relay = steering::decode_probe_relay(request.packet);
				message msg;
				msg.kind = message_kind::probe;
				msg.version = request.version;
				msg.orders_revision = request.orders_revision;
				msg.reply_to = balancer;
				msg.packet = probe_relay.packet;
				for (const auto agent : probe_relay.agents)
				{
					if (agent == node_.settings.instance)
					{
						handle_packet(msg, balancer);
					}
					else
					{
						to_balancers_->send(agent, msg);
					}
				}
			}

			void handle_subscribe(const message& msg, ipv4 balancer)
			{
				const bool is_new = !state_.balancers.contains(balancer);
				const auto arrived = earliest_arrival(arrival_, node_.loop.now());
				const auto knowledge = steering::decode_knowledge(msg.packet, arrived);
				node_.upstreams_reader.handle_known_revision(knowledge.entry);
				node_.handle_knowledge(knowledge);
				to_balancers_->pass_on(knowledge);
				to_balancers_->send_held_flows(handle_subscription(state_, msg, balancer, node_.loop.now()));
				if (knowledge.pass_on)
				{
					to_balancers_->send_load_to_all_but(balancer);
				}
				if (is_new || msg.just_started)
				{
					to_balancers_->send_load(balancer, make_load_report(state_, node_.catalog, node_.loop.now()));
				}
			}

			void read_outbound()
			{
				check_for_pause();
				const auto n = batch_.receive(outbound_.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto bytes = batch_.payload(i);
					const auto packet = platform::decode_packet(bytes);
					if (!packet)
					{
						continue;
					}
					if (packet->bounced)
					{
						platform::clear_bounced_flag(bytes);
					}
					apply_decision(handle_upstream_packet(state_, *packet, node_.loop.now()), *packet, bytes);
				}
				forward_waiting_requests();
				forward_waiting_openings();
			}

			void read_upstream_errors()
			{
				char byte = 0;
				const auto n = ::recv(upstream_.get(), &byte, 1, MSG_DONTWAIT);
				if (n >= 0 || errno != ECONNREFUSED)
				{
					return;
				}
				const bool first_refusal = state_.gate.refused_at == monotonic_time{};
				const auto decision = handle_connection_refused(state_, node_.loop.now());
				for (const auto& reset : decision.resets)
				{
					const auto bytes = platform::encode_reset(reset.flow, reset.sequence);
					send_to_caller(reset.flow.caller.ip, bytes);
				}
				const auto load = make_load_report(state_, node_.catalog, node_.loop.now());
				for (const auto& reply : decision.replies)
				{
					if (reply.kind == message_kind::declined)
					{
						decisions_.log_decline(reply.flow, reply.why, {});
					}
					to_balancers_->send(reply.balancer, reply.kind, reply.flow, load, reply.packet);
				}
				std::ranges::for_each(decision.returned, [this](const auto& it) { return_opening(it); });
				if (first_refusal)
				{
					node_.log.write(log_level::warning, "upstream_refused",
									"upstream port closed (packet refused); flows of the upstream reset",
									{{"flows", std::to_string(decision.resets.size())}});
				}
			}

			void send_to_upstream(const segment& packet, std::span<const std::byte> bytes,
								  monotonic_clock::duration waited)
			{
				node_.metrics.add(counter::packets_received);
				decisions_.log_admission(packet, waited);
				decisions_.log_request(packet, bytes, waited);
				to_upstream_->add(to_endpoint(node_.settings.upstream), bytes);
			}

			void apply_decision(const agent_decision& decision, const segment& packet, std::span<const std::byte> bytes,
								monotonic_clock::duration waited = {})
			{
				if (decision.response_time)
				{
					node_.metrics.observe(distribution::upstream_seconds,
										  std::chrono::duration<double>{*decision.response_time}.count());
				}
				if (decision.slot_time)
				{
					const auto traffic = traffic_class_of(node_.catalog, flow_of_upstream(packet).route);
					node_.metrics_by_class.record_slot_time(traffic, *decision.slot_time);
				}
				if (decision.to_upstream)
				{
					send_to_upstream(packet, bytes, waited);
				}
				if (decision.to_caller)
				{
					send_to_caller(packet.destination.ip, bytes);
				}
				for (const auto& reply : decision.replies)
				{
					const auto load = make_load_report(state_, node_.catalog, node_.loop.now());
					if (reply.kind == message_kind::declined)
					{
						decisions_.log_decline(reply.flow, reply.why, waited);
					}
					to_balancers_->send(reply.balancer, reply.kind, reply.flow, load,
										reply.with_packet ? bytes : std::span<const std::byte>{});
				}
			}

			void send_to_caller(ipv4 caller, std::span<const std::byte> bytes)
			{
				to_callers_->add(to_endpoint({.ip = caller, .port = node_.settings.caller_packets.port}), bytes);
			}

			[[nodiscard]] std::uint32_t slots() const
			{
				const auto* own = own_upstream(state_.gate, node_.catalog);
				return own == nullptr ? 1 : own->entry.slots;
			}

			void report_load()
			{
				const auto now = node_.loop.now();
				for (const auto& notice : collect_newly_held_flows(state_))
				{
					to_balancers_->send_held_flows(notice);
				}
				node_.upstreams_reader.widen_watch();
				const auto report = make_load_report(state_, node_.catalog, now);
				for (const auto balancer : load_report_recipients(state_, report, slots(), now))
				{
					to_balancers_->send_load(balancer, report);
				}
				node_.loop.call_at(now + load_interval, [this] { report_load(); });
			}

			void sweep()
			{
				sweep_flows(state_, node_.catalog, node_.loop.now());
				expire_former(node_.catalog, node_.loop.now());
				node_.loop.call_at(node_.loop.now() + sweep_interval, [this] { sweep(); });
			}

			void on_signal(int signal)
			{
				if (signal == SIGHUP)
				{
					node_.reload();
					return;
				}
				if (state_.gate.stopping)
				{
					node_.loop.stop();
					return;
				}
				check_for_pause();
				const auto decision = handle_stop(state_, node_.catalog, node_.loop.now());
				std::ranges::for_each(decision.returned, [this](const auto& it) { return_opening(it); });
				deliver(decision.delivered);
				const auto report = make_load_report(state_, node_.catalog, node_.loop.now());
				for (const auto& [balancer, heard] : state_.balancers)
				{
					to_balancers_->send_load(balancer, report);
				}
				node_.log.write(log_level::info, "stopping",
								"agent stopping; balancers notified to place no new flows on it");
				node_.loop.call_at(node_.loop.now() + stop_notice_time, [this] { node_.loop.stop(); });
			}

			void flush()
			{
				check_for_pause();
				to_upstream_->flush();
				to_callers_->flush();
				to_balancers_->flush();
				node_.datagrams_refused = to_upstream_->failed() + to_callers_->failed() + to_balancers_->failed();
			}

			node node_;
			steering::agent_state state_;
			agent_log decisions_{node_, state_};
			status_server status_;
			process_signals signals_;
			runtime::file_descriptor peers_;
			runtime::file_descriptor outbound_;
			runtime::file_descriptor upstream_;
			runtime::receive_batch batch_{batch_size, datagram_size};
			std::optional<balancer_messages> to_balancers_;
			std::optional<runtime::send_batch> to_callers_;
			std::optional<runtime::send_batch> to_upstream_;
			steering::loop_times loop_times_;
			steering::message_arrival arrival_; ///< Of messages from balancers.
			bool queue_check_scheduled_ = false;
			std::uint64_t request_check_timer_ = 0; ///< 0 if none is scheduled.
			monotonic_time request_check_at_;       ///< Time of that timer.
		};
	}

	int run_agent(const steering::node_settings& settings, const settings_file& file, node_log& log)
	{
		agent_node agent{settings, file, log};
		if (const auto error = agent.open(); !error.empty())
		{
			log.write(log_level::error, "start_failed", error);
			return 1;
		}
		agent.run();
		return 0;
	}
}
