#include "nutmegturn/config_relay.hpp"
#include "nutmegturn/control_codec.hpp"
#include "nutmegturn/random.hpp"

#include "measurement.hpp"

#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <optional>
#include <utility>
#include <variant>

namespace capacity
{
	namespace
	{
		using namespace nutmegturn;
		using std::chrono::milliseconds;
		using std::chrono::seconds;

		constexpr auto source = "src/config_relay.cpp";
		constexpr std::size_t zone_count = 18;
		constexpr std::size_t header_bytes = 28; // IP and UDP
		constexpr std::array<std::size_t, 6> sizes{10, 30, 100, 300, 1'000, 3'000};
		constexpr std::array<std::size_t, 4> record_counts{300, 1'000, 3'000, 10'000};

		endpoint address_of(std::size_t i)
		{
			endpoint ep{*parse_address("10.0.0.0"), 7000};
			ep.ip.bytes[14] = static_cast<std::uint8_t>(i >> 8U);
			ep.ip.bytes[15] = static_cast<std::uint8_t>(i);
			return ep;
		}

		record_version version_at(std::size_t n)
		{
			return {fmt::format("upstream-{}", n), revision{n + 1}, std::string(220, 'x')};
		}

		/// Process whose store holds all versions up to a revision.
		struct process
		{
			relay_state relay;
			revision complete{};
			std::optional<start_read> read;
			monotonic_time read_until{};
			monotonic_time next_digest{};
			std::uint64_t received = 0;   ///< Bytes from peers.
			std::uint64_t read_bytes = 0; ///< Bytes of record values and keys from the service.
		};

		/// Processes that share one log of versions, where version n is published as revision n + 1.
		class relay_fleet
		{
		public:
			relay_fleet(std::size_t n, std::size_t records) : processes(n)
			{
				for (std::size_t i = 0; i < records; ++i)
				{
					log.push_back(version_at(i));
				}
				for (std::size_t i = 0; i < n; ++i)
				{
					auto& it = view_.members.emplace_back();
					it.name = fmt::format("agent-{:05}", i);
					it.id = make_id<member_id>(it.name);
					it.zone = fmt::format("/region/zone-{:02}", i % zone_count);
					it.control = address_of(i);
					it.life = incarnation{random_()};
				}
				for (std::size_t i = 0; i < n; ++i)
				{
					start(i, newest());
				}
			}

			[[nodiscard]] revision newest() const
			{
				return revision{log.size()};
			}

			/// Starts a process with a store that is complete up to a revision.
			void start(std::size_t i, revision complete)
			{
				processes[i] = {};
				processes[i].relay = make_relay(view_.members[i]);
				processes[i].complete = complete;
				relay_on_members(processes[i].relay, view_);
			}

			void run(milliseconds time)
			{
				for (const auto end = now_ms_ + static_cast<std::uint64_t>(time.count()); now_ms_ < end; ++now_ms_)
				{
					const auto start = thread_cpu_time();
					for (const auto& it : std::exchange(flights_[now_ms_ % flights_.size()], {}))
					{
						auto& to = processes[it.to];
						to.received += it.datagram.size() + header_bytes;
						const auto decoded = decode_control(it.datagram, key_ring{}, replays_);
						if (const auto* envelope = std::get_if<wire::control_envelope>(&decoded))
						{
							relay_output out;
							relay_on_message(to.relay, address_of(it.from), *envelope, source_of(to), now(), random_,
											 out);
							take(it.to, out);
						}
					}
					for (std::size_t i = now_ms_ % 100; i < processes.size(); i += 100)
					{
						tick(i);
					}
					cpu += thread_cpu_time() - start;
				}
			}

			/// Returns whether each process has all versions and uses them.
			[[nodiscard]] bool in_force() const
			{
				return std::ranges::all_of(processes, [this](const process& it)
										   { return view_is_current(it.relay) && it.complete == newest(); });
			}

			std::vector<process> processes;
			std::vector<record_version> log;
			bool service_away = false; ///< Reads wait until they time out.
			std::uint64_t reads = 0;
			std::uint64_t bytes = 0; ///< Sent, without the digests that stand for probes.
			std::uint64_t messages = 0;
			std::chrono::nanoseconds cpu{};

		private:
			struct flight
			{
				std::size_t from;
				std::size_t to;
				std::vector<std::byte> datagram;
			};

			[[nodiscard]] monotonic_time now() const
			{
				return monotonic_time{milliseconds{now_ms_}};
			}

			[[nodiscard]] record_source source_of(const process& it) const
			{
				return {it.complete, [this, &it](revision after)
						{
							const auto from = static_cast<std::ptrdiff_t>(to_number(after));
							const auto to = static_cast<std::ptrdiff_t>(to_number(it.complete));
							return std::vector<record_version>(log.begin() + std::min(from, to), log.begin() + to);
						}};
			}

			void send(std::size_t from, const control_send& it)
			{
				std::uint64_t number = 0;
				auto encoded = encode_control(it.envelope, number, key_ring{});
				auto& datagram = std::get<std::vector<std::byte>>(encoded);
				const auto to =
					static_cast<std::size_t>(it.destination.ip.bytes[14]) << 8U | it.destination.ip.bytes[15];
				const bool is_digest = !it.envelope.__isset.push_message && !it.envelope.__isset.pull_message &&
									   !it.envelope.__isset.confirmation_message;
				bytes += is_digest ? 0 : datagram.size() + header_bytes;
				messages += is_digest ? 0 : 1;
				flights_[(now_ms_ + 1 + random_.below(3)) % flights_.size()].push_back({from, to, std::move(datagram)});
			}

			void take(std::size_t i, const relay_output& out)
			{
				auto& it = processes[i];
				for (const auto& apply : out.applies)
				{
					it.complete = std::max(it.complete, apply.complete_through);
				}
				for (const auto& read : out.reads)
				{
					++reads;
					it.read = read;
					it.read_until = now() + read.wait;
				}
				for (const auto& each : out.sends)
				{
					send(i, each);
				}
			}

			void tick(std::size_t i)
			{
				auto& it = processes[i];
				if (it.read && !service_away && (newest() > it.read->after || now() >= it.read_until))
				{
					const auto first = static_cast<std::ptrdiff_t>(to_number(it.read->after));
					const read_result result{true, it.read->after, newest(), {log.begin() + first, log.end()}};
					for (const auto& version : result.records)
					{
						it.read_bytes += version.key.size() + version.value->size();
					}
					it.read.reset();
					relay_output out;
					relay_on_read(it.relay, result, source_of(it), now(), random_, out);
					take(i, out);
				}
				relay_output out;
				relay_on_tick(it.relay, source_of(it), now(), random_, out);
				take(i, out);
				if (now() >= it.next_digest)
				{
					// Stands for the probes of membership, which carry the revision at least this often.
					it.next_digest = now() + milliseconds{400};
					wire::control_envelope envelope;
					envelope.version = 1;
					envelope.newest = static_cast<std::int64_t>(it.complete);
					send(i, {address_of(random_.below(processes.size())), envelope});
				}
			}

			random_source random_{3};
			std::uint64_t now_ms_ = 3'600'000;
			member_view view_;
			std::array<std::vector<flight>, 4> flights_; ///< By arrival time in ms modulo the size.
			replay_filter replays_;
		};

		std::vector<measurement> measure_steady()
		{
			const std::string unit = "processes";
			measurement reads{"reads a second, all processes", unit, "reads per second", source, {}};
			measurement bytes{"confirmations, sent", unit, "bytes per second and process", source, {}};
			measurement cpu{"relay at rest", unit, "us of processor time per second and process", source, {}};
			measurement change_bytes{"one change, sent", unit, "bytes per process", source, {}};
			measurement change_messages{"one change, messages sent", unit, "messages per process", source, {}};
			measurement change_cpu{"one change", unit, "us of processor time per process", source, {}};
			measurement change_time{
				"one change in force everywhere, slowest of 20", unit, "ms of virtual time", source, {}};
			measurement restart_reads{
				"reads when a zone restarts at once, in 5 s", "processes of the zone", "reads", source, {}};
			for (const auto n : sizes)
			{
				const auto x = static_cast<double>(n);
				constexpr int span = 20;
				relay_fleet it{n, 100};
				it.run(seconds{5});
				it.reads = it.bytes = it.messages = 0;
				it.cpu = {};
				it.run(seconds{span});
				const auto reads_at_rest = static_cast<double>(it.reads) / span;
				const auto bytes_at_rest = static_cast<double>(it.bytes) / span / x;
				const auto messages_at_rest = static_cast<double>(it.messages) / span / x;
				const auto cpu_at_rest = microseconds(it.cpu) / span / x;
				reads.points.push_back({x, reads_at_rest});
				bytes.points.push_back({x, bytes_at_rest});
				cpu.points.push_back({x, cpu_at_rest});
				it.bytes = it.messages = 0;
				it.cpu = {};
				milliseconds slowest{};
				for (int i = 0; i < span; ++i)
				{
					it.log.push_back(version_at(it.log.size()));
					milliseconds time{};
					while (!it.in_force() && time < seconds{30})
					{
						it.run(milliseconds{20});
						time += milliseconds{20};
					}
					slowest = std::max(slowest, time);
					it.run(std::max(milliseconds{0}, milliseconds{1'000} - time));
				}
				change_bytes.points.push_back({x, static_cast<double>(it.bytes) / span / x - bytes_at_rest});
				change_messages.points.push_back({x, static_cast<double>(it.messages) / span / x - messages_at_rest});
				change_cpu.points.push_back({x, microseconds(it.cpu) / span / x - cpu_at_rest});
				change_time.points.push_back({x, static_cast<double>(slowest.count())});

				it.reads = 0;
				double restarted = 0;
				for (std::size_t i = 1; i < n; i += zone_count)
				{
					it.start(i, revision{});
					++restarted;
				}
				it.run(seconds{5});
				restart_reads.points.push_back({restarted, static_cast<double>(it.reads) - 5 * reads_at_rest});
			}
			return {reads, bytes, cpu, change_bytes, change_messages, change_cpu, change_time, restart_reads};
		}

		/// What one process that starts with nothing receives.
		struct start_cost
		{
			measurement peers;
			measurement service;
			measurement time;
			measurement cpu;

			explicit start_cost(const std::string& name)
				: peers{name + ", received from peers", "records", "bytes", source, {}},
				  service{name + ", read from the service", "records", "bytes", source, {}},
				  time{name + ", until current", "records", "ms of virtual time", source, {}},
				  cpu{name + ", all processes", "records", "us of processor time", source, {}}
			{
			}

			void add(std::size_t records, bool service_away)
			{
				const auto x = static_cast<double>(records);
				relay_fleet it{30, records};
				it.run(seconds{3});
				it.service_away = service_away;
				it.cpu = {};
				it.start(7, revision{});
				milliseconds until{};
				while (!it.in_force() && until < seconds{60})
				{
					it.run(milliseconds{10});
					until += milliseconds{10};
				}
				it.run(seconds{2}); // for answers that are still under way
				peers.points.push_back({x, static_cast<double>(it.processes[7].received)});
				service.points.push_back({x, static_cast<double>(it.processes[7].read_bytes)});
				time.points.push_back({x, static_cast<double>(until.count())});
				cpu.points.push_back({x, microseconds(it.cpu)});
			}
		};

		std::vector<measurement> measure_start()
		{
			start_cost present{"start with nothing"};
			start_cost away{"start with nothing, service away"};
			for (const auto n : record_counts)
			{
				present.add(n, false);
				away.add(n, true);
			}
			return {present.peers, present.service, present.time, present.cpu,
					away.peers,    away.service,    away.time,    away.cpu};
		}

		/// What each change of the member list costs the relay of a process.
		std::vector<measurement> measure_members()
		{
			measurement cpu{"members taken over", "processes", "us of processor time", source, {}};
			for (const std::size_t n : {100U, 300U, 1'000U, 3'000U, 11'000U})
			{
				member_view view;
				for (std::size_t i = 0; i < n; ++i)
				{
					auto& it = view.members.emplace_back();
					it.id = member_id{hash_name(std::to_string(i))};
					it.zone = fmt::format("/region/zone-{:02}", i % zone_count);
				}
				auto relay = make_relay(view.members[0]);
				constexpr int repeats = 10;
				const auto start = thread_cpu_time();
				for (int i = 0; i < repeats; ++i)
				{
					relay_on_members(relay, view);
				}
				cpu.points.push_back({static_cast<double>(n), microseconds(thread_cpu_time() - start) / repeats});
			}
			return {cpu};
		}
	}

	std::vector<measurement> measure_relay()
	{
		auto all = measure_steady();
		for (const auto& part : {measure_start(), measure_members()})
		{
			all.insert(all.end(), part.begin(), part.end());
		}
		return all;
	}
}
