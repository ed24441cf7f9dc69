#include "nutmegturn/packet_codec.hpp"

#include "runtime/balancer_worker.hpp"
#include "runtime/chart.hpp"
#include "runtime/config_client.hpp"
#include "runtime/retired_sockets.hpp"

#include <QTemporaryDir>

#include <gtest/gtest.h>
#include <netinet/in.h>
#include <sys/socket.h>

#include <array>
#include <fstream>
#include <string>

namespace nutmegturn::runtime
{
	namespace
	{
		using namespace std::chrono_literals;

		const endpoint any_port = []
		{
			auto ep = *parse_endpoint("127.0.0.1:1");
			ep.port = 0;
			return ep;
		}();

		file_descriptor open_socket()
		{
			auto fd = open_udp(any_port);
			return has_value(fd) ? std::get<0>(std::move(fd)) : file_descriptor{};
		}

		/// Waits for a datagram. The timeout only bounds the duration of a failing run.
		std::size_t receive_one(receive_batch& batch, int fd)
		{
			poller readiness;
			return readiness.add(fd, 0) && !readiness.wait(5s).empty() ? batch.receive(fd) : 0;
		}

		void send_text(int fd, const endpoint& to, std::string_view text)
		{
			send_batch out{fd};
			out.add(to, std::as_bytes(std::span{text}));
			out.flush();
		}

		std::string text_of(std::span<const std::byte> bytes)
		{
			return {reinterpret_cast<const char*>(bytes.data()), bytes.size()};
		}
	}

	class balancer_traffic : public ::testing::Test
	{
	protected:
		void SetUp() override
		{
			auto opened =
				balancer_worker::open({{{any_port, ingress_mode::plain}}, any_port, {}, returns_}, control_, metrics_);
			ASSERT_TRUE(has_value(opened));
			worker_ = std::get<0>(std::move(opened));
		}

		/// Publishes a view in which one agent serves the ingress endpoint.
		void publish()
		{
			deployment records;
			records.rev = revision{7};
			records.zones = {{zone_id{1}, "/d/z", "", zone_admin_state::in}};
			records.services = {{service_id{2}, "/d/s", {worker_->ingress(0)}}};
			records.upstreams = {
				{upstream_id{3}, service_id{2}, zone_id{1}, "/d/z/s/1", any_port, local_endpoint(agent_.get()), 5}};
			control_.view.store(std::make_shared<const routing_view>(build_routing_view(records, {}, nullptr)));
		}

		traffic_shared_state control_;
		metrics_shard metrics_;
		std::array<ingress_return_path, 1> returns_;
		std::unique_ptr<balancer_worker> worker_;
		file_descriptor agent_ = open_socket();
		file_descriptor caller_ = open_socket();
		receive_batch batch_{4};
	};

	// Guards against lost or modified payloads, wrong addresses in the packet header, and answers whose source address
	// differs from the address that the caller sent to.
	TEST_F(balancer_traffic, forwards_datagrams_to_the_agent_and_answers_to_the_caller)
	{
		publish();
		send_text(caller_.get(), worker_->ingress(0), "question");
		worker_->run_once(5s);
		ASSERT_EQ(receive_one(batch_, agent_.get()), 1U);
		const auto decoded = decode_packet(batch_.payload(0), {});
		const auto* forwarded = std::get_if<packet>(&decoded);
		ASSERT_NE(forwarded, nullptr);
		EXPECT_EQ(text_of(forwarded->payload), "question");
		EXPECT_EQ(forwarded->header.flow, (flow_key{local_endpoint(caller_.get()), worker_->ingress(0)}));
		EXPECT_EQ(forwarded->header.upstream, upstream_id{3});
		EXPECT_EQ(forwarded->header.balancer, worker_->data());
		EXPECT_EQ(forwarded->header.rev, revision{7});

		auto header = forwarded->header;
		header.kind = packet_kind::answer;
		const std::string_view answer = "answer";
		std::array<std::byte, encoded_header_size + 16> buf{};
		const auto size = encode_packet(header, std::as_bytes(std::span{answer}), {}, buf);
		send_batch out{agent_.get()};
		out.add(worker_->data(), std::span{buf}.first(std::get<std::size_t>(size)));
		out.flush();
		worker_->run_once(5s);
		ASSERT_EQ(receive_one(batch_, caller_.get()), 1U);
		EXPECT_EQ(text_of(batch_.payload(0)), "answer");
		EXPECT_EQ(batch_.source(0), worker_->ingress(0));
	}

	// Guards against late forwarding of datagrams that were queued before the first routing view, since their age is
	// unknown.
	TEST_F(balancer_traffic, drops_datagrams_received_before_the_first_view)
	{
		send_text(caller_.get(), worker_->ingress(0), "early");
		worker_->run_once(5s);
		publish();
		send_text(caller_.get(), worker_->ingress(0), "later");
		worker_->run_once(5s);
		ASSERT_EQ(receive_one(batch_, agent_.get()), 1U);
		const auto decoded = decode_packet(batch_.payload(0), {});
		EXPECT_EQ(text_of(std::get<packet>(decoded).payload), "later");
		const std::array<const metrics_shard*, 1> shards{&metrics_};
		EXPECT_EQ(metrics_snapshot{shards}.value(counter::packets_dropped, reason::not_current), 1U);
	}

	// Guards against a caller that gets the response of another one: an upstream sends a response a second time after
	// its flow was closed, and a new flow has the same port.
	TEST(retired_sockets, keep_their_ports_while_upstreams_may_retransmit)
	{
		auto upstream = open_socket();
		sockaddr_in address{};
		socklen_t length = sizeof(address);
		ASSERT_EQ(::getsockname(upstream.get(), reinterpret_cast<sockaddr*>(&address), &length), 0);
		const auto port_is_free = [&address]
		{
			const file_descriptor other{::socket(AF_INET, SOCK_DGRAM, 0)};
			return ::bind(other.get(), reinterpret_cast<const sockaddr*>(&address), sizeof(address)) == 0;
		};
		retired_sockets retired;
		const auto now = read_clock();
		retired.add(std::move(upstream), now);
		retired.close_expired(now + retired_sockets::retention - 1ms);
		EXPECT_FALSE(port_is_free());
		retired.close_expired(now + retired_sockets::retention);
		EXPECT_TRUE(port_is_free());
	}

	// Guards against running out of descriptors while many flows close.
	TEST(retired_sockets, are_bounded)
	{
		retired_sockets retired;
		for (std::size_t i = 0; i < retired_sockets::max_sockets + 5; ++i)
		{
			retired.add(file_descriptor{}, read_clock());
		}
		EXPECT_EQ(retired.size(), retired_sockets::max_sockets);
	}

	// Guards against a large datagram overwriting another one in the same batch, and against truncated payloads.
	TEST(udp_send_batch, sends_small_and_large_datagrams_intact)
	{
		const auto from = open_socket();
		const auto to = open_socket();
		send_batch out{from.get(), 8};
		const std::array<std::string, 4> texts{std::string(10, 'a'), std::string(60'000, 'b'), std::string(50'000, 'c'),
											   std::string(2'048, 'd')};
		for (const auto& it : texts)
		{
			out.add(local_endpoint(to.get()), std::as_bytes(std::span{it}));
		}
		out.flush();
		EXPECT_EQ(out.sent(), texts.size());
		receive_batch in{8};
		std::size_t n = 0;
		while (n < texts.size())
		{
			const auto received = receive_one(in, to.get());
			ASSERT_GT(received, 0U);
			for (std::size_t i = 0; i < received; ++i)
			{
				EXPECT_EQ(text_of(in.payload(i)), texts[n + i]);
			}
			n += received;
		}
	}

	// Guards against starting a daemon without its charts, or with a chart that lacks a state used by the code.
	TEST(chart_loading, rejects_missing_malformed_and_incomplete_charts_with_their_path)
	{
		const QTemporaryDir directory;
		const auto path = directory.path().toStdString();
		std::ofstream{path + "/broken.scxml"} << "<scxml";
		std::ofstream{path + "/small.scxml"}
			<< R"(<scxml xmlns="http://www.w3.org/2005/07/scxml" version="1.0" datamodel="null"><state id="in"/></scxml>)";
		for (const std::string name : {"absent", "broken", "small"})
		{
			const auto loaded = load_chart(path, name, {"in", "out"});
			ASSERT_FALSE(has_value(loaded)) << name;
			EXPECT_EQ(std::get<1>(loaded).source, path + "/" + name + ".scxml");
		}
		for (const std::string name : {"process", "upstream", "zone"})
		{
			EXPECT_TRUE(has_value(load_chart(NUTMEGTURN_SOURCE_DIR "/charts", name, {}))) << name;
		}
	}

	// Guards against partial application of a response of the configuration service with invalid records.
	TEST(config_response_parsing, accepts_valid_and_rejects_invalid_responses)
	{
		const auto good = parse_config_response(
			"test",
			R"({"revision":4,"records":[{"key":"a","revision":3,"value":{"x":1}},{"key":"b","revision":4,"value":null}]})");
		ASSERT_TRUE(has_value(good));
		EXPECT_EQ(std::get<0>(good).rev, revision{4});
		ASSERT_EQ(std::get<0>(good).versions.size(), 2U);
		EXPECT_EQ(std::get<0>(good).versions[0].value, R"({"x":1})");
		EXPECT_EQ(std::get<0>(good).versions[1].value, std::nullopt);
		const auto restored = parse_config_response(
			"test", R"({"era":2,"revision":4,"records":[{"key":"a","revision":3,"value":{"x":1}}]})");
		ASSERT_TRUE(has_value(restored));
		EXPECT_EQ(std::get<0>(restored).rev, make_revision(2, 4));
		EXPECT_EQ(std::get<0>(restored).versions.at(0).rev, make_revision(2, 3));
		EXPECT_EQ(to_string(make_revision(2, 4)), "2.4");
		EXPECT_EQ(to_string(revision{4}), "4");
		for (const char* text : {"", "[]", R"({"revision":4})", R"({"era":"2","revision":4,"records":[]})",
								 R"({"era":-1,"revision":4,"records":[]})", R"({"revision":"4","records":[]})"})
		{
			EXPECT_FALSE(has_value(parse_config_response("test", text))) << text;
		}
		for (const char* text :
			 {R"({"revision":4,"records":[{"key":"a","revision":3},{"key":"b","revision":4,"value":{}}]})",
			  R"({"revision":4,"records":[{"revision":3,"value":{}},{"key":"b","revision":4,"value":{}}]})"})
		{
			const auto partial = parse_config_response("test", text);
			ASSERT_TRUE(has_value(partial)) << text;
			EXPECT_EQ(std::get<0>(partial).unreadable, 1U) << text;
			ASSERT_EQ(std::get<0>(partial).versions.size(), 1U) << text;
			EXPECT_EQ(std::get<0>(partial).versions[0].key, "b") << text;
		}
		// The store of records refuses this value, with a reason.
		const auto mistyped =
			parse_config_response("test", R"({"revision":4,"records":[{"key":"a","revision":3,"value":7}]})");
		ASSERT_TRUE(has_value(mistyped));
		EXPECT_EQ(std::get<0>(mistyped).versions.at(0).value, "7");
	}
}
