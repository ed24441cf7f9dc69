#include "nutmegturn/handover.hpp"

#include "coap_text.hpp"
#include "flow_network.hpp"

#include <gtest/gtest.h>

namespace nutmegturn
{
	namespace
	{
		using namespace std::chrono_literals;
		using test::flow_network;

		/// Four agents with 300 flows.
		struct handover : testing::Test
		{
			flow_network net{7, 4, 2};
			std::size_t held = 0;

			handover()
			{
				send_all();
				net.run(1s);
				held = net.nodes[0].state.flows.size();
			}

			void send_all()
			{
				for (std::uint32_t client = 1; client <= 300; ++client)
				{
					net.send(client);
				}
			}

			/// Performs a planned restart of agent 0 under traffic; `dead` of its backups restart empty before it is
			/// back.
			void restart(std::size_t dead)
			{
				const auto backups = net.planned_restart(0);
				ASSERT_EQ(backups.size(), 2U);
				for (std::size_t i = 0; i < dead; ++i)
				{
					net.restart(backups[i]);
				}
				for (int i = 0; i < 10; ++i)
				{
					send_all();
					net.run(500ms);
				}
			}

			std::vector<handover_chunk> chunks(std::uint64_t process_incarnation, std::size_t flows = 0)
			{
				agent_state state{{.upstream = upstream_id{1}, .service = {}, .agent = {}, .connections = 2000},
								  net.now};
				std::vector<std::uint16_t> ports(flows, 9);
				for (std::size_t i = 0; i < flows; ++i)
				{
					flow_key key;
					key.client.port = static_cast<std::uint16_t>(i);
					EXPECT_TRUE(state.flows.insert(key, flow_hash(key)));
				}
				return export_handover(state, nullptr, {.process_incarnation = incarnation{process_incarnation}}, ports,
									   2, net.now);
			}
		};
	}

	// Guards against flows that move or get a new local port during a planned restart of an agent.
	TEST_F(handover, keeps_holders_and_local_ports)
	{
		restart(0);
		EXPECT_EQ(net.restored, held);
		EXPECT_EQ(net.broken, 0U) << net.first_failure;
		EXPECT_EQ(net.changed_ports, 0U);
	}

	// Guards against a hand-over that needs both backups.
	TEST_F(handover, survives_the_death_of_one_keeper)
	{
		restart(1);
		EXPECT_EQ(net.restored, held);
		EXPECT_EQ(net.broken, 0U) << net.first_failure;
		EXPECT_EQ(net.changed_ports, 0U);
	}

	// Guards against an agent that waits for ever without backups. Its flows are admitted anew, a documented limit.
	TEST_F(handover, admits_flows_anew_when_both_keepers_are_dead)
	{
		restart(2);
		EXPECT_EQ(net.restored, 0U);
		EXPECT_GE(net.changed_ports, held / 2);
		EXPECT_GE(net.nodes[0].state.flows.size(), held / 2);
	}

	// Guards against admission of a flow that the import is about to restore.
	TEST_F(handover, drops_packets_until_the_import_has_ended)
	{
		agent_state next = net.make_agent(0, net.now);
		const std::array peers{upstream_id{2}};
		auto import = begin_handover(next, peers, net.now);
		packet_header header;
		header.service = service_id{1};
		header.upstream = upstream_id{1};
		header.flow.service = net.records.services[0].addresses[0];
		action_list actions;
		agent_on_packet(next, {header, {}}, *net.newest, net.now, net.random, actions);
		ASSERT_TRUE(std::holds_alternative<drop>(actions.back()));
		EXPECT_EQ(std::get<drop>(actions.back()).why, reason::not_current);
		EXPECT_FALSE(handover_ready(import, net.now + 999ms));
		EXPECT_TRUE(handover_ready(import, net.now + 1s));
	}

	// Guards against two processes that hold the same flows, and against a repeated fetch that returns nothing.
	TEST_F(handover, is_given_to_one_successor_only)
	{
		handover_store store;
		handover_on_store(store, chunks(5)[0], net.now);
		const auto& own = net.nodes[1].state;
		EXPECT_EQ(handover_on_fetch(store, own, upstream_id{1}, incarnation{8}, net.now)[0].chunks, 1U);
		EXPECT_EQ(handover_on_fetch(store, own, upstream_id{1}, incarnation{8}, net.now)[0].chunks, 1U);
		EXPECT_EQ(handover_on_fetch(store, own, upstream_id{1}, incarnation{9}, net.now)[0].chunks, 0U);
		EXPECT_EQ(store.fetched, 1U);
		EXPECT_EQ(store.denied, 1U);
	}

	// Guards against requests that run twice: two processes that each received a copy must not both start a request
	// with a token of the previous process, so neither does. The stopped process accepts no requests after the export.
	TEST_F(handover, gives_outcomes_and_never_starts_requests_with_earlier_tokens)
	{
		request_config config;
		config.issuer = {member_id{1}, incarnation{5}, upstream_id{1}, {std::byte{7}}};
		auto before = make_request_state(config, net.now, net.random);
		request_identity id;
		id.content = 3;
		auto* entry = before.table.insert(id);
		entry->status = request_status::answered;
		before.table.keep_response(*entry, coap_bytes(10));
		before.table.retain(*entry, net.now);
		requests_begin_drain(before);
		const auto all = export_handover(net.nodes[0].state, &before, config.issuer, {}, 2, net.now);
		EXPECT_TRUE(before.suspended);
		const auto token = issue_fencing_token(config.issuer, net.now);
		config.issuer.process_incarnation = incarnation{6};
		config.issuer.key = {};
		for (const std::size_t copies : {0U, 1U, 2U})
		{
			auto after = make_request_state(config, net.now, net.random);
			auto next = net.make_agent(0, net.now);
			const std::array peers{upstream_id{2}, upstream_id{3}};
			auto import = begin_handover(next, peers, net.now);
			for (std::size_t i = 0; i < copies; ++i)
			{
				handover_on_chunk(import, peers[i], all[0]);
			}
			const auto now = net.now + 500ms;
			EXPECT_EQ(finish_handover(import, next, &after, now).outcomes, copies > 0);
			ASSERT_EQ(after.predecessor.has_value(), copies > 0);
			const auto* found = after.table.find(id);
			ASSERT_EQ(found != nullptr, copies > 0);
			if (found != nullptr)
			{
				EXPECT_EQ(found->response.size(), 10U);
				EXPECT_GE(found->expires, net.now + outcome_retention);
			}

			const auto post =
				request(coap_type::confirmable, coap_code_post, 1, coap_bytes(2), "new", {token.begin(), token.end()});
			action_list actions;
			requests_on_caller_datagram(after, packet{{}, post}, flow_slot{0}, now, net.random, actions);
			for (const auto& it : actions)
			{
				EXPECT_FALSE(std::holds_alternative<deliver>(it)) << copies << " copies";
			}
		}
	}

	// Guards against a "not run" answer for a request that was in progress at the export.
	TEST_F(handover, leaves_out_outcomes_while_requests_are_in_progress)
	{
		request_config config;
		config.issuer = {member_id{1}, incarnation{5}, upstream_id{1}, {std::byte{7}}};
		auto before = make_request_state(config, net.now, net.random);
		before.table.insert(request_identity{})->status = request_status::running;
		requests_begin_drain(before);
		const auto all = export_handover(net.nodes[0].state, &before, config.issuer, {}, 2, net.now);
		EXPECT_FALSE(all[0].with_requests);
		EXPECT_TRUE(before.suspended);
	}

	// Guards against a store that grows without bound or never expires hand-overs.
	TEST_F(handover, is_bounded_in_number_and_time)
	{
		handover_store store;
		auto chunk = chunks(5)[0];
		for (std::uint64_t i = 1; i <= max_stored_handovers + 2; ++i)
		{
			chunk.upstream = upstream_id{i};
			handover_on_store(store, chunk, net.now);
		}
		EXPECT_EQ(store.handovers.size(), max_stored_handovers);
		EXPECT_EQ(store.rejected, 2U);
		handover_expire(store, net.now + handover_lifetime);
		EXPECT_EQ(store.handovers.size(), 0U);
		EXPECT_EQ(store.bytes, 0U);
		EXPECT_EQ(store.expired, max_stored_handovers);
	}

	// Guards against a partial import, and against the import of a flow that has another holder by now.
	TEST_F(handover, is_imported_whole_and_spares_flows_with_another_holder)
	{
		const auto all = chunks(5, 400);
		ASSERT_GT(all.size(), 1U);
		const std::array peers{upstream_id{2}, upstream_id{3}};
		agent_state next{{.upstream = upstream_id{1}, .service = {}, .agent = {}}, net.now};
		auto import = begin_handover(next, peers, net.now);
		handover_on_chunk(import, upstream_id{2}, all[0]);
		EXPECT_FALSE(finish_handover(import, next, nullptr, net.now).found);
		EXPECT_EQ(next.flows.size(), 0U);

		import = begin_handover(next, peers, net.now);
		for (const auto& chunk : all)
		{
			handover_on_chunk(import, upstream_id{2}, chunk);
		}
		const auto& elsewhere = all[0].flows;
		next.redirects.set(flow_hash(elsewhere[0].key), upstream_id{4}, {}, redirect_kind::announced, net.now);
		// The second backup holds a flow itself and therefore leaves it out.
		handover_store store;
		agent_state backup{{.upstream = upstream_id{3}, .service = {}, .agent = {}}, net.now};
		ASSERT_TRUE(backup.flows.insert(elsewhere[1].key, flow_hash(elsewhere[1].key)));
		for (const auto& chunk : all)
		{
			handover_on_store(store, chunk, net.now);
		}
		for (auto& chunk : handover_on_fetch(store, backup, upstream_id{1}, incarnation{8}, net.now))
		{
			handover_on_chunk(import, upstream_id{3}, std::move(chunk));
		}
		const auto result = finish_handover(import, next, nullptr, net.now);
		EXPECT_EQ(result.skipped, 2U);
		EXPECT_EQ(next.flows.size(), 398U);
	}
}
