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
	/// Binds an HTTP server to an endpoint.
	/// \returns	The port, or an error message.
	[[nodiscard]] result<std::uint16_t, std::string> listen_http(QAbstractHttpServer& server, const endpoint& ep);

	/// Response of an HTTP server, or an error.
	struct http_response
	{
		int status = 0; ///< 0 if no complete response was received.
		QByteArray body;
		std::string error; ///< Empty for a complete response with status 200.
	};

	/// HTTP client with limits on response time and size.
	class http_client
	{
	public:
		/// Default limit of the response body. A full read of the configuration contains all values of up to 1 MB each.
		static constexpr qint64 default_max_bytes = 256LL << 20;

		/// Sends a GET request.
		/// \param url			URL of the document.
		/// \param timeout		Longest time without progress, and longest total time of the request.
		/// \param max_bytes	Largest accepted response body; larger responses are aborted.
		/// \param done			Called once in the event loop.
		void get(const std::string& url, std::chrono::milliseconds timeout, qint64 max_bytes,
				 std::function<void(const http_response&)> done);

		/// Sends a POST request with a JSON document; otherwise like `get` with the default limit.
		void post(const std::string& url, const QByteArray& body, std::chrono::milliseconds timeout,
				  std::function<void(const http_response&)> done);

	private:
		void handle_reply(QNetworkReply* reply, std::chrono::milliseconds timeout, qint64 max_bytes,
						  std::function<void(const http_response&)> done);

		QNetworkAccessManager manager_;
	};
}
