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

		/// Simulated process whose store holds all versions up to a revision.
		struct process
		{
			relay_state relay;
			revision complete_through{};
			std::optional<start_read> read;
			monotonic_time read_until{};
			monotonic_time next_digest{};
			std::uint64_t bytes_received = 0; ///< Bytes received from peers.
			std::uint64_t bytes_read = 0;     ///< Bytes of record keys and values read from the config service.
		};

		/// Simulation of processes that read one log of versions. Entry n of the log has revision n + 1.
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
					it.process_incarnation = incarnation{random_()};
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

			/// Starts or restarts a process with a store that is complete up to a revision.
			void start(std::size_t i, revision complete_through)
			{
				processes[i] = {};
				processes[i].relay = make_relay(view_.members[i]);
				processes[i].complete_through = complete_through;
				relay_on_members(processes[i].relay, view_);
			}

			void run(milliseconds time)
			{
				for (const auto end = now_ms_ + static_cast<std::uint64_t>(time.count()); now_ms_ < end; ++now_ms_)
				{
					const auto start = thread_cpu_time();
					for (const auto& it : std::exchange(in_flight_[now_ms_ % in_flight_.size()], {}))
					{
						auto& to = processes[it.to];
						to.bytes_received += it.datagram.size() + header_bytes;
						const auto decoded = decode_control(it.datagram, key_ring{}, replays_);
						if (const auto* envelope = std::get_if<wire::control_envelope>(&decoded))
						{
							relay_output out;
							relay_on_message(to.relay, address_of(it.from), *envelope, record_source_of(to), now(),
											 random_, out);
							process_output(it.to, out);
						}
					}
					for (std::size_t i = now_ms_ % 100; i < processes.size(); i += 100)
					{
						tick(i);
					}
					cpu += thread_cpu_time() - start;
				}
			}

			/// Returns whether each process has all versions and considers its view current.
			[[nodiscard]] bool is_converged() const
			{
				return std::ranges::all_of(processes, [this](const process& it)
										   { return view_is_current(it.relay) && it.complete_through == newest(); });
			}

			std::vector<process> processes;
			std::vector<record_version> log;
			bool service_unavailable = false; ///< Reads from the config service get no response and time out.
			std::uint64_t reads = 0;
			std::uint64_t bytes = 0; ///< Bytes sent, without the digests that simulate probes.
			std::uint64_t messages = 0;
			std::chrono::nanoseconds cpu{};

		private:
			struct in_flight_datagram
			{
				std::size_t from;
				std::size_t to;
				std::vector<std::byte> datagram;
			};

			[[nodiscard]] monotonic_time now() const
			{
				return monotonic_time{milliseconds{now_ms_}};
			}

			[[nodiscard]] record_source record_source_of(const process& it) const
			{
				return {it.complete_through, [this, &it](revision after)
						{
							const auto from = static_cast<std::ptrdiff_t>(to_number(after));
							const auto to = static_cast<std::ptrdiff_t>(to_number(it.complete_through));
							return std::vector<record_version>(log.begin() + std::min(from, to), log.begin() + to);
						}};
			}

			void send(std::size_t from, const control_send& it)
			{
				std::uint64_t sequence = 0;
				auto encoded = encode_control(it.envelope, sequence, key_ring{});
				auto& datagram = std::get<std::vector<std::byte>>(encoded);
				const auto to =
					static_cast<std::size_t>(it.destination.ip.bytes[14]) << 8U | it.destination.ip.bytes[15];
				const bool is_digest = !it.envelope.__isset.push_message && !it.envelope.__isset.pull_message &&
									   !it.envelope.__isset.confirmation_message;
				bytes += is_digest ? 0 : datagram.size() + header_bytes;
				messages += is_digest ? 0 : 1;
				in_flight_[(now_ms_ + 1 + random_.below(3)) % in_flight_.size()].push_back(
					{from, to, std::move(datagram)});
			}

			void process_output(std::size_t i, const relay_output& out)
			{
				auto& it = processes[i];
				for (const auto& apply : out.applies)
				{
					it.complete_through = std::max(it.complete_through, apply.complete_through);
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
				if (it.read && !service_unavailable && (newest() > it.read->after || now() >= it.read_until))
				{
					const auto first = static_cast<std::ptrdiff_t>(to_number(it.read->after));
					const read_result result{true, it.read->after, newest(), {log.begin() + first, log.end()}};
					for (const auto& version : result.records)
					{
						it.bytes_read += version.key.size() + version.value->size();
					}
					it.read.reset();
					relay_output out;
					relay_on_read(it.relay, result, record_source_of(it), now(), random_, out);
					process_output(i, out);
				}
				relay_output out;
				relay_on_tick(it.relay, record_source_of(it), now(), random_, out);
				process_output(i, out);
				if (now() >= it.next_digest)
				{
					// Simulates the membership probes, which carry the newest revision at least this often.
					it.next_digest = now() + milliseconds{400};
					wire::control_envelope envelope;
					envelope.version = 1;
					envelope.newest = static_cast<std::int64_t>(it.complete_through);
					send(i, {address_of(random_.below(processes.size())), envelope});
				}
			}

			random_source random_{3};
			std::uint64_t now_ms_ = 3'600'000;
			member_view view_;
			std::array<std::vector<in_flight_datagram>, 4> in_flight_; ///< By arrival time in ms modulo the size.
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
				constexpr int duration_seconds = 20;
				relay_fleet it{n, 100};
				it.run(seconds{5});
				it.reads = it.bytes = it.messages = 0;
				it.cpu = {};
				it.run(seconds{duration_seconds});
				const auto steady_reads = static_cast<double>(it.reads) / duration_seconds;
				const auto steady_bytes = static_cast<double>(it.bytes) / duration_seconds / x;
				const auto steady_messages = static_cast<double>(it.messages) / duration_seconds / x;
				const auto steady_cpu = microseconds(it.cpu) / duration_seconds / x;
				reads.points.push_back({x, steady_reads});
				bytes.points.push_back({x, steady_bytes});
				cpu.points.push_back({x, steady_cpu});
				it.bytes = it.messages = 0;
				it.cpu = {};
				milliseconds slowest{};
				for (int i = 0; i < duration_seconds; ++i)
				{
					it.log.push_back(version_at(it.log.size()));
					milliseconds time{};
					while (!it.is_converged() && time < seconds{30})
					{
						it.run(milliseconds{20});
						time += milliseconds{20};
					}
					slowest = std::max(slowest, time);
					it.run(std::max(milliseconds{0}, milliseconds{1'000} - time));
				}
				change_bytes.points.push_back({x, static_cast<double>(it.bytes) / duration_seconds / x - steady_bytes});
				change_messages.points.push_back(
					{x, static_cast<double>(it.messages) / duration_seconds / x - steady_messages});
				change_cpu.points.push_back({x, microseconds(it.cpu) / duration_seconds / x - steady_cpu});
				change_time.points.push_back({x, static_cast<double>(slowest.count())});

				it.reads = 0;
				double restarted = 0;
				for (std::size_t i = 1; i < n; i += zone_count)
				{
					it.start(i, revision{});
					++restarted;
				}
				it.run(seconds{5});
				restart_reads.points.push_back({restarted, static_cast<double>(it.reads) - 5 * steady_reads});
			}
			return {reads, bytes, cpu, change_bytes, change_messages, change_cpu, change_time, restart_reads};
		}

		/// Cost of starting one process with an empty store.
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

			void add(std::size_t records, bool service_unavailable)
			{
				const auto x = static_cast<double>(records);
				relay_fleet it{30, records};
				it.run(seconds{3});
				it.service_unavailable = service_unavailable;
				it.cpu = {};
				it.start(7, revision{});
				milliseconds elapsed{};
				while (!it.is_converged() && elapsed < seconds{60})
				{
					it.run(milliseconds{10});
					elapsed += milliseconds{10};
				}
				it.run(seconds{2}); // for responses that are still in flight
				peers.points.push_back({x, static_cast<double>(it.processes[7].bytes_received)});
				service.points.push_back({x, static_cast<double>(it.processes[7].bytes_read)});
				time.points.push_back({x, static_cast<double>(elapsed.count())});
				cpu.points.push_back({x, microseconds(it.cpu)});
			}
		};

		std::vector<measurement> measure_start()
		{
			start_cost available{"start with nothing"};
			start_cost unavailable{"start with nothing, service away"};
			for (const auto n : record_counts)
			{
				available.add(n, false);
				unavailable.add(n, true);
			}
			return {available.peers,   available.service,   available.time,   available.cpu,
					unavailable.peers, unavailable.service, unavailable.time, unavailable.cpu};
		}

		/// Cost of a change of the member list in the relay of one process.
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
