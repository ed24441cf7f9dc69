#include "base64_text.hpp"
#include "platform/packet_format.hpp"
#include "platform/settings.hpp"
#include "platform/store_format.hpp"
#include "steering_world.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>
#include <sodium.h>

#include <cstdio>
#include <filesystem>
#include <fstream>

namespace nutmegturn::platform
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::to_string;

		[[nodiscard]] std::vector<std::byte> from_hex(std::string_view hex)
		{
			std::vector<std::byte> bytes(hex.size());
			std::size_t n = 0;
			EXPECT_EQ(sodium_hex2bin(reinterpret_cast<unsigned char*>(bytes.data()), bytes.size(), hex.data(),
									 hex.size(), " ", &n, nullptr),
					  0);
			bytes.resize(n);
			return bytes;
		}

		constexpr std::string_view opening_packet =
			"44 33 22 11 00 00 00 00 d5 c3 b2 a1 02 00 00 00 00 00 00 07 00 40 64 41 "
			"9c bb 01 01 00 12 c6";
		constexpr std::string_view reset_packet =
			"00 00 00 00 00 00 00 00 00 00 00 00 10 00 00 00 00 00 00 01 00 12 c6 bb "
			"01 41 9c 07 00 40 64";

		// Guards against a misread packet header, on which all steering decisions depend.
		TEST(packet_format, decodes_the_published_example)
		{
			const auto it = decode_packet(from_hex(opening_packet));
			ASSERT_TRUE(it);
			EXPECT_EQ(to_string(it->source), "100.64.0.7:40001");
			EXPECT_EQ(to_string(it->destination), "198.18.0.1:443");
			EXPECT_EQ(it->sequence, 0x11223344U);
			EXPECT_TRUE(it->syn);
			EXPECT_FALSE(it->ack || it->fin || it->rst || it->bounced);
		}

		// Guards against resets that callers do not recognise as such.
		TEST(packet_format, encodes_the_published_reset)
		{
			const auto it = decode_packet(from_hex(opening_packet));
			const auto reset = encode_reset(flow_of_caller(*it), 0);
			EXPECT_EQ(std::vector(reset.begin(), reset.end()), from_hex(reset_packet));
		}

		// Guards against reads beyond the end of a packet.
		TEST(packet_format, rejects_truncated_packets_and_wrong_lengths)
		{
			auto bytes = from_hex(opening_packet);
			for (std::size_t n = 0; n < bytes.size(); ++n)
			{
				EXPECT_FALSE(decode_packet(std::span{bytes}.first(n))) << n;
			}
			bytes.push_back(std::byte{0});
			EXPECT_FALSE(decode_packet(bytes));
		}

		// Guards against logging an incomplete request id for a flow, and against reads beyond the end of the packet.
		TEST(packet_format, finds_the_request_id_only_in_a_complete_header_line)
		{
			const std::string_view head = "GET / HTTP/1.1\r\nNutmegturn-Request-Id: ab12\r\n\r\n";
			auto packet = from_hex(opening_packet);
			EXPECT_TRUE(find_request_id(packet).empty());
			for (const char c : head)
			{
				packet.push_back(static_cast<std::byte>(c));
			}
			EXPECT_EQ(find_request_id(packet), "ab12");
			packet.resize(packet_header_size + head.find("12\r"));
			EXPECT_TRUE(find_request_id(packet).empty());
		}

		// Guards against revisions of a restored store that are taken for those of the lost history, also by a process
		// that gets the record from another one.
		TEST(store_format, decodes_the_era_of_answers_and_relayed_records)
		{
			const auto text =
				R"({"items":[{"key":"op/evacuate/a","revision":7,"created":5,"value":"e30="}],"as_of":9})";
			const auto response = decode_response(200, "3", text);
			EXPECT_EQ(response.revision, (steering::store_revision{.era = 3, .number = 9}));
			EXPECT_EQ(response.records.at(0).revision, (steering::store_revision{.era = 3, .number = 7}));
			const auto relayed = decode_response(
				200, "", encode_listing(std::array{response.records.at(0).encoded}, {.era = 4, .number = 2}));
			EXPECT_EQ(relayed.revision, (steering::store_revision{.era = 4, .number = 2}));
			EXPECT_EQ(relayed.records.at(0).revision, (steering::store_revision{.era = 3, .number = 7}));
			EXPECT_EQ(relayed.records.at(0).created, (steering::store_revision{.era = 3, .number = 5}));
			EXPECT_EQ(decode_response(200, "three", text).result, store_response::outcome::malformed);
		}

		// Guards against a process that cannot decode the records that another process relays to it.
		TEST(store_format, decodes_a_relayed_listing_like_one_of_the_store)
		{
			const auto text = R"({"items":[{"key":"op/evacuate/a","revision":7,"value":"e30="}],"as_of":9})";
			const auto response = decode_response(200, "", text);
			const auto relayed = decode_response(
				200, "", encode_listing(std::array{response.records.at(0).encoded}, {.era = 0, .number = 9}));
			ASSERT_EQ(relayed.result, store_response::outcome::complete);
			EXPECT_EQ(relayed.revision.number, 9U);
			EXPECT_EQ(std::get<steering::zone_evacuation>(relayed.records.at(0).value).zone, "a");
			EXPECT_EQ(relayed.records.at(0).revision.number, 7U);
		}

		// Guards against agents that decline all flows since their settings name no zone, which is taken for the zone
		// of an evacuation without a name.
		TEST(store_format, rejects_evacuation_without_a_zone)
		{
			const auto text = R"({"items":[{"key":"op/evacuate/","revision":7,"value":"e30="}],"as_of":9})";
			const auto response = decode_response(200, "", text);
			EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(response.records.at(0).value));
		}

		[[nodiscard]] steering::record_value decode_one(const std::string& key, std::string_view value)
		{
			const auto response = decode_response(200, "",
												  R"({"items":[{"key":")" + key + R"(","revision":7,"value":")" +
													  base64(value) + R"("}],"as_of":9})");
			EXPECT_EQ(response.result, store_response::outcome::complete);
			EXPECT_EQ(response.revision.number, 9U);
			return response.records.at(0).value;
		}

		constexpr std::string_view good_entry =
			R"({"service":"desk","address":"10.1.0.9:8080","zone":"a","version":"v1","max_concurrency":5,)"
			R"("state":"ready","cold_remaining_ms":120,"sequence":4,"born":1700000000000})";

		// Guards against upstream entries that are decoded with wrong addresses or capacities.
		TEST(store_format, decodes_upstream_entries)
		{
			const auto value = decode_one("servers/i-1", good_entry);
			const auto* it = std::get_if<steering::upstream_entry>(&value);
			ASSERT_NE(it, nullptr);
			EXPECT_EQ(to_string(it->address), "10.1.0.9:8080");
			EXPECT_EQ(it->slots, 5U);
			EXPECT_EQ(it->cold_remaining.count(), 120);
			EXPECT_EQ(it->started_at_ms, 1'700'000'000'000);
		}

		/// Returns the good entry with a part replaced.
		[[nodiscard]] std::string entry_with(std::string_view part, std::string_view replacement)
		{
			std::string text{good_entry};
			return text.replace(text.find(part), part.size(), replacement);
		}

		// Guards against new flows at a draining upstream: an entry of another writer that lacked `version` counted as
		// one of the upstream at its address, and replaced that upstream's own entry.
		TEST(store_format, rejects_entries_that_lack_a_published_field)
		{
			for (const auto& bad :
				 {entry_with(R"("version":"v1",)", ""), entry_with(R"("version":"v1")", R"("version":1)"),
				  entry_with(R"("sequence":4,)", ""), entry_with(R"("sequence":4)", R"("sequence":"4")"),
				  entry_with(R"("born":1700000000000)", R"("born":"yesterday")"),
				  entry_with(R"("born":1700000000000)", R"("born":1.5)")})
			{
				const auto value = decode_one("servers/i-1", bad);
				EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(value)) << bad;
			}
			const auto value = decode_one("servers/i-1", entry_with(R"(,"born":1700000000000)", ""));
			EXPECT_TRUE(std::holds_alternative<steering::upstream_entry>(value)) << "entries need not tell their start";
		}

		// Guards against crashing on malformed entries of other writers, and against using them.
		TEST(store_format, rejects_entries_with_missing_or_mistyped_fields)
		{
			for (
				const auto* bad :
				{"", "{", "[]", "7", "null", R"({"service":"desk"})",
				 R"({"service":7,"address":"10.1.0.9:8080","zone":"a","max_concurrency":5,"state":"ready","cold_remaining_ms":0})",
				 R"({"service":"desk","address":"nowhere","zone":"a","max_concurrency":5,"state":"ready","cold_remaining_ms":0})",
				 R"({"service":"desk","address":"10.1.0.9:8080","zone":"a","max_concurrency":"5","state":"ready","cold_remaining_ms":0})",
				 R"({"service":"desk","address":"10.1.0.9:8080","zone":"a","max_concurrency":5,"state":"asleep","cold_remaining_ms":0})",
				 R"({"service":"desk","address":"10.1.0.9:8080","zone":"a","max_concurrency":5,"state":"ready","cold_remaining_ms":-1})"})
			{
				const auto value = decode_one("servers/i-1", bad);
				EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(value)) << bad;
			}
			const auto response = decode_response(
				200, "", R"({"items":[{"key":"servers/i-1","revision":7,"value":"*not base64*"}],"as_of":9})");
			EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(response.records.at(0).value));
		}

		// Guards against losing the port or the weights of a route.
		TEST(store_format, decodes_the_configuration)
		{
			const auto value = decode_one(
				"op/config",
				R"({"version":7,"routes":[{"name":"r","host":"198.18.0.1","prefix":"/8443/","traffic_split":[)"
				R"({"service":"desk","weight":90},{"service":"archive","weight":10}]},)"
				R"({"name":"s","host":"198.18.0.2","prefix":"/80/","service":"desk"}],)"
				R"("services":[{"name":"desk","cold_start_s":2.5,"cold_per_s":4.0}],"limits":{"idle_timeout_ms":15000}})");
			const auto* it = std::get_if<steering::configuration>(&value);
			ASSERT_NE(it, nullptr);
			EXPECT_EQ(it->version, 7U);
			ASSERT_EQ(it->routes.size(), 2U);
			EXPECT_EQ(to_string(it->routes[0].address), "198.18.0.1:8443");
			EXPECT_EQ(it->routes[0].services.at(0).weight, 9 * it->routes[0].services.at(1).weight);
			EXPECT_EQ(it->services.at(0).cold_time.count(), 2'500);
			EXPECT_EQ(it->idle_timeout.count(), 15'000);
		}

		[[nodiscard]] steering::configuration decode_route_with(std::string_view fields)
		{
			const auto value = decode_one(
				"op/config",
				fmt::format(R"({{"version":7,"routes":[{{"host":"198.18.0.1","prefix":"/80/","service":"desk"{}}}]}})",
							fields));
			return std::get<steering::configuration>(value);
		}

		// Guards against a class that is lost or misread, and against a missing field that takes the rest of the class
		// with it.
		TEST(store_format, decodes_the_class_of_a_route)
		{
			using steering::request_kind;
			using steering::traffic_class;
			const std::vector<std::pair<std::string_view, traffic_class>> cases{
				{R"(,"type":"idempotent","aim_ms":150,"timeout_ms":2000,"priority":0)",
				 {.kind = request_kind::idempotent, .latency_target = 150ms, .timeout = 2s, .priority = 0}},
				{R"(,"type":"download","aim_ms":1,"timeout_ms":3600000,"priority":255)",
				 {.kind = request_kind::download, .latency_target = 1ms, .timeout = 1h, .priority = 255}},
				{R"(,"type":"non_idempotent","aim_ms":3600000,"timeout_ms":1)",
				 {.kind = request_kind::non_idempotent, .latency_target = 1h, .timeout = 1ms, .priority = 255}},
				{R"(,"priority":3)", {.priority = 3}},
				{R"(,"aim_ms":40)", {.latency_target = 40ms}},
				{"", {}}};
			for (const auto& [fields, expected] : cases)
			{
				const auto config = decode_route_with(fields);
				EXPECT_EQ(config.routes.at(0).traffic, expected) << fields;
				EXPECT_EQ(config.routes_with_default_class, 0U) << fields;
				EXPECT_EQ(config.first_invalid_class, "") << fields;
			}
		}

		// Guards against a class that is taken in part, and against a warning that does not tell what to correct.
		TEST(store_format, names_the_first_route_with_an_invalid_class)
		{
			const auto value = decode_one(
				"op/config", R"({"version":7,"routes":[)"
							 R"({"host":"198.18.0.1","prefix":"/80/","service":"desk","priority":1},)"
							 R"({"host":"198.18.0.2","prefix":"/80/","service":"desk","aim_ms":9,"priority":256},)"
							 R"({"host":"198.18.0.3","prefix":"/80/","service":"desk","type":"urgent"}]})");
			const auto& config = std::get<steering::configuration>(value);
			ASSERT_EQ(config.routes.size(), 3U);
			EXPECT_EQ(config.routes[0].traffic, (steering::traffic_class{.priority = 1}));
			EXPECT_EQ(config.routes[1].traffic, steering::traffic_class{});
			EXPECT_EQ(config.routes[2].traffic, steering::traffic_class{});
			EXPECT_EQ(config.routes_with_default_class, 2U);
			EXPECT_EQ(config.first_invalid_class,
					  "route 198.18.0.2:80: priority: got 256, expected an integer from 0 to 255");
			EXPECT_EQ(decode_route_with(R"(,"type":"urgent")").first_invalid_class,
					  "route 198.18.0.1:80: type: got \"urgent\", expected idempotent, non_idempotent, download");
		}

		// Guards against a record that ends the process: re-encoding an item with deep nesting exhausted the stack.
		TEST(store_format, survives_deeply_nested_items)
		{
			constexpr std::size_t depth = 400'000;
			const auto nested = std::string(depth, '[') + std::string(depth, ']');
			const auto body = R"({"items":[{"key":"servers/a","revision":3,"value":)" + nested +
							  R"(},{"key":"servers/b","revision":4,"value":"e30=","extra":)" + nested +
							  R"(}],"as_of":9})";
			const auto response = decode_response(200, "", body);
			EXPECT_EQ(response.result, store_response::outcome::complete);
			ASSERT_EQ(response.records.size(), 2U);
			EXPECT_TRUE(std::holds_alternative<steering::unreadable_record>(response.records[0].value));
			EXPECT_EQ(response.records[1].key, "servers/b");
		}

		// Guards against numbers that overflow when they are converted: an idle timeout beyond the range of the clock
		// would end every flow at once.
		TEST(store_format, limits_numbers_to_usable_ranges)
		{
			const auto value = decode_one(
				"op/config",
				R"({"version":1,"routes":[{"host":"198.18.0.1","prefix":"/443/","traffic_split":[)"
				R"({"service":"a","weight":1e300}]}],"services":[{"name":"a","cold_start_s":1e300,"cold_per_s":1e300},)"
				R"({"name":"b","cold_start_s":-5,"cold_per_s":-5}],"limits":{"idle_timeout_ms":18446744073709551615}})");
			const auto& config = std::get<steering::configuration>(value);
			EXPECT_EQ(config.services[0].cold_time, 1h);
			EXPECT_EQ(config.services[0].cold_requests_per_s, 1e6);
			EXPECT_EQ(config.services[1].cold_time, 0ms);
			EXPECT_EQ(config.services[1].cold_requests_per_s, 0.0);
			EXPECT_EQ(config.idle_timeout, 24h);
			EXPECT_EQ(config.routes[0].services[0].weight, 1'000'000'000U);
		}

		// Guards against applying changes from an unsuccessful or malformed response.
		TEST(store_format, distinguishes_refusals_lost_history_and_malformed_responses)
		{
			EXPECT_EQ(decode_response(503, "", "").result, store_response::outcome::refused);
			EXPECT_EQ(decode_response(429, "", "{}").result, store_response::outcome::refused);
			EXPECT_EQ(decode_response(410, "", "").result, store_response::outcome::history_gone);
			EXPECT_EQ(decode_response(200, "", R"({"items":[)").result, store_response::outcome::malformed);
			EXPECT_EQ(decode_response(200, "", R"({"items":[]})").result, store_response::outcome::malformed);
			EXPECT_EQ(
				decode_response(200, "", R"({"events":[{"key":"servers/i-1","revision":3,"removed":true}],"as_of":3})")
					.records.at(0)
					.value.index(),
				0U);
		}

		class settings_file : public ::testing::Test
		{
		protected:
			std::filesystem::path path;

			void SetUp() override
			{
				const auto* test = ::testing::UnitTest::GetInstance()->current_test_info();
				path = std::filesystem::temp_directory_path() / (std::string{"nutmegturn-"} + test->name() + ".toml");
			}

			void TearDown() override
			{
				std::filesystem::remove(path);
			}

			result<steering::node_settings> read(const std::string& text, bool require_upstream_fields = false) const
			{
				std::ofstream{path} << text;
				return read_settings(path.string(), require_upstream_fields);
			}

			const std::string good = "node_name = \"edge-1\"\nzone = \"a\"\nip = \"10.1.0.10\"\nunknown = [1, 2]\n"
									 "internal_port_range = [7720, 7735]\nbootstrap = true\n"
									 "[listen_addrs]\ndatagram_addr = \"10.1.0.10:8172\"\nready = \"10.1.0.10:8167\"\n"
									 "[bounds]\ngrace_s = 6\n[platform]\naddress = \"10.200.1.7:8169\"\n";
		};

		// Guards against a misspelt placement that is taken for the default without a word.
		TEST_F(settings_file, names_the_placements_that_are_accepted)
		{
			EXPECT_EQ(std::get<0>(read(good)).placement, steering::placement_policy::request_count);
			const auto by_cost = read("placement = \"request_cost\"\n" + good);
			EXPECT_EQ(std::get<0>(by_cost).placement, steering::placement_policy::request_cost);
			for (const auto* value : {"\"cost\"", "1", "[]"})
			{
				const auto refused = read(fmt::format("placement = {}\n", value) + good);
				ASSERT_FALSE(has_value(refused)) << value;
				EXPECT_EQ(std::get<1>(refused).path, "placement");
				EXPECT_EQ(std::get<1>(refused).expected, "one of request_count, request_cost");
			}
		}

		// Guards against a process that fails to start because the platform added a settings field.
		TEST_F(settings_file, ignores_unknown_fields)
		{
			const auto settings = read(good);
			ASSERT_TRUE(has_value(settings)) << to_string(std::get<1>(settings));
			EXPECT_EQ(std::get<0>(settings).name, "edge-1");
			EXPECT_EQ(std::get<0>(settings).peer_port, 7720);
			EXPECT_TRUE(std::get<0>(settings).first_start);
		}

		// Guards against processes that end at each start, and against changes of other settings that are never
		// applied, because a key that the platform does not explain is empty, missing or of another type.
		TEST_F(settings_file, accepts_unexplained_keys_in_any_form)
		{
			const std::vector<std::pair<std::string, std::string>> keys{
				{"node_name", "\"edge-1\""}, {"zone", "\"a\""}, {"ip", "\"10.1.0.10\""}};
			for (const auto& [key, value] : keys)
			{
				const auto line = key + " = " + value + "\n";
				for (const std::string form : {"\"\"", "0", "false", "[]", "{}", "missing"})
				{
					auto text = good;
					const auto replacement = form == "missing" ? std::string{} : key + " = " + form + "\n";
					text.replace(text.find(line), line.size(), replacement);
					const auto settings = read(text);
					ASSERT_TRUE(has_value(settings)) << key << ", " << form << ": " << to_string(std::get<1>(settings));
					const auto& it = std::get<0>(settings);
					EXPECT_EQ(it.name, key == "node_name" ? "10.1.0.10" : "edge-1") << form;
					EXPECT_EQ(it.zone, key == "zone" ? "" : "a") << form;
					EXPECT_EQ(to_string(it.instance), "10.1.0.10") << key << ", " << form;
				}
			}
		}

		// Guards against the same for an agent, and against an agent without the settings of its upstream, which the
		// platform explains.
		TEST_F(settings_file, requires_the_explained_keys_of_an_agent_only)
		{
			const auto upstream = "service = \"desk\"\napp = \"10.1.0.10:8080\"\n" + good;
			auto text = upstream;
			text.insert(text.find("datagram_addr"), "outbound = \"10.1.0.10:8173\"\n");
			text.replace(text.find("\"edge-1\""), 8, "\"\"");
			const auto settings = read(text, true);
			ASSERT_TRUE(has_value(settings)) << to_string(std::get<1>(settings));
			EXPECT_EQ(std::get<0>(settings).service, "desk");
			text.replace(text.find("\"desk\""), 6, "\"\"");
			EXPECT_EQ(std::get<1>(read(text, true)).path, "service");
			EXPECT_EQ(std::get<1>(read(upstream, true)).path, "listen_addrs.outbound");
		}

		// Guards against an address of the instance that is misspelt and taken for an empty one.
		TEST_F(settings_file, refuses_an_address_that_is_none)
		{
			auto text = good;
			text.replace(text.find("\"10.1.0.10\""), 11, "\"10.1.0\"");
			const auto refused = read(text);
			ASSERT_FALSE(has_value(refused));
			EXPECT_EQ(std::get<1>(refused).path, "ip");
		}

		// Guards against processes that do not start on an installation where the rule of the grace time is not in
		// force.
		TEST_F(settings_file, takes_a_missing_bound_for_no_time)
		{
			auto text = good;
			const std::string bounds = "[bounds]\ngrace_s = 6\n";
			text.erase(text.find(bounds), bounds.size());
			const auto settings = read(text);
			ASSERT_TRUE(has_value(settings)) << to_string(std::get<1>(settings));
			EXPECT_EQ(std::get<0>(settings).stop_grace, 0ms);
		}

		// Guards against processes that end at each start while a bound of the settings is not a whole number. The
		// platform gives bounds as whole numbers, fractions, or truth values.
		TEST_F(settings_file, accepts_any_published_form_of_a_bound)
		{
			const std::vector<std::pair<std::string, steering::milliseconds>> forms{
				{"6", 6s},   {"6.5", 6'500ms}, {"0.0", 0ms},  {"0.0004", 0ms},
				{"1e9", 1h}, {"7200", 1h},     {"true", 0ms}, {"false", 0ms}};
			for (const auto& [form, expected] : forms)
			{
				auto text = good;
				text.replace(text.find("= 6") + 2, 1, form);
				const auto settings = read(text);
				ASSERT_TRUE(has_value(settings)) << form << ": " << to_string(std::get<1>(settings));
				EXPECT_EQ(std::get<0>(settings).stop_grace, expected) << form;
			}
		}

		// Guards against a bound without a meaning that is taken for another value.
		TEST_F(settings_file, refuses_a_bound_that_is_no_figure)
		{
			for (const std::string form : {"-0.5", "nan", "\"6\"", "[6]"})
			{
				auto text = good;
				text.replace(text.find("= 6") + 2, 1, form);
				const auto refused = read(text);
				ASSERT_FALSE(has_value(refused)) << form;
				EXPECT_EQ(std::get<1>(refused).path, "bounds.grace_s");
			}
		}

		// Guards against an error message that does not say which settings field is invalid.
		TEST_F(settings_file, reports_the_path_and_value_of_the_first_invalid_field)
		{
			auto text = good;
			text.replace(text.find("\"10.1.0.10:8172\""), 16, "\"10.1.0.10\"");
			const auto refused = read(text);
			ASSERT_FALSE(has_value(refused));
			EXPECT_EQ(std::get<1>(refused).path, "listen_addrs.datagram_addr");
			EXPECT_EQ(std::get<1>(refused).value, "10.1.0.10");
			EXPECT_FALSE(has_value(read("node_name = ")));
			EXPECT_EQ(std::get<1>(read(good, true)).path, "service");
		}
	}
}
