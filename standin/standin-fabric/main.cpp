// Test double of the platform's network fabric: receives the datagrams of callers at the service addresses, forwards
// each one to a random balancer with a PROXY protocol v2 header, and returns the balancers' datagrams to the callers.

#include "nutmegturn/proxy_header.hpp"
#include "nutmegturn/random.hpp"

#include "../common/program.hpp"
#include "runtime/command_line.hpp"
#include "runtime/signals.hpp"
#include "runtime/udp.hpp"

#include <QCoreApplication>
#include <QSocketNotifier>
#include <QTimer>

#include <algorithm>
#include <array>
#include <chrono>
#include <cstring>
#include <map>
#include <memory>
#include <set>
#include <vector>

namespace nutmegturn::standin
{
	namespace
	{
		using clock = std::chrono::steady_clock;

		/// Faults that the fabric injects into its traffic.
		struct faults
		{
			double drop = 0;                     ///< Probability that a datagram is dropped.
			double duplicate = 0;                ///< Probability that a datagram is sent twice.
			std::chrono::microseconds delay{0};  ///< Added to each datagram.
			std::chrono::microseconds jitter{0}; ///< Maximum of an additional uniform delay; also reorders.
			std::set<endpoint> cut;              ///< Balancers partitioned from the fabric in both directions.
		};

		struct delayed_datagram
		{
			int fd = -1;
			endpoint destination;
			std::vector<std::byte> bytes;
		};

		class fabric
		{
		public:
			fabric(const endpoint& own, const std::vector<endpoint>& services, std::vector<endpoint> balancers,
				   std::uint64_t seed)
				: balancers_{std::move(balancers)}, random_{seed}, balancer_fd_{open(own)}
			{
				watch(balancer_fd_, [this] { read_balancers(); });
				for (const auto& ep : services)
				{
					const int fd = open(ep);
					service_fds_[ep] = fd;
					watch(fd, [this, ep, fd] { read_callers(ep, fd); });
				}
				QObject::connect(&send_timer_, &QTimer::timeout, [this] { send_due(); });
				send_timer_.start(std::chrono::milliseconds{1});
			}

			void add_routes(QHttpServer& server)
			{
				using method = QHttpServerRequest::Method;
				server.route("/admin/faults", method::Post,
							 [this](const QHttpServerRequest& request)
							 {
								 const auto object = QJsonDocument::fromJson(request.body()).object();
								 faults_.drop = object["drop"].toDouble();
								 faults_.duplicate = object["duplicate"].toDouble();
								 faults_.delay = from_milliseconds(object["delay_ms"].toDouble());
								 faults_.jitter = from_milliseconds(object["jitter_ms"].toDouble());
								 faults_.cut.clear();
								 for (const auto& ep : parse_endpoints(object["cut"].toArray()))
								 {
									 faults_.cut.insert(ep);
								 }
								 return json_response(stats());
							 });
				server.route("/admin/balancers", method::Post,
							 [this](const QHttpServerRequest& request)
							 {
								 balancers_ = parse_endpoints(
									 QJsonDocument::fromJson(request.body()).object()["balancers"].toArray());
								 return json_response(stats());
							 });
				server.route("/admin/stats", method::Get, [this] { return json_response(stats()); });
			}

		private:
			[[nodiscard]] static std::chrono::microseconds from_milliseconds(double ms)
			{
				return std::chrono::microseconds{static_cast<std::int64_t>(ms * 1'000)};
			}

			[[nodiscard]] static std::vector<endpoint> parse_endpoints(const QJsonArray& list)
			{
				std::vector<endpoint> parsed;
				for (const auto& it : list)
				{
					if (const auto ep = parse_endpoint(it.toString().toStdString()))
					{
						parsed.push_back(*ep);
					}
				}
				return parsed;
			}

			int open(const endpoint& ep)
			{
				auto fd = runtime::open_udp(ep);
				if (!has_value(fd))
				{
					exit_with_error(std::get<1>(fd));
				}
				sockets_.push_back(std::move(std::get<0>(fd)));
				return sockets_.back().get();
			}

			template <typename F>
			void watch(int fd, F on_readable)
			{
				notifiers_.push_back(std::make_unique<QSocketNotifier>(fd, QSocketNotifier::Read));
				QObject::connect(notifiers_.back().get(), &QSocketNotifier::activated, on_readable);
			}

			void read_callers(const endpoint& service, int fd)
			{
				while (const std::size_t n = batch_.receive(fd))
				{
					for (std::size_t i = 0; i < n; ++i)
					{
						++from_callers_;
						if (balancers_.empty())
						{
							continue;
						}
						const endpoint& balancer = balancers_[random_.below(balancers_.size())];
						if (faults_.cut.contains(balancer))
						{
							continue;
						}
						std::array<std::byte, max_proxy_header_size> header{};
						const auto size = encode_proxy_header(batch_.source(i), service, header);
						if (const auto* bytes = std::get_if<std::size_t>(&size))
						{
							forward(balancer_fd_, balancer, std::span{header}.first(*bytes), batch_.payload(i));
						}
					}
				}
			}

			void read_balancers()
			{
				while (const std::size_t n = batch_.receive(balancer_fd_))
				{
					for (std::size_t i = 0; i < n; ++i)
					{
						++from_balancers_;
						const auto decoded = decode_proxy_header(batch_.payload(i));
						const auto* datagram = std::get_if<proxied_datagram>(&decoded);
						if (datagram == nullptr || faults_.cut.contains(batch_.source(i)))
						{
							continue;
						}
						const auto it = service_fds_.find(datagram->source);
						if (it != service_fds_.end())
						{
							forward(it->second, datagram->destination, {}, datagram->payload);
						}
					}
				}
			}

			void forward(int fd, const endpoint& destination, std::span<const std::byte> header,
						 std::span<const std::byte> payload)
			{
				if (random_.uniform() < faults_.drop)
				{
					++dropped_;
					return;
				}
				const int copies = random_.uniform() < faults_.duplicate ? 2 : 1;
				for (int i = 0; i < copies; ++i)
				{
					delayed_datagram datagram{fd, destination, {header.begin(), header.end()}};
					datagram.bytes.insert(datagram.bytes.end(), payload.begin(), payload.end());
					const auto delay = faults_.delay + std::chrono::microseconds{random_.below(
														   static_cast<std::uint64_t>(faults_.jitter.count()) + 1)};
					if (delay.count() == 0)
					{
						send(datagram);
					}
					else
					{
						delayed_.emplace(clock::now() + delay, std::move(datagram));
					}
				}
			}

			void send_due()
			{
				const auto now = clock::now();
				while (!delayed_.empty() && delayed_.begin()->first <= now)
				{
					send(delayed_.begin()->second);
					delayed_.erase(delayed_.begin());
				}
			}

			static void send(const delayed_datagram& datagram)
			{
				const auto to = runtime::to_socket_address(datagram.destination);
				::sendto(datagram.fd, datagram.bytes.data(), datagram.bytes.size(), MSG_DONTWAIT,
						 reinterpret_cast<const sockaddr*>(&to.storage), to.length);
			}

			[[nodiscard]] QJsonObject stats() const
			{
				return {{"from_callers", from_callers_},
						{"from_balancers", from_balancers_},
						{"dropped", dropped_},
						{"balancers", static_cast<qint64>(balancers_.size())}};
			}

			std::vector<endpoint> balancers_;
			random_source random_;
			std::vector<runtime::file_descriptor> sockets_;
			int balancer_fd_;
			faults faults_;
			std::map<endpoint, int> service_fds_;
			std::vector<std::unique_ptr<QSocketNotifier>> notifiers_;
			runtime::receive_batch batch_;
			std::multimap<clock::time_point, delayed_datagram> delayed_;
			QTimer send_timer_;
			qint64 from_callers_ = 0;
			qint64 from_balancers_ = 0;
			qint64 dropped_ = 0;
		};
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto parsed =
		runtime::parse_command_line(argc, argv,
									{{"listen", "IP:PORT", "Endpoint that exchanges datagrams with the balancers"},
									 {"service", "IP:PORT", "Service address; may be repeated"},
									 {"balancer", "IP:PORT", "Address of a balancer; may be repeated"},
									 {"admin", "IP:PORT", "Endpoint to serve HTTP on"},
									 {"seed", "N", "Seed of all random choices (default 1)"}});
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& args = std::get<0>(parsed);
	std::vector<endpoint> services;
	for (const auto& text : args.values("service"))
	{
		services.push_back(standin::parse_endpoint_or_exit(text, "service"));
	}
	std::vector<endpoint> balancers;
	for (const auto& text : args.values("balancer"))
	{
		balancers.push_back(standin::parse_endpoint_or_exit(text, "balancer"));
	}
	runtime::block_stop_signals();
	QCoreApplication app{argc, argv};
	const runtime::stop_signals signals{[](int) { QCoreApplication::quit(); }};
	standin::fabric fabric{standin::parse_endpoint_or_exit(args.value("listen"), "listen"), services, balancers,
						   std::stoull(args.value("seed", "1"))};
	QHttpServer server;
	fabric.add_routes(server);
	standin::listen_http_or_exit(server, standin::parse_endpoint_or_exit(args.value("admin"), "admin"));
	return QCoreApplication::exec();
}
