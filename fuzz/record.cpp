#include "nutmegturn/config_store.hpp"
#include "nutmegturn/naming.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/settings.hpp"

#include <fmt/format.h>

#include <array>
#include <cstdio>
#include <cstdlib>
#include <string>

namespace
{
	using namespace nutmegturn;

	constexpr std::uint64_t seed = 0x7ec07d;
	constexpr std::uint64_t inputs = 100'000;
	constexpr std::uint64_t keys = 8;
	// The store keeps all versions above complete_through, so it is emptied regularly to bound its size.
	constexpr std::uint64_t inputs_per_store = 64;

	const std::array<std::string, 4> samples{
		R"({"schema":3,"kind":"availability_zone","name":"/d/z","state":"out","region":"r"})",
		R"({"schema":2,"kind":"service","name":"s.d","addresses":["127.0.0.1:80","[::1]:80"],"aliases":["urn:nmt:d:t"]})",
		R"({"schema":1,"kind":"upstream","name":"/d/z/s/1","service":"/d/s","zone":"z.d","enabled":true,)"
		R"("endpoint":"127.0.0.1:1","agent":"127.0.0.1:2","slots":5,"connections":9})",
		R"({"role":"agent","name":"a","zone":"/d/z","control":"127.0.0.1:1","data":"127.0.0.1:2",)"
		R"("config_services":["http://127.0.0.1:3"],"upstreams":["/d/z/s/1"],"log":{"level":"info"}})"};

	const std::array<std::string, 14> fragments{
		"\"", "\\", "{", "}", "[", "]", ",", ":", "1e9", "null", "\\u0061", "\"name\":", "\xff", std::string(1, '\0')};

	std::string mutate(random_source& random)
	{
		auto text = samples[random.below(samples.size())];
		for (auto n = random.below(6); n > 0 && !text.empty(); --n)
		{
			const auto at = random.below(text.size());
			switch (random.below(5))
			{
				case 0:
					text[at] = static_cast<char>(random.below(256));
					break;
				case 1:
					text.erase(at, 1 + random.below(8));
					break;
				case 2:
					text.insert(at, fragments[random.below(fragments.size())]);
					break;
				case 3:
					text.insert(at, text.substr(random.below(text.size()), random.below(40)));
					break;
				default:
					text.resize(at);
					break;
			}
		}
		return text;
	}

	void require(bool condition, const char* message, const std::string& input)
	{
		if (!condition)
		{
			fmt::print(stderr, "{}: {}\n", message, input);
			std::exit(EXIT_FAILURE);
		}
	}
}

/// Feeds seeded, mutated texts to the parsers of records, settings and names and to the config store. Checks that
/// accepted names are canonical, that each record error states what is expected, and that the store has a record for
/// each version in force.
int main()
{
	random_source random{seed};
	std::uint64_t accepted = 0;
	config_store store;
	for (std::uint64_t i = 0; i < inputs; ++i)
	{
		const auto text = mutate(random);
		const auto parsed = parse_record("fuzz", text);
		if (const auto* rec = std::get_if<record>(&parsed))
		{
			++accepted;
			const auto kind =
				std::holds_alternative<upstream_config>(rec->config) ? name_kind::upstream : name_kind::zone_or_service;
			const auto reparsed = parse_name("fuzz", "name", rec->name, kind);
			require(has_value(reparsed) && std::get<std::string>(reparsed) == rec->name,
					"accepted name is not in canonical form", text);
		}
		else
		{
			require(!std::get<parse_error>(parsed).expected.empty(), "parse error does not state what is expected",
					text);
		}
		static_cast<void>(parse_settings("fuzz", text));
		static_cast<void>(parse_name("fuzz", "name", text.substr(0, random.below(64)), name_kind::upstream));

		if (i % inputs_per_store == 0)
		{
			store = {};
		}
		const std::array versions{
			record_version{fmt::format("k{}", random.below(keys)), revision{1 + random.below(inputs_per_store)}, text}};
		config_store_apply(store, versions, revision{});
		const auto& entry = store.records.at(versions[0].key);
		require(!entry.in_force || record_in_force(entry) != nullptr, "no record for the version in force", text);
	}
	fmt::print("{} inputs, {} accepted as records\n", inputs, accepted);
	require(accepted > inputs / 20, "too few inputs accepted to exercise the checks of accepted records", {});
	return EXIT_SUCCESS;
}
