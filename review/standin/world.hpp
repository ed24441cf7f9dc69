#pragma once

#include "ends.hpp"
#include "process.hpp"
#include "store.hpp"

#include <sys/stat.h>

#include <cstdarg>
#include <cstdlib>
#include <filesystem>
#include <iostream>

/// A small deployment on loopback: store, fabric, machines with processes of the system, targets and requesters.
namespace review
{
	/// Figures of the settings, as the pages give them for a small deployment.
	namespace bounds
	{
		inline constexpr milliseconds stability_window{4'000};
		inline constexpr milliseconds drain{3'000};
		inline constexpr milliseconds readiness_interval{500};
		inline constexpr int readiness_misses = 2;
	}

	/// Delay after which the platform starts an ended process again.
	inline constexpr milliseconds restart_delay{300};

	inline constexpr const char* service_name = "permit-desk";

	/// Ports, the same on all machines.
	struct ports
	{
		std::uint16_t datagrams = 0;
		std::uint16_t ready = 0;
		std::uint16_t control = 0;
		std::uint16_t app = 0;
		std::uint16_t outbound = 0;
		std::uint16_t internal = 0;
		std::uint16_t store = 0;
	};

	/// A machine with one process of the system.
	struct machine
	{
		std::string name;
		std::string role; ///< "balancer" or "agent".
		std::string zone;
		std::uint32_t ip = 0;
		std::string service;
		std::uint16_t store_port = 0;
		bool bootstrap = true;
		process daemon;
		bool in_rotation = false; ///< Balancers only: what the fabric knows.
		int misses = 0;
		std::unique_ptr<target> app;
		std::string entry_id;
		bool stopping = false;
		bool removed = false;
		int ended_by_itself = 0; ///< How often its process ended without a signal.
	};

	class world
	{
	public:
		explicit world(std::string record_path) : record_{record_path}, store_{events}
		{
			char path[] = "/tmp/review-XXXXXX";
			folder_ = ::mkdtemp(path);
			base_ = 100U + static_cast<unsigned>(::getpid()) % 100U;
			started_ = clock::now();
			trouble = std::getenv("TROUBLE") == nullptr || std::string{std::getenv("TROUBLE")} != "0";
			choose_ports();
			store_.on_answer = [this](const store::answer& it, bool lost)
			{
				if (count_answers)
				{
					++answers;
					answers_lost += lost ? 1 : 0;
				}
				if (lost)
				{
					note("store: answer to %s for %s is lost; its channel returns nothing further", it.reader.c_str(),
						 it.target.c_str());
				}
			};
			events.every(bounds::readiness_interval, [this] { check_readiness(); });
			events.every(milliseconds{50}, [this] { reap(); });
		}

		~world()
		{
			for (auto& it : machines_)
			{
				it->daemon.kill_and_wait();
			}
			if (std::getenv("KEEP") == nullptr)
			{
				std::filesystem::remove_all(folder_);
			}
		}

		world(const world&) = delete;
		world& operator=(const world&) = delete;

		loop events;
		bool trouble = true;
		bool count_answers = false; ///< Counts the answers of the store and those that are lost.
		int answers = 0;
		int answers_lost = 0;

		[[nodiscard]] store& metadata()
		{
			return store_;
		}

		[[nodiscard]] milliseconds now() const
		{
			return std::chrono::duration_cast<milliseconds>(clock::now() - started_);
		}

		/// Runs a step at a time since the start of the world.
		void at(int ms, std::function<void()> step)
		{
			events.at(started_ + milliseconds{ms}, std::move(step));
		}

		/// Writes a line to the record.
		__attribute__((format(printf, 2, 3))) void note(const char* format, ...)
		{
			char text[512];
			va_list arguments;
			va_start(arguments, format);
			std::vsnprintf(text, sizeof text, format, arguments);
			va_end(arguments);
			char line[560];
			std::snprintf(line, sizeof line, "%9.3f %s\n", static_cast<double>(now().count()) / 1000.0, text);
			record_ << line << std::flush;
		}

		/// Records that a rule is broken.
		void broken(const std::string& rule, const std::string& what)
		{
			++breaks_;
			note("BROKEN %s: %s", rule.c_str(), what.c_str());
		}

		[[nodiscard]] int breaks() const
		{
			return breaks_;
		}

		machine& add(const std::string& name, const std::string& role, const std::string& zone, unsigned number,
					 const std::string& service = service_name)
		{
			auto made = std::make_unique<machine>();
			made->name = name;
			made->role = role;
			made->zone = zone;
			made->ip = make_ip(base_, role == "balancer" ? 1 : 2, number);
			made->service = service;
			made->store_port = static_cast<std::uint16_t>(ports_.store + machines_.size());
			store_.listen({.ip = make_ip(base_, 0, 1), .port = made->store_port}, name);
			machines_.push_back(std::move(made));
			return *machines_.back();
		}

		/// Writes the settings and starts the machine's process.
		void start(machine& it)
		{
			write_settings(it);
			it.stopping = false;
			it.daemon.start("target/nutmegturn-node " + it.role, folder_ + "/" + it.name + ".toml",
							folder_ + "/" + it.name + ".log");
			note("%s: process started", it.name.c_str());
		}

		/// Stops a process as the platform does: SIGTERM, and SIGKILL after `grace_s`. It starts again at once.
		void restart(machine& it)
		{
			note("%s: SIGTERM (planned restart)", it.name.c_str());
			it.stopping = true;
			it.bootstrap = false;
			it.daemon.signal(SIGTERM);
			events.after(milliseconds{6'000},
						 [&it]
						 {
							 if (it.stopping)
							 {
								 it.daemon.signal(SIGKILL);
							 }
						 });
		}

		/// Stops the process of a machine that is taken away.
		void remove(machine& it)
		{
			note("%s: SIGTERM (the machine is taken away)", it.name.c_str());
			it.stopping = true;
			it.removed = true;
			it.daemon.signal(SIGTERM);
		}

		/// Creates and starts a machine's target.
		target& start_target(machine& it, target::events handlers)
		{
			if (!it.app)
			{
				it.app = std::make_unique<target>(events, address{it.ip, ports_.app}, address{it.ip, ports_.outbound},
												  std::move(handlers), ++seed_);
			}
			it.app->start();
			note("%s: target started", it.name.c_str());
			return *it.app;
		}

		/// Entry of a target in the store.
		[[nodiscard]] std::string entry(const machine& it, const std::string& state, int cold_ms, int sequence,
										std::int64_t born) const
		{
			return R"({"service":")" + it.service + R"(","address":")" + to_text(app_of(it)) + R"(","zone":")" +
				   it.zone + R"(","version":"v1","max_concurrency":5,"state":")" + state + R"(","cold_remaining_ms":)" +
				   std::to_string(cold_ms) + R"(,"sequence":)" + std::to_string(sequence) + R"(,"born":)" +
				   std::to_string(born) + "}";
		}

		[[nodiscard]] address app_of(const machine& it) const
		{
			return {.ip = it.ip, .port = ports_.app};
		}

		/// Address that requester `number` has.
		[[nodiscard]] address requester_address(unsigned number) const
		{
			return {.ip = make_ip(base_, 3, number), .port = ports_.datagrams};
		}

		/// Address of route `number`.
		[[nodiscard]] address route(unsigned number) const
		{
			return {.ip = make_ip(base_, 9, number), .port = 443};
		}

		[[nodiscard]] std::string configuration(int version,
												const std::vector<std::pair<unsigned, std::string>>& routes,
												int cold_per_s = 0) const
		{
			std::string list;
			std::set<std::string> services;
			for (const auto& [number, service] : routes)
			{
				list += (list.empty() ? "" : ",") + std::string{R"({"name":"r-)"} + std::to_string(number) +
						R"(","host":")" + ip_text(route(number).ip) +
						R"(","prefix":"/443/","type":"non_idempotent","timeout_ms":2000,"aim_ms":200,"priority":1,)" +
						R"("service":")" + service + R"(","max_attempts":2})";
				services.insert(service);
			}
			std::string known;
			for (const auto& service : services)
			{
				known += (known.empty() ? "" : ",") + std::string{R"({"name":")"} + service +
						 R"(","health_check_path":"/healthz","max_connections":2000,"protocol":"h1","tls":false,)" +
						 R"("cold_start_s":2.0,"cold_per_s":)" + std::to_string(cold_per_s) + ".0}";
			}
			return R"({"version":)" + std::to_string(version) + R"(,"routes":[)" + list + R"(],"services":[)" + known +
				   R"(],"limits":{"max_header_bytes":16384,"max_body_bytes":262144,"header_timeout_ms":3000,)" +
				   R"("idle_timeout_ms":15000}})";
		}

		/// The fabric: chooses the balancer by a hash over those in rotation (`hash` = "mod").
		[[nodiscard]] machine* choose_balancer(const flow_key& key)
		{
			std::vector<machine*> all;
			std::vector<machine*> ready;
			for (const auto& it : machines_)
			{
				const auto zone = requester_zones.find(key.requester.ip);
				const bool in_zone = zone == requester_zones.end() || zone->second == it->zone;
				if (it->role == "balancer" && in_zone)
				{
					all.push_back(it.get());
					if (it->in_rotation)
					{
						ready.push_back(it.get());
					}
				}
			}
			const auto& used = ready.size() * 2 < all.size() ? all : ready;
			if (used.empty())
			{
				return nullptr;
			}
			std::uint64_t hash = key.requester.port * 40'503ULL + key.requester.ip * 2'654'435'761ULL;
			hash ^= hash >> 17U;
			return used[hash % used.size()];
		}

		[[nodiscard]] address balancer_address(const flow_key& key)
		{
			const auto* it = choose_balancer(key);
			return {.ip = it == nullptr ? make_ip(base_, 1, 250) : it->ip, .port = ports_.datagrams};
		}

		[[nodiscard]] machine& find(const std::string& name)
		{
			return **std::ranges::find_if(machines_, [&name](const auto& it) { return it->name == name; });
		}

		/// Returns whether the deployment ran as the case needs it.
		[[nodiscard]] bool valid() const
		{
			return problem.empty();
		}

		std::string problem;

		/// Zones of requesters by address; the fabric uses the balancers of a requester's zone.
		std::map<std::uint32_t, std::string> requester_zones;

		[[nodiscard]] bool all_running() const
		{
			return std::ranges::all_of(machines_, [](const auto& it) { return it->daemon.running(); });
		}

		[[nodiscard]] const std::string& folder() const
		{
			return folder_;
		}

		/// Value of `grace_s` in new settings.
		std::string grace = "6";

		void write_settings(const machine& it) const
		{
			const auto ip = ip_text(it.ip);
			const auto at = [&ip](std::uint16_t port) { return "\"" + ip + ":" + std::to_string(port) + "\""; };
			const bool agent = it.role == "agent";
			std::ofstream out{folder_ + "/" + it.name + ".toml"};
			out << "node_name = \"" << it.name << "\"\nrole = \"" << it.role << "\"\nmachine_class = \""
				<< (agent ? "side" : "edge") << "\"\nserves = [\"" << (agent ? "side" : "edge") << "\"]\nip = \"" << ip
				<< "\"\nzone = \"" << it.zone << "\"\nregion = \"cz-stred\"\ninternal_port_range = [" << ports_.internal
				<< "," << ports_.internal + 15 << "]\nseeds = []\nbootstrap = " << (it.bootstrap ? "true" : "false")
				<< "\nin_failure_budget = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 1200\n"
				<< "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\",\"platform\"]\n"
				<< "hash = \"mod\"\ndeployment_mode = \"agent\"\n";
			if (agent)
			{
				out << "app = " << at(ports_.app) << "\nservice = \"" << it.service << "\"\n";
			}
			out << "[zones]\nstred-a = \"cz-stred\"\nstred-b = \"cz-stred\"\n[listen_addrs]\ndatagram_addr = "
				<< at(ports_.datagrams) << "\nready = " << at(ports_.ready) << "\n";
			if (agent)
			{
				out << "outbound = " << at(ports_.outbound) << "\n";
			}
			out << "[limits]\ncpu_share = 0.15\ncpu_cores = 1\nmemory_mb = 128\nmax_fds = 4096\nlink_mbps = 1000.0\n"
				<< "disk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
				<< "reuse_after_s = 2\nstability_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n"
				<< "grace_s = " << grace << "\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\n"
				<< "max_skew_ms = 12000\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n"
				<< "reorder_window_ms = 2000\nmax_flow_s = 60\n[platform]\naddress = \""
				<< to_text({.ip = make_ip(base_, 0, 1), .port = it.store_port})
				<< "\"\ndeployment_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
				<< "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
		}

	private:
		/// Chooses ports that are free on this machine's loopback addresses.
		void choose_ports()
		{
			std::mt19937 random{std::random_device{}()};
			for (int tries = 0; tries < 100; ++tries)
			{
				const auto first = static_cast<std::uint16_t>(20'000 + random() % 11'000);
				if (!range_free(first))
				{
					continue;
				}
				ports_ = {.datagrams = first,
						  .ready = static_cast<std::uint16_t>(first + 1),
						  .control = static_cast<std::uint16_t>(first + 2),
						  .app = static_cast<std::uint16_t>(first + 3),
						  .outbound = static_cast<std::uint16_t>(first + 4),
						  .internal = static_cast<std::uint16_t>(first + 5),
						  .store = static_cast<std::uint16_t>(first + 30)};
				return;
			}
			throw std::runtime_error("no free ports");
		}

		static bool range_free(std::uint16_t first)
		{
			constexpr int used_ports = 50;
			for (int i = 0; i < used_ports; ++i)
			{
				for (const int type : {SOCK_DGRAM, SOCK_STREAM})
				{
					const int fd = ::socket(AF_INET, type | SOCK_CLOEXEC, 0);
					const auto any = to_sockaddr({.ip = 0, .port = static_cast<std::uint16_t>(first + i)});
					const int result = ::bind(fd, reinterpret_cast<const sockaddr*>(&any), sizeof any);
					::close(fd);
					if (result != 0)
					{
						return false;
					}
				}
			}
			return true;
		}

		void check_readiness()
		{
			for (const auto& it : machines_)
			{
				if (it->role == "balancer")
				{
					check_readiness(*it);
				}
			}
		}

		void check_readiness(machine& it)
		{
			const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
			const auto to = to_sockaddr({.ip = it.ip, .port = ports_.ready});
			::connect(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to);
			const std::string request = "GET /readyz HTTP/1.1\r\nHost: ready\r\n\r\n";
			[[maybe_unused]] const auto n = ::send(fd, request.data(), request.size(), MSG_NOSIGNAL);
			const auto done = std::make_shared<bool>(false);
			const auto finish = [this, fd, done, &it](bool ready)
			{
				if (std::exchange(*done, true))
				{
					return;
				}
				events.unwatch(fd);
				::close(fd);
				set_ready(it, ready);
			};
			events.watch(
				fd,
				[fd, finish]
				{
					char buf[256];
					const auto size = ::recv(fd, buf, sizeof buf, MSG_DONTWAIT);
					finish(size > 12 && std::string{buf, static_cast<std::size_t>(size)}.substr(9, 3) == "200");
				});
			events.after(milliseconds{400}, [finish] { finish(false); });
		}

		void set_ready(machine& it, bool ready)
		{
			it.misses = ready ? 0 : it.misses + 1;
			const bool in = ready || (it.in_rotation && it.misses < bounds::readiness_misses);
			if (in != it.in_rotation)
			{
				note("fabric: %s %s rotation", it.name.c_str(), in ? "enters" : "leaves");
			}
			it.in_rotation = in;
		}

		void reap()
		{
			for (const auto& it : machines_)
			{
				int status = 0;
				if (!it->daemon.ended(status))
				{
					continue;
				}
				note("%s: process ended (%s %d)", it->name.c_str(), WIFSIGNALED(status) ? "signal" : "status",
					 WIFSIGNALED(status) ? WTERMSIG(status) : WEXITSTATUS(status));
				if (!it->stopping)
				{
					++it->ended_by_itself;
				}
				it->bootstrap = false;
				if (it->removed)
				{
					continue;
				}
				events.after(restart_delay, [this, again = it.get()] { start(*again); });
			}
		}

		std::ofstream record_;
		store store_;
		std::string folder_;
		unsigned base_ = 0;
		unsigned seed_ = 0;
		time_point started_;
		ports ports_;
		std::vector<std::unique_ptr<machine>> machines_;
		int breaks_ = 0;
	};
}
