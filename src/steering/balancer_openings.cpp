#include "nutmegturn/impl/balancer_flows.hpp"
#include "nutmegturn/steering/opening_queue.hpp"

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		using namespace detail;

		/// Largest number of upstreams that one opening packet is sent to.
		constexpr std::size_t max_tried_upstreams = 8;

		/// Time after which callers give up if their route states none.
		constexpr milliseconds default_caller_timeout{1'400};

		/// Number of a caller's last retransmission of an opening packet.
		constexpr std::uint32_t last_retransmission = 2;

		/// A caller whose retransmission is overdue by this much has gone.
		constexpr milliseconds retransmission_tolerance{100};

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

		[[nodiscard]] const std::vector<const known_upstream*>& upstreams_of(const catalog& known,
																			 std::string_view service)
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
																	  std::string_view service,
																	  const balancer_flow& flow, std::uint8_t priority,
																	  monotonic_time now)
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
													 const known_upstream& chosen, std::string_view service,
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
			const auto& service = choose_service(route, hash);
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
															   std::string_view service, const balancer_flow& flow,
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
		[[nodiscard]] std::optional<steering_decision>
		reject_if_overloaded(const balancer_state& state, const catalog& known, std::string_view service,
							 const traffic_class& traffic, monotonic_time now)
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

		/// Returns whether an agent returned an opening packet because its upstream is busy. The message has the
		/// agent's current status instead of the reason, so the other reasons are excluded: an upstream without any
		/// request is not full but has just restarted, and the agent of an upstream of another service returns all
		/// packets. Agents of earlier releases report no work; what they return is placed again without a limit.
		[[nodiscard]] bool is_returned_as_full(const balancer_state& state, const catalog& known, const message& msg,
											   std::string_view service, ipv4 agent)
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
				const auto& service = choose_service(route, hash_flow(id));
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
	}

	namespace detail
	{
		steering_decision steer_opening(balancer_state& state, const catalog& known, const known_route& route,
										const segment& packet, monotonic_time now)
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
			const auto& service = choose_service(route, hash_flow(id));
			if (service.size() > max_sent_name_size)
			{
				return reject(steering_decision::action::reset, reason::name_too_long);
			}
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

		steering_decision handle_decline(balancer_state& state, const catalog& known, const message& msg,
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
			const auto& service = choose_service(route->second, hash_flow(id));
			return has_priorities(known, service) && is_returned_as_full(state, known, msg, service, agent)
					   ? place_again(state, known, route->second, id, flow, now)
					   : place_flow(state, known, route->second, id, flow, now);
		}
	}
}
