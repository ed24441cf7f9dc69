#include "nutmegturn/config_store.hpp"
#include "nutmegturn/settings.hpp"

#include <gtest/gtest.h>

#include <array>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <string>

namespace nutmegturn
{
	namespace
	{
		const std::string secret(64, 'a');

		std::string balancer_with(const std::string& fields)
		{
			return R"({"role":"balancer","name":"b","zone":"/d/z","control":"127.0.0.1:1","data":"127.0.0.1:2",)"
				   R"("config_services":["http://127.0.0.1:3"])" +
				   fields + "}";
		}

		std::string file_text(const std::filesystem::path& path)
		{
			std::ostringstream text;
			text << std::ifstream{path}.rdbuf();
			return text.str();
		}
	}

	// Guards against defaults that differ from the documentation, and against the wrong key being used for sending.
	TEST(settings_document, has_documented_defaults)
	{
		const auto plain =
			std::get<settings>(parse_settings("f", balancer_with(R"(,"ingress":[{"listen":"127.0.0.1:4"}])")));
		EXPECT_EQ(plain.ingress.at(0).mode, ingress_mode::plain);
		EXPECT_EQ(plain.traffic_threads, 1U);
		EXPECT_EQ(plain.memory.redirects, 65'536U);
		EXPECT_FALSE(plain.require_authentication);
		EXPECT_EQ(to_string(plain.config_services.at(0)), "http://127.0.0.1:3");

		const auto keyed = std::get<settings>(parse_settings(
			"f", balancer_with(R"(,"ingress":[{"listen":"127.0.0.1:4"}],"send_key":7,"keys":[{"id":1,"secret":")" +
							   secret + R"("},{"id":7,"secret":")" + secret + R"("}])")));
		EXPECT_EQ(keyed.keys.at(0).id, 7);
		EXPECT_EQ(keyed.keys.at(1).secret[31], 0xaa);
	}

	// Guards against a process that starts with partially parsed settings, and against secrets in error messages.
	TEST(settings_document, is_rejected_with_the_path_of_the_error)
	{
		const std::string ingress = R"(,"ingress":[{"listen":"127.0.0.1:4"}])";
		const std::array<std::array<std::string, 2>, 11> inputs{{
			{"", "ingress"},
			{ingress + R"(,"upstreams":["/d/z/s/1"])", "upstreams"},
			{R"(,"ingress":[{"listen":"127.0.0.1:4","mode":"v1"}])", "ingress[0].mode"},
			{ingress + R"(,"traffic_threads":0)", "traffic_threads"},
			{ingress + R"(,"seeds":["balancer:1"])", "seeds[0]"},
			{ingress + R"(,"instance_list":"http://host:1/v1/instances")", "instance_list"},
			{ingress + R"(,"require_authentication":true)", "keys"},
			{ingress + R"(,"keys":[{"id":1,"secret":"abc"}])", "keys[0].secret"},
			{ingress + R"(,"send_key":2,"keys":[{"id":1,"secret":")" + secret + R"("}])", "send_key"},
			{ingress + R"(,"send_key":2)", "send_key"},
			{ingress + R"(,"log":{"level":"trace"})", "log.level"},
		}};
		for (const auto& [fields, path] : inputs)
		{
			const auto outcome = parse_settings("f", balancer_with(fields));
			ASSERT_FALSE(has_value(outcome)) << fields;
			EXPECT_EQ(std::get<parse_error>(outcome).path, path) << fields;
			EXPECT_EQ(to_string(std::get<parse_error>(outcome)).find("abc"), std::string::npos);
		}
	}

	// Guards against examples that the programs reject, and against upstreams that are missing from a deployment.
	TEST(example_deployments, are_accepted_completely)
	{
		const std::array<std::tuple<std::string, std::size_t, std::size_t>, 2> sites{
			{{"cz-stred", 4, 11}, {"lju", 3, 10}}};
		for (const auto& [site, zones, upstreams] : sites)
		{
			const auto folder = std::filesystem::path{NUTMEGTURN_SOURCE_DIR} / "examples" / site;
			std::vector<record_version> versions;
			for (const auto& file : std::filesystem::directory_iterator{folder / "records"})
			{
				versions.push_back({file.path().stem(), revision{versions.size() + 1}, file_text(file.path())});
			}
			config_store store;
			const auto changes = config_store_apply(store, versions, revision{versions.size()});
			for (const auto& event : changes.events)
			{
				EXPECT_NE(event.kind, audit_kind::record_refused) << event.detail;
			}
			EXPECT_EQ(store.current.zones.size(), zones);
			EXPECT_EQ(store.current.services.size(), 2U);
			EXPECT_EQ(store.current.upstreams.size(), upstreams);

			std::size_t agents = 0;
			for (const auto& file : std::filesystem::directory_iterator{folder / "settings"})
			{
				const auto outcome = parse_settings(file.path().string(), file_text(file.path()));
				ASSERT_TRUE(has_value(outcome)) << to_string(std::get<parse_error>(outcome));
				agents += std::get<settings>(outcome).role == member_role::agent ? 1 : 0;
			}
			EXPECT_EQ(agents, upstreams);
		}
	}
}
