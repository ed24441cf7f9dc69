#include "nutmegturn/steering/balancer_flows.hpp"

#include "nutmegturn/steering/opening_queue.hpp"

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		/// A flow without packets for this long is removed. Longer than an idle timeout, since the flow's packets may
		/// arrive at another balancer.
		constexpr std::chrono::seconds flow_idle_timeout{60};

		/// An agent that sent nothing for this long may be down. Agents report their load at least once a second; the
		/// timeout corresponds to two missed reports.
		constexpr milliseconds agent_timeout{2'500};

		/// Largest number of upstreams that one opening packet is sent to.
		constexpr std::size_t max_tried_upstreams = 8;

		/// Time after which callers give up if their route states none.
		constexpr milliseconds default_caller_timeout{1'400};

		/// Number of a caller's last retransmission of an opening packet.
		constexpr std::uint32_t last_retransmission = 2;

		/// A caller whose retransmission is overdue by this much has gone.
		constexpr milliseconds retransmission_tolerance{100};

		[[nodiscard]] steering_decision reject(steering_decision::action what, reason why)
		{
			return {
				.what = what, .kind = {}, .service = {}, .agents = {}, .required = {}, .why = why, .upstream_key = {}};
		}

		[[nodiscard]] steering_decision forward(message_kind kind, service_key service, ipv4 agent)
		{
			return {.what = steering_decision::action::forward,
					.kind = kind,
					.service = service,
					.agents = {agent},
					.required = {},
					.why = reason::none,
					.upstream_key = {}};
		}

		void add_if_absent(std::vector<ipv4>& found, ipv4 instance)
		{
			if (std::ranges::find(found, instance) == found.end())
			{
				found.push_back(instance);
			}
		}

		/// Returns whether a message of the agent arrived within `agent_timeout`.
		[[nodiscard]] bool is_agent_alive(const balancer_state& state, ipv4 agent, monotonic_time now)
		{
			const auto found = state.loads.find(agent);
			return found != state.loads.end() && now - found->second.reported_at < agent_timeout;
		}

		/// Returns whether an agent's answer is required to declare a flow lost. It is not required from an agent that
		/// has just reported that its upstream holds no flow, nor from one that is shutting down or silent while its
		/// upstream has left the store. Such a report says nothing about the next process of a listed upstream, so it
		/// counts only for `agent_timeout`. At the address of an entry with an unknown service there may be no agent.
		[[nodiscard]] bool is_answer_required(const balancer_state& state, const known_upstream& upstream,
											  monotonic_time now)
		{
			const auto agent = upstream.entry.address.ip;
			const auto found = state.loads.find(agent);
			const auto admission =
				found == state.loads.end() ? admission_status::accepting : found->second.report.admission;
			const bool alive = is_agent_alive(state, agent, now);
			const bool drained = alive && admission == admission_status::drained;
			if (upstream.listed && upstream.status != service_status::unknown)
			{
				return !drained;
			}
			return alive && !drained && admission != admission_status::stopping;
		}

		/// Returns whether a flow's holder may still be reachable.
		[[nodiscard]] bool may_hold_flows(const balancer_state& state, const catalog& known, ipv4 holder,
										  monotonic_time now)
		{
			if (is_agent_alive(state, holder, now))
			{
				return true;
			}
			return std::ranges::any_of(known.upstreams,
									   [&](const auto& it)
									   {
										   const auto& upstream = it.second;
										   return upstream.entry.address.ip == holder &&
												  is_answer_required(state, upstream, now);
									   });
		}

		/// Starts a search for a flow's holder. A process cannot know which services the route had before it started,
		/// or in versions of the configuration that it skipped, so it queries all agents for as long as flows from that
		/// time can be open. An upstream without an entry may
		/// still hold the flow, but its agent may be down too, so its answer is not required.
		[[nodiscard]] steering_decision search_holder(const balancer_state& state, const catalog& known,
													  const known_route& route, monotonic_time now)
		{
			const auto services_known_since = std::max(state.started, known.versions_skipped_at);
			const bool all_services = now - services_known_since < former_upstream_retention;
			steering_decision decision;
			decision.what = steering_decision::action::search;
			for (const auto& [service, upstreams] : known.by_service)
			{
				const bool in_route = std::ranges::any_of(route.services, [id = service](const auto& share)
														  { return share.first == id; });
				if (!all_services && !in_route && !route.former_services.contains(service))
				{
					continue;
				}
				for (const auto* it : upstreams)
				{
					add_if_absent(decision.agents, it->entry.address.ip);
					if (is_answer_required(state, *it, now))
					{
						add_if_absent(decision.required, it->entry.address.ip);
					}
				}
			}
			return decision;
		}

		/// Returns whether nothing has been heard of the process that runs at an agent's instance, or is to run there
		/// next.
		[[nodiscard]] bool is_unheard(const upstream_load& load) noexcept
		{
			return load.reported_at == monotonic_time{} || load.report.admission == admission_status::stopping ||
				   load.report.admission == admission_status::drained;
		}

		void record_opening_sent(balancer_state& state, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			record_placement(load, now);
			if (load.unanswered_since == monotonic_time{} || now - load.unanswered_since > unanswered_backoff)
			{
				load.unanswered_since = now;
			}
		}

		[[nodiscard]] milliseconds caller_timeout(const traffic_class& traffic) noexcept
		{
			return traffic.timeout.count() > 0 ? std::min<milliseconds>(traffic.timeout, default_caller_timeout)
											   : default_caller_timeout;
		}

		/// Returns whether a flow's caller has given up: its next retransmission is overdue, or its timeout has passed.
		[[nodiscard]] bool has_caller_gone(const balancer_flow& flow, const traffic_class& traffic, monotonic_time now)
		{
			const auto next = flow.last_copy < last_retransmission
								  ? age_of_copy(flow.last_copy + 1) + retransmission_tolerance
								  : default_caller_timeout;
			return flow.opened_at != monotonic_time{} &&
				   now - flow.opened_at >= std::min(next, caller_timeout(traffic));
		}

		/// Records a copy of a flow's opening packet. A first one from a caller that had gone opens the flow anew.
		void record_copy(balancer_flow& flow, const traffic_class& traffic, std::uint32_t copy, monotonic_time now)
		{
			const auto opened_at = now - age_of_copy(copy);
			if (flow.opened_at == monotonic_time{} || (copy == 0 && has_caller_gone(flow, traffic, now)))
			{
				flow.opened_at = opened_at;
				flow.first_copy = copy;
				flow.last_copy = copy;
				return;
			}
			flow.opened_at = std::min(flow.opened_at, opened_at);
			flow.last_copy = std::max(flow.last_copy, copy);
		}

		[[nodiscard]] bool has_current_work_report(const upstream_load& load, monotonic_time now) noexcept
		{
			return load.work && now - load.work_reported_at <= work_report_lifetime;
		}

		/// Returns whether opening packets of a priority wait at an upstream according to its report. The report names
		/// the most urgent priority that waits, and less urgent ones wait behind it.
		[[nodiscard]] bool reports_waiting(const upstream_load& load, std::uint8_t priority, monotonic_time now)
		{
			return has_current_work_report(load, now) && load.work->waiting_priority &&
				   *load.work->waiting_priority <= priority;
		}

		/// Returns whether an agent accepts opening packets, now or after a wait, according to its last message.
		[[nodiscard]] bool reports_accepting(const upstream_load& load) noexcept
		{
			return load.report.admission == admission_status::accepting ||
				   load.report.admission == admission_status::full;
		}

		/// Returns whether an upstream reports that it can start a request of a priority. The balancer's own placements
		/// since its last message count, so that it is not sent more than that.
		[[nodiscard]] bool reports_room(const upstream_load& load, std::uint32_t slots, std::uint8_t priority,
										monotonic_time now)
		{
			if (!has_current_work_report(load, now) || !reports_accepting(load) || reports_waiting(load, priority, now))
			{
				return false;
			}
			if (load.work->waiting_priority)
			{
				return load.flows_since_report < slots;
			}
			return load.report.admission == admission_status::accepting &&
				   load.report.requests_in_progress + load.flows_since_report < queued_requests_ratio * slots;
		}

		[[nodiscard]] const std::vector<const known_upstream*>& upstreams_of(const catalog& known, service_key service)
		{
			static const std::vector<const known_upstream*> none;
			const auto found = known.by_service.find(service);
			return found == known.by_service.end() ? none : found->second;
		}

		[[nodiscard]] bool contains(const std::vector<ipv4>& instances, ipv4 instance)
		{
			return std::ranges::find(instances, instance) != instances.end();
		}

		/// Returns whether an upstream that returned a flow's packet has reported since that it is no longer busy. The
		/// packet was sent to the last one after the others had returned it.
		[[nodiscard]] bool reported_since_return(const balancer_flow& flow, ipv4 agent, const upstream_load& load)
		{
			return agent != flow.tried.back() && load.work_reported_at > flow.sent_at;
		}

		/// Chooses the least loaded upstream that reports room for a priority.
		/// \returns	The upstream, or null if there is none or the packet was sent to too many.
		[[nodiscard]] const known_upstream* choose_upstream_with_room(const balancer_state& state, const catalog& known,
																	  service_key service, const balancer_flow& flow,
																	  std::uint8_t priority, monotonic_time now)
		{
			const known_upstream* best = nullptr;
			auto lowest = std::numeric_limits<double>::max();
			for (const auto* it : upstreams_of(known, service))
			{
				const auto agent = it->entry.address.ip;
				const auto found = state.loads.find(agent);
				const auto slots = std::max(it->entry.slots, 1U);
				if (found == state.loads.end() || !reports_room(found->second, slots, priority, now) ||
					!accepts_new_flows(known, *it, now) || contains(flow.unanswered, agent) ||
					(contains(flow.tried, agent) && !reported_since_return(flow, agent, found->second)))
				{
					continue;
				}
				const auto& load = found->second;
				const auto cost = static_cast<double>(load.report.requests_in_progress + load.flows_since_report) /
									  static_cast<double>(slots) +
								  (it->entry.zone == state.zone ? 0.0 : spill_load);
				if (cost < lowest)
				{
					best = it;
					lowest = cost;
				}
			}
			return flow.tried.size() < max_tried_upstreams ? best : nullptr;
		}

		[[nodiscard]] steering_decision send_opening(balancer_state& state, balancer_flow& flow,
													 const known_upstream& chosen, service_key service,
													 monotonic_time now)
		{
			flow.holder = chosen.entry.address.ip;
			flow.sent_at = now;
			flow.copy_at_holder = 0;
			std::erase(flow.unanswered, flow.holder);
			record_opening_sent(state, flow.holder, now);
			auto decision = forward(message_kind::open, service, flow.holder);
			decision.upstream_key = chosen.key;
			return decision;
		}

		/// Makes the last upstream that has not answered the holder: it may have opened the flow, so a reset could
		/// break an open flow.
		/// \returns	Whether there is one.
		bool wait_for_unanswered(balancer_flow& flow)
		{
			if (flow.unanswered.empty())
			{
				return false;
			}
			flow.holder = flow.unanswered.back();
			flow.copy_at_holder = 0;
			flow.unanswered.pop_back();
			return true;
		}

		[[nodiscard]] steering_decision place_flow(balancer_state& state, const catalog& known,
												   const known_route& route, const flow_id& id, balancer_flow& flow,
												   monotonic_time now)
		{
			const auto hash = hash_flow(id);
			const auto service = choose_service(route, hash);
			const auto* chosen = flow.tried.size() < max_tried_upstreams
									 ? choose_upstream(known, service, state.loads, state.zone, flow.tried, hash,
													   route.traffic.priority, state.placement, now)
									 : nullptr;
			flow.confirmed = false;
			if (chosen == nullptr && wait_for_unanswered(flow))
			{
				return {};
			}
			if (chosen == nullptr)
			{
				chosen = choose_upstream_with_room(state, known, service, flow, route.traffic.priority, now);
			}
			if (chosen == nullptr)
			{
				const auto why = flow.tried.empty() ? reason::no_upstream : reason::all_declined;
				state.flows.erase(id);
				return reject(steering_decision::action::reset, why);
			}
			return send_opening(state, flow, *chosen, service, now);
		}

		/// Returns the upstream at which a flow's opening packet waits, or null if that is not known: its agent has
		/// sent a message since it was sent the packet, and reports that packets of this priority wait.
		[[nodiscard]] const known_upstream* find_waiting_place(const balancer_state& state, const catalog& known,
															   service_key service, const balancer_flow& flow,
															   std::uint8_t priority, monotonic_time now)
		{
			const auto load = state.loads.find(flow.holder);
			if (load == state.loads.end() || load->second.reported_at <= flow.sent_at ||
				!reports_accepting(load->second) || !reports_waiting(load->second, priority, now))
			{
				return nullptr;
			}
			const auto& upstreams = upstreams_of(known, service);
			const auto found = std::ranges::find_if(
				upstreams, [&](const auto* it)
				{ return it->entry.address.ip == flow.holder && accepts_new_flows(known, *it, now); });
			return found == upstreams.end() ? nullptr : *found;
		}

		/// Returns whether an agent reported shortly before that its upstream takes no new flows.
		[[nodiscard]] bool reports_declining(const upstream_load& load, monotonic_time now)
		{
			return now - load.reported_at <= work_report_lifetime && !reports_accepting(load) &&
				   load.report.admission != admission_status::cold;
		}

		/// Returns whether a message after the work report shows fewer requests than twice the slots, so that opening
		/// packets do not wait.
		[[nodiscard]] bool has_room_since_report(const upstream_load& load, std::uint32_t slots) noexcept
		{
			return load.reported_at > load.work_reported_at && load.report.admission == admission_status::accepting &&
				   load.report.requests_in_progress + load.flows_since_report < queued_requests_ratio * slots;
		}

		/// Rejects a new flow if all upstreams that accept flows report that it would wait for longer than its caller.
		/// \returns	The rejection, or nothing.
		[[nodiscard]] std::optional<steering_decision> reject_if_overloaded(const balancer_state& state,
																			const catalog& known, service_key service,
																			const traffic_class& traffic,
																			monotonic_time now)
		{
			auto decision = reject(steering_decision::action::reset, reason::overloaded);
			for (const auto* it : upstreams_of(known, service))
			{
				const auto found = state.loads.find(it->entry.address.ip);
				if (!accepts_new_flows(known, *it, now) ||
					(found != state.loads.end() && reports_declining(found->second, now)))
				{
					continue;
				}
				if (found == state.loads.end() || !reports_waiting(found->second, traffic.priority, now) ||
					found->second.work->opening_wait <= caller_timeout(traffic) ||
					has_room_since_report(found->second, std::max(it->entry.slots, 1U)))
				{
					return std::nullopt;
				}
				const auto& load = found->second;
				const auto age = std::chrono::duration_cast<milliseconds>(now - load.work_reported_at);
				decision.reported_wait = std::min<milliseconds>(decision.reported_wait.value_or(milliseconds::max()),
																load.work->opening_wait);
				decision.report_age = std::max(decision.report_age.value_or(milliseconds{0}), age);
			}
			return decision.reported_wait ? std::optional{decision} : std::nullopt;
		}

		/// Sends a retransmitted opening packet to an upstream that the flow has not tried. If all were tried and some
		/// have not answered, each may be tried again.
		[[nodiscard]] steering_decision place_retransmission(balancer_state& state, const catalog& known,
															 const known_route& route, const flow_id& id,
															 balancer_flow& flow, monotonic_time now)
		{
			// The last chosen upstream had time to answer.
			flow.tried.push_back(flow.holder);
			flow.unanswered.push_back(flow.holder);
			auto decision = place_flow(state, known, route, id, flow, now);
			if (decision.what == steering_decision::action::drop)
			{
				flow.tried.clear();
				flow.unanswered.push_back(flow.holder);
				return place_flow(state, known, route, id, flow, now);
			}
			return decision;
		}

		[[nodiscard]] steering_decision steer_opening(balancer_state& state, const catalog& known,
													  const known_route& route, const segment& packet,
													  monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			if (route.services.empty())
			{
				return reject(steering_decision::action::reset, reason::no_upstream);
			}
			const bool is_new = !state.flows.contains(id);
			if (state.flows.size() >= max_balancer_flows && is_new)
			{
				return reject(steering_decision::action::reset, reason::table_full);
			}
			const auto service = choose_service(route, hash_flow(id));
			// Another balancer may have placed the first copy of a retransmission.
			const bool is_first_copy = is_new && packet.acknowledgement == 0;
			if (auto rejection =
					is_first_copy ? reject_if_overloaded(state, known, service, route.traffic, now) : std::nullopt)
			{
				return *rejection;
			}
			auto& flow = state.flows[id];
			flow.last_used = now;
			record_copy(flow, route.traffic, packet.acknowledgement, now);
			if (flow.confirmed)
			{
				return forward(message_kind::open, service, flow.holder);
			}
			if (const auto* place = find_waiting_place(state, known, service, flow, route.traffic.priority, now))
			{
				flow.sent_at = now;
				flow.copy_at_holder = packet.acknowledgement;
				auto decision = forward(message_kind::open, service, flow.holder);
				decision.upstream_key = place->key;
				return decision;
			}
			if (flow.holder != ipv4{})
			{
				return place_retransmission(state, known, route, id, flow, now);
			}
			auto decision = place_flow(state, known, route, id, flow, now);
			if (decision.what == steering_decision::action::forward)
			{
				record_first_placement(state.budget, route.traffic.priority, now);
			}
			return decision;
		}

		void record_load(balancer_state& state, const message& msg, ipv4 agent, monotonic_time now)
		{
			auto& load = state.loads[agent];
			load.report = msg.load;
			load.reported_at = now;
			load.flows_since_report = 0;
			if (msg.kind == message_kind::load)
			{
				load.work = decode_work_report(msg.packet);
				load.work_reported_at = now;
			}
			if (msg.kind == message_kind::held || msg.kind == message_kind::accepted ||
				msg.kind == message_kind::declined)
			{
				load.unanswered_since = {};
			}
		}

		/// Returns whether an agent returned an opening packet because its upstream is busy. The message has the
		/// agent's current status instead of the reason, so the other reasons are excluded: an upstream without any
		/// request is not full but has just restarted, and the agent of an upstream of another service returns all
		/// packets. Agents of earlier releases report no work; what they return is placed again without a limit.
		[[nodiscard]] bool is_returned_as_full(const balancer_state& state, const catalog& known, const message& msg,
											   service_key service, ipv4 agent)
		{
			const bool busy = msg.load.admission == admission_status::full ||
							  (msg.load.admission == admission_status::accepting && msg.load.requests_in_progress > 0);
			const bool of_service = std::ranges::any_of(upstreams_of(known, service), [agent](const auto* it)
														{ return it->entry.address.ip == agent; });
			return busy && of_service && state.loads.at(agent).work;
		}

		/// Returns whether another balancer may have placed a copy of a flow's opening packet: this one did not get the
		/// first copy, or a copy that was due. A reset could then break a flow that has opened.
		[[nodiscard]] bool may_be_placed_elsewhere(const balancer_flow& flow, monotonic_time now) noexcept
		{
			const bool copy_due =
				flow.last_copy < last_retransmission && now - flow.opened_at >= age_of_copy(flow.last_copy + 1);
			return flow.first_copy > 0 || copy_due;
		}

		/// Places an opening packet that a busy upstream returned. Beyond the budget it goes only to an upstream that
		/// reports room.
		[[nodiscard]] steering_decision place_again(balancer_state& state, const catalog& known,
													const known_route& route, const flow_id& id, balancer_flow& flow,
													monotonic_time now)
		{
			const auto priority = route.traffic.priority;
			steering_decision decision;
			if (allows_second_placement(state.budget, priority, now))
			{
				decision = place_flow(state, known, route, id, flow, now);
			}
			else
			{
				const auto service = choose_service(route, hash_flow(id));
				const auto* chosen = choose_upstream_with_room(state, known, service, flow, priority, now);
				if (chosen == nullptr && wait_for_unanswered(flow))
				{
					return {};
				}
				if (chosen == nullptr)
				{
					const bool opened_elsewhere = may_be_placed_elsewhere(flow, now);
					state.flows.erase(id);
					return reject(opened_elsewhere ? steering_decision::action::drop : steering_decision::action::reset,
								  reason::retry_budget_spent);
				}
				decision = send_opening(state, flow, *chosen, service, now);
			}
			if (decision.what == steering_decision::action::forward)
			{
				record_second_placement(state.budget, priority, now);
			}
			return decision;
		}

		/// Returns whether an agent returned an earlier copy of the opening packet while a later one was on its way
		/// there. The later copy gets its own answer; placing the earlier one could open the flow twice.
		[[nodiscard]] bool is_crossed_by_later_copy(const balancer_flow& flow, const segment& packet) noexcept
		{
			return packet.acknowledgement < flow.copy_at_holder;
		}

		[[nodiscard]] steering_decision handle_decline(balancer_state& state, const catalog& known, const message& msg,
													   const segment& packet, ipv4 agent, monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			const auto route = known.routes.find(packet.destination);
			const auto found = state.flows.find(id);
			if (route == known.routes.end() || route->second.services.empty())
			{
				return reject(steering_decision::action::reset, reason::no_route);
			}
			if (found == state.flows.end() || found->second.confirmed)
			{
				return {};
			}
			auto& flow = found->second;
			if (flow.holder != agent)
			{
				std::erase(flow.unanswered, agent);
				return {};
			}
			if (is_crossed_by_later_copy(flow, packet))
			{
				return {};
			}
			flow.tried.push_back(agent);
			if (has_caller_gone(flow, route->second.traffic, now))
			{
				if (!wait_for_unanswered(flow))
				{
					state.flows.erase(found);
				}
				return reject(steering_decision::action::drop, reason::caller_gone);
			}
			const auto service = choose_service(route->second, hash_flow(id));
			return has_priorities(known, service) && is_returned_as_full(state, known, msg, service, agent)
					   ? place_again(state, known, route->second, id, flow, now)
					   : place_flow(state, known, route->second, id, flow, now);
		}

		/// Drops the record that an agent's upstream holds a flow, so that the flow's next packet starts a search.
		void forget_holder(balancer_state& state, const flow_id& id, ipv4 agent)
		{
			const auto found = state.flows.find(id);
			if (found != state.flows.end() && found->second.holder == agent)
			{
				state.flows.erase(found);
			}
		}

		/// Handles a packet that the upstream bounced: searches for the holder among the other agents.
		[[nodiscard]] steering_decision handle_not_held(balancer_state& state, const catalog& known,
														const segment& packet, ipv4 agent, monotonic_time now)
		{
			const auto id = flow_of_caller(packet);
			const auto found = state.flows.find(id);
			const auto route = known.routes.find(id.route);
			if (found == state.flows.end() || route == known.routes.end())
			{
				return {};
			}
			if (found->second.holder != agent)
			{
				return forward(message_kind::flow_packet, {}, found->second.holder);
			}
			state.flows.erase(found);
			auto decision = search_holder(state, known, route->second, now);
			std::erase(decision.agents, agent);
			std::erase(decision.required, agent);
			return decision;
		}
	}

	steering_decision steer_packet(balancer_state& state, const catalog& known, const segment& packet,
								   monotonic_time now, bool current)
	{
		if (packet.bounced || (packet.syn && packet.ack))
		{
			return reject(steering_decision::action::drop, reason::not_for_callers);
		}
		const auto route = known.routes.find(packet.destination);
		if (route == known.routes.end())
		{
			if (packet.rst || !current)
			{
				return reject(steering_decision::action::drop, reason::route_unknown);
			}
			return reject(steering_decision::action::reset, reason::no_route);
		}
		if (packet.syn)
		{
			return steer_opening(state, known, route->second, packet, now);
		}
		const auto flow = state.flows.find(flow_of_caller(packet));
		if (flow == state.flows.end())
		{
			return packet.rst ? steering_decision{} : search_holder(state, known, route->second, now);
		}
		if (!may_hold_flows(state, known, flow->second.holder, now))
		{
			state.flows.erase(flow);
			return search_holder(state, known, route->second, now);
		}
		flow->second.last_used = now;
		return forward(message_kind::flow_packet, {}, flow->second.holder);
	}

	std::vector<ipv4> required_answers(const balancer_state& state, const catalog& known, const flow_id& id,
									   monotonic_time now)
	{
		const auto route = known.routes.find(id.route);
		return route == known.routes.end() ? std::vector<ipv4>{}
										   : search_holder(state, known, route->second, now).required;
	}

	std::vector<ipv4> unheard_agents(const balancer_state& state, const catalog& known)
	{
		std::vector<ipv4> agents;
		for (const auto& [key, it] : known.upstreams)
		{
			const auto found = state.loads.find(it.entry.address.ip);
			const bool expected = it.listed && it.status != service_status::unknown;
			if (expected && (found == state.loads.end() || is_unheard(found->second)))
			{
				add_if_absent(agents, it.entry.address.ip);
			}
		}
		return agents;
	}

	void record_holder(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now)
	{
		if (state.flows.size() >= max_balancer_flows && !state.flows.contains(id))
		{
			return;
		}
		auto& flow = state.flows[id];
		flow.holder = agent;
		flow.confirmed = true;
		flow.last_used = now;
		flow.tried.clear();
		flow.unanswered.clear();
	}

	void record_acceptance(balancer_state& state, const flow_id& id, ipv4 agent, monotonic_time now)
	{
		const auto found = state.flows.find(id);
		if (found == state.flows.end() || !found->second.confirmed)
		{
			record_holder(state, id, agent, now);
		}
	}

	steering_decision handle_agent_message(balancer_state& state, const catalog& known, const message& msg,
										   const segment* packet, ipv4 agent, monotonic_time now)
	{
		record_load(state, msg, agent, now);
		if (msg.kind == message_kind::held)
		{
			record_holder(state, msg.flow, agent, now);
			return {};
		}
		if (msg.kind == message_kind::accepted)
		{
			record_acceptance(state, msg.flow, agent, now);
			return {};
		}
		if (msg.kind == message_kind::held_flows)
		{
			for (const auto& id : decode_flows(msg.packet))
			{
				record_holder(state, id, agent, now);
			}
			return {};
		}
		if (msg.kind == message_kind::not_held && packet != nullptr)
		{
			return handle_not_held(state, known, *packet, agent, now);
		}
		if (msg.kind == message_kind::not_held)
		{
			forget_holder(state, msg.flow, agent);
			return {};
		}
		if (msg.kind == message_kind::declined && packet != nullptr)
		{
			return handle_decline(state, known, msg, *packet, agent, now);
		}
		return {};
	}

	void expire_idle_flows(balancer_state& state, monotonic_time now)
	{
		std::erase_if(state.flows, [now](const auto& it) { return now - it.second.last_used > flow_idle_timeout; });
	}
}
