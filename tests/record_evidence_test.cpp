#include "nutmegturn/steering/message_arrival.hpp"
#include "nutmegturn/steering/record_evidence.hpp"

#include "node_on_loopback.hpp"

#include <gtest/gtest.h>

namespace nutmegturn::steering::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		constexpr monotonic_time start{1'000s};
		constexpr store_revision known{.era = 2, .number = 50};

		// Guards against a process that takes its records for current though it lacks a change that another one knows.
		TEST(steering_record_evidence, confirms_only_what_covers_all_changes)
		{
			EXPECT_TRUE(is_confirmed_by(known, {.newest = {.era = 2, .number = 49}, .as_of = start}));
			EXPECT_TRUE(is_confirmed_by(known, {.newest = known, .as_of = start}));
			EXPECT_FALSE(is_confirmed_by(known, {.newest = {.era = 2, .number = 51}, .as_of = start}));
		}

		// Guards against revisions of two histories that are compared, after the store was restored.
		TEST(steering_record_evidence, confirms_nothing_of_another_era)
		{
			EXPECT_FALSE(is_confirmed_by(known, {.newest = {.era = 1, .number = 49}, .as_of = start}));
			EXPECT_FALSE(is_confirmed_by(known, {.newest = {.era = 3, .number = 1}, .as_of = start}));
		}

		// Guards against messages without evidence that are taken for it.
		TEST(steering_record_evidence, confirms_nothing_without_a_time)
		{
			EXPECT_FALSE(is_confirmed_by(known, {}));
		}

		// Guards against records that count as current while a change that was acknowledged a bound ago may be missing.
		TEST(steering_record_evidence, counts_as_current_for_less_than_the_bound)
		{
			constexpr std::chrono::milliseconds config_bound{3'000};
			EXPECT_TRUE(is_within_records_age(start, start + max_records_age));
			EXPECT_FALSE(is_within_records_age(start, start + max_records_age + 1ms));
			EXPECT_FALSE(is_within_records_age({}, start));
			EXPECT_LT(max_records_age, config_bound);
		}

		// Guards against evidence that becomes younger by the time for which its message waited in the socket of a
		// frozen process.
		TEST(steering_message_arrival, counts_ages_from_before_a_gap_until_the_socket_is_empty)
		{
			message_arrival arrival;
			record_loop_iteration(arrival, start);
			EXPECT_EQ(earliest_arrival(arrival, start), start);
			record_loop_iteration(arrival, start + 100ms);
			EXPECT_EQ(earliest_arrival(arrival, start + 100ms), start + 100ms) << "no gap";
			record_loop_iteration(arrival, start + 3'500ms);
			record_loop_iteration(arrival, start + 3'500ms);
			EXPECT_EQ(earliest_arrival(arrival, start + 3'500ms), start + 100ms);
			record_loop_iteration(arrival, start + 3'600ms);
			EXPECT_EQ(earliest_arrival(arrival, start + 3'600ms), start + 100ms) << "part of the messages still waits";
			record_loop_iteration(arrival, start + 5s);
			EXPECT_EQ(earliest_arrival(arrival, start + 5s), start + 100ms) << "a second gap";
			record_socket_emptied(arrival);
			EXPECT_EQ(earliest_arrival(arrival, start + 5s), start + 5s);
		}

		// Guards against processes that ask later than a change must take effect, and against all of them asking at the
		// same moment.
		TEST(steering_record_evidence, draws_ages_that_leave_time_for_the_answer)
		{
			constexpr std::chrono::milliseconds answer_time{100};
			for (const auto& ages : {balancer_confirmation_ages, agent_confirmation_ages})
			{
				EXPECT_EQ(draw_confirmation_age(ages, 0), ages.shortest);
				EXPECT_EQ(draw_confirmation_age(ages, static_cast<std::uint64_t>(ages.spread.count())),
						  ages.shortest + ages.spread);
				EXPECT_LT(ages.shortest + ages.spread + answer_time, max_records_age);
			}
			EXPECT_LT(balancer_confirmation_ages.shortest + balancer_confirmation_ages.spread,
					  agent_confirmation_ages.shortest)
				<< "balancers ask first";
		}
	}
}

namespace nutmegturn::node::testing
{
	namespace
	{
		using namespace std::chrono_literals;
		using steering::store_revision;

		/// Process that has read a store as of revision 7, whose newest change of orders has revision 5.
		class record_evidence_on_loopback : public node_on_loopback
		{
		protected:
			record_evidence_on_loopback() : node_on_loopback{17'438} {}

			status_response answer(std::string_view target) const override
			{
				if (target.starts_with("/kv-range?prefix=op/"))
				{
					const auto config = item("op/config", 5, R"({"version":3,"routes":[],"services":[]})");
					return {.status = 200, .body = fmt::format(R"({{"items":[{}],"as_of":7}})", config)};
				}
				if (target.starts_with("/kv-range"))
				{
					return {.status = 200, .body = R"({"items":[],"as_of":7})"};
				}
				return {.status = lost, .body = {}};
			}

			void SetUp() override
			{
				shared.upstreams_reader.set_watch_scope_selector(
					[] { return steering::watch_scope{.key = "servers/1", .coalescing_delay = 0ms}; });
				read_store();
				run_for(50ms);
				calls = store.calls.size();
			}

			static steering::store_knowledge knowledge_of_orders(std::uint64_t number, monotonic_time as_of)
			{
				return {.entry = {},
						.orders = {.newest = {.era = 0, .number = number}, .as_of = as_of},
						.upstreams = {},
						.pass_on = false};
			}

			std::size_t calls = 0;
		};

		// Guards against calls to the store of each process for what one of them was told.
		TEST_F(record_evidence_on_loopback, makes_records_current_without_a_call)
		{
			const auto now = shared.loop.now();
			shared.handle_knowledge(knowledge_of_orders(5, now));
			EXPECT_EQ(shared.orders_reader.known_as_of(), now);
			EXPECT_EQ(store.calls.size(), calls);
		}

		// Guards against a process that takes itself for current although another one knows a newer change.
		TEST_F(record_evidence_on_loopback, confirms_nothing_that_lacks_a_change)
		{
			const auto before = shared.orders_reader.known_as_of();
			shared.handle_knowledge(knowledge_of_orders(8, shared.loop.now()));
			EXPECT_EQ(shared.orders_reader.known_as_of(), before);
		}

		// Guards against resets of open flows by what other processes told, and against evidence that never ages since
		// processes tell it each other in a circle.
		TEST_F(record_evidence_on_loopback, is_neither_an_answer_of_the_store_nor_told_again_as_own)
		{
			const auto now = shared.loop.now();
			shared.handle_knowledge(knowledge_of_orders(5, now));
			EXPECT_FALSE(shared.orders_reader.is_up_to_date_since(now));
			EXPECT_LT(shared.orders_reader.own_evidence().as_of, now);
			EXPECT_EQ(shared.orders_reader.own_evidence().newest, (store_revision{.era = 0, .number = 7}))
				<< "the listing may lack a removal that is as recent as itself";
		}

		// Guards against an agent that takes its upstream's entry for current by a message about a former upstream at
		// its address, which names no revision.
		TEST_F(record_evidence_on_loopback, of_an_entry_needs_its_revision)
		{
			ASSERT_TRUE(shared.upstreams_reader.watches_one_key());
			const auto before = shared.upstreams_reader.known_as_of();
			const auto now = shared.loop.now();
			shared.handle_knowledge({.entry = {}, .orders = {}, .upstreams = {{}, now}, .pass_on = false});
			EXPECT_EQ(shared.upstreams_reader.known_as_of(), before);
			const store_revision entry{.era = 0, .number = 6};
			shared.handle_knowledge({.entry = entry, .orders = {}, .upstreams = {entry, now}, .pass_on = false});
			EXPECT_EQ(shared.upstreams_reader.known_as_of(), now);
		}
	}
}
