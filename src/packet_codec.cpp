#include "nutmegturn/packet_codec.hpp"

#include <boost/endian/buffers.hpp>
#include <sodium.h>

#include <array>
#include <cstring>
#include <type_traits>

namespace nutmegturn
{
	namespace
	{
		namespace be = boost::endian;

		struct wire_endpoint
		{
			std::array<std::uint8_t, 16> ip;
			be::big_uint16_buf_t port;
		};

		/// Header on the wire. The tag authenticates all bytes after it, payload included, as one contiguous range,
		/// because libsodium's SipHash takes a single buffer. Magic, version and key id need no authentication: a
		/// packet with other values selects no key.
		struct wire_header
		{
			be::big_uint16_buf_t magic;
			std::uint8_t version;
			std::uint8_t key_id;
			std::array<std::uint8_t, crypto_shorthash_BYTES> tag;
			std::uint8_t kind;
			std::uint8_t flags;
			std::uint8_t hops;
			std::uint8_t search_position;
			be::big_uint64_buf_t service;
			be::big_uint64_buf_t upstream;
			be::big_uint64_buf_t origin;
			be::big_uint64_buf_t rev;
			wire_endpoint client;
			wire_endpoint service_address;
			wire_endpoint balancer;
			std::uint8_t protocol;
			wire_endpoint origin_agent;
			be::big_uint32_buf_t copy_age;
			std::array<std::uint8_t, 3> reserved; ///< Sent as 0 and ignored by receivers.
		};

		static_assert(sizeof(wire_header) == encoded_header_size);
		static_assert(alignof(wire_header) == 1);
		static_assert(std::is_trivially_copyable_v<wire_header>);

		constexpr std::uint16_t packet_magic = 0x4e4d;
		constexpr std::uint8_t packet_version = 1;
		constexpr std::size_t tagged_offset = offsetof(wire_header, kind);

		void put(wire_endpoint& out, const endpoint& ep) noexcept
		{
			out.ip = ep.ip.bytes;
			out.port = ep.port;
		}

		endpoint get(const wire_endpoint& in) noexcept
		{
			return endpoint{address{in.ip}, in.port.value()};
		}

		std::array<std::uint8_t, crypto_shorthash_BYTES> tag_of(std::span<const std::byte> datagram,
																const derived_key& key) noexcept
		{
			std::array<std::uint8_t, crypto_shorthash_BYTES> tag{};
			const auto tagged = datagram.subspan(tagged_offset);
			crypto_shorthash(tag.data(), reinterpret_cast<const unsigned char*>(tagged.data()), tagged.size(),
							 key.packet.data());
			return tag;
		}
	}

	std::variant<std::size_t, reason> encode_packet(const packet_header& header, std::span<const std::byte> payload,
													const key_ring& keys, std::span<std::byte> out) noexcept
	{
		const auto size = encoded_header_size + payload.size();
		if (payload.size() > max_payload_size || out.size() < size)
		{
			return reason::oversized;
		}
		if (!payload.empty() && payload.data() != out.data() + encoded_header_size)
		{
			std::memmove(out.data() + encoded_header_size, payload.data(), payload.size());
		}
		wire_header wire{};
		wire.magic = packet_magic;
		wire.version = packet_version;
		wire.key_id = keys.size == 0 ? 0 : keys.keys[0].id;
		wire.kind = static_cast<std::uint8_t>(header.kind);
		wire.flags = header.flags;
		wire.hops = header.hops;
		wire.search_position = header.search_position;
		wire.service = to_number(header.service);
		wire.upstream = to_number(header.upstream);
		wire.origin = to_number(header.origin);
		wire.rev = to_number(header.rev);
		put(wire.client, header.flow.client);
		put(wire.service_address, header.flow.service);
		put(wire.balancer, header.balancer);
		put(wire.origin_agent, header.origin_agent);
		wire.protocol = static_cast<std::uint8_t>(header.flow.protocol);
		wire.copy_age = header.copy_age;
		std::memcpy(out.data(), &wire, sizeof wire);
		if (keys.size != 0)
		{
			const auto tag = tag_of(out.first(size), keys.keys[0]);
			std::memcpy(out.data() + offsetof(wire_header, tag), tag.data(), tag.size());
		}
		return size;
	}

	std::variant<packet, reason> decode_packet(std::span<const std::byte> datagram, const key_ring& keys) noexcept
	{
		if (datagram.size() < encoded_header_size)
		{
			return reason::truncated;
		}
		if (datagram.size() > encoded_header_size + max_payload_size)
		{
			return reason::oversized;
		}
		wire_header wire{};
		std::memcpy(&wire, datagram.data(), sizeof wire);
		if (wire.magic.value() != packet_magic || wire.version != packet_version)
		{
			return reason::bad_version;
		}
		if (keys.size != 0 && !(wire.key_id == 0 && keys.accept_unauthenticated))
		{
			const auto* key = keys.find(wire.key_id);
			if (key == nullptr)
			{
				return reason::bad_tag;
			}
			const auto tag = tag_of(datagram, *key);
			if (sodium_memcmp(tag.data(), wire.tag.data(), tag.size()) != 0)
			{
				return reason::bad_tag;
			}
		}
		if (wire.kind < static_cast<std::uint8_t>(packet_kind::forward) ||
			wire.kind > static_cast<std::uint8_t>(packet_kind::delegate_result))
		{
			return reason::bad_kind;
		}
		if (wire.hops > max_packet_hops)
		{
			return reason::hop_limit;
		}
		const transport protocol{wire.protocol};
		if (protocol != transport::udp && protocol != transport::tcp)
		{
			return reason::malformed;
		}
		packet out;
		out.header.kind = packet_kind{wire.kind};
		out.header.flags = wire.flags;
		out.header.hops = wire.hops;
		out.header.search_position = wire.search_position;
		out.header.service = service_id{wire.service.value()};
		out.header.upstream = upstream_id{wire.upstream.value()};
		out.header.origin = upstream_id{wire.origin.value()};
		out.header.rev = revision{wire.rev.value()};
		out.header.flow = flow_key{get(wire.client), get(wire.service_address), protocol};
		out.header.balancer = get(wire.balancer);
		out.header.origin_agent = get(wire.origin_agent);
		out.header.copy_age = wire.copy_age.value();
		out.payload = datagram.subspan(encoded_header_size);
		return out;
	}
}
