#include "loopback_store.hpp"
#include "node/store_reader.hpp"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <deque>
#include <string>
#include <vector>

namespace nutmegturn::node
{
	namespace
	{
		using namespace std::chrono_literals;

		using testing::item;
		using testing::own_address;

		/// Reader of the upstream entries, against a store on loopback whose answers are scripted.
		class store_reader_on_loopback : public ::testing::Test
		{
		protected:
			event_loop loop;
			node_log log{"test"};
			steering::catalog known;
			std::deque<status_response> answers; ///< Of the store; the last one is repeated.
			std::vector<std::string> calls;      ///< Targets of the calls so far.
			status_server store{loop, [this](std::string_view target)
								{
									calls.emplace_back(target);
									return next_answer();
								}};
			endpoint address = own_address(17'431);

			status_response next_answer()
			{
				const auto answer = answers.front();
				if (answers.size() > 1)
				{
					answers.pop_front();
				}
				if (answer.status == testing::lost)
				{
					throw std::runtime_error{"answer lost"};
				}
				return answer;
			}

			void serve_empty_listing()
			{
				answers = {{.status = 200, .body = R"({"items":[],"has_more":false,"as_of":9,"era":2})"}};
			}

			/// Runs until a restored store that lacks the evacuation of zone `a` has settled and is listed once more.
			/// \param restored_listing	Number of the call with its first listing.
			void read_until_settled(store_reader& reader, std::size_t restored_listing)
			{
				ASSERT_EQ(store.listen(address), "");
				reader.set_answer_handler(
					[this, restored_listing]
					{
						if (calls.size() == restored_listing)
						{
							EXPECT_TRUE(known.evacuations.contains("a"));
							answers = {{.status = 503, .body = {}}};
							loop.call_at(loop.now() + steering::restore_settling_time,
										 [this] { serve_empty_listing(); });
						}
					});
				reader.start();
				loop.call_at(loop.now() + 2 * steering::restore_settling_time, [this] { loop.stop(); });
				loop.run();
			}

			/// Runs until the reader's catalog has been changed by all answers, at most a second.
			void read(store_reader& reader)
			{
				ASSERT_EQ(store.listen(address), "");
				reader.start();
				loop.call_at(loop.now() + 1s, [this] { loop.stop(); });
				reader.set_answer_handler(
					[this]
					{
						if (answers.size() == 1)
						{
							loop.stop();
						}
					});
				loop.run();
			}
		};

		// Guards against a server that has left but is used by a process that starts while the store is away. Entries
		// that were missing from a new listing were still served to other processes.
		TEST_F(store_reader_on_loopback, serves_no_records_that_a_new_listing_lacks)
		{
			answers = {
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{},{}],"has_more":false,"as_of":9}})", item("servers/left", 8),
									 item("servers/stays", 9))},
				{.status = 410, .body = R"({"error":"history gone"})"},
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":20}})", item("servers/stays", 9))},
				{.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			read(reader);
			const auto served = reader.listing();
			EXPECT_NE(served.find("servers/stays"), std::string::npos) << served;
			EXPECT_EQ(served.find("servers/left"), std::string::npos) << served;
		}

		// Guards against an agent that does not know its upstream's new entry. A watch of one key advances the revision
		// past changes of other keys; a watch of the whole group from that revision skipped them.
		TEST_F(store_reader_on_loopback, lists_again_when_it_watches_more_than_before)
		{
			answers = {
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9}})", item("servers/former", 8))},
				{.status = 200,
				 .body = R"({"events":[{"key":"servers/former","revision":12,"removed":true}],"as_of":12})"},
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":12}})", item("servers/present", 10))},
				{.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			reader.set_watch_scope_selector(
				[this] {
					return steering::watch_scope{.key = calls.size() < 2 ? "servers/former" : "",
												 .coalescing_delay = 1ms};
				});
			read(reader);
			ASSERT_GE(calls.size(), 3U);
			EXPECT_TRUE(calls[1].starts_with("/kv-watch?prefix=servers/former&")) << calls[1];
			EXPECT_TRUE(calls[2].starts_with("/kv-range?prefix=servers/")) << calls[2];
		}

		// Guards against changes that are never read because a restored store has given out the watched revision again.
		TEST_F(store_reader_on_loopback, lists_again_when_a_watch_is_answered_in_a_later_era)
		{
			answers = {
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9,"era":1}})", item("servers/a", 8))},
				{.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":10,"era":2}})", item("servers/c", 10))},
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{},{}],"has_more":false,"as_of":10,"era":2}})", item("servers/b", 9),
									 item("servers/c", 10))},
				{.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			read(reader);
			ASSERT_GE(calls.size(), 3U);
			EXPECT_TRUE(calls[2].starts_with("/kv-range?prefix=servers/")) << calls[2];
			EXPECT_EQ(reader.state().revision, (steering::store_revision{.era = 2, .number = 10}));
			EXPECT_TRUE(known.revisions.contains("servers/b"));
		}

		// Guards against a watch that waits for 10 s at a restored store that has given out the watched revision again:
		// only an answer shows the later era.
		TEST_F(store_reader_on_loopback, watches_briefly_after_a_failure)
		{
			answers = {{.status = 200, .body = R"({"items":[],"has_more":false,"as_of":9,"era":1})"},
					   {.status = 503, .body = {}},
					   {.status = 200, .body = R"({"events":[],"as_of":9,"era":2})"},
					   {.status = 200, .body = R"({"items":[],"has_more":false,"as_of":9,"era":2})"},
					   {.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			read(reader);
			ASSERT_GE(calls.size(), 4U);
			EXPECT_TRUE(calls[1].ends_with("&wait_ms=30000")) << calls[1];
			EXPECT_TRUE(calls[2].ends_with("&wait_ms=1")) << calls[2];
			EXPECT_TRUE(calls[3].starts_with("/kv-range")) << calls[3];
		}

		// Guards against a late answer of the lost history that is applied after the store was restored.
		TEST_F(store_reader_on_loopback, drops_answer_of_a_former_era)
		{
			answers = {
				{.status = 200, .body = R"({"items":[],"has_more":false,"as_of":9,"era":2})"},
				{.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":30,"era":1}})", item("servers/a", 30))},
				{.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			ASSERT_EQ(store.listen(address), "");
			reader.start();
			loop.call_at(loop.now() + 100ms, [this] { loop.stop(); });
			loop.run();
			EXPECT_GE(calls.size(), 2U);
			EXPECT_TRUE(reader.state().unreachable);
			EXPECT_FALSE(known.revisions.contains("servers/a"));
		}

		// Guards against an evacuation of the lost history that stays in force although the operator does not publish
		// it again: only another listing shows that.
		TEST_F(store_reader_on_loopback, lists_again_when_a_restored_store_has_settled)
		{
			const auto zone = item("op/evacuate/a", 8);
			answers = {
				{.status = 200, .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9,"era":1}})", zone)},
				{.status = 410, .body = {}},
				{.status = 200, .body = R"({"items":[],"has_more":false,"as_of":7,"era":2})"}};
			store_reader reader{loop, log, known, address, steering::record_group::operator_orders, 1};
			read_until_settled(reader, 3);
			EXPECT_FALSE(known.evacuations.contains("a"));
		}

		// Guards against a configuration that another process knows but that is refused, since the restored store has
		// given the record of the older one a later revision.
		TEST_F(store_reader_on_loopback, applies_relayed_configuration_with_higher_version)
		{
			const auto listing = [](int version, int era, int revision)
			{
				const auto body = fmt::format(R"({{"version":{},"routes":[]}})", version);
				return fmt::format(
					R"({{"items":[{{"key":"op/config","value":"{}","revision":{}}}],"as_of":{},"era":{}}})",
					base64(body), revision, revision, era);
			};
			answers = {{.status = 200, .body = listing(6, 2, 15)}, {.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::operator_orders, 1};
			read(reader);
			ASSERT_EQ(known.version, 6U);
			reader.apply_relayed({.status = 200, .body = listing(9, 1, 14), .error = {}, .header = {}});
			EXPECT_EQ(known.version, 9U);
			reader.apply_relayed({.status = 200, .body = listing(8, 1, 13), .error = {}, .header = {}});
			EXPECT_EQ(known.version, 9U);
		}

		// Guards against invalid classes that operators learn of only from requests served late, and against a line for
		// each of thousands of routes.
		TEST_F(store_reader_on_loopback, logs_one_line_for_a_configuration_with_invalid_classes)
		{
			const auto config = [](int version, std::string_view priority)
			{
				std::string routes;
				for (int host = 1; host <= 200; ++host)
				{
					routes +=
						fmt::format(R"({}{{"host":"198.18.0.{}","prefix":"/80/","service":"desk","priority":{}}})",
									host == 1 ? "" : ",", host, priority);
				}
				return item("op/config", version, fmt::format(R"({{"version":{},"routes":[{}]}})", version, routes));
			};
			answers = {
				{.status = 200, .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9}})", config(8, "1"))},
				{.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":12}})", config(12, "\"high\""))},
				{.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::operator_orders, 1};
			::testing::internal::CaptureStdout();
			read(reader);
			const auto lines = ::testing::internal::GetCapturedStdout();
			EXPECT_EQ(known.version, 12U);
			const auto found = lines.find("class_invalid");
			ASSERT_NE(found, std::string::npos) << lines;
			EXPECT_EQ(lines.find("class_invalid", found + 1), std::string::npos) << lines;
			const auto line = lines.substr(found, lines.find('\n', found) - found);
			for (const auto* part :
				 {R"("version":"12")", R"("routes":"200")",
				  R"(route 198.18.0.1:80: priority: got \"high\", expected an integer from 0 to 255)"})
			{
				EXPECT_NE(line.find(part), std::string::npos) << line;
			}
		}

		// Guards against resets of flows at a service that a route had in a version which this process never read: such
		// flows are searched at the upstreams of all services.
		TEST_F(store_reader_on_loopback, notes_versions_that_a_listing_skips)
		{
			const auto configuration = [](int version)
			{ return item("op/config", version, fmt::format(R"({{"version":{},"routes":[]}})", version)); };
			const auto listing = [&configuration](int version)
			{
				return status_response{.status = 200,
									   .body = fmt::format(R"({{"items":[{}],"as_of":9}})", configuration(version))};
			};
			answers = {listing(3),
					   {.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":10}})", configuration(4))},
					   {.status = 410, .body = {}},
					   listing(7),
					   {.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::operator_orders, 1};
			std::vector<std::pair<std::uint64_t, monotonic_time>> skipped;
			reader.set_answer_handler([this, &skipped]
									  { skipped.emplace_back(known.version, known.versions_skipped_at); });
			ASSERT_EQ(store.listen(address), "");
			reader.start();
			loop.call_at(loop.now() + 1s, [this] { loop.stop(); });
			loop.run();
			ASSERT_GE(skipped.size(), 4U);
			EXPECT_EQ(skipped[1].first, 4U);
			EXPECT_EQ(skipped[1].second, skipped[0].second) << "a watch brings every version";
			EXPECT_EQ(skipped[3].first, 7U);
			EXPECT_GT(skipped[3].second, skipped[0].second);
		}

		// Guards against the same in a process that read its orders from another one while the store was away, and
		// knows no era of the store yet.
		TEST_F(store_reader_on_loopback, lists_again_after_relayed_records_of_a_former_era)
		{
			const auto zone = item("op/evacuate/a", 8);
			answers = {{.status = 200, .body = R"({"items":[],"has_more":false,"as_of":7,"era":2})"},
					   {.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::operator_orders, 1};
			reader.apply_relayed({.status = 200,
								  .body = fmt::format(R"({{"items":[{}],"as_of":9,"era":1}})", zone),
								  .error = {},
								  .header = {}});
			ASSERT_TRUE(known.evacuations.contains("a"));
			read_until_settled(reader, 1);
			EXPECT_FALSE(known.evacuations.contains("a"));
		}

		// Guards against new flows at a draining upstream: the watch that would have told of its state stays pending
		// for up to 31 s after its answer was lost, although the upstream's agent or a balancer knows a newer revision.
		TEST_F(store_reader_on_loopback, reads_again_when_another_process_knows_a_newer_entry)
		{
			answers = {{.status = 200,
						.body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9}})", item("servers/a", 8))},
					   {.status = testing::lost, .body = {}},
					   {.status = 200, .body = fmt::format(R"({{"events":[{}],"as_of":12}})", item("servers/a", 12))},
					   {.status = testing::lost, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			ASSERT_EQ(store.listen(address), "");
			loop.set_exception_handler([](const std::exception&) {});
			reader.start();
			std::function<void()> hear = [this, &reader, &hear]
			{
				reader.handle_known_revision({.era = 0, .number = 12});
				loop.call_at(loop.now() + 500ms, hear);
			};
			loop.call_at(loop.now() + 100ms, hear);
			loop.call_at(loop.now() + 3s, [this] { loop.stop(); });
			loop.run();
			EXPECT_EQ(reader.state().revision.number, 12U);
			ASSERT_EQ(calls.size(), 4U) << "a known revision starts no further calls";
		}

		// Guards against a listing that is taken for complete while one of its pages is missing. A flow at an upstream
		// of that page was reset.
		TEST_F(store_reader_on_loopback, is_up_to_date_only_after_the_last_page)
		{
			answers = {{.status = 200,
						.body = fmt::format(R"({{"items":[{}],"has_more":true,"as_of":9}})", item("servers/a", 8))},
					   {.status = 503, .body = {}}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			const auto before = loop.now();
			read(reader);
			EXPECT_TRUE(known.revisions.contains("servers/a"));
			EXPECT_FALSE(reader.is_up_to_date_since(before));
		}

		// Guards against an agent that learns of its upstream's restart and still waits up to 30 s for a change of the
		// former entry.
		TEST_F(store_reader_on_loopback, ends_pending_watch_of_one_key_when_the_scope_widens)
		{
			bool whole_group = false;
			answers = {
				{.status = 200,
				 .body = fmt::format(R"({{"items":[{}],"has_more":false,"as_of":9}})", item("servers/former", 8))}};
			store_reader reader{loop, log, known, address, steering::record_group::upstreams, 1};
			reader.set_watch_scope_selector(
				[&whole_group]
				{ return steering::watch_scope{.key = whole_group ? "" : "servers/former", .coalescing_delay = 1ms}; });
			reader.set_answer_handler(
				[this, &reader, &whole_group]
				{
					if (whole_group)
					{
						loop.stop();
						return;
					}
					// The watch of the former entry is pending now.
					whole_group = true;
					reader.widen_watch();
				});
			ASSERT_EQ(store.listen(address), "");
			reader.start();
			loop.call_at(loop.now() + 1s, [this] { loop.stop(); });
			loop.run();
			ASSERT_EQ(calls.size(), 2U);
			EXPECT_TRUE(calls.back().starts_with("/kv-range?prefix=servers/")) << calls.back();
		}
	}
}
