#include "node/balancer_messages.hpp"

#include <algorithm>
#include <array>

namespace nutmegturn::node
{
	using steering::ipv4;
	using steering::message;
	using steering::message_kind;
	using steering::to_endpoint;

	namespace
	{
		constexpr std::size_t batch_size = 64;
	}

	balancer_messages::balancer_messages(node& shared, const steering::agent_state& state, int peers)
		: node_{shared}, state_{state}, batch_{peers, batch_size}
	{
	}

	void balancer_messages::pass_on(const steering::store_knowledge& knowledge) noexcept
	{
		newest_entry_revision_ = std::max(newest_entry_revision_, knowledge.entry);
		if (knowledge.upstreams.as_of > heard_of_upstreams_.as_of)
		{
			heard_of_upstreams_ = knowledge.upstreams;
		}
	}

	void balancer_messages::send_load(ipv4 balancer, const steering::load_report& report)
	{
		const auto* own = own_upstream(state_.gate, node_.catalog);
		if (own != nullptr)
		{
			newest_entry_revision_ = std::max(newest_entry_revision_, node_.catalog.revisions.at(own->key));
		}
		const auto own_evidence = node_.orders_reader.own_evidence();
		const auto& heard = node_.orders_reader.heard_evidence();
		const steering::store_knowledge knowledge{.entry = newest_entry_revision_,
												  .orders = heard.as_of > own_evidence.as_of ? heard : own_evidence,
												  .upstreams = heard_of_upstreams_,
												  .pass_on = false};
		const auto now = node_.loop.now();
		const auto known_records = encode_knowledge(knowledge, now);
		const auto work = encode_work_report(make_work_report(state_, node_.catalog, now));
		std::array<std::byte, known_records.size() + work.size()> payload{};
		std::ranges::copy(work, std::ranges::copy(known_records, payload.begin()).out);
		send(balancer, message_kind::load, {}, report, payload);
	}

	void balancer_messages::send(ipv4 balancer, message_kind kind, const steering::flow_id& flow,
								 const steering::load_report& load, std::span<const std::byte> packet)
	{
		message msg;
		msg.kind = kind;
		msg.version = node_.catalog.version;
		msg.orders_revision = node_.catalog.orders_revision;
		msg.flow = flow;
		msg.load = load;
		msg.other_balancer = other_balancer(state_, balancer);
		msg.packet = packet;
		send(balancer, msg);
	}

	void balancer_messages::send(ipv4 receiver, const message& msg)
	{
		++node_.messages.sent[static_cast<std::size_t>(msg.kind)];
		const auto buffer = batch_.reserve(encoded_size_bound(msg));
		const auto size = encode_message(msg, buffer);
		batch_.commit(to_endpoint({.ip = receiver, .port = node_.settings.peer_port}), size);
	}

	void balancer_messages::send_load_to_all_but(ipv4 excluded)
	{
		const auto report = steering::make_load_report(state_, node_.catalog, node_.loop.now());
		for (const auto& [balancer, heard] : state_.balancers)
		{
			if (balancer != excluded)
			{
				send_load(balancer, report);
			}
		}
	}

	void balancer_messages::send_held_flows(const steering::held_flows_notice& notice)
	{
		std::array<std::byte, steering::max_flows_per_message * steering::encoded_flow_size> encoded{};
		const auto load = steering::make_load_report(state_, node_.catalog, node_.loop.now());
		std::span<const steering::flow_id> rest = notice.flows;
		while (!rest.empty())
		{
			const auto part = rest.first(std::min(rest.size(), steering::max_flows_per_message));
			encode_flows(part, encoded);
			rest = rest.subspan(part.size());
			for (const auto balancer : notice.balancers)
			{
				send(balancer, message_kind::held_flows, {}, load,
					 std::span{encoded}.first(part.size() * steering::encoded_flow_size));
			}
		}
	}

	void balancer_messages::answer_query(const message& query, ipv4 balancer)
	{
		const auto answers = steering::answer_query(state_, steering::decode_flows(query.packet));
		std::array<std::byte, steering::max_flows_per_message * steering::encoded_answer_size> encoded{};
		const auto part = std::span{answers}.first(std::min(answers.size(), steering::max_flows_per_message));
		encode_answers(part, encoded);
		send(balancer, message_kind::query_reply, {},
			 steering::make_load_report(state_, node_.catalog, node_.loop.now()),
			 std::span{encoded}.first(part.size() * steering::encoded_answer_size));
	}

	void balancer_messages::flush() noexcept
	{
		batch_.flush();
	}

	std::uint64_t balancer_messages::failed() const noexcept
	{
		return batch_.failed();
	}
}
