// Test double of upstreams: UDP echo services and CoAP services whose capacity grows after a cold start. One process
// serves several upstreams. It reports the requests that it ran, so that a load generator can compare them with the
// responses that it received.

#include "nutmegturn/coap_message.hpp"

#include "../common/coap_request.hpp"
#include "../common/program.hpp"
#include "runtime/command_line.hpp"
#include "runtime/signals.hpp"
#include "runtime/udp.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <algorithm>
#include <chrono>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::standin
{
	namespace
	{
		using clock = std::chrono::steady_clock;
		using namespace std::chrono_literals;

		/// Duration of overload (more requests in progress than the capacity) after which an upstream becomes cold
		/// again.
		constexpr auto max_overload_time = 2s;

		/// Time for which a message id and its response are kept for retransmissions (RFC 7252, EXCHANGE_LIFETIME).
		constexpr auto exchange_lifetime = 247s;

		/// Service time and cold start; the same for all upstreams of a run.
		struct upstream_model
		{
			std::chrono::milliseconds service_time{10}; ///< Of a request on an upstream that is not overloaded.
			std::chrono::milliseconds warm_up{8'000};   ///< Time from cold to full capacity.
			double cold_share = 0.2;                    ///< Share of its slots that a cold upstream can use.
		};

		/// Flow as observed by the upstream: all datagrams from one source endpoint.
		struct flow_state
		{
			std::uint64_t number = 0; ///< Distinguishes a flow that was reopened from one that continued.
			qint64 datagrams = 0;
			qint64 last_unix_ms = 0;
		};

		/// Request in progress.
		struct running_request
		{
			endpoint source;
			std::uint16_t message_id = 0;
			std::vector<std::byte> response;
			bool cancelled = false;
		};

		/// CoAP exchange, kept to recognize retransmissions.
		struct exchange
		{
			clock::time_point started;
			std::vector<std::byte> response; ///< Empty while the request is in progress.
		};

		class upstream
		{
		public:
			upstream(const QStringList& fields, const upstream_model& model)
				: service_{fields[1].toStdString()}, name_{fields[2].toStdString()}, is_coap_{fields[3] == "coap"},
				  slots_{fields[4].toDouble()}, model_{model}
			{
				auto fd = runtime::open_udp(parse_endpoint_or_exit(fields[0].toStdString(), "target"));
				if (!has_value(fd))
				{
					exit_with_error(std::get<1>(fd));
				}
				fd_ = std::move(std::get<0>(fd));
				notifier_ = std::make_unique<QSocketNotifier>(fd_.get(), QSocketNotifier::Read);
				QObject::connect(notifier_.get(), &QSocketNotifier::activated, [this] { read(); });
			}

			[[nodiscard]] const std::string& name() const
			{
				return name_;
			}

			/// Completes requests that are due and updates the overload state.
			void tick()
			{
				const auto now = clock::now();
				while (!running_.empty() && running_.begin()->first <= now)
				{
					const auto request = std::move(running_.begin()->second);
					running_.erase(running_.begin());
					if (!request.cancelled)
					{
						exchanges_[{request.source, request.message_id}].response = request.response;
						send(request.source, request.response);
					}
				}
				if (static_cast<double>(running_.size()) < capacity(now) + 1)
				{
					over_capacity_since_.reset();
				}
				else if (!over_capacity_since_)
				{
					over_capacity_since_ = now;
					++overloads_;
				}
				else if (now - *over_capacity_since_ > max_overload_time)
				{
					over_capacity_since_.reset();
					++collapses_;
					cold_since_ = now;
				}
			}

			/// Applies the settings in an admin request.
			void configure(const QJsonObject& object)
			{
				silent_ = object["silent"].toBool(silent_);
				draining_ = object["drain"].toBool(draining_);
				misleading_ = object["mislead"].toBool(misleading_);
				if (object["cold"].toBool())
				{
					cold_since_ = clock::now();
				}
				if (object["restart"].toBool())
				{
					cold_since_ = clock::now();
					flows_.clear();
					running_.clear();
					exchanges_.clear();
				}
			}

			[[nodiscard]] QJsonObject health() const
			{
				return {{"status", misleading_ || !silent_ ? "ok" : "failing"}, {"draining", draining_}};
			}

			[[nodiscard]] QJsonObject load() const
			{
				const auto in_progress = static_cast<qint64>(running_.size());
				return {{"in_progress", misleading_ ? 0 : in_progress},
						{"capacity", misleading_ ? slots_ : capacity(clock::now())}};
			}

			[[nodiscard]] QJsonObject report(std::int64_t now_unix_ms) const
			{
				qint64 active = 0;
				for (const auto& [source, it] : flows_)
				{
					// Callers of long-lived flows send more often than every 2 s.
					active += now_unix_ms - it.last_unix_ms < 2'000 ? 1 : 0;
				}
				QJsonObject runs;
				for (const auto& [request, count] : runs_)
				{
					runs[QString::fromStdString(request)] = count;
				}
				return {{"service", QString::fromStdString(service_)},
						{"name", QString::fromStdString(name_)},
						{"datagrams", datagrams_},
						{"last_packet_unix_ms", last_unix_ms_},
						{"flows_seen", static_cast<qint64>(flow_number_)},
						{"flows_active", active},
						{"in_progress", static_cast<qint64>(running_.size())},
						{"most_in_progress", most_in_progress_},
						{"shed", shed_},
						{"cancelled", cancelled_},
						{"retransmissions", retransmissions_},
						{"overloads", overloads_},
						{"collapses", collapses_},
						{"runs", runs}};
			}

		private:
			[[nodiscard]] double capacity(clock::time_point now) const
			{
				const double warm = std::chrono::duration<double>(now - cold_since_) / model_.warm_up;
				const double share = std::min(1.0, model_.cold_share + (1 - model_.cold_share) * warm);
				return std::max(1.0, slots_ * share);
			}

			void read()
			{
				while (const std::size_t n = batch_.receive(fd_.get()))
				{
					for (std::size_t i = 0; i < n; ++i)
					{
						handle_datagram(batch_.source(i), batch_.payload(i));
					}
				}
			}

			void handle_datagram(const endpoint& source, std::span<const std::byte> datagram)
			{
				++datagrams_;
				last_unix_ms_ = unix_ms();
				auto& flow = flows_[source];
				if (flow.datagrams++ == 0)
				{
					flow.number = ++flow_number_;
				}
				flow.last_unix_ms = last_unix_ms_;
				if (silent_)
				{
					return;
				}
				if (is_coap_)
				{
					handle_message(source, datagram);
					return;
				}
				const std::string answer = fmt::format("{} {} {}\n{}", service_, name_, flow.number, text_of(datagram));
				send(source, bytes_of(answer));
			}

			void handle_message(const endpoint& source, std::span<const std::byte> datagram)
			{
				const auto parsed = parse_coap(datagram);
				const auto* message = std::get_if<coap_message>(&parsed);
				if (message == nullptr)
				{
					return;
				}
				const auto id = message->message_id();
				if (message->type() == coap_type::reset || message->is_deregistration())
				{
					cancel(source, id, *message);
					return;
				}
				if (!message->is_request())
				{
					return;
				}
				const auto now = clock::now();
				const bool confirmable = message->type() == coap_type::confirmable;
				const auto type = confirmable ? coap_type::acknowledgement : coap_type::non_confirmable;
				const auto previous = exchanges_.find({source, id});
				if (previous != exchanges_.end() && now - previous->second.started < exchange_lifetime)
				{
					++retransmissions_;
					send(source, previous->second.response);
					return;
				}
				if (draining_ || static_cast<double>(running_.size()) >= slots_)
				{
					++shed_;
					send(source, encode_message(type, coap_code_service_unavailable, id, message->token(), {},
												bytes_of(draining_ ? "draining" : "shed")));
					return;
				}
				const std::string request = text_of(message->payload());
				++runs_[request];
				const std::string answer = expected_response_payload(request, service_, name_);
				constexpr std::uint8_t content = 0x45;
				constexpr std::uint8_t changed = 0x44;
				const auto code = message->code() == coap_code_get ? content : changed;
				exchanges_[{source, id}] = {now, {}};
				const double in_progress = static_cast<double>(running_.size()) + 1;
				const double slowdown = std::max(1.0, in_progress / capacity(now));
				running_.emplace(
					now + std::chrono::duration_cast<clock::duration>(model_.service_time * slowdown),
					running_request{source, id,
									encode_message(type, code, id, message->token(), {}, bytes_of(answer))});
				most_in_progress_ = std::max(most_in_progress_, static_cast<qint64>(running_.size()));
			}

			void cancel(const endpoint& source, std::uint16_t id, const coap_message& message)
			{
				for (auto& [due, it] : running_)
				{
					const auto parsed = parse_coap(it.response);
					const auto* response = std::get_if<coap_message>(&parsed);
					const bool same_token =
						response != nullptr && std::ranges::equal(response->token(), message.token());
					if (it.source == source && (it.message_id == id || same_token))
					{
						it.cancelled = true;
						++cancelled_;
						return;
					}
				}
			}

			void send(const endpoint& destination, std::span<const std::byte> bytes)
			{
				if (bytes.empty())
				{
					return;
				}
				const auto to = runtime::to_socket_address(destination);
				::sendto(fd_.get(), bytes.data(), bytes.size(), MSG_DONTWAIT,
						 reinterpret_cast<const sockaddr*>(&to.storage), to.length);
			}

			std::string service_;
			std::string name_;
			bool is_coap_;
			double slots_;
			upstream_model model_;
			runtime::file_descriptor fd_;
			std::unique_ptr<QSocketNotifier> notifier_;
			runtime::receive_batch batch_{16};
			clock::time_point cold_since_ = clock::now();
			std::optional<clock::time_point> over_capacity_since_;
			std::map<endpoint, flow_state> flows_;
			std::multimap<clock::time_point, running_request> running_;
			std::map<std::pair<endpoint, std::uint16_t>, exchange> exchanges_;
			std::map<std::string, qint64> runs_;
			std::uint64_t flow_number_ = 0;
			qint64 datagrams_ = 0;
			qint64 last_unix_ms_ = 0;
			qint64 most_in_progress_ = 0;
			qint64 shed_ = 0;
			qint64 cancelled_ = 0;
			qint64 retransmissions_ = 0;
			qint64 overloads_ = 0;
			qint64 collapses_ = 0;
			bool silent_ = false;
			bool draining_ = false;
			bool misleading_ = false;
		};

		class upstream_host
		{
		public:
			upstream_host(const std::vector<std::string>& targets, const upstream_model& model)
			{
				for (const auto& text : targets)
				{
					const auto fields = QString::fromStdString(text).split(',');
					if (fields.size() != 5)
					{
						exit_with_error("--target: got \"" + text + "\", expected IP:PORT,SERVICE,NAME,PROTOCOL,SLOTS");
					}
					upstreams_.push_back(std::make_unique<upstream>(fields, model));
				}
				QObject::connect(&timer_, &QTimer::timeout,
								 [this] { std::ranges::for_each(upstreams_, [](auto& it) { it->tick(); }); });
				timer_.setTimerType(Qt::PreciseTimer);
				timer_.start(1ms);
			}

			void add_routes(QHttpServer& server)
			{
				using method = QHttpServerRequest::Method;
				// Names of upstreams contain slashes, so they are passed in the query or the body.
				server.route("/health", method::Get,
							 [this](const QHttpServerRequest& request) { return respond(request, &upstream::health); });
				server.route("/load", method::Get,
							 [this](const QHttpServerRequest& request) { return respond(request, &upstream::load); });
				server.route("/admin/target", method::Post,
							 [this](const QHttpServerRequest& request)
							 {
								 const auto object = QJsonDocument::fromJson(request.body()).object();
								 const auto name = object["name"].toString().toStdString();
								 for (const auto& it : upstreams_)
								 {
									 if (name.empty() || it->name() == name)
									 {
										 it->configure(object);
									 }
								 }
								 return json_response({});
							 });
				server.route("/admin/report", method::Get,
							 [this]
							 {
								 QJsonArray list;
								 for (const auto& it : upstreams_)
								 {
									 list.append(it->report(unix_ms()));
								 }
								 return json_response({{"upstreams", list}});
							 });
			}

		private:
			QHttpServerResponse respond(const QHttpServerRequest& request, QJsonObject (upstream::*body)() const) const
			{
				const auto name = request.query().queryItemValue("name").toStdString();
				for (const auto& it : upstreams_)
				{
					if (it->name() == name)
					{
						return json_response(((*it).*body)());
					}
				}
				return json_response({{"error", "no such upstream"}}, QHttpServerResponse::StatusCode::NotFound);
			}

			std::vector<std::unique_ptr<upstream>> upstreams_;
			QTimer timer_;
		};
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto parsed = runtime::parse_command_line(
		argc, argv,
		{{"target", "IP:PORT,SERVICE,NAME,PROTOCOL,SLOTS", "Upstream to serve; may be repeated"},
		 {"admin", "IP:PORT", "Endpoint to serve HTTP on"},
		 {"service-ms", "N", "Service time of a request on an upstream without overload (default 10)"},
		 {"warm-up-ms", "N", "Time from cold to full capacity (default 8000)"},
		 {"cold-share", "X", "Share of its slots that a cold upstream can use (default 0.2)"}});
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& args = std::get<0>(parsed);
	const standin::upstream_model model{std::chrono::milliseconds{std::stoi(args.value("service-ms", "10"))},
										std::chrono::milliseconds{std::stoi(args.value("warm-up-ms", "8000"))},
										std::stod(args.value("cold-share", "0.2"))};
	runtime::block_stop_signals();
	QCoreApplication app{argc, argv};
	const runtime::stop_signals signals{[](int) { QCoreApplication::quit(); }};
	standin::upstream_host host{args.values("target"), model};
	QHttpServer server;
	host.add_routes(server);
	standin::listen_http_or_exit(server, standin::parse_endpoint_or_exit(args.value("admin"), "admin"));
	return QCoreApplication::exec();
}
