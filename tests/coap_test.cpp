#include "nutmegturn/coap_message.hpp"
#include "nutmegturn/fencing_token.hpp"

#include "coap_text.hpp"

#include <gtest/gtest.h>

#include <array>
#include <chrono>
#include <initializer_list>
#include <string>
#include <string_view>

namespace nutmegturn
{
	namespace
	{
		using std::chrono::seconds;

		coap_bytes bytes(std::initializer_list<unsigned> values)
		{
			coap_bytes buf;
			for (const auto it : values)
			{
				buf.push_back(std::byte(it));
			}
			return buf;
		}

		coap_message parsed(const coap_bytes& datagram)
		{
			return std::get<coap_message>(parse_coap(datagram));
		}
	}

	// Fails if a field is read from the wrong position.
	TEST(a_coap_message, returns_header_options_and_payload)
	{
		// CON GET, id 0x1234, token ab; Observe 1 (option 6); payload "x".
		const auto message = parsed(bytes({0x41, 0x01, 0x12, 0x34, 0xab, 0x61, 0x01, 0xff, 'x'}));
		EXPECT_EQ(message.type(), coap_type::confirmable);
		EXPECT_EQ(message.code(), coap_code_get);
		EXPECT_EQ(message.message_id(), 0x1234);
		EXPECT_EQ(text(message.token()), "\xab");
		EXPECT_EQ(text(message.payload()), "x");
		EXPECT_TRUE(message.is_deregistration());
	}

	// Fails if a malformed datagram is accepted, and so could be forwarded, or crashes the parser.
	TEST(a_coap_message, is_rejected_when_malformed)
	{
		for (const auto& it :
			 {bytes({}), bytes({0x40}), bytes({0x80, 0x01, 0, 0}), bytes({0x49, 0x01, 0, 0}),
			  bytes({0x44, 0x01, 0, 0, 1}), bytes({0x40, 0x01, 0, 0, 0xff}), bytes({0x40, 0x01, 0, 0, 0x64, 1}),
			  bytes({0x40, 0x00, 0, 0, 1}), bytes({0x40, 0x01, 0, 0, 0xf0})})
		{
			EXPECT_EQ(parse_coap(it).index(), 1U) << text(it);
		}
	}

	// Fails if a truncated response is treated as complete. Size2 (option 28) gives 3 bytes.
	TEST(a_coap_message, is_incomplete_when_its_payload_is_shorter_than_size2)
	{
		EXPECT_FALSE(parsed(bytes({0x60, 0x45, 0, 0, 0xd1, 15, 3, 0xff, 'x'})).is_complete());
		EXPECT_TRUE(parsed(bytes({0x60, 0x45, 0, 0, 0xd1, 15, 3, 0xff, 'x', 'y', 'z'})).is_complete());
	}

	// Fails if libcoap cannot parse a message created by the agent, or if a diagnostic payload is wrong.
	TEST(an_encoded_coap_message, is_parsed_by_libcoap)
	{
		const auto token = bytes({1, 2});
		const auto rejection = parsed(encode_not_run(coap_type::acknowledgement, 7, token, reason::queue_full));
		EXPECT_EQ(rejection.code(), coap_code_service_unavailable);
		EXPECT_EQ(text(rejection.payload()), "not run: queue_full");
		EXPECT_EQ(text(rejection.token()), "\x01\x02");
		const auto unknown = parsed(encode_outcome_unknown(coap_type::non_confirmable, 7, token, reason::outcome_lost));
		EXPECT_EQ(unknown.code(), coap_code_gateway_timeout);
		EXPECT_EQ(text(unknown.payload()), "outcome unknown: outcome_lost");
		const coap_bytes echo(40, std::byte{5});
		const auto challenge = parsed(encode_coap_challenge(coap_type::acknowledgement, 7, token, echo));
		EXPECT_EQ(challenge.code(), coap_code_unauthorized);
		EXPECT_EQ(text(challenge.echo()), text(echo));
		EXPECT_TRUE(parsed(encode_coap_empty(coap_type::reset, 9)).is_empty());
	}

	// Fails if the hash that distinguishes requests ignores a part of them, or depends on the token.
	TEST(a_content_hash, depends_on_code_options_and_payload_but_not_on_echo)
	{
		const auto base = parsed(bytes({0x40, 0x02, 0, 0, 0xb1, 'a', 0xff, 'x'})).content_hash();
		EXPECT_NE(base, parsed(bytes({0x40, 0x03, 0, 0, 0xb1, 'a', 0xff, 'x'})).content_hash());
		EXPECT_NE(base, parsed(bytes({0x40, 0x02, 0, 0, 0xb1, 'b', 0xff, 'x'})).content_hash());
		EXPECT_NE(base, parsed(bytes({0x40, 0x02, 0, 0, 0xb1, 'a', 0xff, 'y'})).content_hash());
		EXPECT_EQ(base, parsed(bytes({0x51, 0x02, 9, 9, 4, 0xb1, 'a', 0xd1, 228, 7, 0xff, 'x'})).content_hash());
	}

	// Fails if a request can be started by a modified or expired token, or by one of another agent, incarnation or
	// upstream.
	TEST(a_fencing_token, is_valid_for_120_s_at_its_own_incarnation_and_upstream)
	{
		const fencing_issuer issuer{member_id{1}, incarnation{2}, upstream_id{3}, {std::byte{4}}};
		const monotonic_time now{seconds{1000}};
		const auto token = issue_fencing_token(issuer, now);
		EXPECT_EQ(check_fencing_token(issuer, {}, now).why, reason::token_missing);
		EXPECT_EQ(check_fencing_token(issuer, token, now + seconds{119}).why, reason::none);
		EXPECT_EQ(check_fencing_token(issuer, token, now + seconds{120}).why, reason::token_expired);
		EXPECT_EQ(check_fencing_token(issuer, std::span{token}.first(39), now).why, reason::token_foreign);
		for (std::size_t i = 0; i < token.size(); ++i)
		{
			auto changed = token;
			changed[i] ^= std::byte{1};
			EXPECT_EQ(check_fencing_token(issuer, changed, now).why, reason::token_foreign) << "byte " << i;
		}
		for (auto other : {fencing_issuer{member_id{9}, incarnation{2}, upstream_id{3}, issuer.key},
						   fencing_issuer{member_id{1}, incarnation{9}, upstream_id{3}, issuer.key},
						   fencing_issuer{member_id{1}, incarnation{2}, upstream_id{9}, issuer.key},
						   fencing_issuer{member_id{1}, incarnation{2}, upstream_id{3}, {std::byte{9}}}})
		{
			EXPECT_EQ(check_fencing_token(other, token, now).why, reason::token_foreign);
		}
	}
}
