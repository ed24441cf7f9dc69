#include "nutmegturn/control_codec.hpp"

#include <boost/endian/buffers.hpp>
#include <sodium.h>
#include <thrift/protocol/TCompactProtocol.h>
#include <thrift/transport/TBufferTransports.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <memory>

namespace nutmegturn
{
	namespace
	{
		namespace be = boost::endian;
		namespace ath = apache::thrift;
		using memory_buffer = ath::transport::TMemoryBuffer;
		using compact_protocol = ath::protocol::TCompactProtocolT<memory_buffer>;

		constexpr std::size_t tag_bytes = crypto_generichash_BYTES_MIN;

		/// Header before the Thrift body. The tag authenticates all bytes that follow it.
		struct wire_frame
		{
			be::big_uint16_buf_t magic;
			std::uint8_t version;
			std::uint8_t key_id;
			std::array<std::uint8_t, tag_bytes> tag;
			be::big_uint64_buf_t number;
		};

		static_assert(sizeof(wire_frame) == 28);

		constexpr std::uint16_t control_magic = 0x4e43;
		constexpr std::uint8_t control_version = 1;
		constexpr std::size_t tagged_offset = offsetof(wire_frame, number);

		std::array<std::uint8_t, tag_bytes> compute_tag(std::span<const std::byte> datagram,
														const derived_key& key) noexcept
		{
			std::array<std::uint8_t, tag_bytes> tag{};
			const auto tagged = datagram.subspan(tagged_offset);
			crypto_generichash(tag.data(), tag.size(), reinterpret_cast<const unsigned char*>(tagged.data()),
							   tagged.size(), key.control.data(), key.control.size());
			return tag;
		}

		std::shared_ptr<ath::TConfiguration> transport_limits()
		{
			return std::make_shared<ath::TConfiguration>(static_cast<int>(max_control_datagram_bytes),
														 static_cast<int>(max_control_datagram_bytes), 16);
		}

		wire::control_envelope decode_body(std::span<const std::byte> body, bool& complete)
		{
			// The transport takes a pointer to non-const, but only reads from an observed buffer.
			auto* data = const_cast<std::uint8_t*>(reinterpret_cast<const std::uint8_t*>(body.data()));
			const auto buf = std::make_shared<memory_buffer>(data, static_cast<std::uint32_t>(body.size()),
															 memory_buffer::OBSERVE, transport_limits());
			compact_protocol protocol{buf, static_cast<std::int32_t>(max_control_datagram_bytes),
									  static_cast<std::int32_t>(max_control_elements)};
			wire::control_envelope envelope;
			envelope.read(&protocol);
			complete = buf->available_read() == 0;
			return envelope;
		}

		std::string ip_bytes(const address& ip)
		{
			return {reinterpret_cast<const char*>(ip.bytes.data()), ip.bytes.size()};
		}

		bool read_endpoint(endpoint& out, const std::string& ip, std::int16_t port) noexcept
		{
			if (ip.size() != out.ip.bytes.size())
			{
				return false;
			}
			std::memcpy(out.ip.bytes.data(), ip.data(), ip.size());
			out.port = static_cast<std::uint16_t>(port);
			return true;
		}
	}

	std::variant<std::vector<std::byte>, reason> encode_control(const wire::control_envelope& envelope,
																std::uint64_t& number, const key_ring& keys)
	{
		const auto buf = std::make_shared<memory_buffer>();
		compact_protocol protocol{buf};
		envelope.write(&protocol);
		std::uint8_t* body = nullptr;
		std::uint32_t size = 0;
		buf->getBuffer(&body, &size);
		if (sizeof(wire_frame) + size > max_control_datagram_bytes)
		{
			return reason::oversized;
		}
		wire_frame frame{};
		frame.magic = control_magic;
		frame.version = control_version;
		frame.key_id = keys.size == 0 ? 0 : keys.keys[0].id;
		frame.number = ++number;
		std::vector<std::byte> out(sizeof frame + size);
		std::memcpy(out.data(), &frame, sizeof frame);
		std::memcpy(out.data() + sizeof frame, body, size);
		if (keys.size != 0)
		{
			const auto tag = compute_tag(out, keys.keys[0]);
			std::memcpy(out.data() + offsetof(wire_frame, tag), tag.data(), tag.size());
		}
		return out;
	}

	std::variant<wire::control_envelope, reason> decode_control(std::span<const std::byte> datagram,
																const key_ring& keys, replay_filter& replays) noexcept
	{
		wire_frame frame{};
		if (datagram.size() < sizeof frame)
		{
			return reason::truncated;
		}
		if (datagram.size() > max_control_datagram_bytes)
		{
			return reason::oversized;
		}
		std::memcpy(&frame, datagram.data(), sizeof frame);
		if (frame.magic.value() != control_magic || frame.version != control_version)
		{
			return reason::bad_version;
		}
		const bool authenticated = keys.size != 0 && !(frame.key_id == 0 && keys.accept_unauthenticated);
		if (authenticated)
		{
			const auto* key = keys.find(frame.key_id);
			if (key == nullptr)
			{
				return reason::bad_tag;
			}
			const auto tag = compute_tag(datagram, *key);
			if (sodium_memcmp(tag.data(), frame.tag.data(), tag.size()) != 0)
			{
				return reason::bad_tag;
			}
		}
		try
		{
			bool complete = false;
			auto envelope = decode_body(datagram.subspan(sizeof frame), complete);
			if (!complete)
			{
				return reason::malformed;
			}
			// Unauthenticated numbers are not filtered: one forged high number would block all messages of the sender.
			if (authenticated &&
				!replays.accept(member_id{static_cast<std::uint64_t>(envelope.sender)},
								incarnation{static_cast<std::uint64_t>(envelope.life)}, frame.number.value()))
			{
				return reason::replayed;
			}
			return envelope;
		}
		catch (const ath::transport::TTransportException&)
		{
			// The transport fails only when the body ends early or declares sizes above the limits.
			return reason::truncated;
		}
		catch (const ath::protocol::TProtocolException& ex)
		{
			return ex.getType() == ath::protocol::TProtocolException::SIZE_LIMIT ? reason::oversized
																				 : reason::malformed;
		}
		catch (const std::exception&)
		{
			return reason::malformed;
		}
	}

	wire::member_update to_wire(const member& from)
	{
		wire::member_update out;
		out.id = static_cast<std::int64_t>(from.id);
		out.name = from.name;
		out.role = static_cast<std::int8_t>(from.role);
		out.zone = from.zone;
		out.control_ip = ip_bytes(from.control.ip);
		out.control_port = static_cast<std::int16_t>(from.control.port);
		out.data_ip = ip_bytes(from.data.ip);
		out.data_port = static_cast<std::int16_t>(from.data.port);
		out.life = static_cast<std::int64_t>(from.process_incarnation);
		out.sequence = static_cast<std::int32_t>(from.sequence);
		out.liveness = static_cast<std::int8_t>(from.liveness);
		out.newest = static_cast<std::int64_t>(from.newest);
		for (const auto& [id, state] : from.upstreams)
		{
			auto& upstream = out.upstreams.emplace_back();
			upstream.upstream = static_cast<std::int64_t>(id);
			upstream.state = static_cast<std::int8_t>(state);
		}
		return out;
	}

	std::optional<member> from_wire(const wire::member_update& from)
	{
		member out;
		const auto within = [](std::int8_t value, auto last) { return value >= 0 && value <= static_cast<int>(last); };
		if (!read_endpoint(out.control, from.control_ip, from.control_port) ||
			!read_endpoint(out.data, from.data_ip, from.data_port) || !within(from.role, member_role::agent) ||
			!within(from.liveness, member_liveness::dead) ||
			!std::ranges::all_of(from.upstreams, [&within](const wire::upstream_state& upstream)
								 { return within(upstream.state, upstream_run_state::out); }))
		{
			return std::nullopt;
		}
		out.id = member_id{static_cast<std::uint64_t>(from.id)};
		out.name = from.name;
		out.role = static_cast<member_role>(from.role);
		out.zone = from.zone;
		out.process_incarnation = incarnation{static_cast<std::uint64_t>(from.life)};
		out.sequence = static_cast<std::uint32_t>(from.sequence);
		out.liveness = static_cast<member_liveness>(from.liveness);
		out.newest = revision{static_cast<std::uint64_t>(from.newest)};
		out.upstreams.reserve(from.upstreams.size());
		for (const auto& upstream : from.upstreams)
		{
			out.upstreams.push_back({upstream_id{static_cast<std::uint64_t>(upstream.upstream)},
									 static_cast<upstream_run_state>(upstream.state)});
		}
		return out;
	}
}
