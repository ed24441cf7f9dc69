#include "flow_network.hpp"

#include <gtest/gtest.h>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;
		using test::flow_network;

		/// Makes one random change: drains an upstream, takes it out or returns it to service, or restarts an agent,
		/// which then holds no flows.
		void change_something(flow_network& net)
		{
			const auto i = net.random.below(net.nodes.size());
			auto& state = net.records.upstreams[i].state;
			switch (net.random.below(4))
			{
				case 0:
					state = upstream_admin_state::draining;
					net.publish();
					break;
				case 1:
					state = upstream_admin_state::out;
					net.publish();
					break;
				case 2:
					net.restart(i);
					break;
				default:
					state = upstream_admin_state::serving;
					net.publish();
			}
		}
	}

	// Guards against established flows that move to another upstream while upstreams join, leave, drain and restart,
	// with balancers and agents at different views, lost, duplicated and reordered packets, and changes that overlap.
	TEST(established_flows, keep_their_holder_through_generated_histories)
	{
		std::size_t delivered = 0;
		std::size_t faults = 0;
		for (std::uint64_t seed = 1; seed <= 2000; ++seed)
		{
			random_source plan{seed};
			flow_network net{seed, 2 + plan.below(7), 3};
			net.loss = plan.below(2) == 0 ? 0 : 0.02;
			net.duplication = plan.below(2) == 0 ? 0 : 0.05;
			std::uint32_t clients = 0;
			for (int second = 0; second < 40; ++second)
			{
				if (second % 4 == 3 && plan.below(2) == 0 && second < 30)
				{
					change_something(net);
				}
				for (int i = 0; i < 10; ++i)
				{
					if (clients < 40 && plan.below(3) == 0)
					{
						++clients;
						net.send(clients);
						net.send(clients);
					}
					for (int k = 0; k < 2 && clients > 0; ++k)
					{
						net.send(1 + static_cast<std::uint32_t>(plan.below(clients)));
					}
					net.run(100ms);
				}
			}
			delivered += net.delivered;
			faults += net.broken;
			EXPECT_EQ(net.broken, 0U) << "seed " << seed << ": " << net.first_failure;
			EXPECT_EQ(net.misdelivered, 0U) << "seed " << seed;
			EXPECT_GT(net.delivered, 300U) << "seed " << seed;
		}
		EXPECT_EQ(faults, 0U) << delivered << " delivered";
	}

	// Guards against an agent that delivers packets or omits audit entries after its zone is taken out of rotation.
	TEST(a_zone_taken_out, gets_no_packet_and_audits_each_flow)
	{
		flow_network net{1, 4, 2};
		for (std::uint32_t client = 1; client <= 100; ++client)
		{
			net.send(client);
		}
		net.run(1s);
		auto& agent = net.nodes[0].state;
		const auto held = agent.flows.size();
		ASSERT_GT(held, 0U);
		net.records.zones[0].state = zone_admin_state::out;
		net.publish();
		action_list actions;
		agent_on_view(agent, *net.newest, net.now, actions);
		EXPECT_EQ(agent.flows.size(), 0U);
		EXPECT_EQ(
			std::ranges::count_if(actions, [](const action& it) { return std::holds_alternative<audit_event>(it); }),
			static_cast<std::ptrdiff_t>(held));
		net.nodes[0].view = net.newest;
		const auto before = agent.counters.delivered;
		for (std::uint32_t client = 1; client <= 100; ++client)
		{
			net.send(client);
		}
		net.run(100ms);
		EXPECT_EQ(agent.counters.delivered, before);
	}

	// Guards against a process that resumes with an old view and forwards before its revision is confirmed.
	TEST(a_paused_agent, forwards_nothing_until_its_revision_is_confirmed)
	{
		flow_network net{1, 1, 1};
		net.send(1);
		net.run(200ms);
		auto& agent = net.nodes[0].state;
		ASSERT_EQ(agent.counters.delivered, 1U);
		net.now += 30s;
		net.send(1);
		net.run(200ms);
		EXPECT_EQ(agent.counters.delivered, 1U);
		agent_on_confirmation(agent, revision{2}, net.now);
		net.send(1);
		net.run(200ms);
		EXPECT_EQ(agent.counters.delivered, 1U) << "the view is older than the confirmed revision";
		net.records.rev = revision{1};
		net.publish();
		net.nodes[0].view = net.newest;
		net.send(1);
		net.run(200ms);
		EXPECT_EQ(agent.counters.delivered, 2U);
	}

	// Guards against delivery to an upstream when its endpoint or the service address now belongs to another service.
	TEST(a_packet_for_another_service, is_dropped)
	{
		flow_network net{1, 1, 1};
		auto& agent = net.nodes[0].state;
		packet_header header;
		header.service = service_id{2};
		header.upstream = upstream_id{1};
		header.flow.service = net.records.services[0].addresses[0];
		action_list actions;
		agent_on_packet(agent, {header, {}}, *net.newest, net.now, net.random, actions);
		ASSERT_TRUE(std::holds_alternative<drop>(actions.back()));
		EXPECT_EQ(std::get<drop>(actions.back()).why, reason::wrong_upstream);

		auto& other = net.records.services.emplace_back();
		other.id = service_id{2};
		std::swap(other.addresses, net.records.services[0].addresses);
		net.publish();
		header.service = service_id{1};
		header.rev = revision{1};
		agent_on_packet(agent, {header, {}}, *net.newest, net.now, net.random, actions);
		EXPECT_EQ(std::get<drop>(actions.back()).why, reason::wrong_upstream);
		EXPECT_EQ(agent.counters.delivered, 0U);
	}

	// Guards against answers that are sent to a dead balancer.
	TEST(an_answer, takes_a_live_balancer_when_the_last_one_is_dead)
	{
		flow_network net{1, 1, 1};
		net.send(1);
		net.run(100ms);
		auto& agent = net.nodes[0].state;
		action_list actions;
		agent_on_upstream_datagram(agent, flow_slot{0}, {}, net.now, actions);
		EXPECT_EQ(std::get<send_packet>(actions.back()).destination, endpoint{});
		agent.balancers = {*parse_endpoint("127.0.0.1:6000")};
		agent_on_upstream_datagram(agent, flow_slot{0}, {}, net.now, actions);
		EXPECT_EQ(std::get<send_packet>(actions.back()).destination, agent.balancers[0]);
	}

	// Guards against a flow with two holders: after the first refusal the primary places the flow elsewhere, so a later
	// packet of the same placement must not be admitted.
	TEST(a_refused_placement, is_refused_for_all_packets_of_the_flow)
	{
		flow_network net{1, 2, 1};
		auto& agent = net.nodes[0].state;
		packet_header header;
		header.service = service_id{1};
		header.upstream = upstream_id{1};
		header.origin = upstream_id{2};
		header.flags = packet_flag_placed;
		header.flow.service = net.records.services[0].addresses[0];
		action_list actions;
		agent.run_state = upstream_run_state::draining;
		agent_on_packet(agent, {header, {}}, *net.newest, net.now, net.random, actions);
		EXPECT_EQ(std::get<send_packet>(actions.back()).header.origin, upstream_id{2});
		agent.run_state = upstream_run_state::serving;
		agent_on_packet(agent, {header, {}}, *net.newest, net.now, net.random, actions);
		EXPECT_TRUE(std::holds_alternative<send_packet>(actions.back()));
		EXPECT_EQ(agent.flows.size(), 0U);
	}
}
