// Callers of the platform: long flows with numbered datagrams, and CoAP requests. Prints what they saw as one line of
// JSON when it is stopped, after it has compared this with what the upstreams ran.

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
			load_run(const flow_plan& flows, const request_plan& requests, std::uint64_t seed,
					 std::vector<std::string> reports)
				: flows_{flows, seed, waiter_}, requests_{requests, seed + 1, waiter_}, reports_{std::move(reports)},
				  notifier_{waiter_.fd(), QSocketNotifier::Read}
			{
				QObject::connect(&notifier_, &QSocketNotifier::activated, [this] { read(); });
				QObject::connect(&timer_, &QTimer::timeout,
								 [this]
								 {
									 flows_.tick();
									 requests_.tick();
									 if (stopping_ && requests_.open() == 0)
									 {
										 timer_.stop();
										 fetch_reports();
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
				server.route("/admin/progress", method::Get, [this] { return json_response(describe({}, {})); });
			}

			/// Starts nothing new and ends the program when every request has its outcome.
			void stop()
			{
				stopping_ = true;
				requests_.freeze();
				flows_.freeze();
			}

		private:
			void read()
			{
				for (const auto& it : waiter_.wait(0ms))
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

			void fetch_reports()
			{
				if (next_report_ == reports_.size())
				{
					finish();
					return;
				}
				reader_.get(reports_[next_report_++], 5s, runtime::http_client::default_max_bytes,
							[this](const runtime::http_response& response)
							{
								if (!response.error.empty())
								{
									fail("cannot read the report of the upstreams: " + response.error);
								}
								take_report(QJsonDocument::fromJson(response.body).object());
								fetch_reports();
							});
			}

			void take_report(const QJsonObject& report)
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

			[[nodiscard]] QJsonObject describe(const std::map<std::string, std::set<std::string>>& upstreams,
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
						{"requests", number(r.made)},
						{"answered", number(r.answered)},
						{"refused_not_run", number(r.refused)},
						{"outcome_unknown", number(r.unknown)},
						{"unanswered", number(r.unanswered)},
						{"open", number(requests_.open())},
						{"retries", number(r.retries)},
						{"duplicate_runs", number(r.duplicate_runs)},
						{"false_not_run", number(r.false_not_run)},
						{"wrong_answers", number(f.wrong + r.wrong)},
						{"misdelivered", number(f.misdelivered + r.misdelivered)},
						{"overloads", overloads_},
						{"collapses", collapses_},
						{"reasons", reasons}};
			}

			void finish()
			{
				fmt::print("{}\n", to_json(describe(upstreams_, runs_)).toStdString());
				QCoreApplication::quit();
			}

			runtime::poller waiter_;
			flow_callers flows_;
			request_callers requests_;
			std::vector<std::string> reports_;
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

		[[nodiscard]] std::vector<called_service> services_of(const std::vector<std::string>& texts, const char* option)
		{
			std::vector<called_service> services;
			for (const auto& text : texts)
			{
				const auto comma = text.find(',');
				if (comma == std::string::npos)
				{
					fail(fmt::format("--{}: got \"{}\", expected IP:PORT,SERVICE", option, text));
				}
				services.push_back({require_endpoint(text.substr(0, comma), option), text.substr(comma + 1)});
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
		 {"flows", "N", "Open flows for each datagram service"},
		 {"open-rate", "N", "Flows opened a second for each service (default 50)"},
		 {"flow-interval-ms", "N", "Time between two datagrams of a flow (default 200)"},
		 {"short-share", "X", "Share of flows that end and are opened anew (default 0)"},
		 {"short-life-ms", "N", "Mean life of flows that end (default 8000)"},
		 {"request-service", "IP:PORT,SERVICE", "Address of a CoAP service; may be repeated"},
		 {"request-rate", "N", "Requests a second for all services"},
		 {"post-share", "X", "Share of requests that are not idempotent (default 0.5)"},
		 {"callers", "N", "Sockets for each CoAP service (default 64)"},
		 {"caller-life-ms", "N", "Mean time until a caller uses a new socket (default 0, never)"},
		 {"deadline-ms", "N", "Time after which a caller gives up (default 5000)"},
		 {"upstream-report", "URL", "Report of upstreams to compare with; may be repeated"},
		 {"admin", "IP:PORT", "Where to serve HTTP"},
		 {"seconds", "N", "Stop after this time; without it, stop on SIGTERM"},
		 {"seed", "N", "Seed of all random choices (default 1)"}});
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& args = std::get<0>(parsed);
	standin::flow_plan flows;
	flows.services = standin::services_of(args.values("flow-service"), "flow-service");
	flows.flows = std::stoul(args.value("flows", "0"));
	flows.opened_per_second = std::stod(args.value("open-rate", "50"));
	flows.interval = std::chrono::milliseconds{std::stoi(args.value("flow-interval-ms", "200"))};
	flows.short_share = std::stod(args.value("short-share", "0"));
	flows.short_life = std::chrono::milliseconds{std::stoi(args.value("short-life-ms", "8000"))};
	standin::request_plan requests;
	requests.services = standin::services_of(args.values("request-service"), "request-service");
	requests.per_second = requests.services.empty() ? 0 : std::stod(args.value("request-rate", "0"));
	requests.post_share = std::stod(args.value("post-share", "0.5"));
	requests.callers = std::stoul(args.value("callers", "64"));
	requests.deadline = std::chrono::milliseconds{std::stoi(args.value("deadline-ms", "5000"))};

	requests.caller_life = std::chrono::milliseconds{std::stoi(args.value("caller-life-ms", "0"))};

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
	standin::require_http(server, standin::require_endpoint(args.value("admin"), "admin"));
	return QCoreApplication::exec();
}
