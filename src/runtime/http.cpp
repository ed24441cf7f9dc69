#include "runtime/http.hpp"

#include <QHostAddress>
#include <QHttpServer>
#include <QNetworkReply>
#include <QNetworkRequest>
#include <QTimer>
#include <QUrl>

#include <memory>

namespace nutmegturn::runtime
{
	namespace
	{
		[[nodiscard]] QNetworkRequest make_request(const std::string& url, std::chrono::milliseconds timeout)
		{
			QNetworkRequest request{QUrl{QString::fromStdString(url)}};
			request.setTransferTimeout(static_cast<int>(timeout.count()));
			// Redirects are not followed, since they could lead to a host outside the configured service.
			request.setAttribute(QNetworkRequest::RedirectPolicyAttribute, QNetworkRequest::ManualRedirectPolicy);
			return request;
		}
	}

	result<std::uint16_t, std::string> listen_http(QAbstractHttpServer& server, const endpoint& ep)
	{
		const auto port = server.listen(QHostAddress{QString::fromStdString(to_string(ep.ip))}, ep.port);
		if (port == 0)
		{
			return "cannot listen for HTTP on " + to_string(ep);
		}
		return static_cast<std::uint16_t>(port);
	}

	void http_client::get(const std::string& url, std::chrono::milliseconds timeout, qint64 max_bytes,
						  std::function<void(const http_response&)> done)
	{
		handle_reply(manager_.get(make_request(url, timeout)), timeout, max_bytes, std::move(done));
	}

	void http_client::post(const std::string& url, const QByteArray& body, std::chrono::milliseconds timeout,
						   std::function<void(const http_response&)> done)
	{
		auto request = make_request(url, timeout);
		request.setHeader(QNetworkRequest::ContentTypeHeader, "application/json");
		handle_reply(manager_.post(request, body), timeout, default_max_bytes, std::move(done));
	}

	void http_client::handle_reply(QNetworkReply* reply, std::chrono::milliseconds timeout, qint64 max_bytes,
								   std::function<void(const http_response&)> done)
	{
		auto* deadline = new QTimer{reply};
		deadline->setSingleShot(true);
		QObject::connect(deadline, &QTimer::timeout, reply, &QNetworkReply::abort);
		deadline->start(timeout);

		auto body = std::make_shared<QByteArray>();
		auto oversized = std::make_shared<bool>(false);
		QObject::connect(reply, &QNetworkReply::readyRead, reply,
						 [reply, body, oversized, max_bytes]
						 {
							 *body += reply->readAll();
							 if (body->size() > max_bytes && !*oversized)
							 {
								 *oversized = true;
								 reply->abort();
							 }
						 });
		QObject::connect(reply, &QNetworkReply::finished, reply,
						 [reply, body, oversized, done = std::move(done)]
						 {
							 http_response response;
							 response.status = reply->attribute(QNetworkRequest::HttpStatusCodeAttribute).toInt();
							 if (*oversized)
							 {
								 response = {0, {}, "response exceeds the size limit"};
							 }
							 else if (response.status == 0 || reply->error() == QNetworkReply::OperationCanceledError)
							 {
								 response = {0, {}, reply->errorString().toStdString()};
							 }
							 else
							 {
								 response.body = *body + reply->readAll();
								 if (response.status != 200)
								 {
									 response.error = "HTTP status " + std::to_string(response.status);
								 }
							 }
							 reply->deleteLater();
							 done(response);
						 });
	}
}
