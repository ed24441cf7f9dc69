#include "node/search_runner.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace nutmegturn::node
{
	using steering::ipv4;
	using steering::message;
	using steering::message_kind;
	using steering::search_step;
	using steering::segment;
	using steering::steering_decision;
	using steering::to_string;

	namespace
	{
		using namespace std::chrono_literals;

		/// Interval of checks of denied flows while it is unknown whether the catalog is up to date. An answer of the
		/// store starts a check at once.
		constexpr auto denial_check_interval = 10ms;
	}

	search_runner::search_runner(node& shared, steering::balancer_state& state, outputs out)
		: node_{shared}, state_{state}, out_{std::move(out)}
	{
	}

	void search_runner::handle_answers(const message& msg, ipv4 agent)
	{
		const auto now = node_.loop.now();
		const bool complete = node_.upstreams_complete();
		if (msg.kind == message_kind::query_reply)
		{
			for (const auto& answer : steering::decode_answers(msg.packet))
			{
				apply_search_step(handle_query_answer(search_, agent, answer, now, complete), agent);
			}
		}
		else if (msg.kind == message_kind::held)
		{
			apply_search_step(finish_search(search_, msg.flow, agent), agent);
		}
		else if (msg.kind == message_kind::held_flows)
		{
			for (const auto& flow : steering::decode_flows(msg.packet))
			{
				apply_search_step(finish_search(search_, flow, agent), agent);
			}
		}
		else if (msg.kind == message_kind::not_held)
		{
			const steering::flow_answer answer{.flow = msg.flow, .presence = steering::flow_presence::not_held};
			apply_search_step(handle_query_answer(search_, agent, answer, now, complete), agent);
		}
		handle_denied_flows();
	}

	/// Gives up flows that no upstream holds once the store has confirmed that the catalog lacks no upstream.
	void search_runner::handle_denied_flows()
	{
		if (denial_check_timer_ == 0 && !denied_flows(search_).empty())
		{
			check_denied_flows();
		}
	}

	void search_runner::on_store_answer()
	{
		if (denial_check_timer_ != 0)
		{
			check_denied_flows();
		}
	}

	void search_runner::schedule_denial_check()
	{
		node_.upstreams_reader.confirm(latest_denied_search(search_));
		denial_check_timer_ =
			node_.loop.call_at(node_.loop.now() + denial_check_interval, [this] { check_denied_flows(); });
	}

	void search_runner::check_denied_flows()
	{
		const auto now = node_.loop.now();
		node_.loop.cancel(std::exchange(denial_check_timer_, 0));
		for (const auto& id : denied_flows(search_))
		{
			const auto since = search_.pending.at(id).searched_since;
			const bool current = node_.upstreams_complete() && node_.upstreams_reader.is_up_to_date_since(since);
			const auto required = steering::required_answers(state_, node_.catalog, id, now);
			apply_search_step(confirm_denied(search_, id, required, now, current), ipv4{});
		}
		send_queries();
		if (!denied_flows(search_).empty())
		{
			schedule_denial_check();
		}
	}

	void search_runner::apply_search_step(const search_step& step, ipv4 agent)
	{
		switch (step.what)
		{
			case search_step::action::none:
				break;
			case search_step::action::deliver:
				record_holder(state_, step.flow, agent, node_.loop.now());
				for (const auto& packet : step.packets)
				{
					out_.send_packet(agent, message_kind::flow_packet, packet);
				}
				break;
			case search_step::action::probe:
				schedule_probes();
				break;
			case search_step::action::reset:
				out_.reset_flow(step.flow, step.acknowledgement, reason::holder_gone);
				break;
		}
	}

	bool search_runner::search(const steering_decision& decision, const segment& packet,
							   std::span<const std::byte> bytes)
	{
		const auto now = node_.loop.now();
		if (search_table_full(search_, flow_of_caller(packet)))
		{
			return false;
		}
		const bool is_first = search_.unsent_queries.empty();
		const bool started = begin_search(search_, flow_of_caller(packet), bytes, packet.acknowledgement,
										  decision.agents, decision.required, now);
		node_.searches += started ? 1 : 0;
		if (started && is_first)
		{
			node_.loop.call_at(std::max(now, last_queries_ + steering::query_interval), [this] { send_queries(); });
		}
		schedule_repeat();
		return true;
	}

	void search_runner::schedule_probes()
	{
		if (!probes_scheduled_)
		{
			probes_scheduled_ = true;
			node_.loop.call_at(node_.loop.now() + steering::probe_delay, [this] { send_probes(); });
		}
	}

	void search_runner::send_probes()
	{
		probes_scheduled_ = false;
		send_probes(take_probes(search_, instances_in_zone(node_.catalog, node_.settings.zone), node_.loop.now()));
		schedule_far_probes();
	}

	void search_runner::send_probes(const std::vector<steering::holder_probe>& probes) const
	{
		for (const auto& probe : probes)
		{
			out_.send_packet(probe.relay, message_kind::probe_relay,
							 steering::encode_probe_relay(probe.agents, probe.packet));
		}
	}

	void search_runner::schedule_far_probes()
	{
		if (!far_probes_scheduled_ && !search_.far_probes.empty())
		{
			far_probes_scheduled_ = true;
			node_.loop.call_at(search_.far_probes.front().due, [this] { send_far_probes(); });
		}
	}

	void search_runner::send_far_probes()
	{
		far_probes_scheduled_ = false;
		send_probes(take_far_probes(search_, node_.loop.now()));
		schedule_far_probes();
	}

	void search_runner::schedule_repeat()
	{
		if (repeat_scheduled_ || search_.pending.empty())
		{
			return;
		}
		repeat_scheduled_ = true;
		node_.loop.call_at(node_.loop.now() + steering::search_timeout, [this] { repeat_queries(); });
	}

	void search_runner::repeat_queries()
	{
		repeat_scheduled_ = false;
		if (steering::repeat_queries(search_, node_.loop.now()))
		{
			send_queries();
		}
		schedule_repeat();
	}

	void search_runner::send_queries()
	{
		last_queries_ = node_.loop.now();
		std::array<std::byte, steering::max_flows_per_message * steering::encoded_flow_size> encoded{};
		for (const auto& [agent, flows] : take_queries(search_))
		{
			std::span<const steering::flow_id> rest = flows;
			while (!rest.empty())
			{
				const auto part = rest.first(std::min(rest.size(), steering::max_flows_per_message));
				encode_flows(part, encoded);
				rest = rest.subspan(part.size());
				out_.send_packet(agent, message_kind::query,
								 std::span{encoded}.first(part.size() * steering::encoded_flow_size));
			}
		}
	}

	void search_runner::expire()
	{
		for (const auto& expired : expire_searches(search_, node_.loop.now()))
		{
			log_expired(expired);
		}
	}

	void search_runner::log_expired(const steering::expired_search& search)
	{
		node_.metrics.add(counter::packets_dropped, reason::upstream_silent);
		const auto first = search.unanswered.empty() ? std::string{} : to_string(search.unanswered.front());
		node_.log.write(log_level::warning, "search_expired",
						"search for the holder of a flow expired; not all agents answered",
						{{"flow", fmt::format("{}>{}", to_string(search.flow.caller), to_string(search.flow.route))},
						 {"unanswered", std::to_string(search.unanswered.size())},
						 {"first_unanswered", first},
						 {"rounds", std::to_string(search.rounds)},
						 {"catalog_complete", node_.upstreams_complete() ? "yes" : "no"},
						 {"version", std::to_string(node_.catalog.version)}});
	}
}
