#include "nutmegturn/steering/balancer_flows.hpp"

#include "node/node.hpp"
#include "node/process_signals.hpp"
#include "node/search_runner.hpp"
#include "node/unrouted_packets.hpp"
#include "platform/packet_format.hpp"
#include "runtime/udp.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <csignal>
#include <iterator>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::ipv4;
		using steering::message;
		using steering::message_kind;
		using steering::segment;
		using steering::steering_decision;
		using steering::to_endpoint;
		using steering::to_ipv4;
		using steering::to_string;
		using fields = node_log::fields;

		constexpr std::size_t batch_size = 64;

		/// Interval of checks whether the catalog has been read.
		constexpr auto catalog_check_interval = 20ms;

		/// Time after which callers send a packet again.
		constexpr auto caller_retransmission = 200ms;

		/// Interval of `subscribe` messages to agents; agents send load reports as long as they get them.
		constexpr auto subscribe_interval = 1s;

		/// Interval of `subscribe` messages to agents that have not sent anything yet, for example because they start
		/// later than the balancer.
		constexpr auto subscribe_retry_interval = 100ms;

		/// Agents that pass on to other balancers what the store has confirmed. More than one, since one may be down.
		constexpr std::size_t agents_passing_on = 2;

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
				node_.confirmation_ages = steering::balancer_confirmation_ages;
				node_.upstreams_reader.use_balancer_intervals();
				node_.upstreams_reader.set_answer_handler(
					[this]
					{
						searches_.on_store_answer();
						tell_confirmed_records();
					});
				node_.orders_reader.set_answer_handler(
					[this]
					{
						unrouted_.on_store_answer();
						tell_confirmed_records();
					});
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
					handle_caller_packet(batch_.payload(i));
				}
			}

			void handle_caller_packet(std::span<const std::byte> bytes)
			{
				const auto packet = platform::decode_packet(bytes);
				if (!packet || node_.catalog.version == 0)
				{
					node_.metrics.add(counter::packets_dropped, packet ? reason::not_current : reason::malformed);
					return;
				}
				state_.placement = node_.settings.placement;
				// The reset of an opening packet breaks no open flow, so it needs no further confirmation.
				const bool current = packet->syn && node_.configuration_current();
				const auto decision = steer_packet(state_, node_.catalog, *packet, node_.loop.now(), current);
				const bool may_be_open = !packet->syn && !packet->rst;
				if (decision.why != reason::route_unknown || !may_be_open || !unrouted_.keep(bytes))
				{
					apply_decision(decision, *packet, bytes);
				}
			}

			void steer_unrouted_packet(std::span<const std::byte> bytes)
			{
				const auto packet = platform::decode_packet(bytes);
				apply_decision(steer_packet(state_, node_.catalog, *packet, node_.loop.now(), true), *packet, bytes);
			}

			void read_peers()
			{
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
					node_.handle_reported_orders(from->ip, *msg, msg->other_balancer);
					handle_message(*msg, from->ip);
				}
			}

			void handle_message(const message& msg, ipv4 agent)
			{
				if (msg.kind == message_kind::load)
				{
					const auto knowledge = steering::decode_knowledge(msg.packet, node_.loop.now());
					node_.upstreams_reader.handle_known_revision(knowledge.entry);
					node_.handle_knowledge(knowledge);
				}
				const bool stops = msg.load.admission == steering::admission_status::stopping ||
								   msg.load.admission == steering::admission_status::drained;
				const bool has_packet = msg.kind == message_kind::declined || msg.kind == message_kind::not_held;
				const auto packet =
					!has_packet || msg.packet.empty() ? std::nullopt : platform::decode_packet(msg.packet);
				const auto decision = handle_agent_message(state_, node_.catalog, msg, packet ? &*packet : nullptr,
														   agent, node_.loop.now());
				if (stops)
				{
					schedule_subscribe_retry();
				}
				if (packet)
				{
					apply_decision(decision, *packet, msg.packet);
				}
				searches_.handle_answers(msg, agent);
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
						if (!searches_.search(decision, packet, bytes))
						{
							drop_packet(reason::queue_full, flow_of_caller(packet));
						}
						break;
					case steering_decision::action::reset:
						reset_flow(flow_of_caller(packet), packet.syn ? 0 : packet.acknowledgement, decision);
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
				log_flow("packet_dropped", "packet dropped", flow, to_string(why), {});
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

			void send(ipv4 agent, const message& msg)
			{
				++node_.messages.sent[static_cast<std::size_t>(msg.kind)];
				const auto buffer = to_peers_->reserve(encoded_size_bound(msg));
				const auto size = encode_message(msg, buffer);
				to_peers_->commit(to_endpoint({.ip = agent, .port = node_.settings.peer_port}), size);
			}

			/// \param decision	The reset, with the values that determined it.
			void reset_flow(const steering::flow_id& flow, std::uint32_t sequence, const steering_decision& decision)
			{
				const auto bytes = platform::encode_reset(flow, sequence);
				to_callers_->add(to_endpoint({.ip = flow.caller.ip, .port = node_.settings.caller_packets.port}),
								 bytes);
				node_.metrics.add(counter::flows_rejected, decision.why);
				fields values;
				if (decision.reported_wait)
				{
					values.emplace_back("wait_ms", std::to_string(decision.reported_wait->count()));
				}
				if (decision.report_age)
				{
					values.emplace_back("report_age_ms", std::to_string(decision.report_age->count()));
				}
				log_flow("flow_reset", "flow reset; reset sent to its caller", flow, to_string(decision.why),
						 std::move(values));
			}

			/// Returns the class of a route's requests as written in the log, such as `1/non_idempotent`.
			[[nodiscard]] std::string class_of(const steering::ipv4_endpoint& address) const
			{
				return to_string(traffic_class_of(node_.catalog, address));
			}

			void log_placement(const steering_decision& decision, const segment& packet)
			{
				node_.metrics.add(counter::flows_admitted);
				const auto agent = decision.agents.front();
				const auto& load = state_.loads[agent];
				const bool reported = load.reported_at != monotonic_time{};
				const auto flow = flow_of_caller(packet);
				fields values{{"flow", fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route))},
							  {"class", class_of(flow.route)},
							  {"copy", std::to_string(packet.acknowledgement)},
							  {"agent", to_string(agent)},
							  {"entry", decision.upstream_key},
							  {"at_work", std::to_string(load.report.requests_in_progress)},
							  {"failing_percent", std::to_string(load.report.failure_percent)},
							  {"load_age_ms", reported ? age_ms(load.reported_at) : "unknown"},
							  {"orders_age_ms", node_.records_age_ms(node_.orders_reader)},
							  {"version", std::to_string(node_.catalog.version)}};
				if (load.work)
				{
					values.emplace_back("outstanding_ms", std::to_string(load.work->outstanding.count()));
					values.emplace_back("report_age_ms", age_ms(load.work_reported_at));
				}
				node_.log.write(log_level::info, "flow_placed", "flow placed; opening packet sent to an agent",
								std::move(values));
			}

			[[nodiscard]] std::string age_ms(monotonic_time since) const
			{
				return std::to_string(
					std::chrono::duration_cast<std::chrono::milliseconds>(node_.loop.now() - since).count());
			}

			/// \param values	Values that determined the decision.
			void log_flow(std::string_view event, std::string text, const steering::flow_id& flow, std::string_view why,
						  fields values)
			{
				fields all{{"flow", fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route))},
						   {"class", class_of(flow.route)},
						   {"reason", std::string{why}},
						   {"orders_age_ms", node_.records_age_ms(node_.orders_reader)},
						   {"version", std::to_string(node_.catalog.version)}};
				std::ranges::move(values, std::back_inserter(all));
				node_.log.write(log_level::warning, event, std::move(text), std::move(all));
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

			/// Tells the agents at once what the store has just confirmed, so that neither they nor the balancers to
			/// which they pass it on ask the store too.
			void tell_confirmed_records()
			{
				if (first_subscribe_ && node_.take_confirmed())
				{
					send_subscriptions(agents_passing_on);
				}
			}

			/// \param passing_on	Number of agents that are to tell the other balancers at once.
			void send_subscriptions(std::size_t passing_on)
			{
				message msg;
				msg.version = node_.catalog.version;
				msg.orders_revision = node_.catalog.orders_revision;
				msg.zone = node_.settings.zone;
				msg.just_started = !first_subscribe_;
				steering::store_knowledge knowledge{.entry = {},
													.orders = node_.orders_reader.own_evidence(),
													.upstreams = node_.upstreams_reader.own_evidence(),
													.pass_on = false};
				const auto is_expected = [](const steering::known_upstream& upstream)
				{ return upstream.status != steering::service_status::unknown; };
				const auto expected = std::ranges::count_if(node_.catalog.upstreams, [&is_expected](const auto& it)
															{ return is_expected(it.second); });
				const auto n = std::max<std::size_t>(static_cast<std::size_t>(expected), 1);
				const auto first = next_passing_on_ % n;
				next_passing_on_ += passing_on;
				std::size_t index = 0;
				for (const auto& [key, upstream] : node_.catalog.upstreams)
				{
					knowledge.pass_on = is_expected(upstream) && (index++ + n - first) % n < passing_on;
					// The agent does not watch other entries at its address: those of former upstreams or other
					// writers.
					const bool watched = is_expected(upstream) && !upstream.superseded;
					knowledge.entry = watched ? node_.catalog.revisions.at(key) : steering::store_revision{};
					const auto encoded = encode_knowledge(knowledge, node_.loop.now());
					msg.packet = encoded;
					send(upstream.entry.address.ip, msg);
				}
			}

			void subscribe_to_agents()
			{
				send_subscriptions(0);
				schedule_subscribe_retry();
				expire_idle_flows(state_, node_.loop.now());
				searches_.expire();
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
				msg.zone = node_.settings.zone;
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
			search_runner searches_{
				node_,
				state_,
				{.send_packet = [this](ipv4 agent, message_kind kind, std::span<const std::byte> bytes)
				 { send_packet(agent, kind, bytes); },
				 .reset_flow =
					 [this](const steering::flow_id& flow, std::uint32_t sequence, reason why)
				 {
					 steering_decision decision;
					 decision.why = why;
					 reset_flow(flow, sequence, decision);
				 }}};
			unrouted_packets unrouted_{node_,
									   [this](std::span<const std::byte> bytes) { steer_unrouted_packet(bytes); }};
			status_server status_;
			process_signals signals_;
			runtime::file_descriptor callers_;
			runtime::file_descriptor peers_;
			runtime::receive_batch batch_{batch_size, datagram_size};
			std::optional<runtime::send_batch> to_callers_;
			std::optional<runtime::send_batch> to_peers_;
			std::optional<monotonic_time> first_subscribe_; ///< Time of the first `subscribe` messages to the agents.
			std::size_t next_passing_on_ = 0;               ///< Position of the agent that passes on next.
			bool subscribe_retry_scheduled_ = false;
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
