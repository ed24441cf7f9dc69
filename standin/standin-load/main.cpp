// Load generator: long-lived flows of datagrams with sequence numbers, and CoAP requests. When it is stopped, it
// compares the results that the callers received with the runs that the upstreams report, and prints them as one line
// of JSON.

#include "../common/program.hpp"
#include "flows.hpp"
#include "requests.hpp"
#include "runtime/command_line.hpp"
#include "runtime/signals.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <map>
#include <set>
#include <string>

namespace nutmegturn::standin
{
	namespace
	{
		using namespace std::chrono_literals;

		class load_run
		{
		public:
			load_run(const flow_options& flows, const request_options& requests, std::uint64_t seed,
					 std::vector<std::string> report_urls)
				: flows_{flows, seed, poller_}, requests_{requests, seed + 1, poller_},
				  report_urls_{std::move(report_urls)}, notifier_{poller_.fd(), QSocketNotifier::Read}
			{
				QObject::connect(&notifier_, &QSocketNotifier::activated, [this] { read(); });
				QObject::connect(&timer_, &QTimer::timeout,
								 [this]
								 {
									 flows_.tick();
									 requests_.tick();
									 if (stopping_ && requests_.pending_count() == 0)
									 {
										 timer_.stop();
										 fetch_next_report();
									 }
								 });
				timer_.start(5ms);
			}

			void add_routes(QHttpServer& server)
			{
				using method = QHttpServerRequest::Method;
				server.route("/admin/excuse", method::Post,
							 [this](const QHttpServerRequest& request)
							 {
								 const auto object = QJsonDocument::fromJson(request.body()).object();
								 flows_.excuse_zone(object["zone"].toString().toStdString());
								 return json_response({});
							 });
				server.route("/admin/progress", method::Get, [this] { return json_response(results({}, {})); });
			}

			/// Starts no more flows and requests; the program ends when no request is pending.
			void stop()
			{
				stopping_ = true;
				requests_.freeze();
				flows_.freeze();
			}

		private:
			void read()
			{
				for (const auto& it : poller_.wait(0ms))
				{
					if ((it.data.u64 & request_callers::label_flag) != 0)
					{
						requests_.read(it.data.u64);
					}
					else
					{
						flows_.read(it.data.u64);
					}
				}
			}

			void fetch_next_report()
			{
				if (next_report_ == report_urls_.size())
				{
					finish();
					return;
				}
				reader_.get(report_urls_[next_report_++], 5s, runtime::http_client::default_max_bytes,
							[this](const runtime::http_response& response)
							{
								if (!response.error.empty())
								{
									exit_with_error("cannot read the report of upstreams: " + response.error);
								}
								add_report(QJsonDocument::fromJson(response.body).object());
								fetch_next_report();
							});
			}

			void add_report(const QJsonObject& report)
			{
				for (const auto& it : report["upstreams"].toArray())
				{
					const auto upstream = it.toObject();
					upstreams_[upstream["service"].toString().toStdString()].insert(
						upstream["name"].toString().toStdString());
					const auto runs = upstream["runs"].toObject();
					for (auto run = runs.begin(); run != runs.end(); ++run)
					{
						runs_[run.key().toStdString()] += static_cast<std::uint64_t>(run.value().toInteger());
					}
					overloads_ += upstream["overloads"].toInteger();
					collapses_ += upstream["collapses"].toInteger();
				}
			}

			[[nodiscard]] QJsonObject results(const std::map<std::string, std::set<std::string>>& upstreams,
											  const std::map<std::string, std::uint64_t>& runs) const
			{
				const auto number = [](std::uint64_t n) { return static_cast<qint64>(n); };
				const auto f = flows_.counts(upstreams);
				const auto r = requests_.counts(runs, !upstreams.empty());
				QJsonObject reasons;
				for (const auto& [text, n] : r.reasons)
				{
					reasons[QString::fromStdString(text)] = number(n);
				}
				return {{"flows", number(f.opened)},
						{"flows_active", number(flows_.active())},
						{"flows_never_open", number(f.never_open)},
						{"flows_unanswered", number(f.unanswered)},
						{"flows_given_up", number(f.given_up)},
						{"flow_datagrams_sent", number(f.sent)},
						{"flow_datagrams_answered", number(f.answered)},
						{"longest_silence_ms", static_cast<qint64>(f.longest_silence.count())},
						{"broken_flows", number(f.broken + f.unanswered)},
						{"imbalance", f.imbalance},
						{"requests", number(r.started)},
						{"answered", number(r.answered)},
						{"refused_not_run", number(r.refused)},
						{"outcome_unknown", number(r.outcome_unknown)},
						{"unanswered", number(r.unanswered)},
						{"open", number(requests_.pending_count())},
						{"retries", number(r.retries)},
						{"duplicate_runs", number(r.duplicate_runs)},
						{"false_not_run", number(r.false_not_run)},
						{"wrong_answers", number(f.wrong_answers + r.wrong_answers)},
						{"misdelivered", number(f.misdelivered + r.misdelivered)},
						{"overloads", overloads_},
						{"collapses", collapses_},
						{"reasons", reasons}};
			}

			void finish()
			{
				fmt::print("{}\n", to_json(results(upstreams_, runs_)).toStdString());
				QCoreApplication::quit();
			}

			runtime::poller poller_;
			flow_callers flows_;
			request_callers requests_;
			std::vector<std::string> report_urls_;
			std::size_t next_report_ = 0;
			QSocketNotifier notifier_;
			QTimer timer_;
			runtime::http_client reader_;
			std::map<std::string, std::set<std::string>> upstreams_;
			std::map<std::string, std::uint64_t> runs_;
			qint64 overloads_ = 0;
			qint64 collapses_ = 0;
			bool stopping_ = false;
		};

		[[nodiscard]] std::vector<service_address> parse_services(const std::vector<std::string>& texts,
																  const char* option)
		{
			std::vector<service_address> services;
			for (const auto& text : texts)
			{
				const auto comma = text.find(',');
				if (comma == std::string::npos)
				{
					exit_with_error(fmt::format("--{}: got \"{}\", expected IP:PORT,SERVICE", option, text));
				}
				services.push_back({parse_endpoint_or_exit(text.substr(0, comma), option), text.substr(comma + 1)});
			}
			return services;
		}
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto parsed = runtime::parse_command_line(
		argc, argv,
		{{"flow-service", "IP:PORT,SERVICE", "Address of a datagram service; may be repeated"},
		 {"flows", "N", "Number of flows to keep open for each datagram service"},
		 {"open-rate", "N", "Flows opened per second for each service (default 50)"},
		 {"flow-interval-ms", "N", "Time between two datagrams of a flow (default 200)"},
		 {"short-share", "X", "Share of short flows, which end and are replaced (default 0)"},
		 {"short-life-ms", "N", "Mean lifetime of short flows (default 8000)"},
		 {"request-service", "IP:PORT,SERVICE", "Address of a CoAP service; may be repeated"},
		 {"request-rate", "N", "Requests per second for all services together"},
		 {"post-share", "X", "Share of requests that are not idempotent (default 0.5)"},
		 {"callers", "N", "Sockets for each CoAP service (default 64)"},
		 {"caller-life-ms", "N", "Mean time until a caller replaces its socket (default 0, never)"},
		 {"deadline-ms", "N", "Time after which a caller gives up a request (default 5000)"},
		 {"upstream-report", "URL", "Report of upstreams to compare results with; may be repeated"},
		 {"admin", "IP:PORT", "Endpoint to serve HTTP on"},
		 {"seconds", "N", "Run time in seconds; without it, run until SIGTERM"},
		 {"seed", "N", "Seed of all random choices (default 1)"}});
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& args = std::get<0>(parsed);
	standin::flow_options flows;
	flows.services = standin::parse_services(args.values("flow-service"), "flow-service");
	flows.flows = std::stoul(args.value("flows", "0"));
	flows.opened_per_second = std::stod(args.value("open-rate", "50"));
	flows.interval = std::chrono::milliseconds{std::stoi(args.value("flow-interval-ms", "200"))};
	flows.short_share = std::stod(args.value("short-share", "0"));
	flows.short_lifetime = std::chrono::milliseconds{std::stoi(args.value("short-life-ms", "8000"))};
	standin::request_options requests;
	requests.services = standin::parse_services(args.values("request-service"), "request-service");
	requests.per_second = requests.services.empty() ? 0 : std::stod(args.value("request-rate", "0"));
	requests.post_share = std::stod(args.value("post-share", "0.5"));
	requests.callers = std::stoul(args.value("callers", "64"));
	requests.deadline = std::chrono::milliseconds{std::stoi(args.value("deadline-ms", "5000"))};

	requests.socket_lifetime = std::chrono::milliseconds{std::stoi(args.value("caller-life-ms", "0"))};

	runtime::block_stop_signals();
	runtime::raise_open_file_limit();
	QCoreApplication app{argc, argv};
	standin::load_run run{flows, requests, std::stoull(args.value("seed", "1")), args.values("upstream-report")};
	const runtime::stop_signals signals{[&](int) { run.stop(); }};
	if (args.has("seconds"))
	{
		QTimer::singleShot(std::chrono::seconds{std::stoi(args.value("seconds"))}, [&] { run.stop(); });
	}
	QHttpServer server;
	run.add_routes(server);
	standin::listen_http_or_exit(server, standin::parse_endpoint_or_exit(args.value("admin"), "admin"));
	return QCoreApplication::exec();
}
