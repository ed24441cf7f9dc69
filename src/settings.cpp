#include "nutmegturn/settings.hpp"

#include "nutmegturn/impl/json_reader.hpp"
#include "nutmegturn/naming.hpp"

#include <fmt/format.h>

#include <algorithm>

namespace nutmegturn
{
	namespace
	{
		using impl::json_context;
		using impl::object_reader;

		constexpr std::array<std::string_view, 2> roles{"balancer", "agent"};
		constexpr std::array<std::string_view, 2> ingress_modes{"plain", "proxy_v2"};
		constexpr std::array<std::string_view, 4> log_levels{"debug", "info", "warning", "error"};
		constexpr std::size_t max_member_name_size = 63;
		constexpr std::uint32_t max_traffic_threads = 64;
		constexpr std::uint32_t max_table_entries = 16'777'216;
		constexpr std::uint32_t max_key_id = 255;
		// One key in use, and one that is being introduced or retired by a key rotation.
		constexpr std::size_t max_keys = 2;

		http_url read_url(json_context& context, const QJsonValue& value, const std::string& path)
		{
			constexpr std::string_view scheme = "http://";
			const auto text = value.toString().toStdString();
			const std::string_view rest = std::string_view{text}.substr(text.starts_with(scheme) ? scheme.size() : 0);
			const auto slash = std::min(rest.find('/'), rest.size());
			const auto server = parse_endpoint(rest.substr(0, slash));
			const auto url_path = rest.substr(slash);
			if (!text.starts_with(scheme) || !server || url_path.find_first_of("?# ") != std::string_view::npos)
			{
				context.set_error(path, impl::json_text(value),
								  "http://IP:port with an optional path, without query or fragment");
				return {};
			}
			return {*server, std::string{url_path.ends_with('/') ? url_path.substr(0, url_path.size() - 1) : url_path}};
		}

		object_reader read_object(json_context& context, const QJsonValue& value, const std::string& path)
		{
			if (!value.isObject())
			{
				context.set_error(path, impl::json_text(value), "object");
			}
			return {context, value.toObject(), path};
		}

		shared_key read_key(json_context& context, const QJsonValue& value, const std::string& path)
		{
			auto in = read_object(context, value, path);
			const auto id = static_cast<std::uint8_t>(in.number("id", 1, max_key_id));
			const auto hex = in.text("secret");
			const auto key = parse_shared_key(id, hex);
			if (!key)
			{
				// The secret itself must not appear in error messages and logs.
				context.set_error(in.path_of("secret"), fmt::format("{} characters", hex.size()),
								  fmt::format("{} hexadecimal digits", 2 * sizeof(shared_key::secret)));
			}
			in.reject_unknown_fields();
			return key.value_or(shared_key{.id = id});
		}

		void read_keys(json_context& context, object_reader& in, settings& out)
		{
			in.for_each("keys", false,
						[&](const QJsonValue& value, const std::string& path)
						{
							const auto key = read_key(context, value, path);
							const auto has_same_id = [&key](const auto& other) { return other.id == key.id; };
							if (out.keys.size() >= max_keys ||
								std::any_of(out.keys.begin(), out.keys.end(), has_same_id))
							{
								context.set_error(path, fmt::format("key id {}", key.id),
												  fmt::format("at most {} keys with distinct ids", max_keys));
							}
							out.keys.push_back(key);
						});
			out.require_authentication = in.boolean("require_authentication", false);
			if (out.keys.empty())
			{
				if (out.require_authentication)
				{
					context.set_error("keys", {}, "at least one key, because authentication is required");
				}
				return;
			}
			const auto send_key = in.number("send_key", 1, max_key_id, out.keys.front().id);
			const auto it = std::find_if(out.keys.begin(), out.keys.end(),
										 [send_key](const auto& key) { return key.id == send_key; });
			if (it == out.keys.end())
			{
				context.set_error("send_key", std::to_string(send_key), "id of one of the keys");
				return;
			}
			std::rotate(out.keys.begin(), it, it + 1);
		}

		void read_endpoints(json_context& context, object_reader& in, settings& out)
		{
			out.control = in.ip_port("control");
			out.data = in.ip_port("data");
			if (const auto value = in.find("http"))
			{
				out.http = impl::read_endpoint(context, *value, "http");
			}
			in.for_each("config_services", true,
						[&](const QJsonValue& value, const std::string& path)
						{ out.config_services.push_back(read_url(context, value, path)); });
			if (const auto value = in.find("instance_list"))
			{
				out.instance_list = read_url(context, *value, "instance_list");
			}
			in.for_each("seeds", false,
						[&](const QJsonValue& value, const std::string& path)
						{ out.seeds.push_back(impl::read_endpoint(context, value, path)); });
		}

		void read_ingress(json_context& context, object_reader& in, settings& out)
		{
			in.for_each("ingress", true,
						[&](const QJsonValue& value, const std::string& path)
						{
							auto item = read_object(context, value, path);
							ingress_settings ingress;
							ingress.listen = item.ip_port("listen");
							ingress.mode = static_cast<ingress_mode>(item.choice("mode", ingress_modes, 0));
							item.reject_unknown_fields();
							out.ingress.push_back(ingress);
						});
		}

		void read_upstreams(json_context& context, object_reader& in, settings& out)
		{
			in.for_each("upstreams", true,
						[&](const QJsonValue& value, const std::string& path)
						{
							auto name = impl::canonical_name(context, path, value.toString().toStdString(),
															 name_kind::upstream);
							if (std::find(out.upstreams.begin(), out.upstreams.end(), name) != out.upstreams.end())
							{
								context.set_error(path, impl::json_text(value), "a unique upstream name");
							}
							out.upstreams.push_back(std::move(name));
						});
		}
	}

	result<settings> parse_settings(std::string_view source, std::string_view text)
	{
		json_context context{std::string{source}, {}};
		object_reader in{context, impl::parse_json_object(context, text, max_settings_size)};
		settings out;
		out.role = static_cast<member_role>(in.choice("role", roles));
		out.name = in.text("name");
		if (out.name.empty() || out.name.size() > max_member_name_size)
		{
			context.set_error("name", out.name, "text of 1 to 63 bytes");
		}
		out.zone = impl::canonical_name(context, "zone", in.text("zone"), name_kind::zone_or_service);
		read_endpoints(context, in, out);
		if (out.role == member_role::balancer)
		{
			read_ingress(context, in, out);
		}
		else
		{
			read_upstreams(context, in, out);
		}
		out.traffic_threads = in.number("traffic_threads", 1, max_traffic_threads, 1);
		read_keys(context, in, out);
		if (const auto value = in.find("log"))
		{
			auto log = read_object(context, *value, "log");
			out.level = static_cast<log_level>(log.choice("level", log_levels, static_cast<std::size_t>(out.level)));
			out.log_json = log.boolean("json", false);
			log.reject_unknown_fields();
		}
		out.chart_directory = in.text("chart_directory", "");
		if (const auto value = in.find("memory"))
		{
			auto memory = read_object(context, *value, "memory");
			out.memory.redirects = memory.number("redirects", 1, max_table_entries, out.memory.redirects);
			out.memory.request_outcomes =
				memory.number("request_outcomes", 1, max_table_entries, out.memory.request_outcomes);
			out.memory.audit_entries = memory.number("audit_entries", 1, max_table_entries, out.memory.audit_entries);
			memory.reject_unknown_fields();
		}
		in.reject_unknown_fields();
		if (context.error)
		{
			return *context.error;
		}
		return out;
	}

	std::string to_string(const http_url& url)
	{
		return fmt::format("http://{}{}", to_string(url.server), url.path);
	}
}
