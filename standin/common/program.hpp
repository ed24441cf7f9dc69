#pragma once

#include "nutmegturn/endpoint.hpp"

#include "runtime/http.hpp"

#include <QHttpServer>
#include <QJsonArray>
#include <QJsonDocument>
#include <QJsonObject>

#include <fmt/format.h>

#include <chrono>
#include <cstdio>
#include <cstdlib>
#include <string>

/// Test doubles of the platform, and the helpers that they share.
namespace nutmegturn::standin
{
	/// Prints a message to standard error and exits with status 1. Intended for use before the event loop runs; the
	/// stack is not unwound.
	[[noreturn]] inline void exit_with_error(const std::string& message)
	{
		fmt::print(stderr, "{}\n", message);
		std::exit(1);
	}

	/// Returns the endpoint in the value of an option; exits if it is malformed.
	[[nodiscard]] inline endpoint parse_endpoint_or_exit(const std::string& text, const char* option)
	{
		const auto ep = parse_endpoint(text);
		if (!ep)
		{
			exit_with_error(fmt::format("--{}: got \"{}\", expected IP:port", option, text));
		}
		return *ep;
	}

	/// Binds the HTTP server to an endpoint; exits if this fails.
	inline void listen_http_or_exit(QAbstractHttpServer& server, const endpoint& ep)
	{
		const auto port = runtime::listen_http(server, ep);
		if (!has_value(port))
		{
			exit_with_error(std::get<1>(port));
		}
	}

	/// Serializes a JSON object without whitespace.
	[[nodiscard]] inline QByteArray to_json(const QJsonObject& object)
	{
		return QJsonDocument{object}.toJson(QJsonDocument::Compact);
	}

	/// Returns an HTTP response with a JSON body.
	[[nodiscard]] inline QHttpServerResponse
	json_response(const QJsonObject& object,
				  QHttpServerResponse::StatusCode status = QHttpServerResponse::StatusCode::Ok)
	{
		return {"application/json", to_json(object), status};
	}

	/// Returns the wall-clock time in milliseconds since the Unix epoch.
	[[nodiscard]] inline std::int64_t unix_ms()
	{
		using namespace std::chrono;
		return duration_cast<milliseconds>(system_clock::now().time_since_epoch()).count();
	}
}
