// Test double of the platform's configuration service and instance list. Records come from a folder of JSON files,
// which may be replaced while the program runs, or from admin requests.

#include "../common/program.hpp"
#include "runtime/command_line.hpp"
#include "runtime/signals.hpp"

#include <QCoreApplication>
#include <QDir>
#include <QHttpServerResponder>
#include <QPointer>
#include <QTcpSocket>
#include <QTimer>
#include <QUrlQuery>

#include <algorithm>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace nutmegturn::standin
{
	namespace
	{
		using clock = std::chrono::steady_clock;
		using status = QHttpServerResponder::StatusCode;

		constexpr std::chrono::milliseconds default_wait{1'000};
		constexpr std::chrono::milliseconds max_wait{25'000};

		enum class service_mode
		{
			normal, ///< Returns all published records.
			stale,  ///< Returns records published up to a fixed revision only.
			down,   ///< Responds with status 503.
			silent  ///< Accepts requests but sends no response.
		};

		/// Published revision of a record; a null value deletes the record.
		struct publication
		{
			qint64 rev = 0;
			QString key;
			QJsonValue value;
		};

		/// HTTP server that passes each request to one handler, together with its connection. The handler needs the
		/// connection because Qt 6.4 does not detect that a client disconnected before its response, and writing the
		/// response then would access a deleted socket.
		class config_http : public QAbstractHttpServer
		{
		public:
			using handler = std::function<void(const QHttpServerRequest&, QTcpSocket*, QHttpServerResponder&&)>;

			explicit config_http(handler on_request) : handler_{std::move(on_request)} {}

		protected:
			bool handleRequest(const QHttpServerRequest& request, QTcpSocket* socket) override
			{
				handler_(request, socket, makeResponder(request, socket));
				return true;
			}

			void missingHandler(const QHttpServerRequest&, QTcpSocket*) override {}

		private:
			handler handler_;
		};

		/// Long-poll request that waits for a newer revision.
		struct pending_watch
		{
			QPointer<QTcpSocket> connection;
			qint64 after = 0;
			clock::time_point deadline;
			QHttpServerResponder responder;
		};

		class config_service
		{
		public:
			config_service(QString folder, QString instances_file, double reads_per_second)
				: folder_{std::move(folder)}, instances_file_{std::move(instances_file)},
				  reads_per_second_{reads_per_second}, read_tokens_{reads_per_second}
			{
				scan_files();
				QObject::connect(&scan_timer_, &QTimer::timeout, [this] { scan_files(); });
				scan_timer_.start(std::chrono::milliseconds{200});
				QObject::connect(&watch_timer_, &QTimer::timeout, [this] { complete_watches(); });
				watch_timer_.start(std::chrono::milliseconds{20});
			}

			/// Responds to a request, or keeps its responder until a response is due.
			void handle(const QHttpServerRequest& request, QTcpSocket* connection, QHttpServerResponder&& responder)
			{
				const auto path = request.url().path();
				if (path.startsWith("/v1/") && !admit_read(responder))
				{
					return;
				}
				if (path == "/v1/records")
				{
					write(responder, status::Ok, changes_after(0));
				}
				else if (path == "/v1/watch")
				{
					handle_watch(request, connection, std::move(responder));
				}
				else if (path == "/v1/instances")
				{
					write(responder, status::Ok, {{"instances", instances_}});
				}
				else if (path == "/admin/records")
				{
					handle_publish(request.body(), responder);
				}
				else if (path == "/admin/instances")
				{
					instances_ = QJsonDocument::fromJson(request.body()).object()["instances"].toArray();
					instances_file_.clear();
					write(responder, status::Ok, {{"instances", instances_.size()}});
				}
				else if (path == "/admin/mode")
				{
					set_mode(request.body(), responder);
				}
				else if (path == "/admin/restore")
				{
					restore(request.body(), responder);
				}
				else if (path == "/admin/stats")
				{
					write(responder, status::Ok, stats());
				}
				else
				{
					write(responder, status::NotFound, {{"error", "no such path"}});
				}
			}

		private:
			[[nodiscard]] qint64 newest_revision() const
			{
				const qint64 last = history_.empty() ? 0 : history_.back().rev;
				return mode_ == service_mode::stale ? std::min(last, stale_revision_) : last;
			}

			/// Counts a read and checks it against the mode and the rate limit (token bucket of one second of reads).
			/// \returns	Whether the read is allowed; if not, it got an error response or, in silent mode, gets none.
			[[nodiscard]] bool admit_read(QHttpServerResponder& responder)
			{
				const auto now = clock::now();
				read_tokens_ = std::min(reads_per_second_,
										read_tokens_ + reads_per_second_ *
														   std::chrono::duration<double>(now - last_refill_).count());
				last_refill_ = now;
				++reads_;
				if (mode_ == service_mode::silent)
				{
					silent_responders_.push_back(std::move(responder));
					return false;
				}
				if (mode_ == service_mode::down)
				{
					++failed_;
					write(responder, status::ServiceUnavailable, {{"error", "down"}});
					return false;
				}
				if (read_tokens_ < 1)
				{
					++refused_;
					write(responder, status::TooManyRequests, {{"error", "rate"}});
					return false;
				}
				read_tokens_ -= 1;
				return true;
			}

			static void write(QHttpServerResponder& responder, status code, const QJsonObject& object)
			{
				responder.write(QJsonDocument{object}, code);
			}

			[[nodiscard]] QJsonObject changes_after(qint64 after) const
			{
				const qint64 last = newest_revision();
				std::map<QString, const publication*> latest;
				for (const auto& it : history_)
				{
					if (it.rev <= last)
					{
						latest[it.key] = &it;
					}
				}
				QJsonArray records;
				for (const auto& [key, it] : latest)
				{
					if (it->rev > after)
					{
						records.append(QJsonObject{{"key", key}, {"revision", it->rev}, {"value", it->value}});
					}
				}
				return {{"era", era_}, {"revision", last}, {"records", records}};
			}

			void handle_watch(const QHttpServerRequest& request, QTcpSocket* connection,
							  QHttpServerResponder&& responder)
			{
				const qint64 after = request.query().queryItemValue("after").toLongLong();
				bool has_wait = false;
				const auto requested_ms = request.query().queryItemValue("wait_ms").toLongLong(&has_wait);
				const auto wait = has_wait ? std::clamp(std::chrono::milliseconds{requested_ms},
														std::chrono::milliseconds{0}, max_wait)
										   : default_wait;
				pending_watches_.push_back({connection, after, clock::now() + wait, std::move(responder)});
				complete_watches();
			}

			void complete_watches()
			{
				if (mode_ == service_mode::silent)
				{
					return;
				}
				const auto now = clock::now();
				for (auto it = pending_watches_.begin(); it != pending_watches_.end();)
				{
					if (!it->connection || it->connection->state() != QAbstractSocket::ConnectedState)
					{
						it = pending_watches_.erase(it);
					}
					else if (newest_revision() > it->after || now >= it->deadline)
					{
						write(it->responder, status::Ok, changes_after(it->after));
						it = pending_watches_.erase(it);
					}
					else
					{
						++it;
					}
				}
			}

			qint64 publish(const QString& key, const QJsonValue& value)
			{
				const qint64 rev = (history_.empty() ? 0 : history_.back().rev) + 1;
				history_.push_back({rev, key, value});
				return rev;
			}

			void handle_publish(const QByteArray& body, QHttpServerResponder& responder)
			{
				const auto document = QJsonDocument::fromJson(body);
				const QJsonArray list = document.isArray() ? document.array() : QJsonArray{document.object()};
				qint64 rev = 0;
				for (const auto& it : list)
				{
					const auto object = it.toObject();
					if (!object["key"].isString() || !object.contains("value"))
					{
						write(responder, status::BadRequest, {{"error", "expected {\"key\":K,\"value\":V}"}});
						return;
					}
					// A record published by request no longer follows its file.
					file_records_.erase(object["key"].toString());
					rev = publish(object["key"].toString(), object["value"]);
				}
				const auto now = unix_ms();
				complete_watches();
				write(responder, status::Ok, {{"revision", rev}, {"accepted_unix_ms", qint64{now}}});
			}

			void set_mode(const QByteArray& body, QHttpServerResponder& responder)
			{
				const auto object = QJsonDocument::fromJson(body).object();
				static const std::map<QString, service_mode> modes{{"normal", service_mode::normal},
																   {"stale", service_mode::stale},
																   {"down", service_mode::down},
																   {"silent", service_mode::silent}};
				const auto it = modes.find(object["mode"].toString());
				if (it == modes.end())
				{
					write(responder, status::BadRequest, {{"error", "expected mode normal, stale, down or silent"}});
					return;
				}
				mode_ = it->second;
				const qint64 last = history_.empty() ? 0 : history_.back().rev;
				stale_revision_ = object["revision"].toInteger(last);
				if (mode_ != service_mode::silent)
				{
					silent_responders_.clear();
				}
				write(responder, status::Ok, {{"mode", it->first}});
			}

			/// Returns to the contents at a revision, which starts another era. The records in files are published
			/// again by the next scan.
			void restore(const QByteArray& body, QHttpServerResponder& responder)
			{
				const auto revision = QJsonDocument::fromJson(body).object()["revision"];
				if (!revision.isDouble())
				{
					write(responder, status::BadRequest, {{"error", "expected {\"revision\":N}"}});
					return;
				}
				std::erase_if(history_, [last = revision.toInteger()](const auto& it) { return it.rev > last; });
				for (const auto& [key, value] : file_records_)
				{
					seen_keys_.erase(key);
				}
				file_records_.clear();
				++era_;
				write(responder, status::Ok, {{"era", era_}, {"revision", newest_revision()}});
			}

			[[nodiscard]] QJsonObject stats() const
			{
				return {{"reads", reads_},
						{"refused", refused_},
						{"failed", failed_},
						{"waiting", static_cast<qint64>(pending_watches_.size())},
						{"revision", history_.empty() ? qint64{0} : history_.back().rev}};
			}

			/// Publishes changes of the record files. A file holds one record or a list of records; the key of a record
			/// is its `name` field, unmodified.
			void scan_files()
			{
				std::map<QString, QJsonValue> records_in_files;
				const auto files = QDir{folder_}.entryList({"*.json"}, QDir::Files, QDir::Name);
				for (const auto& name : files)
				{
					QFile file{folder_ + "/" + name};
					if (!file.open(QIODevice::ReadOnly))
					{
						continue;
					}
					const auto document = QJsonDocument::fromJson(file.readAll());
					if (document.isNull())
					{
						// Partially written file; the next scan reads it again.
						return;
					}
					const QJsonArray list = document.isArray() ? document.array() : QJsonArray{document.object()};
					for (const auto& it : list)
					{
						records_in_files[it.toObject()["name"].toString(name)] = it;
					}
				}
				for (const auto& [key, value] : records_in_files)
				{
					const auto it = file_records_.find(key);
					const bool known = it != file_records_.end();
					if ((!known && !seen_keys_.contains(key)) || (known && it->second != value))
					{
						publish(key, value);
						file_records_[key] = value;
						seen_keys_.insert(key);
					}
				}
				for (auto it = file_records_.begin(); it != file_records_.end();)
				{
					if (records_in_files.contains(it->first))
					{
						++it;
						continue;
					}
					publish(it->first, QJsonValue::Null);
					seen_keys_.erase(it->first);
					it = file_records_.erase(it);
				}
				QFile file{instances_file_};
				if (!instances_file_.isEmpty() && file.open(QIODevice::ReadOnly))
				{
					const auto document = QJsonDocument::fromJson(file.readAll());
					if (document.isObject())
					{
						instances_ = document.object()["instances"].toArray();
					}
				}
			}

			QString folder_;
			QString instances_file_;
			double reads_per_second_;
			double read_tokens_;
			clock::time_point last_refill_ = clock::now();
			service_mode mode_ = service_mode::normal;
			qint64 stale_revision_ = 0;
			qint64 era_ = 1;
			std::vector<publication> history_;
			std::map<QString, QJsonValue> file_records_;
			std::set<QString> seen_keys_;
			QJsonArray instances_;
			std::list<pending_watch> pending_watches_;
			std::list<QHttpServerResponder> silent_responders_;
			qint64 reads_ = 0;
			qint64 refused_ = 0;
			qint64 failed_ = 0;
			QTimer scan_timer_;
			QTimer watch_timer_;
		};
	}
}

int main(int argc, char** argv)
{
	using namespace nutmegturn;
	const auto parsed = runtime::parse_command_line(
		argc, argv,
		{{"listen", "IP:PORT", "Endpoint to serve HTTP on (default 127.0.0.1:8500)"},
		 {"records", "DIR", "Folder with record files"},
		 {"instances", "FILE", "File with the instance list, in the JSON format of GET /v1/instances"},
		 {"rate", "N", "Limit of reads per second for all clients together (default 2000)"}});
	if (!has_value(parsed))
	{
		return std::get<1>(parsed);
	}
	const auto& args = std::get<0>(parsed);
	runtime::block_stop_signals();
	QCoreApplication app{argc, argv};
	const runtime::stop_signals signals{[](int) { QCoreApplication::quit(); }};
	standin::config_service service{QString::fromStdString(args.value("records")),
									QString::fromStdString(args.value("instances")),
									QString::fromStdString(args.value("rate", "2000")).toDouble()};
	standin::config_http server{
		[&](const QHttpServerRequest& request, QTcpSocket* connection, QHttpServerResponder&& responder)
		{ service.handle(request, connection, std::move(responder)); }};
	standin::listen_http_or_exit(server,
								 standin::parse_endpoint_or_exit(args.value("listen", "127.0.0.1:8500"), "listen"));
	return QCoreApplication::exec();
}
