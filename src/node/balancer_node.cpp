#include "nutmegturn/steering/balancer_flows.hpp"
#include "nutmegturn/steering/holder_search.hpp"

#include "node/node.hpp"
#include "node/process_signals.hpp"
#include "platform/packet_format.hpp"
#include "runtime/udp.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::ipv4;
		using steering::message;
		using steering::message_kind;
		using steering::search_step;
		using steering::segment;
		using steering::steering_decision;
		using steering::to_endpoint;
		using steering::to_ipv4;
		using steering::to_string;

		constexpr std::size_t batch_size = 64;
		constexpr std::size_t datagram_size = 2'048;

		/// Interval of checks of denied flows while it is unknown whether the catalog is up to date. An answer of the
		/// store starts a check at once.
		constexpr auto denial_check_interval = 10ms;

		/// Interval of checks whether the catalog has been read.
		constexpr auto catalog_check_interval = 20ms;

		/// Time after which callers send a packet again.
		constexpr auto caller_retransmission = 200ms;

		/// Interval of `subscribe` messages to agents; agents send load reports as long as they get them.
		constexpr auto subscribe_interval = 1s;

		/// Interval of `subscribe` messages to agents that have not sent anything yet, for example because they start
		/// later than the balancer.
		constexpr auto subscribe_retry_interval = 100ms;

		/// Time that a new balancer waits for the flows of its zone before it reports that it is ready for packets of
		/// callers.
		constexpr auto learning_time = 150ms;

		/// Time after which a stopping balancer is out of rotation: it fails two readiness checks, which run twice a
		/// second.
		constexpr auto rotation_exit_time = 1'200ms;

		/// A stopping balancer ends when no packet of a caller has arrived for this time.
		constexpr auto drain_idle_time = 300ms;

		/// Safety margin between the planned end of the process and the kill.
		constexpr auto stop_margin = 1'000ms;

		class balancer_node
		{
		public:
			balancer_node(const steering::node_settings& settings, const settings_file& file, node_log& log)
				: node_{settings, file, log}, status_{node_.loop,
													  [this](std::string_view path) { return respond(path); }},
				  signals_{node_.loop, [this](int signal) { on_signal(signal); }}
			{
				state_.zone = settings.zone;
				state_.started = node_.loop.now();
				node_.upstreams_reader.set_answer_handler([this] { on_store_answer(); });
			}

			/// Opens the sockets.
			/// \returns	An empty string, or the reason for the failure.
			[[nodiscard]] std::string open()
			{
				const auto& settings = node_.settings;
				auto callers = runtime::open_udp(to_endpoint(settings.caller_packets));
				if (!has_value(callers))
				{
					return std::get<1>(callers);
				}
				auto peers = runtime::open_udp(to_endpoint({.ip = settings.instance, .port = settings.peer_port}));
				if (!has_value(peers))
				{
					return std::get<1>(peers);
				}
				callers_ = std::move(std::get<0>(callers));
				peers_ = std::move(std::get<0>(peers));
				to_callers_.emplace(callers_.get(), batch_size);
				to_peers_.emplace(peers_.get(), batch_size);
				if (!node_.loop.watch(peers_.get(), [this] { read_peers(); }))
				{
					return "epoll_ctl failed for a UDP socket";
				}
				return node_.listen(status_);
			}

			void run()
			{
				node_.loop.after_each_iteration([this] { flush(); });
				node_.start();
				subscribe_when_loaded();
				node_.loop.run();
			}

		private:
			[[nodiscard]] status_response respond(std::string_view path)
			{
				if (path == upstreams_path)
				{
					return {.status = 200, .body = node_.upstreams_reader.listing()};
				}
				const bool learned = first_subscribe_ && node_.loop.now() - *first_subscribe_ >= learning_time;
				return node_.respond(path, learned && !stopping_, state_.flows.size());
			}

			void read_callers()
			{
				last_caller_packet_ = node_.loop.now();
				const auto n = batch_.receive(callers_.get());
				node_.metrics.add(counter::packets_received, reason::none, n);
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto bytes = batch_.payload(i);
					const auto packet = platform::decode_packet(bytes);
					if (!packet || node_.catalog.version == 0)
					{
						node_.metrics.add(counter::packets_dropped, packet ? reason::not_current : reason::malformed);
						continue;
					}
					const auto decision =
						steer_packet(state_, node_.catalog, *packet, node_.loop.now(), node_.configuration_current());
					apply_decision(decision, *packet, bytes);
				}
			}

			void read_peers()
			{
				const auto n = batch_.receive(peers_.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto msg = steering::decode_message(batch_.payload(i));
					const auto from = to_ipv4(batch_.source(i));
					if (msg && from)
					{
						++node_.messages.received[static_cast<std::size_t>(msg->kind)];
						node_.handle_orders_revision(from->ip, msg->orders_revision, msg->other_balancer);
						handle_message(*msg, from->ip);
					}
				}
			}

			void handle_message(const message& msg, ipv4 agent)
			{
				const bool lists_flows = msg.kind == message_kind::held_flows || msg.kind == message_kind::query_reply;
				const auto packet =
					lists_flows || msg.packet.empty() ? std::nullopt : platform::decode_packet(msg.packet);
				const auto decision = handle_agent_message(state_, node_.catalog, msg, packet ? &*packet : nullptr,
														   agent, node_.loop.now());
				if (packet)
				{
					apply_decision(decision, *packet, msg.packet);
				}
				handle_search_answers(msg, agent);
			}

			void handle_search_answers(const message& msg, ipv4 agent)
			{
				const auto now = node_.loop.now();
				const bool complete = node_.upstreams_complete();
				if (msg.kind == message_kind::query_reply)
				{
					for (const auto& answer : steering::decode_answers(msg.packet))
					{
						apply_search_step(handle_query_answer(search_, agent, answer, now, complete), agent);
					}
				}
				else if (msg.kind == message_kind::held)
				{
					apply_search_step(finish_search(search_, msg.flow, agent), agent);
				}
				else if (msg.kind == message_kind::held_flows)
				{
					for (const auto& flow : steering::decode_flows(msg.packet))
					{
						apply_search_step(finish_search(search_, flow, agent), agent);
					}
				}
				else if (msg.kind == message_kind::not_held)
				{
					const steering::flow_answer answer{.flow = msg.flow, .presence = steering::flow_presence::not_held};
					apply_search_step(handle_query_answer(search_, agent, answer, now, complete), agent);
				}
				handle_denied_flows();
			}

			/// Gives up flows that no upstream holds: immediately if the catalog is up to date, otherwise after reading
			/// the changes that are pending in the store during a pause between calls.
			void handle_denied_flows()
			{
				if (denial_check_timer_ != 0 || denied_flows(search_).empty())
				{
					return;
				}
				if (node_.upstreams_reader.is_up_to_date_since(node_.loop.now()))
				{
					check_denied_flows();
					return;
				}
				schedule_denial_check();
			}

			void on_store_answer()
			{
				if (denial_check_timer_ != 0)
				{
					check_denied_flows();
				}
			}

			void schedule_denial_check()
			{
				node_.upstreams_reader.refresh();
				denial_check_timer_ =
					node_.loop.call_at(node_.loop.now() + denial_check_interval, [this] { check_denied_flows(); });
			}

			void check_denied_flows()
			{
				const auto now = node_.loop.now();
				node_.loop.cancel(std::exchange(denial_check_timer_, 0));
				for (const auto& id : denied_flows(search_))
				{
					const auto denied = *search_.pending.at(id).denied_at;
					const bool current =
						node_.upstreams_complete() && node_.upstreams_reader.is_up_to_date_since(denied);
					const auto required = steering::required_answers(state_, node_.catalog, id, now);
					apply_search_step(confirm_denied(search_, id, required, now, current), ipv4{});
				}
				send_queries();
				if (!denied_flows(search_).empty())
				{
					schedule_denial_check();
				}
			}

			void apply_search_step(const search_step& step, ipv4 agent)
			{
				switch (step.what)
				{
					case search_step::action::none:
						break;
					case search_step::action::deliver:
						note_holder(state_, step.flow, agent, node_.loop.now());
						for (const auto& packet : step.packets)
						{
							send_packet(agent, message_kind::flow_packet, packet);
						}
						break;
					case search_step::action::probe:
						schedule_probes();
						break;
					case search_step::action::reset:
						reset_flow(step.flow, step.acknowledgement, reason::holder_gone);
						break;
				}
			}

			void apply_decision(const steering_decision& decision, const segment& packet,
								std::span<const std::byte> bytes)
			{
				switch (decision.what)
				{
					case steering_decision::action::forward:
						forward(decision, bytes);
						if (decision.kind == message_kind::open)
						{
							log_placement(decision, packet);
						}
						break;
					case steering_decision::action::search:
						search_holder(decision, packet, bytes);
						break;
					case steering_decision::action::reset:
						reset_flow(flow_of_caller(packet), packet.syn ? 0 : packet.acknowledgement, decision.why);
						break;
					case steering_decision::action::drop:
						if (decision.why != reason::none)
						{
							drop_packet(decision.why, flow_of_caller(packet));
						}
						break;
				}
			}

			void drop_packet(reason why, const steering::flow_id& flow)
			{
				node_.metrics.add(counter::packets_dropped, why);
				log_flow(log_level::warning, "packet_dropped", "packet dropped", flow, to_string(why));
			}

			void forward(const steering_decision& decision, std::span<const std::byte> bytes)
			{
				message msg;
				msg.kind = decision.kind;
				msg.service = decision.service;
				msg.version = node_.catalog.version;
				msg.orders_revision = node_.catalog.orders_revision;
				msg.packet = bytes;
				send(decision.agents.front(), msg);
			}

			void send_packet(ipv4 agent, message_kind kind, std::span<const std::byte> bytes)
			{
				message msg;
				msg.kind = kind;
				msg.version = node_.catalog.version;
				msg.orders_revision = node_.catalog.orders_revision;
				msg.packet = bytes;
				send(agent, msg);
			}

			void search_holder(const steering_decision& decision, const segment& packet,
							   std::span<const std::byte> bytes)
			{
				const auto now = node_.loop.now();
				if (search_table_full(search_, flow_of_caller(packet)))
				{
					drop_packet(reason::queue_full, flow_of_caller(packet));
					return;
				}
				const bool is_first = search_.unsent_queries.empty();
				const bool started = begin_search(search_, flow_of_caller(packet), bytes, packet.acknowledgement,
												  decision.agents, decision.required, now);
				node_.searches += started ? 1 : 0;
				if (started && is_first)
				{
					node_.loop.call_at(std::max(now, last_queries_ + steering::query_interval),
									   [this] { send_queries(); });
				}
				schedule_repeat();
			}

			void schedule_probes()
			{
				if (!probes_scheduled_)
				{
					probes_scheduled_ = true;
					node_.loop.call_at(node_.loop.now() + steering::probe_delay, [this] { send_probes(); });
				}
			}

			void send_probes()
			{
				probes_scheduled_ = false;
				send_probes(
					take_probes(search_, instances_in_zone(node_.catalog, node_.settings.zone), node_.loop.now()));
				schedule_far_probes();
			}

			void send_probes(const std::vector<steering::holder_probe>& probes)
			{
				for (const auto& probe : probes)
				{
					send_packet(probe.relay, message_kind::probe_relay,
								steering::encode_probe_relay(probe.agents, probe.packet));
				}
			}

			void schedule_far_probes()
			{
				if (!far_probes_scheduled_ && !search_.far_probes.empty())
				{
					far_probes_scheduled_ = true;
					node_.loop.call_at(search_.far_probes.front().due, [this] { send_far_probes(); });
				}
			}

			void send_far_probes()
			{
				far_probes_scheduled_ = false;
				send_probes(take_far_probes(search_, node_.loop.now()));
				schedule_far_probes();
			}

			void schedule_repeat()
			{
				if (repeat_scheduled_ || search_.pending.empty())
				{
					return;
				}
				repeat_scheduled_ = true;
				node_.loop.call_at(node_.loop.now() + steering::search_timeout, [this] { repeat_queries(); });
			}

			void repeat_queries()
			{
				repeat_scheduled_ = false;
				if (steering::repeat_queries(search_, node_.loop.now()))
				{
					send_queries();
				}
				schedule_repeat();
			}

			void send_queries()
			{
				last_queries_ = node_.loop.now();
				std::array<std::byte, steering::max_flows_per_message * steering::encoded_flow_size> encoded{};
				for (const auto& [agent, flows] : take_queries(search_))
				{
					std::span<const steering::flow_id> rest = flows;
					while (!rest.empty())
					{
						const auto part = rest.first(std::min(rest.size(), steering::max_flows_per_message));
						encode_flows(part, encoded);
						rest = rest.subspan(part.size());
						send_packet(agent, message_kind::query,
									std::span{encoded}.first(part.size() * steering::encoded_flow_size));
					}
				}
			}

			void send(ipv4 agent, const message& msg)
			{
				++node_.messages.sent[static_cast<std::size_t>(msg.kind)];
				const auto buffer = to_peers_->reserve(steering::max_message_header_size + msg.packet.size());
				const auto size = encode_message(msg, buffer);
				to_peers_->commit(to_endpoint({.ip = agent, .port = node_.settings.peer_port}), size);
			}

			void reset_flow(const steering::flow_id& flow, std::uint32_t sequence, reason why)
			{
				const auto bytes = platform::encode_reset(flow, sequence);
				to_callers_->add(to_endpoint({.ip = flow.caller.ip, .port = node_.settings.caller_packets.port}),
								 bytes);
				node_.metrics.add(counter::flows_rejected, why);
				log_flow(log_level::warning, "flow_reset", "flow reset; reset sent to its caller", flow,
						 to_string(why));
			}

			void log_placement(const steering_decision& decision, const segment& packet)
			{
				node_.metrics.add(counter::flows_admitted);
				const auto agent = decision.agents.front();
				const auto& load = state_.loads[agent];
				const bool reported = load.reported_at != monotonic_time{};
				const auto age =
					std::chrono::duration_cast<std::chrono::milliseconds>(node_.loop.now() - load.reported_at);
				const auto flow = flow_of_caller(packet);
				node_.log.write(log_level::info, "flow_placed", "flow placed; opening packet sent to an agent",
								{{"flow", fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route))},
								 {"copy", std::to_string(packet.acknowledgement)},
								 {"agent", to_string(agent)},
								 {"at_work", std::to_string(load.report.requests_in_progress)},
								 {"failing_percent", std::to_string(load.report.failure_percent)},
								 {"load_age_ms", reported ? std::to_string(age.count()) : "unknown"},
								 {"version", std::to_string(node_.catalog.version)}});
			}

			void log_flow(log_level level, std::string_view event, std::string text, const steering::flow_id& flow,
						  std::string_view why)
			{
				node_.log.write(level, event, std::move(text),
								{{"flow", fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route))},
								 {"reason", std::string{why}},
								 {"version", std::to_string(node_.catalog.version)}});
			}

			void log_expired(const steering::expired_search& search)
			{
				node_.metrics.add(counter::packets_dropped, reason::upstream_silent);
				const auto first = search.unanswered.empty() ? std::string{} : to_string(search.unanswered.front());
				node_.log.write(
					log_level::warning, "search_expired",
					"search for the holder of a flow expired; not all agents answered",
					{{"flow", fmt::format("{}>{}", to_string(search.flow.caller), to_string(search.flow.route))},
					 {"unanswered", std::to_string(search.unanswered.size())},
					 {"first_unanswered", first},
					 {"rounds", std::to_string(search.rounds)},
					 {"catalog_complete", node_.upstreams_complete() ? "yes" : "no"},
					 {"version", std::to_string(node_.catalog.version)}});
			}

			/// Sends the first `subscribe` messages when the catalog has been read, so that all agents send the flows
			/// of this zone.
			void subscribe_when_loaded()
			{
				if (!node_.loaded())
				{
					node_.loop.call_at(node_.loop.now() + catalog_check_interval, [this] { subscribe_when_loaded(); });
					return;
				}
				subscribe_to_agents();
				first_subscribe_ = node_.loop.now();
				start_reading_callers();
			}

			/// Starts to read callers' packets. Those that arrived while the catalog was read are handled now, unless
			/// their callers have sent them again since.
			void start_reading_callers()
			{
				if (node_.loop.now() - state_.started >= caller_retransmission)
				{
					discard_waiting_packets();
				}
				if (!node_.loop.watch(callers_.get(), [this] { read_callers(); }))
				{
					node_.log.write(log_level::error, "start_failed", "epoll_ctl failed for the UDP socket of callers");
					node_.loop.stop();
				}
			}

			void discard_waiting_packets()
			{
				for (auto n = batch_.receive(callers_.get()); n > 0; n = batch_.receive(callers_.get()))
				{
					node_.metrics.add(counter::packets_received, reason::none, n);
					node_.metrics.add(counter::packets_dropped, reason::not_current, n);
				}
			}

			void subscribe_to_agents()
			{
				message msg;
				msg.version = node_.catalog.version;
				msg.orders_revision = node_.catalog.orders_revision;
				msg.zone = steering::key_of_zone(node_.settings.zone);
				msg.just_started = !first_subscribe_;
				for (const auto& [key, upstream] : node_.catalog.upstreams)
				{
					send(upstream.entry.address.ip, msg);
				}
				schedule_subscribe_retry();
				expire_idle_flows(state_, node_.loop.now());
				for (const auto& expired : expire_searches(search_, node_.loop.now()))
				{
					log_expired(expired);
				}
				expire_former(node_.catalog, node_.loop.now());
				node_.loop.call_at(node_.loop.now() + subscribe_interval, [this] { subscribe_to_agents(); });
			}

			void schedule_subscribe_retry()
			{
				if (!subscribe_retry_scheduled_ && !unheard_agents(state_, node_.catalog).empty())
				{
					subscribe_retry_scheduled_ = true;
					node_.loop.call_at(node_.loop.now() + subscribe_retry_interval, [this] { retry_subscribe(); });
				}
			}

			void retry_subscribe()
			{
				subscribe_retry_scheduled_ = false;
				message msg;
				msg.version = node_.catalog.version;
				msg.orders_revision = node_.catalog.orders_revision;
				msg.zone = steering::key_of_zone(node_.settings.zone);
				for (const auto agent : unheard_agents(state_, node_.catalog))
				{
					send(agent, msg);
				}
				schedule_subscribe_retry();
			}

			void on_signal(int signal)
			{
				if (signal == SIGHUP)
				{
					node_.reload();
					return;
				}
				if (stopping_)
				{
					node_.loop.stop();
					return;
				}
				stopping_ = true;
				stop_requested_ = node_.loop.now();
				node_.log.write(log_level::info, "stopping", "balancer stopping; waiting to leave the rotation");
				node_.loop.call_at(stop_requested_ + rotation_exit_time, [this] { stop_when_idle(); });
			}

			void stop_when_idle()
			{
				const auto now = node_.loop.now();
				const auto deadline =
					stop_requested_ +
					std::max<std::chrono::milliseconds>(node_.settings.stop_grace - stop_margin, rotation_exit_time);
				if (now - last_caller_packet_ >= drain_idle_time || now >= deadline)
				{
					node_.log.write(log_level::info, "stopped", "balancer stopped");
					node_.loop.stop();
					return;
				}
				node_.loop.call_at(std::min(last_caller_packet_ + drain_idle_time, deadline),
								   [this] { stop_when_idle(); });
			}

			void flush()
			{
				to_callers_->flush();
				to_peers_->flush();
				node_.datagrams_refused = to_callers_->failed() + to_peers_->failed();
			}

			node node_;
			steering::balancer_state state_;
			steering::holder_search search_;
			status_server status_;
			process_signals signals_;
			runtime::file_descriptor callers_;
			runtime::file_descriptor peers_;
			runtime::receive_batch batch_{batch_size, datagram_size};
			std::optional<runtime::send_batch> to_callers_;
			std::optional<runtime::send_batch> to_peers_;
			std::optional<monotonic_time> first_subscribe_; ///< Time of the first `subscribe` messages to the agents.
			std::uint64_t denial_check_timer_ = 0;          ///< Timer of the next check; 0 if none is due.
			monotonic_time last_queries_;                   ///< When queries were sent last.
			bool repeat_scheduled_ = false;
			bool probes_scheduled_ = false;
			bool subscribe_retry_scheduled_ = false;
			bool far_probes_scheduled_ = false;
			bool stopping_ = false;
			monotonic_time stop_requested_;
			monotonic_time last_caller_packet_;
		};
	}

	int run_balancer(const steering::node_settings& settings, const settings_file& file, node_log& log)
	{
		balancer_node balancer{settings, file, log};
		if (const auto error = balancer.open(); !error.empty())
		{
			log.write(log_level::error, "start_failed", error);
			return 1;
		}
		balancer.run();
		return 0;
	}
}
