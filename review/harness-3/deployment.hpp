#pragma once

#include "store.hpp"

#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>

#include <algorithm>
#include <cstdarg>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <memory>
#include <set>

/// A small deployment on loopback: the project's own processes, and stand-ins of the platform, targets and requesters.
namespace review
{
	/// \name Ports; each process, target and requester has an address of its own
	/// @{
	inline constexpr std::uint16_t datagram_port = 8'172;
	inline constexpr std::uint16_t ready_port = 8'167;
	inline constexpr std::uint16_t app_port = 8'165;
	inline constexpr std::uint16_t outbound_port = 8'162;
	inline constexpr std::uint16_t first_internal_port = 7'720;
	inline constexpr std::uint16_t store_port = 8'169;
	/// @}

	inline constexpr ms heartbeat{1'200};
	inline constexpr int idle_timeout_ms = 12'000;

	/// Writes what was sent, answered and run.
	class recorder
	{
	public:
		recorder(event_loop& loop, const std::string& path) : loop_{loop}, out_{path} {}

		void write(const std::string& line)
		{
			out_ << loop_.now_ms() << " ms  " << line << std::endl;
		}

		/// Records that a rule was broken.
		void broken(const std::string& rule, const std::string& what)
		{
			++broken_;
			write("BROKEN " + rule + ": " + what);
		}

		/// Records that the case could not run.
		void cannot_run(const std::string& why)
		{
			impossible_ = true;
			write("CANNOT RUN: " + why);
		}

		/// Returns the exit status of the case.
		[[nodiscard]] int finish()
		{
			write("rule broken " + std::to_string(broken_) + " times");
			return impossible_ ? 2 : broken_ > 0 ? 1 : 0;
		}

		[[nodiscard]] int count() const
		{
			return broken_;
		}

	private:
		event_loop& loop_;
		std::ofstream out_;
		int broken_ = 0;
		bool impossible_ = false;
	};

	/// Process of the project, started by the platform and started again when it ends.
	struct process
	{
		std::string name;
		std::string role;
		std::string zone;
		std::string service;
		std::uint32_t ip = 0;
		pid_t pid = 0;
		int incarnation = 0;
		bool wanted = true;
		bool in_rotation = false; ///< Balancers: packets of requesters go there.
		int misses = 0;
		clock::time_point started;
		int over_memory = 0; ///< How often the platform killed it since it exceeded its memory.
	};

	/// Target, beside an agent.
	class target
	{
	public:
		target(event_loop& loop, store& metadata, recorder& record, std::string id, const process& beside, int slots)
			: id{std::move(id)}, service{beside.service}, zone{beside.zone}, ip{beside.ip}, loop_{loop},
			  metadata_{metadata}, record_{record}, slots_{slots}, socket_{open_udp({ip, app_port})}
		{
			loop_.watch(socket_, [this] { read(); });
			beat();
		}

		/// Called for each opening packet that this target accepts.
		std::function<void(const target&, const flow_key&)> on_opening;

		/// Called when a request begins to run.
		std::function<void(const target&, const flow_key&, const std::string& id)> on_run;

		std::string id;
		std::string service;
		std::string zone;
		std::uint32_t ip;
		std::string state = "ready";
		ms work{30};

		[[nodiscard]] bool is_open(const flow_key& flow) const
		{
			const auto found = flows_.find(flow);
			return found != flows_.end() && found->second.open;
		}

		[[nodiscard]] bool sent_reset(const flow_key& flow) const
		{
			return resets_.contains(flow);
		}

		[[nodiscard]] std::string entry() const
		{
			return "{\"service\":\"" + service + "\",\"address\":\"" + to_text({ip, app_port}) + "\",\"zone\":\"" +
				   zone + "\",\"version\":\"v1\",\"max_concurrency\":" + std::to_string(slots_) + ",\"state\":\"" +
				   state + "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(sequence_) +
				   ",\"born\":" + std::to_string(born_) + "}";
		}

		/// Ends the target without a word: it loses its flows, and its entry expires after three heartbeats.
		void crash()
		{
			down_ = true;
			loop_.unwatch(socket_);
			::close(socket_);
			flows_.clear();
			loop_.after(3 * heartbeat,
						[this, key = "servers/" + id, born = born_]
						{
							if (born == born_ || key != "servers/" + id)
							{
								metadata_.remove(key);
							}
						});
		}

		/// Starts the target again, with an id of its choice.
		void come_back(std::string new_id)
		{
			id = std::move(new_id);
			born_ = now_unix_ms();
			sequence_ = 0;
			state = "ready";
			socket_ = open_udp({ip, app_port});
			loop_.watch(socket_, [this] { read(); });
			down_ = false;
			publish();
		}

		[[nodiscard]] bool is_down() const
		{
			return down_;
		}

		/// Registers with the present state.
		void publish()
		{
			const auto key = "servers/" + id;
			if (!down_ && metadata_.value_of(key) != entry())
			{
				++sequence_;
				metadata_.put(key, entry());
			}
		}

	private:
		struct flow_state
		{
			std::uint32_t first = 0; ///< Number of the SYN+ACK.
			std::uint32_t next = 0;  ///< Number of the next byte to send.
			std::uint32_t expected = 0;
			bool open = false;
			bool requester_closed = false;
			std::map<std::uint32_t, packet> unacknowledged;
		};

		/// Registers in the store about every heartbeat. The entry changes when more than its sequence number does.
		void beat()
		{
			publish();
			loop_.after(heartbeat, [this] { beat(); });
		}

		void read()
		{
			receive_all(socket_,
						[this](std::span<const std::uint8_t> in)
						{
							if (const auto it = decode(in))
							{
								handle(*it);
							}
						});
		}

		void send(const packet& it)
		{
			if (down_)
			{
				return;
			}
			send_to(socket_, {ip, outbound_port}, sealed(it));
		}

		void bounce(packet it)
		{
			it.flags |= flag::bounced;
			send_to(socket_, {ip, outbound_port}, encode(it));
		}

		[[nodiscard]] static long now_unix_ms()
		{
			return std::chrono::duration_cast<ms>(std::chrono::system_clock::now().time_since_epoch()).count();
		}

		[[nodiscard]] static packet answer(const flow_key& flow, std::uint32_t seq, std::uint32_t ack,
										   std::uint8_t flags, std::string data = {})
		{
			return {.seq = seq,
					.ack = ack,
					.sum = 0,
					.flags = flags,
					.echo = 0,
					.src = flow.route,
					.dst = flow.requester,
					.data = std::move(data)};
		}

		void handle(const packet& it)
		{
			const flow_key flow{it.src, it.dst};
			if (it.sum != keyed_sum(it) || it.has(flag::bounced) || (it.has(flag::syn) && it.has(flag::ack)))
			{
				record_.broken("UNASKED", "target " + id + " got a packet that its sender did not write so");
				return;
			}
			if (it.has(flag::syn))
			{
				handle_opening(flow, it);
				return;
			}
			const auto found = flows_.find(flow);
			if (found == flows_.end() || (!found->second.open && it.ack != found->second.first + 1))
			{
				bounce(it);
				return;
			}
			if (it.has(flag::rst))
			{
				flows_.erase(found);
				return;
			}
			auto& held = found->second;
			held.open = true;
			std::erase_if(held.unacknowledged,
						  [&it](const auto& sent) { return static_cast<std::int32_t>(it.ack - sent.first) > 0; });
			if (!it.data.empty() || it.has(flag::fin))
			{
				handle_data(flow, held, it);
			}
		}

		void handle_opening(const flow_key& flow, const packet& it)
		{
			auto& held = flows_[flow];
			if (held.first == 0)
			{
				held.first = 100'000'000U + 7'919U * ++last_number_;
				held.next = held.first + 1;
				held.expected = it.seq + 1;
				if (on_opening)
				{
					on_opening(*this, flow);
				}
			}
			send(answer(flow, held.first, held.expected, flag::syn | flag::ack));
		}

		void handle_data(const flow_key& flow, flow_state& held, const packet& it)
		{
			if (it.seq == held.expected)
			{
				held.expected += static_cast<std::uint32_t>(it.data.size()) + (it.has(flag::fin) ? 1U : 0U);
				if (!it.data.empty())
				{
					run(flow, it.data);
				}
				if (it.has(flag::fin))
				{
					held.requester_closed = true;
					send(answer(flow, held.next, held.expected, flag::ack | flag::fin));
					loop_.after(ms{500}, [this, flow] { flows_.erase(flow); });
					return;
				}
			}
			send(answer(flow, held.next, held.expected, flag::ack));
		}

		void run(const flow_key& flow, const std::string& request)
		{
			constexpr std::string_view header = "\r\nNutmegturn-Request-Id: ";
			const auto at = request.find(header) + header.size();
			const auto request_id = request.substr(at, request.find('\r', at) - at);
			if (on_run)
			{
				on_run(*this, flow, request_id);
			}
			loop_.after(work, [this, flow, request_id] { respond(flow, request_id); });
		}

		void respond(const flow_key& flow, const std::string& request_id)
		{
			const auto found = flows_.find(flow);
			if (found == flows_.end())
			{
				return;
			}
			auto& held = found->second;
			const auto body = "done " + request_id;
			auto it = answer(flow, held.next, held.expected, flag::ack,
							 "HTTP/1.1 200 OK\r\nNutmegturn-Response-Signature: " + id +
								 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
			held.next += static_cast<std::uint32_t>(it.data.size());
			held.unacknowledged[it.seq] = it;
			send_until_acknowledged(flow, it.seq, ms{200}, 0);
		}

		void send_until_acknowledged(const flow_key& flow, std::uint32_t seq, ms interval, int repeats)
		{
			const auto found = flows_.find(flow);
			if (found == flows_.end() || !found->second.unacknowledged.contains(seq) || repeats > 8)
			{
				return;
			}
			send(found->second.unacknowledged[seq]);
			loop_.after(interval, [this, flow, seq, interval, repeats]
						{ send_until_acknowledged(flow, seq, std::min(2 * interval, ms{1'600}), repeats + 1); });
		}

		event_loop& loop_;
		store& metadata_;
		recorder& record_;
		int slots_;
		int socket_;
		int sequence_ = 0;
		bool down_ = false;
		long born_ = now_unix_ms();
		std::uint32_t last_number_ = 0;
		std::map<flow_key, flow_state> flows_;
		std::set<flow_key> resets_;
	};

	/// The platform's part: starts and stops processes, and routes packets of requesters to balancers.
	class platform
	{
	public:
		platform(event_loop& loop, recorder& record, std::string node, std::string folder, std::uint32_t store_ip)
			: loop_{loop}, record_{record}, node_{std::move(node)}, folder_{std::move(folder)}, store_ip_{store_ip}
		{
		}

		platform(const platform&) = delete;
		platform& operator=(const platform&) = delete;
		platform(platform&&) = delete;
		platform& operator=(platform&&) = delete;

		~platform()
		{
			for (auto& it : processes)
			{
				if (it.pid > 0)
				{
					::kill(it.pid, SIGKILL);
					::waitpid(it.pid, nullptr, 0);
				}
			}
		}

		std::list<process> processes;
		ms restart_delay{600};
		ms grace{6'000};
		long agent_memory_mb = 128;
		long balancer_memory_mb = 260;

		process& add(const std::string& name, const std::string& role, const std::string& zone, std::uint32_t ip,
					 const std::string& service = {})
		{
			process made;
			made.name = name;
			made.role = role;
			made.zone = zone;
			made.service = service;
			made.ip = ip;
			processes.push_back(std::move(made));
			return processes.back();
		}

		void start_all()
		{
			for (auto& it : processes)
			{
				start(it);
			}
			watch_ends();
			check_readiness();
		}

		void start(process& it)
		{
			write_settings(it);
			++it.incarnation;
			it.started = clock::now();
			const auto settings = "NUTMEGTURN_CONFIG=" + folder_ + "/" + it.name + ".toml";
			const auto log = folder_ + "/" + it.name + ".log";
			it.pid = ::fork();
			if (it.pid == 0)
			{
				// Ends with this program, also if that is killed.
				::prctl(PR_SET_PDEATHSIG, SIGKILL);
				const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
				::dup2(out, STDOUT_FILENO);
				::dup2(out, STDERR_FILENO);
				char* const words[] = {node_.data(), it.role.data(), nullptr};
				char* const environment[] = {const_cast<char*>(settings.c_str()), nullptr};
				::execve(node_.c_str(), words, environment);
				::_exit(127);
			}
			record_.write("platform starts " + it.name);
		}

		/// Sends SIGTERM, and SIGKILL after the grace period. The process is started again a second after its end.
		void stop(process& it)
		{
			if (it.pid <= 0)
			{
				return;
			}
			record_.write("platform sends SIGTERM to " + it.name);
			::kill(it.pid, SIGTERM);
			loop_.after(grace,
						[this, &it, pid = it.pid]
						{
							if (it.pid == pid)
							{
								record_.write("platform sends SIGKILL to " + it.name);
								::kill(pid, SIGKILL);
							}
						});
		}

		[[nodiscard]] bool all_ready() const
		{
			return std::ranges::all_of(processes, &process::in_rotation);
		}

		/// Returns the balancer to which the routers of a zone send the packets of a flow (`hash` = `mod`). Without one
		/// in rotation, the other zones' balancers get them.
		[[nodiscard]] const process* route(const flow_key& flow, const std::string& zone) const
		{
			auto candidates = balancers(zone, true);
			const auto all = balancers(zone, false);
			if (!candidates.empty() && 2 * candidates.size() < all.size())
			{
				candidates = all;
			}
			if (candidates.empty())
			{
				for (const auto& it : processes)
				{
					if (it.role == "balancer" && it.in_rotation)
					{
						candidates.push_back(&it);
					}
				}
			}
			if (candidates.empty())
			{
				return nullptr;
			}
			const auto hash =
				(flow.requester.ip * 31ULL + flow.requester.port) * 2'654'435'761ULL + flow.route.ip + flow.route.port;
			return candidates[(hash >> 8U) % candidates.size()];
		}

	private:
		[[nodiscard]] std::vector<const process*> balancers(const std::string& zone, bool in_rotation) const
		{
			std::vector<const process*> found;
			for (const auto& it : processes)
			{
				if (it.role == "balancer" && it.zone == zone && (it.in_rotation || !in_rotation))
				{
					found.push_back(&it);
				}
			}
			return found;
		}

		void write_settings(const process& it) const
		{
			const auto ip = ip_text(it.ip);
			const bool agent = it.role == "agent";
			std::ofstream out{folder_ + "/" + it.name + ".toml"};
			out << "node_name = \"" << it.name << "\"\nrole = \"" << it.role << "\"\nmachine_class = \""
				<< (agent ? "side" : "edge") << "\"\nserves = [\"" << (agent ? "side" : "edge") << "\"]\nip = \"" << ip
				<< "\"\nzone = \"" << it.zone << "\"\nregion = \"cz-stred\"\ninternal_port_range = ["
				<< first_internal_port << "," << first_internal_port + 15
				<< "]\nseeds = []\nbootstrap = " << (it.incarnation == 0 ? "true" : "false")
				<< "\nin_failure_budget = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 1200\n"
				<< "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\",\"platform\"]\n"
				<< "hash = \"mod\"\ndeployment_mode = \"agent\"\n";
			if (agent)
			{
				out << "app = \"" << ip << ":" << app_port << "\"\nservice = \"" << it.service << "\"\n";
			}
			out << "[zones]\nstred-a = \"cz-stred\"\nstred-b = \"cz-stred\"\n[listen_addrs]\ndatagram_addr = \"" << ip
				<< ":" << datagram_port << "\"\nready = \"" << ip << ":" << ready_port << "\"\n";
			if (agent)
			{
				out << "outbound = \"" << ip << ":" << outbound_port << "\"\n";
			}
			out << "[limits]\ncpu_share = 0.15\ncpu_cores = 1\nmemory_mb = "
				<< (agent ? agent_memory_mb : balancer_memory_mb) << "\nmax_fds = 4096\nlink_mbps = 1000.0\n"
				<< "disk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
				<< "reuse_after_s = 2\nstability_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n"
				<< "grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\n"
				<< "max_skew_ms = 12000\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n"
				<< "reorder_window_ms = 2000\nmax_flow_s = 60\n[platform]\naddress = \""
				<< to_text({store_ip_, store_port})
				<< "\"\ndeployment_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
				<< "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
		}

		/// Returns the memory that a process has in use, in megabytes.
		[[nodiscard]] static long memory_of(pid_t pid)
		{
			std::ifstream in{"/proc/" + std::to_string(pid) + "/statm"};
			long size = 0;
			long resident = 0;
			in >> size >> resident;
			return resident * ::sysconf(_SC_PAGESIZE) / 1'000'000;
		}

		/// Kills a process that exceeds its memory.
		void limit_memory(process& it)
		{
			const long limit = it.role == "agent" ? agent_memory_mb : balancer_memory_mb;
			// Until the program has been loaded, the memory is that of this process.
			const bool loaded = it.pid > 0 && clock::now() - it.started > ms{100};
			const long used = loaded ? memory_of(it.pid) : 0;
			if (used > limit)
			{
				++it.over_memory;
				record_.write("platform kills " + it.name + ": it has " + std::to_string(used) + " MB, memory_mb is " +
							  std::to_string(limit));
				::kill(it.pid, SIGKILL);
			}
		}

		void watch_ends()
		{
			for (auto& it : processes)
			{
				limit_memory(it);
				int status = 0;
				if (it.pid > 0 && ::waitpid(it.pid, &status, WNOHANG) == it.pid)
				{
					record_.write(it.name + " ended, status " + std::to_string(status));
					it.pid = 0;
					it.in_rotation = it.role == "balancer" && it.in_rotation;
					if (it.wanted)
					{
						loop_.after(restart_delay, [this, &it] { start(it); });
					}
				}
			}
			loop_.after(ms{10}, [this] { watch_ends(); });
		}

		/// Sends `GET /readyz` twice a second. After two misses a daemon is out of rotation until it answers with 200.
		void check_readiness()
		{
			for (auto& it : processes)
			{
				check(it);
			}
			loop_.after(ms{500}, [this] { check_readiness(); });
		}

		void check(process& it)
		{
			const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			const auto address = to_sockaddr({it.ip, ready_port});
			const bool failed =
				::connect(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS;
			const std::string request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
			const bool sent = !failed && ::send(fd, request.data(), request.size(), MSG_NOSIGNAL) > 0;
			loop_.after(ms{400},
						[this, &it, fd, sent]
						{
							char buf[256];
							const auto n = sent ? ::recv(fd, buf, sizeof buf, MSG_DONTWAIT) : -1;
							::close(fd);
							record_check(it, n > 12 && std::string_view{buf, 12} == "HTTP/1.1 200");
						});
		}

		void record_check(process& it, bool ready)
		{
			it.misses = ready ? 0 : it.misses + 1;
			const bool before = it.in_rotation;
			it.in_rotation = ready || (it.in_rotation && it.misses < 2);
			if (before != it.in_rotation && it.role == "balancer")
			{
				record_.write("platform takes " + it.name + (it.in_rotation ? " into" : " out of") + " the rotation");
			}
		}

		event_loop& loop_;
		recorder& record_;
		std::string node_;
		std::string folder_;
		std::uint32_t store_ip_;
	};

	/// Requester's host: keeps flows open and sends requests on them.
	class requester
	{
	public:
		requester(event_loop& loop, const platform& routers, recorder& record, std::string name, std::string zone,
				  std::uint32_t ip)
			: name_{std::move(name)}, zone_{std::move(zone)}, ip_{ip}, loop_{loop}, routers_{routers}, record_{record},
			  socket_{open_udp({ip, datagram_port})}
		{
			loop_.watch(socket_, [this] { read(); });
		}

		/// Called when a reset arrives on a flow that is open at the requester and that lies in the window.
		std::function<void(const flow_key&)> on_reset;

		long sent = 0;
		long answered = 0;
		long refused = 0; ///< Flows that never opened.

		/// Keeps a flow to a route open: opens it, and opens another one when it ends.
		/// \param pause	Between two requests.
		/// \param keep	Whether another flow is opened when this one ends.
		flow_key open(const endpoint& route, ms pause, bool keep = true)
		{
			const flow_key key{{ip_, ++last_port_}, route};
			auto& it = flows_[key];
			it.pause = pause;
			it.keep = keep;
			it.first = 1'000'000U + 4'099U * last_port_;
			it.next = it.first + 1;
			send_opening(key, 0);
			return key;
		}

		[[nodiscard]] bool is_open(const flow_key& key) const
		{
			const auto found = flows_.find(key);
			return found != flows_.end() && found->second.open;
		}

		[[nodiscard]] std::size_t count_open() const
		{
			return static_cast<std::size_t>(
				std::ranges::count_if(flows_, [](const auto& it) { return it.second.open; }));
		}

		/// Sends no further requests, so that all of them can be answered.
		bool quiet = false;

	private:
		struct flow_state
		{
			ms pause{400};
			bool keep = true;
			bool open = false;
			std::uint32_t first = 0;
			std::uint32_t next = 0;
			std::uint32_t expected = 0;
			std::string request; ///< Id of the request that waits for its answer.
			packet last;
			bool acknowledged = true;
		};

		[[nodiscard]] packet make(const flow_key& key, std::uint32_t seq, std::uint32_t ack, std::uint8_t flags,
								  std::string data = {}) const
		{
			return {.seq = seq,
					.ack = ack,
					.sum = 0,
					.flags = flags,
					.echo = 0,
					.src = key.requester,
					.dst = key.route,
					.data = std::move(data)};
		}

		void send(const flow_key& key, const packet& it) const
		{
			if (const auto* balancer = routers_.route(key, zone_))
			{
				send_to(socket_, {balancer->ip, datagram_port}, sealed(it));
			}
		}

		/// Sends an opening packet and its copies after 200 ms and 600 ms; gives up after 1.4 s.
		void send_opening(const flow_key& key, std::uint32_t copy)
		{
			const auto found = flows_.find(key);
			if (found == flows_.end() || found->second.open)
			{
				return;
			}
			if (copy == 3)
			{
				++refused;
				end(key);
				return;
			}
			send(key, make(key, found->second.first, copy, flag::syn));
			const std::array<ms, 3> waits{ms{200}, ms{400}, ms{800}};
			loop_.after(waits[copy], [this, key, copy] { send_opening(key, copy + 1); });
		}

		void end(const flow_key& key)
		{
			const auto found = flows_.find(key);
			const auto old = found->second;
			flows_.erase(found);
			if (old.keep && !quiet)
			{
				loop_.after(ms{100}, [this, key, old] { open(key.route, old.pause); });
			}
		}

		void read()
		{
			receive_all(socket_,
						[this](std::span<const std::uint8_t> in)
						{
							if (const auto it = decode(in))
							{
								handle(*it);
							}
						});
		}

		void handle(const packet& it)
		{
			const flow_key key{it.dst, it.src};
			const auto found = flows_.find(key);
			if (found == flows_.end())
			{
				return;
			}
			auto& flow = found->second;
			const bool own_reset = it.has(flag::rst) && it.sum == 0;
			if (!own_reset && it.sum != keyed_sum(it))
			{
				record_.broken("MIXED", "requester " + name_ + " got a packet that its sender did not write so");
				return;
			}
			if (it.has(flag::rst))
			{
				handle_reset(key, flow, it);
				return;
			}
			if (it.has(flag::syn) && !flow.open)
			{
				flow.open = true;
				flow.expected = it.seq + 1;
				next_request(key);
				return;
			}
			if (!flow.open)
			{
				return;
			}
			flow.acknowledged = flow.acknowledged || it.ack == flow.next;
			if (!it.data.empty())
			{
				handle_answer(key, flow, it);
			}
		}

		void handle_reset(const flow_key& key, const flow_state& flow, const packet& it)
		{
			if (!flow.open)
			{
				++refused;
				end(key);
				return;
			}
			const auto distance = static_cast<std::int32_t>(it.seq - flow.expected);
			if (std::abs(static_cast<long>(distance)) > static_cast<long>(reset_window))
			{
				return;
			}
			record_.write("requester " + name_ + ": flow " + to_text(key.requester) + ">" + to_text(key.route) +
						  " reset" +
						  (flow.request.empty() ? "" : " while request " + flow.request + " was in progress"));
			if (on_reset)
			{
				on_reset(key);
			}
			end(key);
		}

		void handle_answer(const flow_key& key, flow_state& flow, const packet& it)
		{
			if (it.seq == flow.expected)
			{
				flow.expected += static_cast<std::uint32_t>(it.data.size());
				if (flow.request.empty() || !it.data.ends_with("done " + flow.request))
				{
					record_.broken("MIXED", "answer of another request on flow " + to_text(key.requester));
				}
				++answered;
				flow.request.clear();
				loop_.after(flow.pause, [this, key] { next_request(key); });
			}
			send(key, make(key, flow.next, flow.expected, flag::ack));
		}

		void next_request(const flow_key& key)
		{
			const auto found = flows_.find(key);
			if (found == flows_.end() || quiet)
			{
				return;
			}
			auto& flow = found->second;
			flow.request = name_ + "-" + std::to_string(++sent);
			const auto data = "POST /work HTTP/1.1\r\nHost: desk\r\nNutmegturn-Request-Id: " + flow.request +
							  "\r\nContent-Length: 0\r\n\r\n";
			flow.last = make(key, flow.next, flow.expected, flag::ack, data);
			flow.next += static_cast<std::uint32_t>(data.size());
			flow.acknowledged = false;
			send_until_acknowledged(key, flow.request, ms{200});
		}

		void send_until_acknowledged(const flow_key& key, const std::string& request, ms interval)
		{
			const auto found = flows_.find(key);
			if (found == flows_.end() || found->second.request != request || found->second.acknowledged)
			{
				return;
			}
			send(key, found->second.last);
			loop_.after(interval, [this, key, request, interval]
						{ send_until_acknowledged(key, request, std::min(2 * interval, ms{1'600})); });
		}

		std::string name_;
		std::string zone_;
		std::uint32_t ip_;
		event_loop& loop_;
		const platform& routers_;
		recorder& record_;
		int socket_;
		std::uint16_t last_port_ = 20'000;
		std::map<flow_key, flow_state> flows_;
	};

	/// Folders, addresses and the switch of a case.
	struct surroundings
	{
		std::string node;          ///< Program of the project.
		std::string folder;        ///< For settings and logs.
		std::string record;        ///< File for what was sent, answered and run.
		std::uint32_t network = 0; ///< The case's loopback addresses.
		bool trouble = true;

		/// Returns an address of the case.
		[[nodiscard]] std::uint32_t address(std::uint32_t group, std::uint32_t number) const
		{
			return network | group << 8U | number;
		}
	};

	/// Finds a loopback network on which no other case runs. Its first address stays bound as a sign for others.
	inline std::uint32_t find_network()
	{
		constexpr std::uint32_t first = 64;
		constexpr std::uint32_t count = 186;
		for (std::uint32_t i = 0; i < count; ++i)
		{
			const auto second = first + (i + static_cast<std::uint32_t>(::getpid())) % count;
			const std::uint32_t network = 127U << 24U | second << 16U;
			const int fd = ::socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
			const auto address = to_sockaddr({network | 1U, datagram_port});
			if (::bind(fd, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0)
			{
				return network;
			}
			::close(fd);
		}
		throw std::runtime_error{"no free loopback network"};
	}

	/// Reads the surroundings from the command line: program, folder and record.
	inline surroundings read_surroundings(int argc, char** argv)
	{
		if (argc != 4)
		{
			throw std::runtime_error{"expected the program, a folder and the record's path"};
		}
		const char* trouble = std::getenv("TROUBLE");
		return {.node = argv[1],
				.folder = argv[2],
				.record = argv[3],
				.network = find_network(),
				.trouble = trouble == nullptr || std::string_view{trouble} != "0"};
	}
}
