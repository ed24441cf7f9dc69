#include "nutmegturn/config_store.hpp"

#include "base64_text.hpp"
#include "node/status_server.hpp"
#include "node/store_reader.hpp"
#include "runtime/config_client.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <unistd.h>

#include <array>
#include <string>
#include <utility>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;
		using namespace std::string_literals;

		constexpr std::size_t nesting_depth = 100'000;
		constexpr std::size_t largest_value = 1U << 20U;

		[[nodiscard]] std::string nested()
		{
			return std::string(nesting_depth, '[') + std::string(nesting_depth, ']');
		}

		/// Returns an upstream entry of the platform with one field replaced.
		[[nodiscard]] std::string entry_with(std::string_view field, std::string_view text)
		{
			std::string entry = "{";
			for (const auto& [name, value] :
				 std::initializer_list<std::pair<std::string_view, std::string_view>>{{"service", R"("desk")"},
																					  {"address", R"("10.1.0.9:8080")"},
																					  {"zone", R"("a")"},
																					  {"version", R"("v1")"},
																					  {"max_concurrency", "5"},
																					  {"state", R"("ready")"},
																					  {"cold_remaining_ms", "0"},
																					  {"sequence", "4"},
																					  {"born", "1700000000000"}})
			{
				entry += fmt::format(R"({}"{}":{})", entry.size() == 1 ? "" : ",", name, name == field ? text : value);
			}
			return entry + "}";
		}

		/// Values of another writer that name no upstream.
		[[nodiscard]] std::vector<std::string> odd_values()
		{
			return {nested(),
					entry_with("zone", nested()),
					entry_with("max_concurrency", "18446744073709551616"),
					entry_with("max_concurrency", "1e400"),
					entry_with("max_concurrency", "4294967296"),
					entry_with("max_concurrency", "-1"),
					entry_with("max_concurrency", "2.5"),
					entry_with("cold_remaining_ms", "99999999999999999999999999"),
					entry_with("address", R"("10.1.0.9:0")"),
					entry_with("address", R"("10.1.0.9:65536")"),
					entry_with("address", R"("10.1.0.9:-1")"),
					entry_with("address", R"("0.0.0.0:8080")"),
					entry_with("address", "8080"),
					entry_with("service", R"(["desk"])"),
					"\xff\xfe{",
					R"({"service":"desk","service":7)",
					"[]",
					"",
					std::string(largest_value, '['),
					std::string(largest_value, ' ')};
		}

		[[nodiscard]] std::string item(std::string_view key, int revision, std::string_view value)
		{
			return fmt::format(R"({{"key":"{}","value":"{}","revision":{},"created":1,"lease":0}})", key, base64(value),
							   revision);
		}

		[[nodiscard]] std::string good_item(std::string_view key, int revision)
		{
			return item(key, revision, entry_with("zone", R"("a")"));
		}

		[[nodiscard]] std::string listing_of(const std::vector<std::string>& items)
		{
			return fmt::format(R"({{"items":[{}],"has_more":false,"as_of":99}})", fmt::join(items, ","));
		}

		// Guards against using an entry that names no upstream, against a crash on it, and against losing the entries
		// beside it, wherever it stands on its page.
		TEST(odd_store_entry, is_unreadable_while_all_others_are_used)
		{
			const auto values = odd_values();
			for (std::size_t i = 0; i < values.size(); ++i)
			{
				const auto odd = item("servers/odd", 8, values[i]);
				const auto before = good_item("servers/a", 7);
				const auto after = good_item("servers/z", 9);
				for (const auto& items : {std::vector{odd}, std::vector{odd, after}, std::vector{before, odd},
										  std::vector{before, odd, after}})
				{
					const auto response = platform::decode_response(200, "", listing_of(items));
					ASSERT_EQ(response.result, platform::store_response::outcome::complete) << i;
					ASSERT_EQ(response.records.size(), items.size()) << i;
					for (const auto& it : response.records)
					{
						EXPECT_EQ(std::holds_alternative<steering::upstream_entry>(it.value), it.key != "servers/odd")
							<< "value " << i << ", key " << it.key;
					}
				}
			}
		}

		/// Values of a class field that are invalid in each of the four.
		[[nodiscard]] std::vector<std::string> odd_class_values()
		{
			return {nested(),
					R"({"a":)" + nested() + "}",
					"null",
					"true",
					"-1",
					"2.5",
					"7.0",
					"3600001",
					"18446744073709551616",
					"1e400",
					"1e999",
					"-1e999",
					R"("7")",
					R"("Idempotent")",
					R"("\ud800")",
					"\"" + std::string(largest_value, 'x') + "\"",
					"\"" + std::string(59, 'x') + "\xc5\xbe\"",
					"\"\xff\xfe\"",
					"[]",
					"{}"};
		}

		// Guards against a configuration that an odd class makes unreadable, against losing the routes beside it, and
		// against a description as large as the value.
		TEST(odd_class, gives_its_route_the_default_class_and_changes_no_other)
		{
			constexpr std::size_t most_described = 250;
			const auto values = odd_class_values();
			for (const auto* field : {"type", "aim_ms", "timeout_ms", "priority"})
			{
				for (std::size_t i = 0; i < values.size(); ++i)
				{
					const auto route = [](int host, std::string_view fields) {
						return fmt::format(R"({{"host":"198.18.0.{}","prefix":"/80/","service":"desk","name":"é"{}}})",
										   host, fields);
					};
					const auto good = R"(,"type":"download","aim_ms":20,"timeout_ms":700,"priority":2)";
					const auto odd = fmt::format(R"(,"{}":{},"{}":5)", field, values[i],
												 field == std::string_view{"aim_ms"} ? "timeout_ms" : "aim_ms");
					const auto body =
						fmt::format(R"({{"version":7,"routes":[{},{},{}],"limits":{{"idle_timeout_ms":9}}}})",
									route(1, good), route(2, odd), route(3, good));
					const auto response = platform::decode_response(200, "", listing_of({item("op/config", 8, body)}));
					const auto* config = std::get_if<steering::configuration>(&response.records.at(0).value);
					ASSERT_NE(config, nullptr) << field << ", value " << i;
					ASSERT_EQ(config->routes.size(), 3U) << field << ", value " << i;
					EXPECT_EQ(config->routes[1].traffic, steering::traffic_class{}) << field << ", value " << i;
					for (const auto& it : {config->routes[0], config->routes[2]})
					{
						EXPECT_EQ(to_string(it.traffic), "2/download") << field << ", value " << i;
						EXPECT_EQ(it.services.at(0).service, "desk");
					}
					EXPECT_EQ(config->routes_with_default_class, 1U) << field << ", value " << i;
					EXPECT_TRUE(
						config->first_invalid_class.starts_with(fmt::format("route 198.18.0.2:80: {}: ", field)))
						<< config->first_invalid_class;
					EXPECT_LT(config->first_invalid_class.size(), most_described);
					EXPECT_EQ(config->idle_timeout, 9ms);
				}
			}
		}

		// Guards against a process that exceeds its memory: the values of entries that name no upstream were kept, up
		// to a megabyte each, to relay them to other processes.
		TEST(odd_store_entry, is_relayed_without_its_value)
		{
			constexpr std::size_t small = 300;
			const auto body = listing_of({item("servers/odd", 8, std::string(largest_value, ' '))});
			const auto response = platform::decode_response(200, "", body);
			const auto& record = response.records.at(0);
			EXPECT_LT(record.encoded.size(), small);
			const auto relayed = platform::decode_response(
				200, "", platform::encode_listing(std::array{record.encoded}, response.revision));
			EXPECT_EQ(relayed.records.at(0).key, "servers/odd");
			EXPECT_EQ(relayed.records.at(0).revision.number, 8U);
			EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(relayed.records.at(0).value));
		}

		// Guards against refusing a whole answer, again at each call, because of a number that no type holds.
		TEST(odd_store_entry, hides_no_others_by_a_number_outside_its_value)
		{
			const auto odd = R"({"key":"servers/odd","value":1e999,"revision":8,"created":1,"lease":0})"s;
			const auto response = platform::decode_response(
				200, "", listing_of({good_item("servers/a", 7), odd, good_item("servers/z", 9)}));
			ASSERT_EQ(response.result, platform::store_response::outcome::complete);
			EXPECT_EQ(response.revision.number, 99U);
			ASSERT_EQ(response.records.size(), 2U);
			EXPECT_EQ(response.records[0].key, "servers/a");
			EXPECT_EQ(response.records[1].key, "servers/z");
		}

		// Guards against a listing that never ends: the key after which the next page begins ended the query early, so
		// the store sent the same page again.
		TEST(odd_store_key, is_encoded_in_the_target_of_a_call)
		{
			using steering::record_group;
			EXPECT_EQ(platform::listing_target(record_group::upstreams, "servers/a&b#c%d e\r\nf"),
					  "/kv-range?prefix=servers/&after=servers/a%26b%23c%25d%20e%0D%0Af");
			EXPECT_EQ(platform::watch_target(record_group::upstreams, "servers/i-1&x", 7, 10ms),
					  "/kv-watch?prefix=servers/i-1%26x&after=7&wait_ms=10");
		}

		/// Reader of the upstream entries, against a store on loopback with scripted answers.
		class odd_entry_on_loopback : public ::testing::Test
		{
		protected:
			node::event_loop loop;
			node::node_log log{"test"};
			steering::catalog known;
			std::vector<std::string> answers; ///< Bodies; the store refuses further calls.
			std::vector<std::string> calls;   ///< Targets of the calls so far.
			node::status_server store{loop, [this](std::string_view target) { return answer(target); }};
			endpoint address = *parse_endpoint(
				fmt::format("127.77.{}.{}:17432", (::getpid() >> 8) & 0xff, 1 + (::getpid() & 0xff) % 254));

			node::status_response answer(std::string_view target)
			{
				calls.emplace_back(target);
				if (calls.size() > answers.size())
				{
					loop.stop();
					return {.status = 503, .body = {}};
				}
				return {.status = 200, .body = answers[calls.size() - 1]};
			}

			void read_all(node::store_reader& reader)
			{
				ASSERT_EQ(store.listen(address), "");
				reader.start();
				loop.call_at(loop.now() + 10s, [this] { loop.stop(); });
				loop.run();
			}
		};

		// Guards against a reader that repeats a watch forever whose answer is too large, since the odd entries in it
		// stay. A listing has pages of bounded size.
		TEST_F(odd_entry_on_loopback, lists_again_after_a_watch_with_too_large_an_answer)
		{
			const auto oversized = std::string(node::http_connection::max_body_size, ' ');
			answers = {listing_of({good_item("servers/a", 7)}),
					   fmt::format(R"({{"events":[{}],"as_of":120}})", item("servers/odd", 120, oversized)),
					   listing_of({good_item("servers/a", 7), good_item("servers/b", 98)})};
			node::store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			read_all(reader);
			ASSERT_GE(calls.size(), 3U);
			EXPECT_TRUE(calls[2].starts_with("/kv-range?prefix=servers/")) << calls[2];
			EXPECT_TRUE(known.upstreams.contains("servers/b"));
		}

		// Guards against a reader that ends or stops following the list, also when the odd entry is written again.
		TEST_F(odd_entry_on_loopback, is_read_past_at_each_change)
		{
			answers = {listing_of({good_item("servers/a", 7)})};
			int revision = 100;
			for (const auto& value : odd_values())
			{
				const auto good = good_item(fmt::format("servers/b{}", revision), revision + 1);
				answers.push_back(fmt::format(R"({{"events":[{},{}],"as_of":{}}})",
											  item("servers/odd", revision, value), good, revision + 1));
				revision += 2;
			}
			node::store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			reader.set_watch_scope_selector([] { return steering::watch_scope{.key = {}, .coalescing_delay = 1ms}; });
			read_all(reader);
			EXPECT_EQ(known.upstreams.size(), 1 + odd_values().size());
			EXPECT_EQ(known.unreadable_records, odd_values().size());
			EXPECT_EQ(reader.state().revision.number, static_cast<std::uint64_t>(revision - 1));
		}

		// Guards against a listing that is repeated without a pause and never completes, at a store that sends the same
		// page again.
		TEST_F(odd_entry_on_loopback, fails_a_listing_that_makes_no_progress)
		{
			const auto page = fmt::format(R"({{"items":[{}],"has_more":true,"as_of":99}})", good_item("servers/a", 7));
			answers = {page, page};
			node::store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			reader.set_answer_handler([this] { ASSERT_LT(calls.size(), 10U); });
			ASSERT_EQ(store.listen(address), "");
			reader.start();
			loop.call_at(loop.now() + 100ms, [this] { loop.stop(); });
			loop.run();
			EXPECT_EQ(calls.size(), 2U) << "the third call waits for the retry delay";
			EXPECT_TRUE(reader.state().unreachable);
		}

		/// Records of the configuration service that name nothing to use.
		[[nodiscard]] std::vector<std::string> odd_records()
		{
			return {R"({"key":"odd","revision":3,"value":)" + nested() + "}",
					R"({"key":"odd","revision":3,"value":{"a":)" + nested() + "}}",
					R"({"key":"odd","revision":3,"value":{"port":1e999}})",
					R"({"key":"odd","revision":3,"value":{"port":18446744073709551616}})",
					R"({"key":"odd","revision":3,"value":7})",
					R"({"key":"odd","revision":3})",
					R"({"revision":3,"value":{}})",
					R"({"key":7,"revision":3,"value":{}})",
					R"({"key":"odd","revision":1e999,"value":{}})",
					R"({"key":"odd","revision":-3,"value":{}})",
					R"({"key":"odd","revision":2.5,"value":{}})",
					"7",
					"[" + nested() + "]"};
		}

		// Guards against refusing all records of the configuration service for as long as one odd record stays.
		TEST(odd_service_record, hides_no_others)
		{
			for (const auto& odd : odd_records())
			{
				const auto good = [](char name)
				{ return fmt::format(R"({{"key":"{0}","revision":4,"value":{{"x":1}}}})", name); };
				const auto body = fmt::format(R"({{"revision":9,"records":[{},{},{}]}})", good('a'), odd, good('z'));
				const auto parsed = runtime::parse_config_response("test", QByteArray::fromStdString(body));
				ASSERT_TRUE(has_value(parsed)) << odd.substr(0, 80);
				const auto& versions = std::get<0>(parsed).versions;
				ASSERT_GE(versions.size(), 2U) << odd.substr(0, 80);
				EXPECT_EQ(versions.front().key, "a");
				EXPECT_EQ(versions.front().value, R"({"x":1})");
				EXPECT_EQ(versions.back().key, "z");
				EXPECT_EQ(versions.size() + std::get<0>(parsed).unreadable, 3U);
			}
		}

		// Guards against a store of records that ends or loses the others when an odd record comes again and again.
		TEST(odd_service_record, is_refused_by_the_store_of_records)
		{
			const auto odd = R"({"key":"odd","revision":3,"value":{"a":)" + nested() + "}}";
			const auto parsed = runtime::parse_config_response(
				"test", QByteArray::fromStdString(fmt::format(R"({{"revision":9,"records":[{}]}})", odd)));
			ASSERT_TRUE(has_value(parsed));
			config_store store;
			for (int i = 0; i < 3; ++i)
			{
				static_cast<void>(config_store_apply(store, std::get<0>(parsed).versions, revision{9}));
			}
			ASSERT_TRUE(store.records.contains("odd"));
			EXPECT_TRUE(store.records.at("odd").refusal);
		}

		// Guards against a process that learns of no other one while the list of instances has an odd entry.
		TEST(odd_listed_instance, hides_no_others)
		{
			for (const auto& odd :
				 {R"({"name":"odd","control":"10.1.0.9:65536"})"s, R"({"name":"odd","control":"10.1.0.9:0"})"s,
				  R"({"name":"odd","control":"10.1.0.9:-1"})"s, R"({"control":"10.1.0.9:7000"})"s,
				  R"({"name":"odd","control":)" + nested() + "}", R"({"name":1e999,"control":"10.1.0.9:7000"})"s, "7"s})
			{
				const auto body =
					fmt::format(R"({{"instances":[{},{}]}})", odd, R"({"name":"a","control":"10.1.0.8:7000"})");
				const auto list = runtime::parse_instance_list("test", QByteArray::fromStdString(body));
				ASSERT_TRUE(has_value(list)) << odd.substr(0, 80);
				ASSERT_EQ(std::get<0>(list).size(), 1U) << odd.substr(0, 80);
				EXPECT_EQ(std::get<0>(list).front().name, "a");
			}
		}
	}
}
