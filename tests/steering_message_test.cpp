#include "steering_world.hpp"

#include <gtest/gtest.h>

#include <array>

namespace nutmegturn::steering::testing
{
	namespace
	{
		constexpr std::array all_kinds{message_kind::open,   message_kind::carry,    message_kind::search,
									   message_kind::spread, message_kind::query,    message_kind::greeting,
									   message_kind::held,   message_kind::not_held, message_kind::declined,
									   message_kind::load,   message_kind::answers,  message_kind::holdings};

		[[nodiscard]] message full(message_kind kind, std::span<const std::byte> packet)
		{
			auto it = about_flow(kind);
			it.orders_revision = 99;
			it.load = {.state = intake::cold, .at_work = 3, .open_flows = 7, .failing = 40, .cold_left = 2};
			it.other_balancer = instance(9);
			it.asker = instance(8);
			it.zone = 5;
			it.fresh = true;
			it.packet = packet;
			return it;
		}

		// Guards against fields that one side writes and the other does not read.
		TEST(a_message, keeps_the_fields_of_its_kind)
		{
			const std::array packet{std::byte{1}, std::byte{2}};
			for (const auto kind : all_kinds)
			{
				const auto sent = full(kind, packet);
				std::array<std::byte, message_head_size + packet.size()> buf{};
				const auto size = encode_message(sent, buf);
				ASSERT_LE(size, buf.size());
				const auto got = decode_message(std::span{buf}.first(size));
				ASSERT_TRUE(got);
				EXPECT_EQ(got->kind, kind);
				EXPECT_EQ(got->version, 3U);
				EXPECT_EQ(got->orders_revision, 99U);
				EXPECT_TRUE(std::ranges::equal(got->packet, packet));
				EXPECT_EQ(got->service, kind == message_kind::open ? sent.service : service_key{});
				EXPECT_EQ(got->asker, kind == message_kind::search ? sent.asker : ipv4{});
				EXPECT_EQ(got->fresh, kind == message_kind::greeting);
				EXPECT_EQ(got->load.at_work, kind >= message_kind::held ? 3U : 0U);
				EXPECT_EQ(got->load.failing, kind >= message_kind::held ? 40U : 0U);
				EXPECT_EQ(got->other_balancer, kind >= message_kind::held ? instance(9) : ipv4{});
			}
		}

		// Guards against reads beyond the end of a cut message and against kinds of a later version.
		TEST(a_message, is_refused_when_its_head_is_cut_or_unknown)
		{
			for (const auto kind : all_kinds)
			{
				std::array<std::byte, message_head_size> buf{};
				const auto size = encode_message(full(kind, {}), buf);
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

		// Guards against packets that are tried at instances nobody named, from a message that was cut.
		TEST(a_message, carries_the_agents_that_try_a_packet)
		{
			const std::array agents{instance(1), instance(2)};
			const std::array packet{std::byte{1}, std::byte{2}};
			const auto bytes = encode_spread(agents, packet);
			const auto got = decode_spread(bytes);
			EXPECT_TRUE(std::ranges::equal(got.agents, agents));
			EXPECT_TRUE(std::ranges::equal(got.packet, packet));
			EXPECT_TRUE(decode_spread(std::span{bytes}.first(5)).agents.empty());
			EXPECT_TRUE(decode_spread({}).agents.empty());
		}

		// Guards against flows that are lost between an agent's list and a balancer's table.
		TEST(a_message, carries_lists_of_flows_and_answers)
		{
			const std::array answers{flow_answer{.flow = flow, .verdict = possession::held},
									 flow_answer{.flow = flow, .verdict = possession::not_held}};
			std::array<std::byte, 2 * encoded_answer_size + 1> buf{};
			encode_answers(answers, buf);
			const auto got = decode_answers(buf);
			ASSERT_EQ(got.size(), 2U);
			EXPECT_EQ(got[0].flow, flow);
			EXPECT_EQ(got[1].verdict, possession::not_held);
		}
	}
}
