#include "node/agent_log.hpp"

#include "platform/packet_format.hpp"

#include <fmt/format.h>

#include <string>

namespace nutmegturn::node
{
	namespace
	{
		using steering::to_string;

		[[nodiscard]] reason rejection_reason(steering::admission_status why) noexcept
		{
			switch (why)
			{
				case steering::admission_status::other_service:
					return reason::wrong_upstream;
				case steering::admission_status::draining:
					return reason::upstream_draining;
				case steering::admission_status::evacuated:
					return reason::zone_out;
				case steering::admission_status::cold:
					return reason::upstream_cold;
				case steering::admission_status::full:
					return reason::upstream_shed;
				case steering::admission_status::upstream_unreachable:
					return reason::upstream_unreachable;
				case steering::admission_status::stopping:
				case steering::admission_status::drained:
					return reason::stopping;
				case steering::admission_status::accepting:
					break;
			}
			return reason::none;
		}

		[[nodiscard]] std::string flow_text(const steering::flow_id& flow)
		{
			return fmt::format("{}>{}", to_string(flow.caller), to_string(flow.route));
		}

		[[nodiscard]] std::string duration_ms(monotonic_clock::duration duration)
		{
			return std::to_string(std::chrono::duration_cast<std::chrono::milliseconds>(duration).count());
		}
	}

	void agent_log::log_admission(const steering::segment& packet, monotonic_clock::duration waited)
	{
		if (!packet.syn)
		{
			return;
		}
		const auto now = node_.loop.now();
		const auto* own = own_upstream(state_.gate, node_.catalog);
		const auto flow = flow_of_caller(packet);
		record_admission_by_class(flow.route, waited);
		node_.log.write(log_level::info, "flow_admitted", "flow admitted; opening packet sent to the upstream",
						{{"flow", flow_text(flow)},
						 {"class", class_text(flow.route)},
						 {"wait_ms", duration_ms(waited)},
						 {"entry", own == nullptr ? "unknown" : own->key},
						 {"entry_age_ms", own == nullptr ? "unknown" : duration_ms(now - own->changed_at)},
						 {"store_answer_age_ms", duration_ms(now - node_.upstreams_reader.state().last_answer)},
						 {"upstreams_age_ms", node_.records_age_ms(node_.upstreams_reader)},
						 {"orders_age_ms", node_.records_age_ms(node_.orders_reader)},
						 {"version", std::to_string(node_.catalog.version)}});
	}

	void agent_log::log_request(const steering::segment& packet, std::span<const std::byte> bytes,
								monotonic_clock::duration waited)
	{
		const auto id = packet.payload_size > 0 ? platform::find_request_id(bytes) : std::string_view{};
		if (id.empty())
		{
			return;
		}
		const auto flow = flow_of_caller(packet);
		node_.metrics.add(counter::requests_received);
		record_admission_by_class(flow.route, waited);
		node_.log.write(log_level::info, "request_delivered", "request delivered to the upstream",
						{{"request", std::string{id}},
						 {"flow", flow_text(flow)},
						 {"class", class_text(flow.route)},
						 {"wait_ms", duration_ms(waited)},
						 {"at_work", std::to_string(state_.requests_in_progress)},
						 {"version", std::to_string(node_.catalog.version)}});
	}

	void agent_log::log_decline(const steering::flow_id& flow, steering::admission_status why,
								monotonic_clock::duration waited)
	{
		log_declined(flow, to_string(why), rejection_reason(why), waited);
	}

	void agent_log::log_abandoned(const steering::flow_id& flow, monotonic_clock::duration waited)
	{
		log_declined(flow, to_string(reason::caller_gone), reason::caller_gone, waited);
	}

	void agent_log::log_dropped(const steering::queued_packet& packet)
	{
		node_.metrics.add(counter::packets_dropped, reason::caller_gone);
		if (!packet.starts_request)
		{
			return;
		}
		const auto traffic = traffic_class_of(node_.catalog, packet.flow.route);
		node_.metrics_by_class.record_declined(traffic, reason::caller_gone);
		node_.log.write(log_level::info, "request_dropped", "waiting request dropped; its caller sent no further copy",
						{{"flow", flow_text(packet.flow)},
						 {"class", class_text(packet.flow.route)},
						 {"wait_ms", duration_ms(node_.loop.now() - packet.queued_at)},
						 {"at_work", std::to_string(state_.requests_in_progress)},
						 {"version", std::to_string(node_.catalog.version)}});
	}

	std::string agent_log::class_text(const steering::ipv4_endpoint& route) const
	{
		return to_string(traffic_class_of(node_.catalog, route));
	}

	void agent_log::record_admission_by_class(const steering::ipv4_endpoint& route, monotonic_clock::duration waited)
	{
		const auto traffic = traffic_class_of(node_.catalog, route);
		node_.metrics_by_class.record_admitted(traffic);
		node_.metrics_by_class.record_wait(traffic, waited);
	}

	void agent_log::log_declined(const steering::flow_id& flow, std::string_view why, reason counted,
								 monotonic_clock::duration waited)
	{
		const auto traffic = traffic_class_of(node_.catalog, flow.route);
		node_.metrics.add(counter::flows_rejected, counted);
		node_.metrics_by_class.record_declined(traffic, counted);
		node_.metrics_by_class.record_wait(traffic, waited);
		node_.log.write(log_level::info, "flow_declined", "flow declined; opening packet returned to the balancer",
						{{"flow", flow_text(flow)},
						 {"reason", std::string{why}},
						 {"class", class_text(flow.route)},
						 {"wait_ms", duration_ms(waited)},
						 {"at_work", std::to_string(state_.requests_in_progress)},
						 {"version", std::to_string(node_.catalog.version)}});
	}
}
