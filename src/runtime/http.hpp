#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"

#include <QByteArray>
#include <QNetworkAccessManager>
#include <QString>

#include <chrono>
#include <functional>
#include <string>

class QAbstractHttpServer;

namespace nutmegturn::runtime
{
	/// Listens for HTTP on an endpoint.
	/// \returns	The port, or why it failed.
	[[nodiscard]] result<std::uint16_t, std::string> listen_http(QAbstractHttpServer& server, const endpoint& ep);

	/// Response of an HTTP server, or why there is none.
	struct http_response
	{
		int status = 0; ///< 0 when no complete response arrived.
		QByteArray body;
		std::string error; ///< Empty for a complete response.
	};

	/// Reads documents over HTTP with a bound on time and size.
	class http_client
	{
	public:
		/// Largest body that is read. Values are up to 1 MB each, and a full read carries all of them.
		static constexpr qint64 default_max_bytes = 256LL << 20;

		/// Reads a document.
		/// \param url			Where.
		/// \param timeout		Longest time without progress, and longest total time of the read.
		/// \param max_bytes	Larger responses are given up.
		/// \param done			Called once in the event loop.
		void get(const std::string& url, std::chrono::milliseconds timeout, qint64 max_bytes,
				 std::function<void(const http_response&)> done);

		/// Posts a JSON document; otherwise like `get`.
		void post(const std::string& url, const QByteArray& body, std::chrono::milliseconds timeout,
				  std::function<void(const http_response&)> done);

	private:
		void follow(QNetworkReply* reply, std::chrono::milliseconds timeout, qint64 max_bytes,
					std::function<void(const http_response&)> done);

		QNetworkAccessManager manager_;
	};
}
