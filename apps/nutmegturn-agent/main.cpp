// Agent daemon: runs beside the upstreams of an instance and keeps the state of their flows and requests.

#include "nutmegturn/routing_view.hpp"

#include "runtime/agent_worker.hpp"
#include "runtime/command_line.hpp"
#include "runtime/control_plane.hpp"
#include "runtime/daemon.hpp"
#include "runtime/signals.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <cstdio>
#include <cstring>
#include <memory>
#include <optional>
#include <set>
#include <thread>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;

		/// Largest number of agents that receive each load report; they are chosen at random.
		constexpr std::size_t max_report_recipients = 16;

		const std::vector<std::string> upstream_states{"cold", "warming", "serving", "draining", "out", "leaving"};

		[[nodiscard]] std::string to_bytes(const address& ip)
		{
			return {reinterpret_cast<const char*>(ip.bytes.data()), ip.bytes.size()};
		}

		[[nodiscard]] std::optional<endpoint> from_bytes(const std::string& ip, std::int16_t port)
		{
			endpoint ep;
			if (ip.size() != ep.ip.bytes.size())
			{
				return std::nullopt;
			}
			std::memcpy(ep.ip.bytes.data(), ip.data(), ip.size());
			ep.port = static_cast<std::uint16_t>(port);
			return ep;
		}

		/// State of an upstream on the control thread.
		struct controlled_upstream
		{
			std::string name;
			runtime::upstream_shared_state* shared = nullptr; ///< State shared with the traffic thread.
			runtime::chart machine;
			upstream_run_state reported = upstream_run_state::cold; ///< State announced to the other members.
			upstream_run_state observed = upstream_run_state::cold; ///< Last state observed by the traffic thread.
			std::string last_record_event; ///< Last event submitted to the chart because of the records.
		};

		class agent_daemon
		{
		public:
			explicit agent_daemon(const settings& config) : settings_{config} {}

			agent_daemon(const agent_daemon&) = delete;
			agent_daemon(agent_daemon&&) = delete;
			agent_daemon& operator=(const agent_daemon&) = delete;
			agent_daemon& operator=(agent_daemon&&) = delete;

			~agent_daemon()
			{
				traffic_.stop.store(true);
				thread_ = {};
			}

			/// Loads the charts, opens the control plane and the data socket, and starts the traffic thread.
			/// \returns	Nothing on success, otherwise the reason why the daemon cannot start.
			[[nodiscard]] std::optional<std::string> start()
			{
				runtime::raise_open_file_limit();
				for (const auto& name : settings_.upstreams)
				{
					auto shared = std::make_unique<runtime::upstream_shared_state>();
					shared->id = make_id<upstream_id>(name);
					auto machine = runtime::load_chart(runtime::chart_directory(settings_.chart_directory), "upstream",
													   upstream_states);
					if (!has_value(machine))
					{
						return to_string(std::get<1>(machine));
					}
					controlled_upstream upstream;
					upstream.name = name;
					upstream.shared = shared.get();
					upstream.machine = std::get<0>(std::move(machine));
					upstreams_.push_back(std::move(upstream));
					exchange_.upstreams.push_back(std::move(shared));
				}
				runtime::control_hooks hooks;
				hooks.on_change = [this](const deployment& records, const member_view& members)
				{ publish(records, members); };
				hooks.on_message = [this](const endpoint&, const wire::control_envelope& message)
				{ handle_message(message); };
				hooks.on_tick = [this](monotonic_time) { tick(); };
				hooks.add_status = [this](QJsonObject& status) { add_status(status); };
				auto plane = runtime::control_plane::open(settings_, traffic_, std::move(hooks));
				if (!has_value(plane))
				{
					return std::get<1>(std::move(plane));
				}
				plane_ = std::get<0>(std::move(plane));
				plane_->add_shard(&shard_);
				runtime::agent_worker_config config;
				config.self = plane_->self();
				config.process_incarnation = plane_->process_incarnation();
				config.data = settings_.data;
				config.keys = plane_->keys();
				config.redirects = settings_.memory.redirects;
				config.request_outcomes = settings_.memory.request_outcomes;
				config.seed = plane_->random()();
				auto worker = runtime::agent_worker::open(config, traffic_, exchange_, shard_);
				if (!has_value(worker))
				{
					return std::get<1>(std::move(worker));
				}
				worker_ = std::get<0>(std::move(worker));
				for (auto& it : upstreams_)
				{
					runtime::on_state_change(*it.machine,
											 [this, upstream = &it](const std::string&, const std::string& after)
											 { on_state_entered(*upstream, after); });
				}
				notifier_ = std::make_unique<QSocketNotifier>(exchange_.control_wakeup.fd(), QSocketNotifier::Read);
				QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { handle_outbound(); });
				thread_ = std::jthread{[worker = worker_.get()] { worker->run(); }};
				plane_->start();
				announce();
				return std::nullopt;
			}

			/// Starts draining. A second signal, or one during start-up, ends the process at once.
			void stop(int signals)
			{
				if (signals > 1 || plane_->process_state() == "starting")
				{
					QCoreApplication::quit();
					return;
				}
				stopping_ = true;
				plane_->submit_process_event("signal.stop");
				for (auto& it : upstreams_)
				{
					runtime::submit_event(*it.machine, "process.stop");
				}
				announce();
			}

		private:
			/// Applies a state that the chart of an upstream has entered, and announces it.
			void on_state_entered(controlled_upstream& upstream, const std::string& state)
			{
				const auto index =
					static_cast<std::size_t>(std::ranges::find(upstream_states, state) - upstream_states.begin());
				constexpr std::array states{upstream_run_state::cold,    upstream_run_state::warming,
											upstream_run_state::serving, upstream_run_state::draining,
											upstream_run_state::out,     upstream_run_state::leaving};
				if (index >= states.size())
				{
					return;
				}
				upstream.reported = states[index];
				const bool imposed = upstream.reported == upstream_run_state::draining ||
									 upstream.reported == upstream_run_state::out ||
									 upstream.reported == upstream_run_state::leaving;
				upstream.shared->admin_state.store(imposed ? upstream.reported : upstream_run_state::serving);
				plane_->audit({audit_kind::upstream_state, upstream.name, state, plane_->records().rev});
				announce();
			}

			void announce()
			{
				std::vector<upstream_report> reports;
				for (const auto& it : upstreams_)
				{
					reports.push_back({it.shared->id, it.reported});
				}
				plane_->announce(stopping_ ? member_liveness::leaving : member_liveness::alive, std::move(reports));
			}

			void publish(const deployment& records, const member_view& members)
			{
				auto directory = std::make_shared<runtime::agent_directory>();
				std::set<service_id> services;
				for (auto& it : upstreams_)
				{
					const auto record = std::ranges::find(records.upstreams, it.shared->id, &upstream_config::id);
					if (record == records.upstreams.end())
					{
						submit_record_event(it, "record.out");
						continue;
					}
					const auto zone = std::ranges::find(records.zones, record->zone, &zone_config::id);
					const bool zone_out = zone != records.zones.end() && zone->state == zone_admin_state::out;
					submit_record_event(it, zone_out || record->state == upstream_admin_state::out ? "record.out"
											: record->state == upstream_admin_state::draining      ? "record.draining"
																								   : "record.serving");
					directory->own_upstreams.push_back(*record);
					services.insert(record->service);
				}
				for (const auto& it : records.services)
				{
					if (services.contains(it.id))
					{
						directory->services.push_back(it);
					}
				}
				for (const auto& it : records.upstreams)
				{
					if (services.contains(it.service))
					{
						directory->peers[it.id] = {it.agent, {}, true};
					}
				}
				for (const auto& it : members.members)
				{
					for (const auto& report : it.upstreams)
					{
						const auto peer = directory->peers.find(report.id);
						if (peer != directory->peers.end())
						{
							peer->second.process_incarnation = it.process_incarnation;
							peer->second.alive = it.liveness != member_liveness::dead;
						}
					}
				}
				exchange_.directory.store(std::move(directory));
				const auto previous = traffic_.view.load();
				traffic_.view.store(
					std::make_shared<const routing_view>(build_routing_view(records, members, previous.get())));
			}

			static void submit_record_event(controlled_upstream& upstream, const std::string& event)
			{
				if (upstream.last_record_event != event)
				{
					upstream.last_record_event = event;
					runtime::submit_event(*upstream.machine, event.c_str());
				}
			}

			void tick()
			{
				bool idle = true;
				for (auto& it : upstreams_)
				{
					const auto observed = it.shared->observed.load();
					if (observed != it.observed)
					{
						const bool is_rising = observed > it.observed;
						it.observed = observed;
						if (observed == upstream_run_state::cold)
						{
							runtime::submit_event(*it.machine, "upstream.silent");
						}
						else if (observed == upstream_run_state::warming)
						{
							runtime::submit_event(*it.machine, is_rising ? "upstream.answered" : "upstream.slow");
						}
						else
						{
							runtime::submit_event(*it.machine, "upstream.answered");
							runtime::submit_event(*it.machine, "upstream.warm");
						}
					}
					idle = idle && it.shared->idle.load();
				}
				if (stopping_ && idle)
				{
					plane_->submit_process_event("drain.done");
					QCoreApplication::quit();
				}
			}

			void handle_message(const wire::control_envelope& message)
			{
				if (message.__isset.load_message)
				{
					load_report report;
					report.sequence = static_cast<std::uint32_t>(message.load_message.sequence);
					for (const auto& it : message.load_message.loads)
					{
						report.loads.push_back(
							{static_cast<upstream_id>(it.upstream), static_cast<std::uint32_t>(it.flows),
							 static_cast<std::uint32_t>(it.in_progress), static_cast<std::uint32_t>(it.limit),
							 static_cast<upstream_run_state>(it.state)});
					}
					enqueue_for_traffic(report);
				}
				if (message.__isset.redirect_message)
				{
					const auto& redirects = message.redirect_message;
					const auto holder = from_bytes(redirects.holder_ip, redirects.holder_port);
					if (!holder || redirects.flow_hashes.size() > max_announced_hashes)
					{
						plane_->metrics().add(counter::control_dropped, reason::malformed);
						return;
					}
					redirect_announcement announcement;
					announcement.service = static_cast<service_id>(redirects.service_id);
					announcement.holder = static_cast<upstream_id>(redirects.holder);
					announcement.holder_agent = *holder;
					announcement.possibly_stale = redirects.__isset.doubtful && redirects.doubtful;
					announcement.hashes.assign(redirects.flow_hashes.begin(), redirects.flow_hashes.end());
					enqueue_for_traffic(announcement);
				}
			}

			void enqueue_for_traffic(const runtime::traffic_thread_message& message)
			{
				if (!exchange_.inbound.push(message))
				{
					plane_->metrics().add(counter::control_dropped, reason::queue_full);
				}
			}

			void handle_outbound()
			{
				exchange_.control_wakeup.clear();
				exchange_.outbound.consume_all(
					[this](const runtime::control_thread_message& message)
					{
						if (const auto* report = std::get_if<load_report>(&message))
						{
							send_report(*report);
						}
						else if (const auto* announcement = std::get_if<redirect_announcement>(&message))
						{
							send_announcement(*announcement);
						}
						else
						{
							plane_->audit(std::get<audit_event>(message));
						}
					});
			}

			/// Returns the control endpoints of the other agents of the same services that are not known to be dead.
			[[nodiscard]] std::vector<endpoint> peer_agents() const
			{
				const auto directory = exchange_.directory.load();
				std::vector<endpoint> peers;
				for (const auto& it : plane_->members().members)
				{
					const bool shares_service =
						directory && std::ranges::any_of(it.upstreams, [&](const auto& report)
														 { return directory->peers.contains(report.id); });
					if (shares_service && it.id != plane_->self() && it.liveness != member_liveness::dead)
					{
						peers.push_back(it.control);
					}
				}
				return peers;
			}

			void send_report(const load_report& report)
			{
				auto peers = peer_agents();
				for (std::size_t i = 0; i < std::min(peers.size(), max_report_recipients); ++i)
				{
					std::swap(peers[i], peers[i + plane_->random().below(peers.size() - i)]);
					auto message = plane_->envelope();
					wire::load_report loads;
					loads.sequence = static_cast<std::int32_t>(report.sequence);
					for (const auto& it : report.loads)
					{
						wire::upstream_load load;
						load.upstream = static_cast<std::int64_t>(to_number(it.upstream));
						load.flows = static_cast<std::int32_t>(it.flows);
						load.in_progress = static_cast<std::int32_t>(it.in_progress);
						load.limit = static_cast<std::int32_t>(it.limit);
						load.state = static_cast<std::int8_t>(it.state);
						loads.loads.push_back(load);
					}
					message.__set_load_message(loads);
					plane_->send(peers[i], message);
				}
			}

			void send_announcement(const redirect_announcement& announcement)
			{
				const auto& members = plane_->members().members;
				const auto recipient = std::ranges::find(members, announcement.destination, &member::data);
				if (recipient == members.end())
				{
					return;
				}
				auto message = plane_->envelope();
				wire::redirect_announce redirects;
				redirects.service_id = static_cast<std::int64_t>(to_number(announcement.service));
				redirects.holder = static_cast<std::int64_t>(to_number(announcement.holder));
				redirects.holder_ip = to_bytes(announcement.holder_agent.ip);
				redirects.holder_port = static_cast<std::int16_t>(announcement.holder_agent.port);
				if (announcement.possibly_stale)
				{
					redirects.__set_doubtful(true);
				}
				redirects.flow_hashes.assign(announcement.hashes.begin(), announcement.hashes.end());
				message.__set_redirect_message(redirects);
				plane_->send(recipient->control, message);
			}

			void add_status(QJsonObject& status) const
			{
				QJsonObject list;
				for (const auto& it : upstreams_)
				{
					list[QString::fromStdString(it.name)] =
						QJsonObject{{"state", QString::fromStdString(runtime::active_state(*it.machine))},
									{"flows", static_cast<qint64>(it.shared->flows.load())},
									{"requests_in_progress", static_cast<qint64>(it.shared->in_progress.load())}};
				}
				status["upstreams"] = list;
			}

			settings settings_;
			runtime::traffic_shared_state traffic_;
			runtime::agent_shared_state exchange_;
			metrics_shard shard_;
			std::vector<controlled_upstream> upstreams_;
			std::unique_ptr<runtime::control_plane> plane_;
			std::unique_ptr<runtime::agent_worker> worker_;
			std::unique_ptr<QSocketNotifier> notifier_;
			std::jthread thread_;
			bool stopping_ = false;
		};
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto config = runtime::read_daemon_arguments(argc, argv, member_role::agent);
	if (const auto* status = std::get_if<int>(&config))
	{
		return *status;
	}
	runtime::block_stop_signals();
	QCoreApplication app{argc, argv};
	agent_daemon daemon{std::get<settings>(config)};
	if (const auto error = daemon.start())
	{
		fmt::print(stderr, "{}\n", *error);
		return runtime::exit_failure;
	}
	const runtime::stop_signals signals{[&](int n) { daemon.stop(n); }};
	return QCoreApplication::exec();
}
