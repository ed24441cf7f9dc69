#include "nutmegturn/steering/message.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>

namespace nutmegturn::steering
{
	namespace
	{
		/// Layout of the messages. A process drops messages of another layout, so it changes with each incompatible
		/// one.
		constexpr std::uint8_t layout_version = 0x50;
		constexpr std::size_t prefix_size = 18; ///< Magic, kind, configuration version and revision.

		constexpr std::array<std::string_view, 9> admission_status_names{
			"open", "other_service",        "draining", "evacuated", "cold",
			"full", "upstream_unreachable", "stopping", "ended"};

		/// Writes fields one after the other in little-endian order.
		struct writer
		{
			std::span<std::byte> out;
			std::size_t used = 0;

			template <typename T>
			void put(T value) noexcept
			{
				boost::endian::endian_store<T, sizeof(T), boost::endian::order::little>(
					reinterpret_cast<unsigned char*>(&out[used]), value);
				used += sizeof(T);
			}

			void put(std::span<const std::byte> bytes) noexcept
			{
				std::ranges::copy(bytes, out.begin() + static_cast<std::ptrdiff_t>(used));
				used += bytes.size();
			}
		};

		/// Reads fields; the caller has checked the size.
		struct reader
		{
			std::span<const std::byte> in;

			template <typename T>
			[[nodiscard]] T take() noexcept
			{
				const auto value = boost::endian::endian_load<T, sizeof(T), boost::endian::order::little>(
					reinterpret_cast<const unsigned char*>(in.data()));
				in = in.subspan(sizeof(T));
				return value;
			}
		};

		constexpr std::size_t load_fields_size = 12; ///< With the other balancer.

		[[nodiscard]] bool comes_from_agent(message_kind kind) noexcept
		{
			return kind >= message_kind::held; // The kinds of agents stand last.
		}

		[[nodiscard]] bool names_flow(message_kind kind) noexcept
		{
			return kind == message_kind::held || kind == message_kind::not_held;
		}

		/// Size of the fields between the prefix and the packet.
		[[nodiscard]] std::size_t fields_size(message_kind kind) noexcept
		{
			return (comes_from_agent(kind) ? load_fields_size : 0) + (names_flow(kind) ? encoded_flow_size : 0) +
				   (kind == message_kind::open ? sizeof(std::uint32_t) : 0) +
				   (kind == message_kind::probe ? sizeof(std::uint32_t) : 0) +
				   (kind == message_kind::subscribe ? sizeof(std::uint32_t) + 1 : 0);
		}

		void put_endpoint(writer& out, const ipv4_endpoint& ep) noexcept
		{
			out.put(static_cast<std::uint32_t>(ep.ip));
			out.put(ep.port);
		}

		[[nodiscard]] ipv4_endpoint take_endpoint(reader& in) noexcept
		{
			const auto ip = in.take<std::uint32_t>();
			return {.ip = ipv4{ip}, .port = in.take<std::uint16_t>()};
		}
	}

	std::string_view to_string(admission_status state) noexcept
	{
		return admission_status_names[static_cast<std::size_t>(state)];
	}

	std::uint32_t key_of_zone(std::string_view name) noexcept
	{
		return static_cast<std::uint32_t>(key_of_service(name));
	}

	void encode_flows(std::span<const flow_id> flows, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		for (const auto& it : flows)
		{
			put_endpoint(to, it.caller);
			put_endpoint(to, it.route);
		}
	}

	void encode_answers(std::span<const flow_answer> answers, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		for (const auto& it : answers)
		{
			put_endpoint(to, it.flow.caller);
			put_endpoint(to, it.flow.route);
			to.put(static_cast<std::uint8_t>(it.presence));
		}
	}

	std::vector<flow_answer> decode_answers(std::span<const std::byte> bytes)
	{
		std::vector<flow_answer> answers;
		reader in{.in = bytes};
		while (in.in.size() >= encoded_answer_size)
		{
			flow_answer it;
			it.flow.caller = take_endpoint(in);
			it.flow.route = take_endpoint(in);
			const auto verdict = in.take<std::uint8_t>();
			it.presence = verdict > static_cast<std::uint8_t>(flow_presence::unknown) ? flow_presence::unknown
																					  : flow_presence{verdict};
			answers.push_back(it);
		}
		return answers;
	}

	std::vector<flow_id> decode_flows(std::span<const std::byte> bytes)
	{
		std::vector<flow_id> flows;
		reader in{.in = bytes};
		while (in.in.size() >= encoded_flow_size)
		{
			const auto caller = take_endpoint(in);
			flows.push_back({.caller = caller, .route = take_endpoint(in)});
		}
		return flows;
	}

	std::vector<std::byte> encode_probe_relay(std::span<const ipv4> agents, std::span<const std::byte> packet)
	{
		std::vector<std::byte> bytes(1 + agents.size() * sizeof(std::uint32_t) + packet.size());
		writer to{.out = bytes};
		to.put(static_cast<std::uint8_t>(agents.size()));
		for (const auto agent : agents)
		{
			to.put(static_cast<std::uint32_t>(agent));
		}
		to.put(packet);
		return bytes;
	}

	probe_relay_request decode_probe_relay(std::span<const std::byte> bytes)
	{
		probe_relay_request order;
		reader in{.in = bytes};
		const std::size_t n = bytes.empty() ? 0 : in.take<std::uint8_t>();
		if (in.in.size() < n * sizeof(std::uint32_t))
		{
			return order;
		}
		for (std::size_t i = 0; i < n; ++i)
		{
			order.agents.push_back(ipv4{in.take<std::uint32_t>()});
		}
		order.packet = in.in;
		return order;
	}

	std::size_t encode_message(const message& it, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		to.put(layout_version);
		to.put(static_cast<std::uint8_t>(it.kind));
		to.put(it.version);
		to.put(it.orders_revision);
		if (it.kind == message_kind::open)
		{
			to.put(static_cast<std::uint32_t>(it.service));
		}
		if (it.kind == message_kind::probe)
		{
			to.put(static_cast<std::uint32_t>(it.reply_to));
		}
		if (it.kind == message_kind::subscribe)
		{
			to.put(it.zone);
			to.put(static_cast<std::uint8_t>(it.just_started));
		}
		if (comes_from_agent(it.kind))
		{
			to.put(static_cast<std::uint8_t>(it.load.admission));
			to.put(it.load.requests_in_progress);
			to.put(it.load.open_flows);
			to.put(it.load.failure_percent);
			to.put(it.load.cold_admissions_left);
			to.put(static_cast<std::uint32_t>(it.other_balancer));
		}
		if (names_flow(it.kind))
		{
			put_endpoint(to, it.flow.caller);
			put_endpoint(to, it.flow.route);
		}
		to.put(it.packet);
		return to.used;
	}

	std::optional<message> decode_message(std::span<const std::byte> bytes) noexcept
	{
		reader in{.in = bytes};
		if (bytes.size() < prefix_size || in.take<std::uint8_t>() != layout_version)
		{
			return std::nullopt;
		}
		const auto kind = in.take<std::uint8_t>();
		if (kind < static_cast<std::uint8_t>(message_kind::open) ||
			kind > static_cast<std::uint8_t>(message_kind::held_flows))
		{
			return std::nullopt;
		}
		message it;
		it.kind = message_kind{kind};
		it.version = in.take<std::uint64_t>();
		it.orders_revision = in.take<std::uint64_t>();
		if (in.in.size() < fields_size(it.kind))
		{
			return std::nullopt;
		}
		if (it.kind == message_kind::open)
		{
			it.service = service_key{in.take<std::uint32_t>()};
		}
		if (it.kind == message_kind::probe)
		{
			it.reply_to = ipv4{in.take<std::uint32_t>()};
		}
		if (it.kind == message_kind::subscribe)
		{
			it.zone = in.take<std::uint32_t>();
			it.just_started = in.take<std::uint8_t>() != 0;
		}
		if (comes_from_agent(it.kind))
		{
			const auto state = in.take<std::uint8_t>();
			if (state >= admission_status_names.size())
			{
				return std::nullopt;
			}
			it.load.admission = admission_status{state};
			it.load.requests_in_progress = in.take<std::uint16_t>();
			it.load.open_flows = in.take<std::uint16_t>();
			it.load.failure_percent = in.take<std::uint8_t>();
			it.load.cold_admissions_left = in.take<std::uint16_t>();
			it.other_balancer = ipv4{in.take<std::uint32_t>()};
		}
		if (names_flow(it.kind))
		{
			it.flow.caller = take_endpoint(in);
			it.flow.route = take_endpoint(in);
		}
		it.packet = in.in;
		return it;
	}
}
