#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <algorithm>
#include <array>

namespace nutmegturn::steering::testing
{
	namespace
	{
		using namespace std::chrono_literals;

		constexpr monotonic_time now{1'000s};

		constexpr std::array all_kinds{message_kind::open,        message_kind::flow_packet, message_kind::probe,
									   message_kind::probe_relay, message_kind::query,       message_kind::subscribe,
									   message_kind::held,        message_kind::not_held,    message_kind::declined,
									   message_kind::load,        message_kind::query_reply, message_kind::held_flows,
									   message_kind::accepted};

		[[nodiscard]] message make_full_message(message_kind kind, std::span<const std::byte> packet)
		{
			auto it = about_flow(kind);
			it.orders_revision = {.era = 3, .number = 99};
			it.load = {.admission = admission_status::cold,
					   .requests_in_progress = 3,
					   .open_flows = 7,
					   .failure_percent = 40,
					   .cold_admissions_left = 2};
			it.other_balancer = instance(9);
			it.reply_to = instance(8);
			it.zone = "zone-a";
			it.just_started = true;
			it.packet = packet;
			return it;
		}

		// Guards against counters of messages that are missing or have the name of another kind.
		TEST(steering_message, names_each_kind)
		{
			EXPECT_EQ(to_string(message_kind::open), "open");
			EXPECT_EQ(to_string(message_kind::subscribe), "subscribe");
			EXPECT_EQ(to_string(message_kind::held_flows), "held_flows");
			EXPECT_EQ(to_string(message_kind::accepted), "accepted");
		}

		// Guards against fields that are encoded but not decoded.
		TEST(steering_message, round_trips_fields_of_its_kind)
		{
			const std::array packet{std::byte{1}, std::byte{2}};
			for (const auto kind : all_kinds)
			{
				const auto sent = make_full_message(kind, packet);
				std::vector<std::byte> buf(encoded_size_bound(sent));
				const auto size = encode_message(sent, buf);
				ASSERT_LE(size, buf.size());
				const auto got = decode_message(std::span{buf}.first(size));
				ASSERT_TRUE(got);
				EXPECT_EQ(got->kind, kind);
				EXPECT_EQ(got->version, 3U);
				EXPECT_EQ(got->orders_revision, (store_revision{.era = 3, .number = 99}));
				EXPECT_TRUE(std::ranges::equal(got->packet, packet));
				EXPECT_EQ(got->service, kind == message_kind::open ? sent.service : "");
				EXPECT_EQ(got->zone, kind == message_kind::subscribe ? sent.zone : "");
				EXPECT_EQ(got->reply_to, kind == message_kind::probe ? sent.reply_to : ipv4{});
				EXPECT_EQ(got->just_started, kind == message_kind::subscribe);
				EXPECT_EQ(got->load.requests_in_progress, kind >= message_kind::held ? 3U : 0U);
				EXPECT_EQ(got->load.failure_percent, kind >= message_kind::held ? 40U : 0U);
				EXPECT_EQ(got->other_balancer, kind >= message_kind::held ? instance(9) : ipv4{});
			}
		}

		// Guards against reads beyond the end of a truncated message and against unknown kinds.
		TEST(steering_message, is_rejected_when_header_is_truncated_or_kind_unknown)
		{
			for (const auto kind : all_kinds)
			{
				const auto sent = make_full_message(kind, {});
				std::vector<std::byte> buf(encoded_size_bound(sent));
				const auto size = encode_message(sent, buf);
				for (std::size_t n = 0; n < size; ++n)
				{
					EXPECT_FALSE(decode_message(std::span{buf}.first(n))) << n;
				}
				buf[1] = std::byte{0};
				EXPECT_FALSE(decode_message(buf));
				buf[1] = std::byte{99};
				EXPECT_FALSE(decode_message(buf));
			}
		}

		// Guards against revisions and ages that are lost between encoding and decoding.
		TEST(steering_message, round_trips_knowledge_of_the_store)
		{
			const store_knowledge sent{.entry = {.era = 3, .number = 99},
									   .orders = {.newest = {.era = 3, .number = 80}, .as_of = now - 700ms},
									   .upstreams = {.newest = {.era = 3, .number = 99}, .as_of = now - 2ms},
									   .pass_on = true};
			const auto got = decode_knowledge(encode_knowledge(sent, now), now + 5s);
			EXPECT_EQ(got.entry, sent.entry);
			EXPECT_EQ(got.orders.newest, sent.orders.newest);
			EXPECT_EQ(got.orders.as_of, now + 5s - 700ms) << "sent as an age";
			EXPECT_EQ(got.upstreams.newest, sent.upstreams.newest);
			EXPECT_EQ(got.upstreams.as_of, now + 5s - 2ms);
			EXPECT_TRUE(got.pass_on);
		}

		// Guards against messages of earlier releases that are taken for evidence, or whose revision is lost.
		TEST(steering_message, reads_the_revision_alone_from_an_earlier_release)
		{
			const auto bytes = encode_knowledge(
				{.entry = {.era = 3, .number = 99}, .orders = {{}, now}, .upstreams = {}, .pass_on = false}, now);
			const auto got = decode_knowledge(std::span{bytes}.first(8), now);
			EXPECT_EQ(got.entry, (store_revision{.era = 3, .number = 99}));
			EXPECT_EQ(got.orders.as_of, monotonic_time{});
			EXPECT_EQ(decode_knowledge({}, now).entry, store_revision{});
		}

		// Guards against evidence that becomes younger, or whose revision becomes lower, since its field is too small.
		TEST(steering_message, leaves_out_evidence_that_does_not_fit)
		{
			const auto decoded_as_of = [](const record_evidence& evidence)
			{
				const auto bytes =
					encode_knowledge({.entry = {}, .orders = evidence, .upstreams = {}, .pass_on = false}, now);
				return decode_knowledge(bytes, now).orders.as_of;
			};
			constexpr std::uint64_t largest = (std::uint64_t{1} << 48U) - 1;
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = 5}, .as_of = now - 65'534ms}), now - 65'534ms);
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = 5}, .as_of = now - 65'535ms}), monotonic_time{});
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = 5}, .as_of = now - 1h}), monotonic_time{});
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = largest - 1}, .as_of = now}), now);
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = largest}, .as_of = now}), monotonic_time{});
			EXPECT_EQ(decoded_as_of({.newest = {.era = 65'535, .number = 5}, .as_of = now}), monotonic_time{});
			EXPECT_EQ(decoded_as_of({.newest = {.era = 1, .number = 5}, .as_of = now - 1us}), now - 1ms)
				<< "rounded towards an older time";
		}

		/// Returns the packet of a `load` message with a work report.
		[[nodiscard]] std::vector<std::byte> make_load_payload(const store_knowledge& knowledge,
															   const work_report& report)
		{
			const auto first = encode_knowledge(knowledge, now);
			const auto second = encode_work_report(report);
			std::vector<std::byte> payload(first.size() + second.size());
			std::ranges::copy(second, std::ranges::copy(first, payload.begin()).out);
			return payload;
		}

		[[nodiscard]] work_report round_trip(const work_report& report)
		{
			return decode_work_report(make_load_payload({}, report)).value();
		}

		// Guards against a balancer that places flows by values of another field.
		TEST(steering_message, round_trips_work_report)
		{
			const auto got = round_trip({.outstanding = 1'234ms,
										 .mean_cost = 43ms,
										 .cost_deviation = 17ms,
										 .waiting_priority = 0,
										 .opening_wait = 650ms});
			EXPECT_EQ(got.outstanding, 1'234ms);
			EXPECT_EQ(got.mean_cost, 43ms);
			EXPECT_EQ(got.cost_deviation, 17ms);
			EXPECT_EQ(got.waiting_priority, std::uint8_t{0}) << "the most urgent priority is not taken for none";
			EXPECT_EQ(got.opening_wait, 650ms);
			EXPECT_EQ(round_trip({}).waiting_priority, std::nullopt);
		}

		// Guards against an overloaded upstream that looks idle because its work exceeds the field.
		TEST(steering_message, limits_values_of_work_report)
		{
			const auto most = round_trip({.outstanding = 10'000h,
										  .mean_cost = 70'000ms,
										  .cost_deviation = 70'000ms,
										  .waiting_priority = lowest_priority,
										  .opening_wait = 70'000ms});
			EXPECT_EQ(most.outstanding, max_outstanding_work);
			EXPECT_EQ(most.mean_cost, 65'535ms);
			EXPECT_EQ(most.cost_deviation, 65'535ms);
			EXPECT_EQ(most.waiting_priority, lowest_priority);
			EXPECT_EQ(most.opening_wait, 65'535ms);
			const auto least = round_trip({.outstanding = -1ms,
										   .mean_cost = -1ms,
										   .cost_deviation = -1ms,
										   .waiting_priority = 1,
										   .opening_wait = -1ms});
			EXPECT_EQ(least.outstanding, 0ms);
			EXPECT_EQ(least.mean_cost, 0ms);
			EXPECT_EQ(least.cost_deviation, 0ms);
			EXPECT_EQ(least.opening_wait, 0ms);
		}

		// Guards against priorities beyond the range, which would be taken for an urgent one.
		TEST(steering_message, reads_undefined_priority_as_none)
		{
			auto payload = make_load_payload({}, {.waiting_priority = 3, .opening_wait = 100ms});
			payload[encoded_knowledge_size + 9] = std::byte{1};
			const auto got = decode_work_report(payload);
			ASSERT_TRUE(got);
			EXPECT_EQ(got->waiting_priority, std::nullopt);
			EXPECT_EQ(got->opening_wait, 0ms);
		}

		// Guards against messages of earlier or truncated ones that decode to an idle upstream.
		TEST(steering_message, has_no_work_report_unless_it_is_whole)
		{
			const auto payload = make_load_payload({}, {.mean_cost = 5ms});
			for (std::size_t n = 0; n < payload.size(); ++n)
			{
				EXPECT_FALSE(decode_work_report(std::span{payload}.first(n))) << n;
			}
			EXPECT_TRUE(decode_work_report(payload));
		}

		// Guards against a rollout in which a process of an earlier release, which reads the first 8 or 29 bytes of the
		// packet, loses what the message says of the store.
		TEST(steering_message, leaves_knowledge_readable_for_earlier_releases)
		{
			const store_knowledge sent{.entry = {.era = 3, .number = 99},
									   .orders = {.newest = {.era = 3, .number = 80}, .as_of = now - 700ms},
									   .upstreams = {.newest = {.era = 3, .number = 99}, .as_of = now - 2ms},
									   .pass_on = true};
			const auto payload = make_load_payload(sent, {.outstanding = 5s, .mean_cost = 43ms});
			auto msg = make_full_message(message_kind::load, payload);
			std::vector<std::byte> buf(max_message_header_size + payload.size());
			const auto got = decode_message(std::span{buf}.first(encode_message(msg, buf)));
			ASSERT_TRUE(got);
			constexpr std::size_t former_knowledge_size = 29;
			for (const auto read : {got->packet, got->packet.first(former_knowledge_size)})
			{
				const auto knowledge = decode_knowledge(read, now);
				EXPECT_EQ(knowledge.entry, sent.entry);
				EXPECT_EQ(knowledge.orders.newest, sent.orders.newest);
				EXPECT_EQ(knowledge.orders.as_of, sent.orders.as_of);
				EXPECT_EQ(knowledge.upstreams.as_of, sent.upstreams.as_of);
				EXPECT_TRUE(knowledge.pass_on);
			}
			EXPECT_EQ(decode_knowledge(got->packet.first(8), now).entry, sent.entry);
		}

		// Guards against probes to arbitrary instances from a truncated message.
		TEST(steering_message, round_trips_probe_relay)
		{
			const std::array agents{instance(1), instance(2)};
			const std::array packet{std::byte{1}, std::byte{2}};
			const auto bytes = encode_probe_relay(agents, packet);
			const auto got = decode_probe_relay(bytes);
			EXPECT_TRUE(std::ranges::equal(got.agents, agents));
			EXPECT_TRUE(std::ranges::equal(got.packet, packet));
			EXPECT_TRUE(decode_probe_relay(std::span{bytes}.first(5)).agents.empty());
			EXPECT_TRUE(decode_probe_relay({}).agents.empty());
		}

		// Guards against answers that are lost between encoding and decoding.
		TEST(steering_message, round_trips_answers)
		{
			const std::array answers{flow_answer{.flow = flow, .presence = flow_presence::held},
									 flow_answer{.flow = flow, .presence = flow_presence::not_held}};
			std::array<std::byte, 2 * encoded_answer_size + 1> buf{};
			encode_answers(answers, buf);
			const auto got = decode_answers(buf);
			ASSERT_EQ(got.size(), 2U);
			EXPECT_EQ(got[0].flow, flow);
			EXPECT_EQ(got[1].presence, flow_presence::not_held);
		}
	}
}
