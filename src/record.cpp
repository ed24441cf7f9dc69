#include "nutmegturn/record.hpp"

#include "nutmegturn/impl/json_reader.hpp"
#include "nutmegturn/naming.hpp"

#include <algorithm>
#include <array>
#include <charconv>
#include <span>

namespace nutmegturn
{
	namespace
	{
		using impl::json_context;
		using impl::object_reader;

		constexpr std::uint32_t newest_schema = 3;
		constexpr std::array<std::string_view, 3> upstream_states{"serving", "draining", "out"};
		constexpr std::array<std::string_view, 2> zone_states{"in", "out"};
		constexpr std::array<std::string_view, 2> protocols{"datagram", "coap"};
		constexpr std::array<std::string_view, 3> kinds{"availability_zone", "service", "upstream"};
		constexpr std::size_t upstream_kind_index = 2;

		constexpr std::uint32_t max_slots = 1'000'000;
		constexpr std::uint32_t max_connections = 100'000'000;
		constexpr std::uint32_t default_connections = 2'000;
		constexpr std::uint32_t default_idle_timeout_s = 3'600;
		constexpr std::uint32_t max_idle_timeout_s = 30 * 24 * 3'600;
		constexpr std::size_t max_list_elements = 1'000;

		template <typename T>
		void append_unique(json_context& context, const std::string& path, const QJsonValue& value,
						   std::vector<T>& list, T item)
		{
			if (list.size() >= max_list_elements)
			{
				context.set_error(path, impl::json_text(value), "a list of at most 1000 elements");
			}
			else if (std::find(list.begin(), list.end(), item) != list.end())
			{
				context.set_error(path, impl::json_text(value), "a unique list element");
			}
			else
			{
				list.push_back(std::move(item));
			}
		}

		struct duration_unit
		{
			std::string_view suffix;
			std::uint32_t milliseconds;
		};

		constexpr std::array<duration_unit, 4> duration_units{
			{{"ms", 1}, {"s", 1'000}, {"m", 60'000}, {"h", 3'600'000}}};

		/// Parses a duration such as `150ms`, `90s`, `15m` or `1h`.
		/// \param units	Accepted units.
		/// \returns		The duration, or 0 when the text is malformed.
		std::chrono::milliseconds parse_duration(std::string_view text, std::span<const duration_unit> units) noexcept
		{
			std::uint32_t number = 0;
			const auto* end = text.data() + text.size();
			const auto [it, ec] = std::from_chars(text.data(), end, number);
			const std::string_view suffix{it, static_cast<std::size_t>(end - it)};
			const auto unit = std::ranges::find(units, suffix, &duration_unit::suffix);
			return std::chrono::milliseconds{
				ec == std::errc{} && unit != units.end() ? std::int64_t{number} * unit->milliseconds : 0};
		}

		std::uint32_t read_idle_timeout(json_context& context, object_reader& in, std::uint32_t schema)
		{
			if (schema == 2)
			{
				return in.number("idle_timeout_s", 1, max_idle_timeout_s, default_idle_timeout_s);
			}
			const auto value = schema == newest_schema ? in.find("idle_timeout") : std::nullopt;
			if (!value)
			{
				return default_idle_timeout_s;
			}
			const auto units = std::span{duration_units}.subspan(1);
			const auto duration = parse_duration(value->toString().toStdString(), units);
			const auto seconds = std::chrono::duration_cast<std::chrono::seconds>(duration).count();
			if (seconds < 1 || seconds > max_idle_timeout_s)
			{
				context.set_error(in.path_of("idle_timeout"), impl::json_text(*value),
								  "duration from 1 s to 30 days, such as 90s, 15m or 1h");
				return default_idle_timeout_s;
			}
			return static_cast<std::uint32_t>(seconds);
		}

		/// Reads a time of a traffic class.
		/// \returns	The time, or 0 when the field is absent.
		std::chrono::milliseconds read_class_time(json_context& context, object_reader& in, std::string_view key)
		{
			const auto value = in.find(key);
			if (!value)
			{
				return std::chrono::milliseconds{0};
			}
			const auto time = parse_duration(value->toString().toStdString(), duration_units);
			if (time.count() < 1 || time > steering::max_class_time)
			{
				context.set_error(in.path_of(key), impl::json_text(*value),
								  "duration from 1 ms to 1 h, such as 150ms or 2s");
			}
			return time;
		}

		steering::traffic_class read_class(json_context& context, object_reader& in)
		{
			constexpr steering::traffic_class defaults;
			steering::traffic_class traffic;
			traffic.kind = static_cast<steering::request_kind>(
				in.choice("request_kind", steering::request_kind_names, static_cast<std::size_t>(defaults.kind)));
			traffic.latency_target = read_class_time(context, in, "latency_target");
			traffic.timeout = read_class_time(context, in, "timeout");
			traffic.priority =
				static_cast<std::uint8_t>(in.number("priority", 0, steering::lowest_priority, defaults.priority));
			return traffic;
		}

		zone_config read_zone(object_reader& in, const record& rec)
		{
			zone_config zone;
			zone.id = make_id<zone_id>(rec.name);
			zone.name = rec.name;
			zone.state = rec.schema == 1 ? (in.boolean("enabled", true) ? zone_admin_state::in : zone_admin_state::out)
										 : static_cast<zone_admin_state>(in.choice("state", zone_states, 0));
			if (rec.schema == newest_schema)
			{
				zone.region = in.text("region", "");
			}
			return zone;
		}

		service_config read_service(json_context& context, object_reader& in, const record& rec)
		{
			service_config service;
			service.id = make_id<service_id>(rec.name);
			service.name = rec.name;
			if (rec.schema == 1)
			{
				service.addresses.push_back(in.ip_port("address"));
				return service;
			}
			in.for_each(
				"addresses", true,
				[&](const QJsonValue& value, const std::string& path)
				{ append_unique(context, path, value, service.addresses, impl::read_endpoint(context, value, path)); });
			service.protocol = static_cast<service_protocol>(in.choice("protocol", protocols, 0));
			service.idle_timeout = std::chrono::seconds{read_idle_timeout(context, in, rec.schema)};
			if (rec.schema == newest_schema)
			{
				service.traffic = read_class(context, in);
			}
			return service;
		}

		upstream_config read_upstream(json_context& context, object_reader& in, record& rec)
		{
			upstream_config upstream{};
			upstream.id = make_id<upstream_id>(rec.name);
			upstream.name = rec.name;
			rec.service =
				impl::canonical_name(context, in.path_of("service"), in.text("service"), name_kind::zone_or_service);
			rec.zone = impl::canonical_name(context, in.path_of("zone"), in.text("zone"), name_kind::zone_or_service);
			for (const auto* reference : {&rec.service, &rec.zone})
			{
				if (deployment_of(*reference) != deployment_of(rec.name))
				{
					context.set_error(in.path_of(reference == &rec.service ? "service" : "zone"), *reference,
									  "name in the deployment of the upstream");
				}
			}
			upstream.target = in.ip_port("endpoint");
			upstream.agent = in.ip_port("agent");
			if (upstream.agent == upstream.target)
			{
				context.set_error(in.path_of("agent"), to_string(upstream.agent), "endpoint other than the target");
			}
			upstream.slots = in.number("slots", 1, max_slots);
			upstream.connections = in.number("connections", 1, max_connections, default_connections);
			upstream.state =
				rec.schema == 1
					? (in.boolean("enabled", true) ? upstream_admin_state::serving : upstream_admin_state::draining)
					: static_cast<upstream_admin_state>(in.choice("state", upstream_states, 0));
			return upstream;
		}
	}

	result<record> parse_record(std::string_view source, std::string_view text)
	{
		json_context context{std::string{source}, {}};
		object_reader in{context, impl::parse_json_object(context, text, max_record_size)};
		record rec;
		rec.schema = in.number("schema", 1, newest_schema);
		const auto kind = in.choice("kind", kinds);
		const auto expected_name_kind = kind == upstream_kind_index ? name_kind::upstream : name_kind::zone_or_service;
		const auto name = in.text("name");
		// The schema and the kind determine the other fields, so without them further errors would be misleading.
		if (context.error)
		{
			return *context.error;
		}
		rec.name = impl::canonical_name(context, "name", name, expected_name_kind);
		if (rec.schema > 1)
		{
			in.for_each("aliases", false,
						[&](const QJsonValue& value, const std::string& path)
						{
							auto alias =
								impl::canonical_name(context, path, value.toString().toStdString(), expected_name_kind);
							if (alias == rec.name)
							{
								context.set_error(path, impl::json_text(value), "name other than the record's own");
							}
							append_unique(context, path, value, rec.aliases, std::move(alias));
						});
		}
		switch (kind)
		{
			case 0:
				rec.config = read_zone(in, rec);
				break;
			case 1:
				rec.config = read_service(context, in, rec);
				break;
			default:
				rec.config = read_upstream(context, in, rec);
				break;
		}
		in.reject_unknown_fields();
		if (context.error)
		{
			return *context.error;
		}
		return rec;
	}

	std::string_view to_string(upstream_admin_state state) noexcept
	{
		return upstream_states[static_cast<std::size_t>(state)];
	}

	std::string_view to_string(zone_admin_state state) noexcept
	{
		return zone_states[static_cast<std::size_t>(state)];
	}

	std::string_view to_string(service_protocol protocol) noexcept
	{
		return protocols[static_cast<std::size_t>(protocol)];
	}
}
