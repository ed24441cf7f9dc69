#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/error.hpp"
#include "nutmegturn/packet_codec.hpp"
#include "nutmegturn/proxy_header.hpp"

#include <gtest/gtest.h>

#include <array>
#include <string>
#include <tuple>
#include <vector>

namespace nutmegturn
{
	namespace
	{
		key_ring ring_of(std::initializer_list<std::uint8_t> ids, bool accept_unauthenticated = false)
		{
			std::vector<shared_key> keys;
			for (const auto id : ids)
			{
				keys.push_back({id, {id, 7}});
			}
			return *make_key_ring(keys, accept_unauthenticated);
		}

		packet_header sample_header()
		{
			packet_header header;
			header.kind = packet_kind::answer;
			header.flags = packet_flag_search_done;
			header.hops = 3;
			header.search_position = 4;
			header.service = service_id{0x0102030405060708};
			header.upstream = upstream_id{5};
			header.origin = upstream_id{6};
			header.origin_agent = *parse_endpoint("[2001:db8::6]:9001");
			header.copy_age = 70'001;
			header.rev = revision{7};
			header.flow = {*parse_endpoint("192.0.2.1:80"), *parse_endpoint("[2001:db8::1]:443")};
			header.balancer = *parse_endpoint("198.51.100.3:9000");
			return header;
		}

		std::vector<std::byte> encoded(const key_ring& keys, std::string_view payload = "payload")
		{
			std::vector<std::byte> out(encoded_header_size + payload.size());
			const auto size = encode_packet(sample_header(), std::as_bytes(std::span{payload}), keys, out);
			EXPECT_EQ(std::get<std::size_t>(size), out.size());
			return out;
		}

		template <typename T>
		reason why(const std::variant<T, reason>& outcome)
		{
			const auto* it = std::get_if<reason>(&outcome);
			return it == nullptr ? reason::none : *it;
		}
	}

	// Guards against fields that the encoder and decoder lose or swap.
	TEST(a_packet, keeps_every_field_and_its_payload)
	{
		const auto keys = ring_of({1});
		const auto datagram = encoded(keys);
		const auto outcome = decode_packet(datagram, keys);
		ASSERT_TRUE(has_value(outcome));
		const auto& [header, payload] = std::get<packet>(outcome);
		const auto sent = sample_header();
		EXPECT_EQ(std::tuple(header.kind, header.flags, header.hops, header.search_position, header.service),
				  std::tuple(sent.kind, sent.flags, sent.hops, sent.search_position, sent.service));
		EXPECT_EQ(std::tuple(header.copy_age, header.upstream, header.origin, header.origin_agent, header.rev,
							 header.flow, header.balancer),
				  std::tuple(sent.copy_age, sent.upstream, sent.origin, sent.origin_agent, sent.rev, sent.flow,
							 sent.balancer));
		EXPECT_EQ(payload.size(), 7U);
		EXPECT_EQ(datagram[12], std::byte{2}) << "the kind's place on the wire is fixed";
		EXPECT_EQ(datagram[16], std::byte{1}) << "numbers are big-endian";
	}

	// Guards against a modified header or payload byte that passes authentication.
	TEST(a_packet, is_refused_when_any_byte_was_changed)
	{
		const auto keys = ring_of({1});
		const auto datagram = encoded(keys);
		for (std::size_t i = 0; i < datagram.size(); ++i)
		{
			auto forged = datagram;
			forged[i] ^= std::byte{1};
			EXPECT_FALSE(has_value(decode_packet(forged, keys))) << "byte " << i;
		}
		EXPECT_EQ(why(decode_packet(std::span{datagram}.first(127), keys)), reason::truncated);
		EXPECT_EQ(why(decode_packet(std::span{datagram}.first(128), keys)), reason::bad_tag);
	}

	// Guards against rejected packets while keys are rotated, introduced or disabled process by process.
	TEST(a_packet, is_accepted_under_both_keys_of_a_rotation)
	{
		const auto before = ring_of({1});
		const auto first = ring_of({1, 2});
		const auto second = ring_of({2, 1});
		EXPECT_TRUE(has_value(decode_packet(encoded(second), first)));
		EXPECT_TRUE(has_value(decode_packet(encoded(before), second)));
		EXPECT_EQ(why(decode_packet(encoded(second), before)), reason::bad_tag);
		EXPECT_TRUE(has_value(decode_packet(encoded(key_ring{}), ring_of({1}, true))));
		EXPECT_EQ(why(decode_packet(encoded(key_ring{}), before)), reason::bad_tag);
		EXPECT_TRUE(has_value(decode_packet(encoded(before), key_ring{})));
	}

	// Guards against settings that would leave a process with an ambiguous or unusable key.
	TEST(a_key_ring, refuses_repeated_ids_and_malformed_secrets)
	{
		EXPECT_FALSE(make_key_ring(std::array{shared_key{1, {}}, shared_key{1, {}}}));
		EXPECT_FALSE(make_key_ring(std::array{shared_key{0, {}}}));
		EXPECT_TRUE(parse_shared_key(1, std::string(64, 'a')));
		EXPECT_FALSE(parse_shared_key(0, std::string(64, 'a')));
		EXPECT_FALSE(parse_shared_key(1, std::string(62, 'a')));
		EXPECT_FALSE(parse_shared_key(1, std::string(63, 'a') + "g"));
	}

	// Guards against malformed control input that is accepted or raises an exception.
	TEST(a_control_message, is_refused_with_a_reason_when_truncated_forged_oversized_or_replayed)
	{
		const auto keys = ring_of({9});
		std::uint64_t number = 0;
		replay_filter replays;
		wire::control_envelope envelope;
		envelope.sender = 5;
		member sender;
		sender.upstreams = {{upstream_id{3}}};
		envelope.updates.push_back(to_wire(sender));
		const auto datagram = std::get<std::vector<std::byte>>(encode_control(envelope, number, keys));
		EXPECT_EQ(std::get<wire::control_envelope>(decode_control(datagram, keys, replays)), envelope);
		EXPECT_EQ(why(decode_control(datagram, keys, replays)), reason::replayed);
		EXPECT_EQ(why(decode_control(std::vector<std::byte>(max_control_datagram_bytes + 1), keys, replays)),
				  reason::oversized);
		auto forged = datagram;
		forged.back() ^= std::byte{1};
		EXPECT_EQ(why(decode_control(forged, keys, replays)), reason::bad_tag);
		for (std::size_t size = 0; size < datagram.size(); ++size)
		{
			EXPECT_FALSE(has_value(decode_control(std::span{datagram}.first(size), key_ring{}, replays))) << size;
		}
		envelope.updates[0].name.assign(max_control_datagram_bytes, 'x');
		EXPECT_EQ(why(encode_control(envelope, number, keys)), reason::oversized);
	}

	// Guards against allocations for list sizes that a message merely declares, and against trailing bytes.
	TEST(a_control_message, is_refused_when_a_list_is_longer_than_the_limit)
	{
		std::uint64_t number = 0;
		replay_filter replays;
		wire::control_envelope envelope;
		wire::redirect_announce announce;
		announce.flow_hashes.resize(max_control_elements + 1);
		envelope.__set_redirect_message(announce);
		const auto datagram = std::get<std::vector<std::byte>>(encode_control(envelope, number, key_ring{}));
		EXPECT_EQ(why(decode_control(datagram, key_ring{}, replays)), reason::oversized);
		announce.flow_hashes.resize(max_control_elements);
		envelope.__set_redirect_message(announce);
		auto valid = std::get<std::vector<std::byte>>(encode_control(envelope, number, key_ring{}));
		valid.push_back(std::byte{0});
		EXPECT_EQ(why(decode_control(valid, key_ring{}, replays)), reason::malformed);
		valid.pop_back();
		EXPECT_TRUE(has_value(decode_control(valid, key_ring{}, replays)));
	}

	// Guards against duplicates accepted after reordering, and against rejection of a restarted sender.
	TEST(a_replay_filter, accepts_each_number_once_in_any_order_within_its_window)
	{
		replay_filter replays;
		const auto accept = [&replays](std::uint64_t number, std::uint64_t process_incarnation = 1)
		{ return replays.accept(member_id{1}, incarnation{process_incarnation}, number); };
		EXPECT_FALSE(accept(0));
		EXPECT_TRUE(accept(300));
		EXPECT_TRUE(accept(45));
		EXPECT_FALSE(accept(44)) << "older than the window";
		EXPECT_TRUE(accept(299));
		EXPECT_FALSE(accept(299));
		EXPECT_TRUE(accept(301));
		EXPECT_FALSE(accept(300));
		EXPECT_TRUE(accept(1, 2)) << "a new incarnation starts at 1";
		for (std::uint64_t i = 0; i <= replay_filter::max_senders; ++i)
		{
			(void)replays.accept(member_id{i + 2}, incarnation{1}, 1);
		}
		EXPECT_FALSE(accept(301)) << "survives the first exchange of the generations";
	}

	// Guards against updates that lose fields in conversion or have values outside their enumerations.
	TEST(a_member_update, keeps_every_field_and_refuses_unknown_values)
	{
		member sent;
		sent.id = member_id{1};
		sent.name = "b1";
		sent.role = member_role::agent;
		sent.zone = "/lju/lju-a";
		sent.control = *parse_endpoint("192.0.2.1:65535");
		sent.data = *parse_endpoint("192.0.2.1:40000");
		sent.process_incarnation = incarnation{~0ULL};
		sent.sequence = ~0U;
		sent.liveness = member_liveness::leaving;
		sent.newest = revision{9};
		sent.upstreams = {{upstream_id{8}, upstream_run_state::warming}};
		const auto update = to_wire(sent);
		const auto got = from_wire(update);
		ASSERT_TRUE(got);
		EXPECT_EQ(to_wire(*got), update);
		EXPECT_EQ(got->control, sent.control);
		EXPECT_EQ(got->process_incarnation, sent.process_incarnation);
		auto bad = update;
		bad.role = 2;
		EXPECT_FALSE(from_wire(bad));
		bad = update;
		bad.upstreams[0].state = -1;
		EXPECT_FALSE(from_wire(bad));
		bad = update;
		bad.data_ip = "x";
		EXPECT_FALSE(from_wire(bad));
	}

	// Guards against headers that other PROXY protocol implementations cannot read or would not write.
	TEST(a_proxy_header, has_the_bytes_of_the_specification)
	{
		std::array<std::byte, max_proxy_header_size + 2> buf{};
		const auto source = *parse_endpoint("192.0.2.1:4660");
		const auto destination = *parse_endpoint("198.51.100.2:80");
		const auto size = encode_proxy_header(source, destination, buf);
		ASSERT_EQ(std::get<std::size_t>(size), 28U);
		constexpr std::string_view expected{
			"\r\n\r\n\0\r\nQUIT\n\x21\x12\0\x0c\xc0\0\x02\x01\xc6\x33\x64\x02\x12\x34\0P", 28};
		EXPECT_EQ(std::string_view(reinterpret_cast<const char*>(buf.data()), 28), expected);
		const auto back = std::get<proxied_datagram>(decode_proxy_header(std::span{buf}.first(30)));
		EXPECT_EQ(back.source, source);
		EXPECT_EQ(back.destination, destination);
		EXPECT_EQ(back.payload.size(), 2U);
		EXPECT_EQ(why(decode_proxy_header(std::span{buf}.first(27))), reason::truncated);
		buf[13] = std::byte{0x11};
		EXPECT_EQ(why(decode_proxy_header(buf)), reason::bad_kind) << "a stream is no datagram";
		buf[12] = std::byte{0x20};
		EXPECT_TRUE(std::get<proxied_datagram>(decode_proxy_header(buf)).local);
		const auto ipv6 = *parse_endpoint("[2001:db8::1]:9");
		EXPECT_EQ(std::get<std::size_t>(encode_proxy_header(ipv6, destination, buf)), max_proxy_header_size);
		EXPECT_EQ(std::get<proxied_datagram>(decode_proxy_header(buf)).destination, destination);
		EXPECT_EQ(why(encode_proxy_header(ipv6, destination, std::span{buf}.first(51))), reason::oversized);
	}
}
