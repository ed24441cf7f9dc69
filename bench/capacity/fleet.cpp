#include "fleet.hpp"

#include "measurement.hpp"

#include <fmt/format.h>

#include <numeric>
#include <utility>
#include <variant>

namespace capacity
{
	namespace
	{
		using namespace nutmegturn;

		constexpr std::size_t zone_count = 18;
		constexpr std::size_t upstreams_per_agent = 6;
		constexpr std::size_t header_bytes = 28; // IP and UDP

		endpoint address_of(std::size_t i)
		{
			endpoint ep{*parse_address("10.0.0.0"), 7000};
			ep.ip.bytes[14] = static_cast<std::uint8_t>(i >> 8U);
			ep.ip.bytes[15] = static_cast<std::uint8_t>(i);
			return ep;
		}

		std::size_t index_of(const endpoint& ep)
		{
			return static_cast<std::size_t>(ep.ip.bytes[14]) << 8U | ep.ip.bytes[15];
		}

		message_kind kind_of(const wire::control_envelope& it)
		{
			return it.__isset.probe_message         ? message_kind::probe
				   : it.__isset.ack_message         ? message_kind::probe_ack
				   : it.__isset.member_pull_message ? message_kind::member_pull
				   : it.__isset.member_page_message ? message_kind::member_page
													: message_kind::update;
		}
	}

	std::uint64_t traffic_counts::total_bytes() const noexcept
	{
		return std::accumulate(bytes.begin(), bytes.end(), std::uint64_t{});
	}

	std::uint64_t traffic_counts::total_messages() const noexcept
	{
		return std::accumulate(messages.begin(), messages.end(), std::uint64_t{});
	}

	fleet::fleet(std::size_t n, std::uint64_t seed) : random_{seed}
	{
		std::vector<member> all;
		for (std::size_t i = 0; i < n; ++i)
		{
			all.push_back(make_member(i));
		}
		processes.resize(n);
		const monotonic_time now{std::chrono::milliseconds{now_ms_}};
		for (std::size_t i = 0; i < n; ++i)
		{
			auto& state = processes[i].members;
			state = make_membership(all[i]);
			state.update_queue.clear();
			for (std::size_t j = 0; j < n; ++j)
			{
				if (j != i)
				{
					state.members.emplace(all[j].id, tracked_member{all[j], now, false});
					state.ids.push_back(all[j].id);
				}
			}
			// Steady state: the pulls of member pages that follow a start have backed off to their longest interval.
			state.synced = true;
			state.sync_interval = std::chrono::seconds{30};
			state.next_sync = now + std::chrono::milliseconds{random_.below(30'000)};
		}
	}

	member fleet::make_member(std::size_t i)
	{
		member it;
		const bool is_balancer = i % 10 == 0;
		it.name = fmt::format("{}-{:05}", is_balancer ? "balancer" : "agent", i);
		it.id = make_id<member_id>(it.name);
		it.role = is_balancer ? member_role::balancer : member_role::agent;
		it.zone = fmt::format("/region-{}/zone-{:02}", i % zone_count % 5, i % zone_count);
		it.control = address_of(i);
		it.data = it.control;
		it.data.port = 7300;
		it.process_incarnation = incarnation{random_()};
		for (std::size_t upstream = 0; !is_balancer && upstream < upstreams_per_agent; ++upstream)
		{
			it.upstreams.push_back({upstream_id{random_()}, upstream_run_state::serving});
		}
		return it;
	}

	void fleet::restart(std::size_t i)
	{
		membership_settings settings;
		for (std::size_t seed = 0; seed < 10; ++seed)
		{
			settings.seeds.push_back(address_of(seed));
		}
		processes[i].members = make_membership(make_member(i), settings);
		processes[i].down = false;
		processes[i].bytes_received = 0;
	}

	void fleet::reset_counts()
	{
		sent = {};
		cpu = {};
		tick_cpu = {};
		for (auto& it : processes)
		{
			it.bytes_sent = 0;
			it.bytes_received = 0;
		}
	}

	void fleet::send_messages(std::size_t from, membership_output& out)
	{
		for (const auto& it : out.sends)
		{
			std::uint64_t sequence = 0;
			auto encoded = encode_control(it.envelope, sequence, key_ring{});
			auto* datagram = std::get_if<std::vector<std::byte>>(&encoded);
			if (datagram == nullptr)
			{
				continue;
			}
			const auto size = datagram->size() + header_bytes;
			const auto kind = static_cast<std::size_t>(kind_of(it.envelope));
			++sent.messages[kind];
			sent.bytes[kind] += size;
			sent.updates += it.envelope.updates.size();
			processes[from].bytes_sent += size;
			const auto to = index_of(it.destination);
			if (to < processes.size() && processes[from].partition == processes[to].partition)
			{
				const auto slot = (now_ms_ + 1 + random_.below(3)) % in_flight_.size();
				in_flight_[slot].push_back({from, to, std::move(*datagram)});
			}
		}
		out = {};
	}

	void fleet::run(std::chrono::milliseconds time)
	{
		membership_output out;
		for (const auto end = now_ms_ + static_cast<std::uint64_t>(time.count()); now_ms_ < end; ++now_ms_)
		{
			const monotonic_time now{std::chrono::milliseconds{now_ms_}};
			const auto start = thread_cpu_time();
			for (const auto& it : std::exchange(in_flight_[now_ms_ % in_flight_.size()], {}))
			{
				auto& to = processes[it.to];
				if (to.down)
				{
					continue;
				}
				to.bytes_received += it.datagram.size() + header_bytes;
				const auto decoded = decode_control(it.datagram, key_ring{}, replays_);
				if (const auto* envelope = std::get_if<wire::control_envelope>(&decoded))
				{
					membership_on_message(to.members, address_of(it.from), *envelope, now, random_, out);
					send_messages(it.to, out);
				}
			}
			for (std::size_t i = now_ms_ % 100; i < processes.size(); i += 100)
			{
				if (!processes[i].down)
				{
					const auto before_tick = thread_cpu_time();
					membership_on_tick(processes[i].members, now, random_, out);
					tick_cpu += thread_cpu_time() - before_tick;
					send_messages(i, out);
				}
			}
			cpu += thread_cpu_time() - start;
		}
	}
}
