#include "nutmegturn/random.hpp"

#include "platform/store_format.hpp"

#include <fmt/core.h>
#include <sodium.h>

#include <array>
#include <cstdlib>
#include <set>
#include <vector>

namespace
{
	using namespace nutmegturn;

	constexpr std::uint64_t seed = 1;
	constexpr int inputs = 60'000;

	constexpr std::array<std::string_view, 3> keys{"servers/i-1", "op/config", "op/evacuate/a"};

	constexpr std::array<std::string_view, 3> values{
		R"({"service":"desk","address":"10.1.0.9:8080","zone":"a","version":"v1","max_concurrency":5,)"
		R"("state":"ready","cold_remaining_ms":120,"sequence":4,"born":1700000000000})",
		R"({"version":7,"routes":[{"host":"198.18.0.1","prefix":"/443/","service":"desk","type":"idempotent"}],)"
		R"("services":[{"name":"desk","cold_start_s":2,"cold_per_s":10}],"limits":{"idle_timeout_ms":9000}})",
		R"({"zone":"a"})"};

	/// Values of other writers that name nothing to use. They are the first inputs, beside one good entry.
	[[nodiscard]] std::vector<std::string> odd_values()
	{
		constexpr std::size_t depth = 100'000;
		constexpr std::size_t largest_value = 1U << 20U;
		const auto nested = std::string(depth, '[') + std::string(depth, ']');
		const auto with_field = [](std::string_view name, std::string_view text)
		{
			// Of a field that is given twice, the first one counts.
			return fmt::format(R"({{"{}":{},"service":"desk","zone":"a","state":"ready","address":"10.1.0.9:8080",)"
							   R"("version":"v1","max_concurrency":5,"cold_remaining_ms":0,"sequence":4}})",
							   name, text);
		};
		return {nested,
				with_field("extra", nested),
				with_field("sequence", "18446744073709551616"),
				with_field("born", "1e400"),
				with_field("cold_remaining_ms", "-1"),
				with_field("address", R"("10.1.0.9:65536")"),
				with_field("address", R"("10.1.0.9:0")"),
				"\xff\xfe{",
				"",
				std::string(largest_value, '[')};
	}

	/// Overwrites, removes or duplicates up to three byte ranges.
	void corrupt(std::string& text, random_source& random)
	{
		for (auto n = random.below(4); n > 0 && !text.empty(); --n)
		{
			const auto at = random.below(text.size());
			switch (random.below(3))
			{
				case 0:
					text[at] = static_cast<char>(random.below(256));
					break;
				case 1:
					text.erase(at, 1 + random.below(8));
					break;
				default:
					text.insert(at, text.substr(at, 1 + random.below(16)));
					break;
			}
		}
	}

	[[nodiscard]] std::string base64(const std::string& text)
	{
		std::string encoded(sodium_base64_ENCODED_LEN(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
		sodium_bin2base64(encoded.data(), encoded.size(), reinterpret_cast<const unsigned char*>(text.data()),
						  text.size(), sodium_base64_VARIANT_ORIGINAL);
		encoded.resize(encoded.find('\0'));
		return encoded;
	}

	/// Applies a listing of each odd value, first and last on its page, beside one good entry.
	/// \returns	Whether the good entry is known after each.
	[[nodiscard]] bool accepts_entries_beside_odd_ones(steering::catalog& known, monotonic_time now)
	{
		std::uint64_t revision = 1;
		for (const auto& value : odd_values())
		{
			const auto item = [&revision](std::string_view key, const std::string& text)
			{ return fmt::format(R"({{"key":"{}","revision":{},"value":"{}"}})", key, ++revision, base64(text)); };
			const auto key = fmt::format("servers/good-{}", revision);
			const auto first = item("servers/a-odd", value);
			const auto good = item(key, std::string{values[0]});
			const auto last = item("servers/z-odd", value);
			const auto body = fmt::format(R"({{"items":[{},{},{}],"as_of":{}}})", first, good, last, revision);
			for (const auto& it : platform::decode_response(200, "0", body).records)
			{
				apply_record(known, steering::record_group::upstreams, it, now);
			}
			if (!known.upstreams.contains(key))
			{
				fmt::print("an odd value of {} bytes hides the entry beside it\n", value.size());
				return false;
			}
		}
		return true;
	}

	/// Returns a list or watch response with one record. The value of the record is corrupted before it is encoded; the
	/// response body is corrupted in half of the cases.
	/// \param revision	Revision of the record.
	[[nodiscard]] std::string make_input(std::uint64_t revision, random_source& random)
	{
		const auto index = random.below(keys.size());
		std::string value{values[index]};
		corrupt(value, random);
		auto body = fmt::format(R"({{"{}":[{{"key":"{}","revision":{},"value":"{}"}}],"as_of":{},"has_more":{}}})",
								random.below(2) == 0 ? "items" : "events", keys[index], revision, base64(value),
								random.below(50), random.below(2) == 0);
		if (random.below(2) == 0)
		{
			corrupt(body, random);
		}
		return body;
	}
}

/// Feeds seeded responses of the metadata store to the decoder and the catalog. The run fails on a crash, on a
/// sanitizer report, or if the configuration version decreases.
int main()
{
	random_source random{seed};
	steering::catalog known;
	monotonic_time now{std::chrono::seconds{1}};
	int accepted = 0;
	if (!accepts_entries_beside_odd_ones(known, now))
	{
		return EXIT_FAILURE;
	}
	known = {};
	for (int i = 0; i < inputs; ++i)
	{
		now += std::chrono::milliseconds{1};
		const auto response = platform::decode_response(
			200, std::to_string(random.below(4)), make_input(static_cast<std::uint64_t>(i) + random.below(3), random));
		const auto previous_version = known.version;
		std::set<std::string> listed;
		for (const auto& it : response.records)
		{
			const bool is_operator_order = it.key.starts_with("op/");
			const auto group =
				is_operator_order ? steering::record_group::operator_orders : steering::record_group::upstreams;
			apply_record(known, group, it, now);
			listed.insert(it.key);
		}
		finish_listing(known, steering::record_group::upstreams, listed, response.revision, now);
		expire_former(known, now);
		accepted += response.result == platform::store_response::outcome::complete ? 1 : 0;
		if (known.version < previous_version)
		{
			fmt::print("input {}: configuration version decreased from {} to {}\n", i, previous_version, known.version);
			return EXIT_FAILURE;
		}
	}
	fmt::print("{} of {} inputs accepted, {} records unreadable\n", accepted, inputs, known.unreadable_records);
	return EXIT_SUCCESS;
}
