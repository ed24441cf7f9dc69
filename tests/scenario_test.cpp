#include "scenario/script.hpp"

#include <QCoreApplication>

#include <gtest/gtest.h>

#include <algorithm>
#include <filesystem>
#include <string>
#include <vector>

namespace nutmegturn::scenario
{
	namespace
	{
		const std::filesystem::path source_dir{NUTMEGTURN_SOURCE_DIR};

		std::vector<std::filesystem::path> scenario_files()
		{
			std::vector<std::filesystem::path> out;
			for (const auto& it : std::filesystem::directory_iterator{source_dir / "scenarios"})
			{
				out.push_back(it.path());
			}
			std::ranges::sort(out);
			return out;
		}

		run_result run(const std::filesystem::path& file, std::uint64_t seed)
		{
			static int argc = 1;
			static char name[] = "nutmegturn-tests";
			static char* argv[] = {name, nullptr};
			static const QCoreApplication app{argc, argv};
			run_options options;
			options.seed = seed;
			options.examples = source_dir / "examples";
			// Reduced loads with which a file takes about a second. The full loads are the defaults in the files.
			options.parameters = {{"flows", "3000"}, {"histories", "40"}, {"minutes", "2"}, {"seconds", "40"}};
			return run_scenario(file, options);
		}

		class Scenario : public testing::TestWithParam<std::filesystem::path>
		{
		};

		/// Guards against violations of the invariants of the design page. The head of each file states the failure
		/// that it tests for.
		TEST_P(Scenario, HoldsWithFixedSeeds)
		{
			for (const std::uint64_t seed : {1U, 2U, 3U})
			{
				const auto result = run(GetParam(), seed);
				std::string trace;
				for (const auto& it : result.trace)
				{
					trace += it + '\n';
				}
				EXPECT_EQ(result.failure, "") << "seed " << seed << '\n' << trace;
			}
		}

		INSTANTIATE_TEST_SUITE_P(Files, Scenario, testing::ValuesIn(scenario_files()),
								 [](const auto& it) { return it.param.stem().string(); });

		/// Guards against a runner whose result depends on anything other than file, seed and parameters.
		TEST(ScenarioRunner, IsDeterministicForFileSeedAndParameters)
		{
			const auto file = source_dir / "scenarios" / "overlapping_changes.js";
			EXPECT_EQ(to_json_line(run(file, 7)), to_json_line(run(file, 7)));
		}

		class ScenarioScript : public testing::Test
		{
		protected:
			static std::string failure_of(const std::string& script)
			{
				// The file name contains the test name because tests run in parallel in separate processes.
				const std::string test = testing::UnitTest::GetInstance()->current_test_info()->name();
				const auto file = std::filesystem::path{testing::TempDir()} / (test + ".js");
				FILE* out = std::fopen(file.c_str(), "w");
				std::fputs(script.c_str(), out);
				std::fclose(out);
				const auto result = run(file, 1);
				std::filesystem::remove(file);
				return result.failure;
			}
		};

		/// Guards against a runner that passes scripts with a failed check or an error.
		TEST_F(ScenarioScript, FailsOnFailedChecksAndScriptErrors)
		{
			EXPECT_EQ(failure_of("expect('flows', '>=', 1);"), "flows >= 1");
			EXPECT_EQ(failure_of("check('two', 2, '<', 1);"), "two < 1");
			EXPECT_NE(failure_of("expect('no_such_count', '==', 0);"), "");
			EXPECT_NE(failure_of("deploy('no-such-deployment');"), "");
			EXPECT_NE(failure_of("kill('no-such-process');"), "");
			EXPECT_NE(failure_of("this is no script"), "");
		}

		/// Guards against a ledger that does not count the flows of a failed agent as ended when they continue at other
		/// agents.
		TEST_F(ScenarioScript, CountsFlowsThatEndWithTheirAgent)
		{
			const std::string start = "deploy('cz-stred'); balancers(2); flows('permit-desk', {count: 100}); run(5);"
									  "kill('agent-permit-desk-1'); run(10);";
			EXPECT_EQ(failure_of(start + "expect('ended_flows', '>=', 5);"), "");
			EXPECT_EQ(failure_of(start + "expect('ended_flows', '==', 0);"), "ended_flows == 0");
		}
	}
}
