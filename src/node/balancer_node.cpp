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

		/// Time in which the store answers a call that reads what was held back.
		constexpr auto denial_check_delay = 25ms;

		/// Between checks of whether the catalog has been read.
		constexpr auto load_check_interval = 20ms;

		/// Between greetings to agents, which keep their load reports coming.
		constexpr auto greeting_interval = 1s;

		/// A new balancer waits this long for the flows of its zone before it takes packets of callers.
		constexpr auto learning_time = 150ms;

		/// A stopping balancer is out of rotation after two missed readiness checks, which come twice a second.
		constexpr auto rotation_time = 1'200ms;

		/// A stopping balancer ends when no packet of a caller has come for this long.
		constexpr auto quiet_time = 300ms;

		/// Kept between the planned end of the process and the kill.
		constexpr auto stop_margin = 1'000ms;

		class balancer_node
		{
		public:
			balancer_node(const steering::node_settings& settings, const settings_file& file, node_log& log)
				: node_{settings, file, log}, status_{node_.loop,
													  [this](std::string_view path) { return answer(path); }},
				  signals_{node_.loop, [this](int signal) { on_signal(signal); }}
			{
				state_.zone = settings.zone;
				state_.started = node_.loop.now();
			}

			/// Opens the sockets.
			/// \returns	Empty, or why it failed.
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
				if (!node_.loop.watch(callers_.get(), [this] { read_callers(); }) ||
					!node_.loop.watch(peers_.get(), [this] { read_peers(); }))
				{
					return "epoll_ctl failed";
				}
				return node_.listen(status_);
			}

			void run()
			{
				node_.loop.after_each_iteration([this] { flush(); });
				node_.start();
				greet_when_loaded();
				node_.loop.run();
			}

		private:
			[[nodiscard]] status_response answer(std::string_view path)
			{
				if (path == upstreams_path)
				{
					return {.status = 200, .body = node_.upstreams_reader.listing()};
				}
				const bool learned = greeted_ && node_.loop.now() - *greeted_ >= learning_time;
				return node_.respond(path, learned && !stopping_, state_.flows.size());
			}

			void read_callers()
			{
				last_packet_ = node_.loop.now();
				const auto n = batch_.receive(callers_.get());
				node_.metrics.add(counter::packets_received, reason::none, n);
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto bytes = batch_.payload(i);
					const auto it = platform::decode_packet(bytes);
					if (!it || node_.catalog.version == 0)
					{
						node_.metrics.add(counter::packets_dropped, it ? reason::not_current : reason::malformed);
						continue;
					}
					const auto decision =
						steer_packet(state_, node_.catalog, *it, node_.loop.now(), node_.configuration_current());
					carry_out(decision, *it, bytes);
				}
			}

			void read_peers()
			{
				const auto n = batch_.receive(peers_.get());
				for (std::size_t i = 0; i < n; ++i)
				{
					const auto it = steering::decode_message(batch_.payload(i));
					const auto from = to_ipv4(batch_.source(i));
					if (it && from)
					{
						node_.handle_orders_revision(from->ip, it->orders_revision, it->other_balancer);
						take_message(*it, from->ip);
					}
				}
			}

			void take_message(const message& it, ipv4 agent)
			{
				const bool lists_flows = it.kind == message_kind::holdings || it.kind == message_kind::answers;
				const auto packet =
					lists_flows || it.packet.empty() ? std::nullopt : platform::decode_packet(it.packet);
				const auto decision =
					take_agent_message(state_, node_.catalog, it, packet ? &*packet : nullptr, agent, node_.loop.now());
				if (packet)
				{
					carry_out(decision, *packet, it.packet);
				}
				take_verdicts(it, agent);
			}

			void take_verdicts(const message& it, ipv4 agent)
			{
				const auto now = node_.loop.now();
				const bool complete = node_.upstreams_complete();
				if (it.kind == message_kind::answers)
				{
					for (const auto& answer : steering::decode_answers(it.packet))
					{
						carry_out(take_answer(search_, agent, answer, now, complete), agent);
					}
				}
				else if (it.kind == message_kind::held)
				{
					carry_out(take_holder(search_, it.flow, agent), agent);
				}
				else if (it.kind == message_kind::holdings)
				{
					for (const auto& flow : steering::decode_flows(it.packet))
					{
						carry_out(take_holder(search_, flow, agent), agent);
					}
				}
				else if (it.kind == message_kind::not_held)
				{
					const steering::flow_answer answer{.flow = it.flow, .verdict = steering::possession::not_held};
					carry_out(take_answer(search_, agent, answer, now, complete), agent);
				}
				check_denials_soon();
			}

			/// Gives up flows that nobody holds, at once if the catalog is up to date; otherwise what the store holds
			/// back in a pause is read first.
			void check_denials_soon()
			{
				if (denial_check_planned_ || denied_flows(search_).empty())
				{
					return;
				}
				if (node_.upstreams_reader.is_up_to_date_since(node_.loop.now()))
				{
					check_denials();
					return;
				}
				plan_denial_check();
			}

			void plan_denial_check()
			{
				denial_check_planned_ = true;
				node_.upstreams_reader.refresh();
				node_.loop.call_at(node_.loop.now() + denial_check_delay, [this] { check_denials(); });
			}

			void check_denials()
			{
				const auto now = node_.loop.now();
				denial_check_planned_ = false;
				for (const auto& id : denied_flows(search_))
				{
					const auto denied = *search_.pending.at(id).denied;
					const bool current =
						node_.upstreams_complete() && node_.upstreams_reader.is_up_to_date_since(denied);
					const auto needed = steering::needed_answers(state_, node_.catalog, id, now);
					carry_out(confirm_denied(search_, id, needed, now, current), ipv4{});
				}
				send_queries();
				if (!denied_flows(search_).empty())
				{
					plan_denial_check();
				}
			}

			void carry_out(const search_step& step, ipv4 agent)
			{
				switch (step.what)
				{
					case search_step::action::none:
						break;
					case search_step::action::deliver:
						note_holder(state_, step.flow, agent, node_.loop.now());
						send_packet(agent, message_kind::carry, step.packet);
						break;
					case search_step::action::try_out:
						plan_trials();
						break;
					case search_step::action::give_up:
						reset(step.flow, step.acknowledgement, reason::holder_gone);
						break;
				}
			}

			void carry_out(const steering_decision& decision, const segment& it, std::span<const std::byte> bytes)
			{
				switch (decision.what)
				{
					case steering_decision::action::forward:
						forward(decision, bytes);
						if (decision.kind == message_kind::open)
						{
							log_placement(decision, it);
						}
						break;
					case steering_decision::action::look_up:
						look_up(decision, it, bytes);
						break;
					case steering_decision::action::reset:
						reset(flow_of_caller(it), it.opens ? 0 : it.acknowledgement, decision.why);
						break;
					case steering_decision::action::drop:
						if (decision.why != reason::none)
						{
							drop(decision.why, flow_of_caller(it));
						}
						break;
				}
			}

			void drop(reason why, const steering::flow_id& flow)
			{
				node_.metrics.add(counter::packets_dropped, why);
				log_flow(log_level::warning, "packet_dropped", "a packet was dropped", flow, to_string(why));
			}

			void forward(const steering_decision& decision, std::span<const std::byte> bytes)
			{
				message it;
				it.kind = decision.kind;
				it.service = decision.service;
				it.version = node_.catalog.version;
				it.orders_revision = node_.catalog.orders_revision;
				it.packet = bytes;
				send(decision.agents.front(), it);
			}

			void send_packet(ipv4 agent, message_kind kind, std::span<const std::byte> bytes)
			{
				message it;
				it.kind = kind;
				it.version = node_.catalog.version;
				it.orders_revision = node_.catalog.orders_revision;
				it.packet = bytes;
				send(agent, it);
			}

			void look_up(const steering_decision& decision, const segment& it, std::span<const std::byte> bytes)
			{
				const auto now = node_.loop.now();
				if (is_full(search_, flow_of_caller(it)))
				{
					drop(reason::queue_full, flow_of_caller(it));
					return;
				}
				const bool first = search_.unsent.empty();
				const bool begun = begin_search(search_, flow_of_caller(it), bytes, it.acknowledgement, decision.agents,
												decision.needed, now);
				if (begun && first)
				{
					node_.loop.call_at(now + steering::query_delay, [this] { send_queries(); });
				}
				plan_repeat();
			}

			void plan_trials()
			{
				if (!trials_planned_)
				{
					trials_planned_ = true;
					node_.loop.call_at(node_.loop.now() + steering::trial_delay, [this] { send_trials(); });
				}
			}

			void send_trials()
			{
				trials_planned_ = false;
				for (const auto& it : take_trials(search_))
				{
					send_packet(it.receiver, message_kind::spread, steering::encode_spread(it.agents, it.packet));
				}
			}

			void plan_repeat()
			{
				if (repeat_planned_ || search_.pending.empty())
				{
					return;
				}
				repeat_planned_ = true;
				node_.loop.call_at(node_.loop.now() + steering::search_timeout, [this] { repeat_queries(); });
			}

			void repeat_queries()
			{
				repeat_planned_ = false;
				if (steering::repeat_queries(search_, node_.loop.now()))
				{
					send_queries();
				}
				plan_repeat();
			}

			void send_queries()
			{
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

			void send(ipv4 agent, const message& it)
			{
				const auto room = to_peers_->reserve(steering::message_head_size + it.packet.size());
				const auto size = encode_message(it, room);
				to_peers_->commit(to_endpoint({.ip = agent, .port = node_.settings.peer_port}), size);
			}

			void reset(const steering::flow_id& flow, std::uint32_t sequence, reason why)
			{
				const auto bytes = platform::encode_reset(flow, sequence);
				to_callers_->add(to_endpoint({.ip = flow.caller.ip, .port = node_.settings.caller_packets.port}),
								 bytes);
				node_.metrics.add(counter::flows_rejected, why);
				log_flow(log_level::warning, "flow_reset", "a flow was reset towards its caller", flow, to_string(why));
			}

			void log_placement(const steering_decision& decision, const segment& it)
			{
				node_.metrics.add(counter::flows_admitted);
				const auto agent = decision.agents.front();
				const auto& load = state_.loads[agent];
				const bool reported = load.reported != monotonic_time{};
				const auto age =
					std::chrono::duration_cast<std::chrono::milliseconds>(node_.loop.now() - load.reported);
				const auto flow = flow_of_caller(it);
				node_.log.write(log_level::info, "flow_placed", "an opening packet went to an agent",
								{{"flow", fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route))},
								 {"copy", std::to_string(it.acknowledgement)},
								 {"agent", to_string(agent)},
								 {"at_work", std::to_string(load.report.at_work)},
								 {"failing_percent", std::to_string(load.report.failing)},
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

			void log_expired(const steering::expired_search& it)
			{
				node_.metrics.add(counter::packets_dropped, reason::upstream_silent);
				const auto first = it.unanswered.empty() ? std::string{} : to_string(it.unanswered.front());
				node_.log.write(log_level::warning, "search_expired",
								"the holder of a flow was not found, and not all agents answered",
								{{"flow", fmt::format("{}>{}", to_string(it.flow.caller), to_string(it.flow.route))},
								 {"unanswered", std::to_string(it.unanswered.size())},
								 {"first_unanswered", first},
								 {"catalog_complete", node_.upstreams_complete() ? "yes" : "no"},
								 {"version", std::to_string(node_.catalog.version)}});
			}

			/// Waits until the agents are known, so that their first greeting makes them send the flows of this zone.
			void greet_when_loaded()
			{
				if (!node_.loaded())
				{
					node_.loop.call_at(node_.loop.now() + load_check_interval, [this] { greet_when_loaded(); });
					return;
				}
				greet_agents();
				greeted_ = node_.loop.now();
			}

			void greet_agents()
			{
				message it;
				it.version = node_.catalog.version;
				it.orders_revision = node_.catalog.orders_revision;
				it.zone = steering::key_of_zone(node_.settings.zone);
				it.fresh = !greeted_;
				for (const auto& [key, upstream] : node_.catalog.upstreams)
				{
					send(upstream.entry.address.ip, it);
				}
				forget_idle_flows(state_, node_.loop.now());
				for (const auto& expired : forget_searches(search_, node_.loop.now()))
				{
					log_expired(expired);
				}
				forget_former(node_.catalog, node_.loop.now());
				node_.loop.call_at(node_.loop.now() + greeting_interval, [this] { greet_agents(); });
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
				stop_asked_ = node_.loop.now();
				node_.log.write(log_level::info, "stopping", "leaving the rotation before the end");
				node_.loop.call_at(stop_asked_ + rotation_time, [this] { end_when_quiet(); });
			}

			void end_when_quiet()
			{
				const auto now = node_.loop.now();
				const auto deadline = stop_asked_ + std::max<std::chrono::milliseconds>(
														node_.settings.stop_grace - stop_margin, rotation_time);
				if (now - last_packet_ >= quiet_time || now >= deadline)
				{
					node_.log.write(log_level::info, "stopped", "the process ends");
					node_.loop.stop();
					return;
				}
				node_.loop.call_at(std::min(last_packet_ + quiet_time, deadline), [this] { end_when_quiet(); });
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
			std::optional<monotonic_time> greeted_; ///< When the agents got the first greeting.
			bool denial_check_planned_ = false;
			bool repeat_planned_ = false;
			bool trials_planned_ = false;
			bool stopping_ = false;
			monotonic_time stop_asked_;
			monotonic_time last_packet_;
		};
	}

	int run_balancer(const steering::node_settings& settings, const settings_file& file, node_log& log)
	{
		balancer_node balancer{settings, file, log};
		if (const auto why = balancer.open(); !why.empty())
		{
			log.write(log_level::error, "start_failed", why);
			return 1;
		}
		balancer.run();
		return 0;
	}
}
