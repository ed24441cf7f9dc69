#include "nutmegturn/steering/message.hpp"

#include <boost/endian/conversion.hpp>

#include <algorithm>
#include <limits>

namespace nutmegturn::steering
{
	namespace
	{
		/// Version of the message layout, the first byte of each message. Must change with each incompatible layout, as
		/// processes drop messages of other versions.
		constexpr std::uint8_t layout_version = 0x51;
		constexpr std::size_t prefix_size = 18; ///< Layout version, kind, configuration version and revision.

		/// Names for logs and metrics, in the order of `admission_status`. Part of the log format, so they stay when an
		/// enumerator is renamed.
		constexpr std::array<std::string_view, 9> admission_status_names{
			"open", "other_service",        "draining", "evacuated", "cold",
			"full", "upstream_unreachable", "stopping", "ended"};

		/// Names for metrics, in the order of `message_kind`; the first one is unused.
		constexpr std::array<std::string_view, message_kind_count> kind_names{
			"none", "open",     "flow_packet", "probe", "probe_relay", "query",      "subscribe",
			"held", "not_held", "declined",    "load",  "query_reply", "held_flows", "accepted"};

		/// Writes consecutive little-endian fields.
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

		/// Reads consecutive little-endian fields. The caller checks the size.
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

		/// A revision takes one 64-bit field: the era in the upper 16 bits, the number in the lower ones. Larger values
		/// are limited to these; a process then learns of newer orders from the store only.
		constexpr unsigned number_bits = 48;
		constexpr std::uint64_t max_number = (std::uint64_t{1} << number_bits) - 1;
		constexpr std::uint64_t max_era = std::numeric_limits<std::uint64_t>::max() >> number_bits;

		[[nodiscard]] std::uint64_t pack_revision(const store_revision& revision) noexcept
		{
			return (std::min(revision.era, max_era) << number_bits) | std::min(revision.number, max_number);
		}

		[[nodiscard]] store_revision unpack_revision(std::uint64_t packed) noexcept
		{
			return {.era = packed >> number_bits, .number = packed & max_number};
		}

		constexpr std::size_t encoded_revision_size = 8;

		/// Age of evidence that says nothing.
		constexpr std::uint16_t no_evidence = std::numeric_limits<std::uint16_t>::max();

		void put_evidence(writer& to, const record_evidence& evidence, monotonic_time now) noexcept
		{
			const auto age = std::chrono::ceil<milliseconds>(now - evidence.as_of).count();
			const bool sent = evidence.as_of != monotonic_time{} && age >= 0 && age < no_evidence &&
							  evidence.newest.number < max_number && evidence.newest.era < max_era;
			to.put(pack_revision(evidence.newest));
			to.put(sent ? static_cast<std::uint16_t>(age) : no_evidence);
		}

		[[nodiscard]] record_evidence take_evidence(reader& in, monotonic_time arrived) noexcept
		{
			const auto newest = unpack_revision(in.take<std::uint64_t>());
			const auto age = in.take<std::uint16_t>();
			return age == no_evidence ? record_evidence{} : record_evidence{newest, arrived - milliseconds{age}};
		}

		/// Field `waiting_priority` of a work report without waiting packets.
		constexpr std::uint16_t no_priority = std::numeric_limits<std::uint16_t>::max();

		/// Returns a duration in milliseconds, limited to the range of its field.
		template <typename T>
		[[nodiscard]] T saturate(std::chrono::milliseconds value) noexcept
		{
			constexpr std::chrono::milliseconds::rep largest = std::numeric_limits<T>::max();
			return static_cast<T>(std::clamp<std::chrono::milliseconds::rep>(value.count(), 0, largest));
		}

		constexpr std::size_t load_fields_size = 12; ///< Includes `other_balancer`.

		[[nodiscard]] bool comes_from_agent(message_kind kind) noexcept
		{
			return kind >= message_kind::held; // Kinds sent by agents come last in the enumeration.
		}

		[[nodiscard]] bool has_flow(message_kind kind) noexcept
		{
			return kind == message_kind::held || kind == message_kind::not_held || kind == message_kind::accepted;
		}

		/// Size of a name's length.
		constexpr std::size_t name_length_size = 2;

		/// Returns the size of the fields between the prefix and the packet, without the bytes of a name.
		[[nodiscard]] std::size_t fields_size(message_kind kind) noexcept
		{
			return (comes_from_agent(kind) ? load_fields_size : 0) + (has_flow(kind) ? encoded_flow_size : 0) +
				   (kind == message_kind::open ? name_length_size : 0) +
				   (kind == message_kind::probe ? sizeof(std::uint32_t) : 0) +
				   (kind == message_kind::subscribe ? 1 + name_length_size : 0);
		}

		/// Returns what a message has of a name: all of it, or nothing.
		[[nodiscard]] std::string_view sent_part(std::string_view name) noexcept
		{
			return name.size() <= max_sent_name_size ? name : std::string_view{};
		}

		/// Writes the length and the bytes of a name.
		void put_name(writer& to, std::string_view name) noexcept
		{
			const auto sent = sent_part(name);
			to.put(static_cast<std::uint16_t>(sent.size()));
			to.put(std::as_bytes(std::span{sent}));
		}

		/// Reads a name. Its length has been checked to be there.
		/// \returns	The name, or nothing if it is truncated or too long.
		[[nodiscard]] std::optional<std::string_view> take_name(reader& in) noexcept
		{
			const std::size_t size = in.take<std::uint16_t>();
			if (size > max_sent_name_size || size > in.in.size())
			{
				return std::nullopt;
			}
			const std::string_view name{reinterpret_cast<const char*>(in.in.data()), size};
			in.in = in.in.subspan(size);
			return name;
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

	std::string_view to_string(message_kind kind) noexcept
	{
		return kind_names[static_cast<std::size_t>(kind)];
	}

	std::string_view to_string(admission_status state) noexcept
	{
		return admission_status_names[static_cast<std::size_t>(state)];
	}

	void encode_flows(std::span<const flow_id> flows, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		for (const auto& flow : flows)
		{
			put_endpoint(to, flow.caller);
			put_endpoint(to, flow.route);
		}
	}

	void encode_answers(std::span<const flow_answer> answers, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		for (const auto& answer : answers)
		{
			put_endpoint(to, answer.flow.caller);
			put_endpoint(to, answer.flow.route);
			to.put(static_cast<std::uint8_t>(answer.presence));
		}
	}

	std::vector<flow_answer> decode_answers(std::span<const std::byte> bytes)
	{
		std::vector<flow_answer> answers;
		reader in{.in = bytes};
		while (in.in.size() >= encoded_answer_size)
		{
			flow_answer answer;
			answer.flow.caller = take_endpoint(in);
			answer.flow.route = take_endpoint(in);
			const auto presence = in.take<std::uint8_t>();
			answer.presence = presence > static_cast<std::uint8_t>(flow_presence::unknown) ? flow_presence::unknown
																						   : flow_presence{presence};
			answers.push_back(answer);
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

	std::array<std::byte, encoded_knowledge_size> encode_knowledge(const store_knowledge& knowledge,
																   monotonic_time now) noexcept
	{
		std::array<std::byte, encoded_knowledge_size> bytes{};
		writer to{.out = bytes};
		to.put(pack_revision(knowledge.entry));
		put_evidence(to, knowledge.orders, now);
		put_evidence(to, knowledge.upstreams, now);
		to.put(static_cast<std::uint8_t>(knowledge.pass_on));
		return bytes;
	}

	store_knowledge decode_knowledge(std::span<const std::byte> bytes, monotonic_time arrived) noexcept
	{
		store_knowledge knowledge;
		reader in{.in = bytes};
		if (bytes.size() >= encoded_revision_size)
		{
			knowledge.entry = unpack_revision(in.take<std::uint64_t>());
		}
		if (bytes.size() >= encoded_knowledge_size)
		{
			knowledge.orders = take_evidence(in, arrived);
			knowledge.upstreams = take_evidence(in, arrived);
			knowledge.pass_on = in.take<std::uint8_t>() != 0;
		}
		return knowledge;
	}

	std::array<std::byte, encoded_work_report_size> encode_work_report(const work_report& report) noexcept
	{
		std::array<std::byte, encoded_work_report_size> bytes{};
		writer to{.out = bytes};
		to.put(saturate<std::uint32_t>(report.outstanding));
		to.put(saturate<std::uint16_t>(report.mean_cost));
		to.put(saturate<std::uint16_t>(report.cost_deviation));
		to.put(report.waiting_priority ? std::uint16_t{*report.waiting_priority} : no_priority);
		to.put(saturate<std::uint16_t>(report.opening_wait));
		return bytes;
	}

	std::optional<work_report> decode_work_report(std::span<const std::byte> load_payload) noexcept
	{
		if (load_payload.size() < encoded_knowledge_size + encoded_work_report_size)
		{
			return std::nullopt;
		}
		reader in{.in = load_payload.subspan(encoded_knowledge_size)};
		work_report report;
		report.outstanding = std::min(std::chrono::milliseconds{in.take<std::uint32_t>()}, max_outstanding_work);
		report.mean_cost = std::chrono::milliseconds{in.take<std::uint16_t>()};
		report.cost_deviation = std::chrono::milliseconds{in.take<std::uint16_t>()};
		const auto priority = in.take<std::uint16_t>();
		if (priority <= lowest_priority)
		{
			report.waiting_priority = static_cast<std::uint8_t>(priority);
			report.opening_wait = std::chrono::milliseconds{in.take<std::uint16_t>()};
		}
		return report;
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

	std::size_t encoded_size_bound(const message& msg) noexcept
	{
		return max_message_header_size + sent_part(msg.service).size() + sent_part(msg.zone).size() + msg.packet.size();
	}

	std::size_t encode_message(const message& msg, std::span<std::byte> out) noexcept
	{
		writer to{.out = out};
		to.put(layout_version);
		to.put(static_cast<std::uint8_t>(msg.kind));
		to.put(msg.version);
		to.put(pack_revision(msg.orders_revision));
		if (msg.kind == message_kind::open)
		{
			put_name(to, msg.service);
		}
		if (msg.kind == message_kind::probe)
		{
			to.put(static_cast<std::uint32_t>(msg.reply_to));
		}
		if (msg.kind == message_kind::subscribe)
		{
			to.put(static_cast<std::uint8_t>(msg.just_started));
			put_name(to, msg.zone);
		}
		if (comes_from_agent(msg.kind))
		{
			to.put(static_cast<std::uint8_t>(msg.load.admission));
			to.put(msg.load.requests_in_progress);
			to.put(msg.load.open_flows);
			to.put(msg.load.failure_percent);
			to.put(msg.load.cold_admissions_left);
			to.put(static_cast<std::uint32_t>(msg.other_balancer));
		}
		if (has_flow(msg.kind))
		{
			put_endpoint(to, msg.flow.caller);
			put_endpoint(to, msg.flow.route);
		}
		to.put(msg.packet);
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
		if (kind < static_cast<std::uint8_t>(message_kind::open) || kind >= message_kind_count)
		{
			return std::nullopt;
		}
		message msg;
		msg.kind = message_kind{kind};
		msg.version = in.take<std::uint64_t>();
		msg.orders_revision = unpack_revision(in.take<std::uint64_t>());
		if (in.in.size() < fields_size(msg.kind))
		{
			return std::nullopt;
		}
		if (msg.kind == message_kind::open)
		{
			const auto service = take_name(in);
			if (!service)
			{
				return std::nullopt;
			}
			msg.service = *service;
		}
		if (msg.kind == message_kind::probe)
		{
			msg.reply_to = ipv4{in.take<std::uint32_t>()};
		}
		if (msg.kind == message_kind::subscribe)
		{
			msg.just_started = in.take<std::uint8_t>() != 0;
			const auto zone = take_name(in);
			if (!zone)
			{
				return std::nullopt;
			}
			msg.zone = *zone;
		}
		if (comes_from_agent(msg.kind))
		{
			const auto state = in.take<std::uint8_t>();
			if (state >= admission_status_names.size())
			{
				return std::nullopt;
			}
			msg.load.admission = admission_status{state};
			msg.load.requests_in_progress = in.take<std::uint16_t>();
			msg.load.open_flows = in.take<std::uint16_t>();
			msg.load.failure_percent = in.take<std::uint8_t>();
			msg.load.cold_admissions_left = in.take<std::uint16_t>();
			msg.other_balancer = ipv4{in.take<std::uint32_t>()};
		}
		if (has_flow(msg.kind))
		{
			msg.flow.caller = take_endpoint(in);
			msg.flow.route = take_endpoint(in);
		}
		msg.packet = in.in;
		return msg;
	}
}
