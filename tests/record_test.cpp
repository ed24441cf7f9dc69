#include "nutmegturn/naming.hpp"
#include "nutmegturn/record.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>

namespace nutmegturn
{
	namespace
	{
		struct rejected_input
		{
			std::string text;
			std::string path;
		};

		std::string service_with(const std::string& fields)
		{
			return R"({"schema":3,"kind":"service","name":"/d/s","addresses":["127.0.0.1:1"])" + fields + "}";
		}

		std::string upstream_with(const std::string& fields)
		{
			return R"({"schema":3,"kind":"upstream","name":"/d/z/s/1","service":"/d/s","zone":"/d/z",)"
				   R"("endpoint":"127.0.0.1:1","agent":"127.0.0.1:2","slots":5)" +
				   fields + "}";
		}
	}

	// Guards against a scheme whose names resolve to other canonical names, which would split a service or merge two.
	TEST(a_name, has_one_canonical_form_in_every_scheme)
	{
		for (const auto* text : {"/cz-stred/stred-a/permit-desk/1", "1.permit-desk.stred-a.cz-stred",
								 "urn:nmt:cz-stred:stred-a:permit-desk:1", "URN:NMT:CZ-Stred:stred-A:Permit-Desk:1"})
		{
			EXPECT_EQ(std::get<std::string>(parse_name("s", "p", text, name_kind::upstream)),
					  "/cz-stred/stred-a/permit-desk/1");
		}
		EXPECT_EQ(std::get<std::string>(parse_name("s", "p", "zaloga.lju", name_kind::zone_or_service)), "/lju/zaloga");
	}

	// Guards against several canonical forms of one name, and against separators inside parts.
	TEST(a_name, is_rejected_in_any_other_form)
	{
		for (const auto* text : {"", "/", "/d", "d", "/d/s/", "//s", "/d/s p", "/d/-s", "/d/s-", "/d/z/s/1",
								 "urn:nmt:d", "urn:x:d:s", "/d.s", "/d/\xc5\xbe"})
		{
			EXPECT_FALSE(has_value(parse_name("s", "p", text, name_kind::zone_or_service))) << text;
		}
		for (const auto* text : {"/d/z/s/01", "/d/z/s/0", "/d/z/s/a", "/d/z/s/1234567890", "1.s.z", "/d/s"})
		{
			EXPECT_FALSE(has_value(parse_name("s", "p", text, name_kind::upstream))) << text;
		}
	}

	// Guards against a field that is lost or misread in one of the schema versions, and against changed defaults.
	TEST(a_record, is_read_in_all_schema_versions)
	{
		const auto old = std::get<record>(
			parse_record("k", R"({"schema":1,"kind":"service","name":"S.D","address":"127.0.0.1:80"})"));
		const auto& first = std::get<service_config>(old.config);
		EXPECT_EQ(first.name, "/d/s");
		EXPECT_EQ(to_string(first.addresses.at(0)), "127.0.0.1:80");
		EXPECT_EQ(first.idle_timeout.count(), 3600);

		for (const auto* timeout : {R"("schema":2,"idle_timeout_s":5400)", R"("schema":3,"idle_timeout":"90m")"})
		{
			const auto rec = std::get<record>(parse_record(
				"k", std::string{R"({"kind":"service","name":"/d/s","addresses":["127.0.0.1:80","[::1]:80"],)"
								 R"("protocol":"coap","aliases":["urn:nmt:d:t"],)"} +
						 timeout + "}"));
			const auto& service = std::get<service_config>(rec.config);
			EXPECT_EQ(service.idle_timeout.count(), 5400) << timeout;
			EXPECT_EQ(service.addresses.size(), 2U);
			EXPECT_EQ(service.protocol, service_protocol::coap);
			EXPECT_EQ(rec.aliases, std::vector<std::string>{"/d/t"});
		}

		const auto stopped = std::get<record>(
			parse_record("k", R"({"schema":1,"kind":"availability_zone","name":"/d/z","enabled":false})"));
		EXPECT_EQ(std::get<zone_config>(stopped.config).state, zone_admin_state::out);
		const auto disabled = std::get<record>(parse_record(
			"k", R"({"schema":1,"kind":"upstream","name":"/d/z/s/1","service":"s.d","zone":"z.d","enabled":false,)"
				 R"("endpoint":"127.0.0.1:1","agent":"127.0.0.1:2","slots":5})"));
		const auto& upstream = std::get<upstream_config>(disabled.config);
		EXPECT_EQ(upstream.state, upstream_admin_state::draining);
		EXPECT_EQ(upstream.connections, 2000U);
		EXPECT_EQ(disabled.service, "/d/s");
	}

	// Guards against a traffic class that is lost or misread, and against other defaults than those of the platform.
	TEST(a_record, states_the_traffic_class_of_a_service)
	{
		const auto traffic_of = [](const std::string& fields)
		{
			const auto parsed = parse_record("k", service_with(fields));
			return std::get<service_config>(std::get<record>(parsed).config).traffic;
		};
		using steering::request_kind;
		using steering::traffic_class;
		using namespace std::chrono_literals;
		EXPECT_EQ(traffic_of(""), traffic_class{});
		EXPECT_EQ(
			traffic_of(R"(,"request_kind":"idempotent","latency_target":"150ms","timeout":"2s","priority":0)"),
			(traffic_class{.kind = request_kind::idempotent, .latency_target = 150ms, .timeout = 2s, .priority = 0}));
		EXPECT_EQ(traffic_of(R"(,"request_kind":"download","timeout":"1h","priority":255)"),
				  (traffic_class{.kind = request_kind::download, .timeout = 1h}));
		EXPECT_EQ(traffic_of(R"(,"latency_target":"1m")"), (traffic_class{.latency_target = 1min}));
	}

	// Guards against partial acceptance of a document, with an invalid field ignored or replaced by its default.
	TEST(a_record, is_rejected_with_the_path_of_the_error)
	{
		const std::array inputs{
			rejected_input{"", "byte 0"},
			rejected_input{"[]", ""},
			rejected_input{R"({"schema":4,"kind":"service","name":"/d/s"})", "schema"},
			rejected_input{R"({"schema":1.5,"kind":"service","name":"/d/s"})", "schema"},
			rejected_input{R"({"schema":1,"kind":"cluster","name":"/d/s"})", "kind"},
			rejected_input{R"({"schema":1,"kind":"service","name":"/d/s","addresses":["127.0.0.1:1"]})", "address"},
			rejected_input{R"({"schema":2,"kind":"service","name":"/d/s","addresses":[]})", "addresses"},
			rejected_input{R"({"schema":2,"kind":"service","name":"/d/s","addresses":["host:1"]})", "addresses[0]"},
			rejected_input{R"({"schema":2,"kind":"service","name":"/d/s","addresses":["127.0.0.1:1","127.0.0.1:1"]})",
						   "addresses[1]"},
			rejected_input{
				R"({"schema":3,"kind":"service","name":"/d/s","addresses":["127.0.0.1:1"],"idle_timeout":"0s"})",
				"idle_timeout"},
			rejected_input{service_with(R"(,"idle_timeout":"2000ms")"), "idle_timeout"},
			rejected_input{service_with(R"(,"idle_timeout":"31000000m")"), "idle_timeout"},
			rejected_input{service_with(R"(,"request_kind":"Idempotent")"), "request_kind"},
			rejected_input{service_with(R"(,"request_kind":1)"), "request_kind"},
			rejected_input{service_with(R"(,"latency_target":150)"), "latency_target"},
			rejected_input{service_with(R"(,"latency_target":"0ms")"), "latency_target"},
			rejected_input{service_with(R"(,"latency_target":"150")"), "latency_target"},
			rejected_input{service_with(R"(,"latency_target":"-1s")"), "latency_target"},
			rejected_input{service_with(R"(,"timeout":"3601s")"), "timeout"},
			rejected_input{service_with(R"(,"timeout":"4294967297ms")"), "timeout"},
			rejected_input{service_with(R"(,"timeout":"2 s")"), "timeout"},
			rejected_input{service_with(R"(,"timeout":null)"), "timeout"},
			rejected_input{service_with(R"(,"priority":256)"), "priority"},
			rejected_input{service_with(R"(,"priority":-1)"), "priority"},
			rejected_input{service_with(R"(,"priority":"1")"), "priority"},
			rejected_input{R"({"schema":2,"kind":"service","name":"/d/s","addresses":["127.0.0.1:1"],"priority":1})",
						   "priority"},
			rejected_input{R"({"schema":1,"kind":"availability_zone","name":"/d/z","state":"out"})", "state"},
			rejected_input{R"({"schema":2,"kind":"availability_zone","name":"/d/z","region":"r"})", "region"},
			rejected_input{R"({"schema":3,"kind":"availability_zone","name":"/d/z","na\u006de":"/d/y"})", "name"},
			rejected_input{upstream_with(R"(,"slots":6)"), "slots"},
			rejected_input{upstream_with(R"(,"connections":"9")"), "connections"},
			rejected_input{upstream_with(R"(,"state":"gone")"), "state"},
			rejected_input{upstream_with(R"(,"aliases":["/d/z/s/1"])"), "aliases[0]"},
			rejected_input{upstream_with(R"(,"aliases":[1])"), "aliases[0]"},
			rejected_input{upstream_with(R"(,"weight":1)"), "weight"},
			rejected_input{R"({"schema":1,"kind":"upstream","name":"/d/z/s/1","service":"/e/s","zone":"/d/z",)"
						   R"("endpoint":"127.0.0.1:1","agent":"127.0.0.1:2","slots":5})",
						   "service"},
			rejected_input{upstream_with(",\"state\":\"" + std::string(max_record_size, 'x') + "\""), ""},
		};
		for (const auto& input : inputs)
		{
			const auto outcome = parse_record("key-1", input.text);
			ASSERT_FALSE(has_value(outcome)) << input.text;
			EXPECT_EQ(std::get<parse_error>(outcome).path, input.path) << input.text.substr(0, 200);
			EXPECT_EQ(std::get<parse_error>(outcome).source, "key-1");
		}
		EXPECT_TRUE(has_value(parse_record("key-1", upstream_with(""))));
		const auto late = std::get<parse_error>(parse_record("key-1", service_with(R"(,"timeout":"2h")")));
		EXPECT_EQ(late.value, R"("2h")");
		EXPECT_EQ(late.expected, "duration from 1 ms to 1 h, such as 150ms or 2s");
	}
}
