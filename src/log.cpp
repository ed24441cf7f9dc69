#include "nutmegturn/log.hpp"

#include <fmt/chrono.h>
#include <fmt/format.h>
#include <rapidjson/stringbuffer.h>
#include <rapidjson/writer.h>

#include <algorithm>
#include <array>
#include <iterator>

namespace nutmegturn
{
	namespace
	{
		constexpr std::array<std::string_view, 4> level_names{"debug", "info", "warning", "error"};

		void append_escaped(std::string& out, std::string_view text)
		{
			for (const char c : text)
			{
				if (c == '\n')
				{
					out += "\\n";
				}
				else if (static_cast<unsigned char>(c) < 0x20U || c == 0x7f)
				{
					fmt::format_to(std::back_inserter(out), "\\x{:02x}", static_cast<unsigned char>(c));
				}
				else
				{
					out += c;
				}
			}
		}

		void append_value(std::string& out, std::string_view value)
		{
			if (!value.empty() && value.find_first_of(" \"=\\") == std::string_view::npos)
			{
				append_escaped(out, value);
				return;
			}
			std::string quoted;
			for (const char c : value)
			{
				quoted += c == '"' || c == '\\' ? std::string{'\\', c} : std::string{c};
			}
			out += '"';
			append_escaped(out, quoted);
			out += '"';
		}
	}

	std::string_view to_string(log_level level) noexcept
	{
		const auto i = static_cast<std::size_t>(level);
		return i < level_names.size() ? level_names[i] : std::string_view{"unknown"};
	}

	std::optional<log_level> parse_log_level(std::string_view text) noexcept
	{
		const auto* it = std::ranges::find(level_names, text);
		if (it == level_names.end())
		{
			return std::nullopt;
		}
		return static_cast<log_level>(it - level_names.begin());
	}

	std::string format_time(wall_time at)
	{
		const auto seconds = std::chrono::floor<std::chrono::seconds>(at);
		return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(seconds)),
						   (at - seconds).count());
	}

	std::string format_log_text(const log_event& event, wall_time at)
	{
		std::string out = fmt::format("{} {} {}: ", format_time(at), to_string(event.level), event.name);
		append_escaped(out, event.text);
		for (const auto& [key, value] : event.fields)
		{
			fmt::format_to(std::back_inserter(out), " {}=", key);
			append_value(out, value);
		}
		if (event.suppressed != 0)
		{
			fmt::format_to(std::back_inserter(out), " suppressed={}", event.suppressed);
		}
		return out;
	}

	std::string format_log_json(const log_event& event, wall_time at)
	{
		rapidjson::StringBuffer out;
		rapidjson::Writer<rapidjson::StringBuffer> writer{out};
		const auto put = [&writer](std::string_view key, std::string_view value)
		{
			writer.Key(key.data(), static_cast<rapidjson::SizeType>(key.size()));
			writer.String(value.data(), static_cast<rapidjson::SizeType>(value.size()));
		};
		writer.StartObject();
		put("event", event.name);
		writer.Key("fields");
		writer.StartObject();
		for (const auto& [key, value] :
			 std::map<std::string_view, std::string>(event.fields.begin(), event.fields.end()))
		{
			put(key, value);
		}
		writer.EndObject();
		put("level", to_string(event.level));
		if (event.suppressed != 0)
		{
			writer.Key("suppressed");
			writer.Uint64(event.suppressed);
		}
		put("text", event.text);
		put("time", format_time(at));
		writer.EndObject();
		return {out.GetString(), out.GetSize()};
	}

	std::optional<std::uint64_t> log_limiter::admit(std::string_view name, monotonic_time now, std::uint32_t per_second)
	{
		auto it = buckets_.find(name);
		if (it == buckets_.end())
		{
			// All names beyond the limit share the bucket of the empty name.
			const std::string_view key = buckets_.size() < max_names ? name : std::string_view{};
			it = buckets_.try_emplace(std::string{key}, token_bucket{burst, now, 0}).first;
		}
		auto& bucket = it->second;
		const auto seconds = std::chrono::floor<std::chrono::seconds>(now - bucket.refilled_at);
		if (seconds.count() > 0)
		{
			bucket.tokens = static_cast<std::uint32_t>(
				std::min<std::int64_t>(std::max(burst, per_second), bucket.tokens + seconds.count() * per_second));
			bucket.refilled_at += seconds;
		}
		if (bucket.tokens == 0)
		{
			++bucket.suppressed;
			++suppressed_total_;
			return std::nullopt;
		}
		--bucket.tokens;
		return std::exchange(bucket.suppressed, 0);
	}
}
