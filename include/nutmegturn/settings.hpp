#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/key_ring.hpp"
#include "nutmegturn/log.hpp"
#include "nutmegturn/member.hpp"

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegturn
{
	/// How the network passes the original addresses of a datagram to a balancer.
	enum class ingress_mode : std::uint8_t
	{
		plain,   ///< The datagram arrives with its original addresses.
		proxy_v2 ///< A PROXY protocol v2 header precedes the payload.
	};

	/// Endpoint at which a balancer receives the datagrams of callers.
	struct ingress_settings
	{
		endpoint listen;
		ingress_mode mode = ingress_mode::plain;
	};

	/// URL of an HTTP resource; the host is a numeric IP address, so that no name resolution is needed.
	struct http_url
	{
		endpoint server;
		std::string path; ///< Empty, or starts with a slash and does not end with one.
	};

	/// Maximum numbers of table entries. Reaching a limit is counted.
	struct memory_settings
	{
		std::uint32_t redirects = 65'536;
		std::uint32_t request_outcomes = 65'536;
		std::uint32_t audit_entries = 4'096;
	};

	/// Settings of a balancer or an agent.
	struct settings
	{
		member_role role = member_role::balancer;
		std::string name;                      ///< Name of the process, unique in its deployment.
		std::string zone;                      ///< Canonical name.
		endpoint control;                      ///< Endpoint for control messages.
		endpoint data;                         ///< Endpoint for packets between processes.
		std::vector<ingress_settings> ingress; ///< Balancers only.
		std::vector<std::string> upstreams;    ///< Agents only: canonical names of the served upstreams.
		std::optional<endpoint> http;          ///< Serves metrics, status and audit log; disabled when absent.
		std::vector<http_url> config_services; ///< Base URLs, tried in turn.
		std::optional<http_url> instance_list; ///< URL of the instance list; none when absent.
		std::vector<endpoint> seeds;           ///< Control endpoints of other members.
		std::uint32_t traffic_threads = 1;     ///< 1 to 64.
		std::vector<shared_key> keys;          ///< At most two; the first is used for sending.
		bool require_authentication = false;   ///< Drop datagrams without a valid tag.
		log_level level = log_level::info;     ///< Minimum severity of logged events.
		bool log_json = false;                 ///< One JSON object per line instead of text.
		std::string chart_directory;           ///< Directory of the state charts; empty for the installed ones.
		memory_settings memory;
	};

	/// Maximum size of a settings document in bytes.
	inline constexpr std::size_t max_settings_size = 1'000'000;

	/// Parses the settings of a balancer or an agent, depending on the `role` in the document.
	/// \param source	File name, for error messages.
	/// \param text	UTF-8 JSON.
	/// \returns	The settings, or the error for which they were rejected.
	[[nodiscard]] result<settings> parse_settings(std::string_view source, std::string_view text);

	/// Returns the text of a URL.
	[[nodiscard]] std::string to_string(const http_url& url);
}
