#pragma once

#include "loopback_store.hpp"
#include "node/event_loop.hpp"
#include "node/tcp.hpp"
#include "platform/packet_format.hpp"
#include "runtime/udp.hpp"

#include <fcntl.h>
#include <fmt/format.h>
#include <gtest/gtest.h>
#include <signal.h>
#include <sys/socket.h>
#include <sys/wait.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <list>
#include <map>
#include <optional>
#include <set>
#include <vector>

/// A deployment of real processes on loopback, with stand-ins of its metadata store, upstreams and callers.
namespace nutmegturn::node::testing
{
	/// \name Published bounds
	/// @{

	/// Time without a fault after which rules hold again for a process.
	inline constexpr std::chrono::milliseconds stability_window{4'000};

	inline constexpr std::chrono::milliseconds config_bound{3'000};
	inline constexpr std::chrono::milliseconds downgrade_slack{250};
	inline constexpr std::chrono::milliseconds drain_bound{3'000};
	inline constexpr std::chrono::milliseconds evacuation_bound{5'000};
	/// @}

	/// Metadata store with long watches. Each process has a port of its own there. Connections can go silent for good
	/// while new ones work; the kernel still acknowledges what arrives on them, keep-alive probes included.
	class metadata_store
	{
	public:
		explicit metadata_store(event_loop& loop) : loop_{loop} {}

		~metadata_store()
		{
			for (const auto& it : connections_)
			{
				loop_.unwatch(it.fd.get());
			}
		}

		metadata_store(const metadata_store&) = delete;
		metadata_store& operator=(const metadata_store&) = delete;
		metadata_store(metadata_store&&) = delete;
		metadata_store& operator=(metadata_store&&) = delete;

		std::uint64_t calls = 0;
		std::uint64_t confirmations = 0; ///< Calls that do not wait for a change.
		std::uint64_t bytes = 0;         ///< Of the bodies of answers.

		/// Decides whether an answer to a process is lost. Its connection then returns nothing further.
		std::function<bool(const std::string& reader)> loses_answer;

		/// Processes whose calls are refused.
		std::set<std::string> refused;

		[[nodiscard]] bool listen(const endpoint& local, std::string reader)
		{
			auto socket = listen_tcp(local);
			if (!has_value(socket))
			{
				return false;
			}
			const int fd = std::get<0>(socket).get();
			listeners_.push_back(std::move(std::get<0>(socket)));
			return loop_.watch(fd, [this, fd, reader = std::move(reader)] { accept(fd, reader); });
		}

		/// Writes a record, which is acknowledged when this returns.
		void put(const std::string& key, const std::string& value)
		{
			++revision_;
			items_[key] = item(key, static_cast<int>(revision_), value);
			add_event(key, items_[key]);
		}

		/// Removes a record, which is acknowledged when this returns.
		void remove(const std::string& key)
		{
			if (items_.erase(key) > 0)
			{
				++revision_;
				add_event(key, fmt::format(R"({{"key":"{}","revision":{},"removed":true}})", key, revision_));
			}
		}

		/// Closes all open connections.
		void close_connections()
		{
			for (const auto& it : connections_)
			{
				loop_.unwatch(it.fd.get());
			}
			connections_.clear();
		}

		/// Answers nothing more on the open connections of a process, or on all if none is named.
		void silence_open_connections(const std::string& reader = {})
		{
			for (auto& it : connections_)
			{
				it.silent = it.silent || reader.empty() || it.reader == reader;
			}
		}

	private:
		struct connection
		{
			runtime::file_descriptor fd;
			std::string reader;
			std::string received;
			bool silent = false;
			bool watching = false;
			std::uint64_t call = 0;
			std::string prefix;
			std::uint64_t after = 0;
		};

		struct event
		{
			std::string key;
			std::uint64_t revision = 0;
			std::string encoded;
		};

		void accept(int listener, const std::string& reader)
		{
			connection made;
			made.fd = runtime::file_descriptor{::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC)};
			made.reader = reader;
			const auto at = connections_.insert(connections_.end(), std::move(made));
			static_cast<void>(loop_.watch(at->fd.get(), [this, at] { read(at); }));
		}

		void read(std::list<connection>::iterator at)
		{
			std::array<char, 4'096> buf{};
			const auto n = ::recv(at->fd.get(), buf.data(), buf.size(), MSG_DONTWAIT);
			if (n <= 0)
			{
				loop_.unwatch(at->fd.get());
				connections_.erase(at);
				return;
			}
			at->received.append(buf.data(), static_cast<std::size_t>(n));
			const auto end = at->received.find("\r\n\r\n");
			if (end != std::string::npos && !at->silent)
			{
				const auto line = at->received.substr(0, at->received.find("\r\n"));
				at->received.erase(0, end + 4);
				handle(*at, line.substr(4, line.rfind(' ') - 4));
			}
		}

		[[nodiscard]] static std::string query_field(const std::string& target, const std::string& name)
		{
			const auto at = target.find(name + "=");
			if (at == std::string::npos)
			{
				return {};
			}
			const auto from = at + name.size() + 1;
			return target.substr(from, target.find('&', from) - from);
		}

		[[nodiscard]] static std::uint64_t number(const std::string& text)
		{
			return text.empty() ? 0 : std::stoull(text);
		}

		void handle(connection& client, const std::string& target)
		{
			++calls;
			if (refused.contains(client.reader))
			{
				send_response(client, "503 Service Unavailable", "{}");
				return;
			}
			client.prefix = query_field(target, "prefix");
			if (target.starts_with("/kv-range"))
			{
				std::vector<std::string> found;
				for (const auto& [key, encoded] : items_)
				{
					if (key.starts_with(client.prefix))
					{
						found.push_back(encoded);
					}
				}
				reply(client,
					  fmt::format(R"({{"items":[{}],"has_more":false,"as_of":{}}})", fmt::join(found, ","), revision_));
				return;
			}
			client.after = number(query_field(target, "after"));
			confirmations += query_field(target, "wait_ms") == "1" ? 1 : 0;
			client.watching = true;
			answer_watch(client, false);
			const std::chrono::milliseconds wait{number(query_field(target, "wait_ms"))};
			loop_.call_at(loop_.now() + wait,
						  [this, fd = client.fd.get(), call = client.call] { end_watch(fd, call); });
		}

		void end_watch(int fd, std::uint64_t call)
		{
			for (auto& it : connections_)
			{
				if (it.fd.get() == fd && it.call == call && it.watching)
				{
					answer_watch(it, true);
				}
			}
		}

		void add_event(const std::string& key, const std::string& encoded)
		{
			events_.push_back({.key = key, .revision = revision_, .encoded = encoded});
			for (auto& it : connections_)
			{
				if (it.watching)
				{
					answer_watch(it, false);
				}
			}
		}

		/// Answers a watch if there are changes, or if its time is over.
		void answer_watch(connection& client, bool over)
		{
			std::vector<std::string> found;
			for (const auto& it : events_)
			{
				if (it.revision > client.after && it.key.starts_with(client.prefix))
				{
					found.push_back(it.encoded);
				}
			}
			if (over || !found.empty())
			{
				client.watching = false;
				reply(client, fmt::format(R"({{"events":[{}],"as_of":{}}})", fmt::join(found, ","), revision_));
			}
		}

		void reply(connection& client, const std::string& body)
		{
			++client.call;
			client.silent = client.silent || (loses_answer && loses_answer(client.reader));
			if (!client.silent)
			{
				bytes += body.size();
				send_response(client, "200 OK", body);
			}
		}

		static void send_response(const connection& client, std::string_view status, const std::string& body)
		{
			const auto text = fmt::format("HTTP/1.1 {}\r\nContent-Length: {}\r\n\r\n{}", status, body.size(), body);
			static_cast<void>(::send(client.fd.get(), text.data(), text.size(), MSG_NOSIGNAL));
		}

		event_loop& loop_;
		std::vector<runtime::file_descriptor> listeners_;
		std::list<connection> connections_;
		std::map<std::string, std::string> items_;
		std::vector<event> events_;
		std::uint64_t revision_ = 0;
	};

	/// Opening packet of a flow that a caller sent, and what became of it.
	struct opened_flow
	{
		std::string balancer;
		std::string route;
		monotonic_time sent;
		std::string run_by; ///< Service of the first upstream that it reached; empty if none did.
		std::string run_in; ///< Availability zone of that upstream.
		std::string run_at; ///< Name of that upstream's process.
		monotonic_time run_time;
		bool reset = false; ///< The system reset the flow.
	};

	/// Real processes with their store, upstreams and callers. The program of another build is used if the variable
	/// NUTMEGTURN_NODE names one.
	class process_deployment : public ::testing::Test
	{
	protected:
		static constexpr std::uint16_t caller_port = 17'451;
		static constexpr std::uint16_t ready_port = 17'452;
		static constexpr std::uint16_t app_port = 17'453;
		static constexpr std::uint16_t outbound_port = 17'454;
		static constexpr std::uint16_t peer_port = 17'455;
		static constexpr unsigned store_port = 17'480;

		struct instance
		{
			std::string name;
			std::string role;
			std::string zone;
			std::string service;
			steering::ipv4 ip{};
			pid_t process = 0;
			runtime::file_descriptor app;
			std::string entry_state = "ready";
			int sequence = 0;
		};

		void add_instance(const std::string& name, const std::string& role, const std::string& zone,
						  const std::string& service = {})
		{
			instance made;
			made.name = name;
			made.role = role;
			made.zone = zone;
			made.service = service;
			made.ip = address_of(1 + static_cast<unsigned>(instances.size()));
			instances.push_back(std::move(made));
			auto& it = instances.back();
			const auto own_store = own_address(store_port + static_cast<unsigned>(instances.size()));
			ASSERT_TRUE(store.listen(own_store, name));
			write_settings(it, own_store);
			if (role == "agent")
			{
				auto socket = runtime::open_udp(steering::to_endpoint({.ip = it.ip, .port = app_port}));
				ASSERT_TRUE(has_value(socket));
				it.app = std::move(std::get<0>(socket));
				ASSERT_TRUE(loop.watch(it.app.get(), [this, &it] { read_upstream(it); }));
				publish(it);
			}
		}

		/// Writes the entry of an instance's upstream with a new sequence number.
		void publish(instance& it)
		{
			++it.sequence;
			store.put("servers/" + it.name, entry_of(it, it.service, 1));
		}

		/// Returns an entry with the address of an instance's upstream.
		/// \param born	Start time; of entries of one address, the one that started last is in force.
		[[nodiscard]] static std::string entry_of(const instance& it, std::string_view service, int born)
		{
			return fmt::format(R"({{"service":"{}","address":"{}:{}","zone":"{}","version":"v1",)"
							   R"("max_concurrency":50,"state":"{}","cold_remaining_ms":0,"sequence":{},"born":{}}})",
							   service, to_string(it.ip), app_port, it.zone, it.entry_state, it.sequence, born);
		}

		/// Publishes a configuration.
		/// \param routes	Services by the routes' addresses.
		void configure(int version, const std::map<std::string, std::string>& routes)
		{
			std::vector<std::string> list;
			for (const auto& [host, service] : routes)
			{
				list.push_back(fmt::format(R"({{"host":"{}","prefix":"/443/","service":"{}"}})", host, service));
			}
			std::vector<std::string> services;
			for (const auto& it : described_services)
			{
				services.push_back(fmt::format(R"({{"name":"{}"}})", it));
			}
			store.put("op/config", fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],)"
											   R"("limits":{{"idle_timeout_ms":15000}}}})",
											   version, fmt::join(list, ","), fmt::join(services, ",")));
		}

		/// Starts all processes and waits until each balancer reaches an upstream by a route.
		void start_all(const std::string& route)
		{
			auto socket = runtime::open_udp(steering::to_endpoint({.ip = caller_ip(), .port = caller_port}));
			ASSERT_TRUE(has_value(socket));
			callers = std::move(std::get<0>(socket));
			ASSERT_TRUE(loop.watch(callers.get(), [this] { read_callers(); }));
			for (auto& it : instances)
			{
				start(it);
			}
			const auto end = runtime::read_clock() + std::chrono::seconds{20};
			while (!reached_from_all(route) && runtime::read_clock() < end)
			{
				open_flows({route});
				run_for(std::chrono::milliseconds{100});
			}
			ASSERT_TRUE(reached_from_all(route));
			flows.clear();
		}

		/// Kills a process and starts it again.
		void restart(instance& it) const
		{
			::kill(it.process, SIGKILL);
			::waitpid(it.process, nullptr, 0);
			start(it);
		}

		/// Opens a flow to each route through each balancer.
		void open_flows(const std::vector<std::string>& routes)
		{
			for (const auto& it : instances)
			{
				for (const auto& route : it.role == "balancer" ? routes : std::vector<std::string>{})
				{
					open_flow(it, route);
				}
			}
		}

		/// Opens flows ten times a second for a while.
		void keep_opening(const std::vector<std::string>& routes, std::chrono::milliseconds time)
		{
			constexpr std::chrono::milliseconds interval{100};
			for (std::chrono::milliseconds passed{0}; passed < time; passed += interval)
			{
				open_flows(routes);
				run_for(interval);
			}
		}

		void run_for(std::chrono::milliseconds time)
		{
			loop.call_at(runtime::read_clock() + time, [this] { loop.stop(); });
			loop.run();
		}

		/// Returns the flows to a route that were opened later than a time.
		[[nodiscard]] std::vector<opened_flow> flows_after(const std::string& route, monotonic_time time) const
		{
			std::vector<opened_flow> found;
			for (const auto& [port, it] : flows)
			{
				if (it.route == route && it.sent > time)
				{
					found.push_back(it);
				}
			}
			return found;
		}

		void SetUp() override
		{
			folder = std::filesystem::path{::testing::TempDir()} / fmt::format("deployment-{}", ::getpid());
			std::filesystem::create_directories(folder);
		}

		void TearDown() override
		{
			for (const auto& it : instances)
			{
				if (it.process > 0)
				{
					::kill(it.process, SIGKILL);
					::waitpid(it.process, nullptr, 0);
				}
			}
			if (HasFailure())
			{
				fmt::print("logs of the processes: {}\n", folder.string());
			}
			else
			{
				std::filesystem::remove_all(folder);
			}
		}

		event_loop loop;
		metadata_store store{loop};
		std::list<instance> instances;
		std::map<std::uint16_t, opened_flow> flows; ///< By the caller's port.
		bool unexplained_keys_empty = false;        ///< In settings that are written from now on.

		/// Services with limits in the configuration; without limits, an upstream counts as cold.
		std::vector<std::string> described_services{"desk", "archive"};

	private:
		/// Returns the address of a process or caller. The second byte is one that `own_address` does not use, since
		/// tests run in parallel.
		[[nodiscard]] static steering::ipv4 address_of(unsigned number)
		{
			constexpr std::uint32_t first_byte = 101;
			const auto own = static_cast<std::uint32_t>(steering::parse_ipv4_endpoint(to_string(own_address(1)))->ip);
			return steering::ipv4{(own & 0xff00'ffffU) | ((first_byte + number) << 16U)};
		}

		[[nodiscard]] static steering::ipv4 caller_ip()
		{
			return address_of(0);
		}

		void write_settings(const instance& it, const endpoint& own_store) const
		{
			const auto ip = to_string(it.ip);
			std::ofstream out{folder / (it.name + ".toml")};
			const auto unexplained = [this](const std::string& value)
			{ return unexplained_keys_empty ? std::string{} : value; };
			out << fmt::format("node_name = \"{}\"\nzone = \"{}\"\nip = \"{}\"\ninternal_port_range = [{}, {}]\n",
							   unexplained(it.name), unexplained(it.zone), unexplained(ip), peer_port, peer_port + 15);
			out << fmt::format("bootstrap = true\nservice = \"{}\"\napp = \"{}:{}\"\n", it.service, ip, app_port);
			out << fmt::format(
				"[listen_addrs]\ndatagram_addr = \"{0}:{1}\"\nready = \"{0}:{2}\"\noutbound = \"{0}:{3}\"\n", ip,
				caller_port, ready_port, outbound_port);
			out << fmt::format("[bounds]\ngrace_s = 6\n[platform]\naddress = \"{}\"\n", to_string(own_store));
		}

		void start(instance& it) const
		{
			const auto* other = std::getenv("NUTMEGTURN_NODE");
			const std::string program = other != nullptr ? other : NUTMEGTURN_BINARY_DIR "/nutmegturn-node";
			const auto settings = "NUTMEGTURN_CONFIG=" + (folder / (it.name + ".toml")).string();
			const auto output = (folder / (it.name + ".log")).string();
			it.process = ::fork();
			if (it.process == 0)
			{
				const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
				::dup2(out, STDOUT_FILENO);
				::dup2(out, STDERR_FILENO);
				std::array<char*, 3> words{const_cast<char*>(program.c_str()), const_cast<char*>(it.role.c_str()),
										   nullptr};
				std::array<char*, 2> environment{const_cast<char*>(settings.c_str()), nullptr};
				::execve(program.c_str(), words.data(), environment.data());
				::_exit(127);
			}
		}

		[[nodiscard]] bool reached_from_all(const std::string& route) const
		{
			return std::ranges::all_of(instances,
									   [&](const auto& it)
									   {
										   return it.role != "balancer" ||
												  std::ranges::any_of(flows,
																	  [&](const auto& flow) {
																		  return flow.second.balancer == it.name &&
																				 flow.second.route == route &&
																				 !flow.second.run_by.empty();
																	  });
									   });
		}

		void open_flow(const instance& balancer, const std::string& route)
		{
			const steering::ipv4_endpoint caller{.ip = caller_ip(), .port = ++last_port};
			flows[caller.port] = {.balancer = balancer.name,
								  .route = route,
								  .sent = runtime::read_clock(),
								  .run_by = {},
								  .run_in = {},
								  .run_at = {},
								  .run_time = {},
								  .reset = false};
			// The header of a reset, with the flags of an opening packet.
			auto packet = platform::encode_reset(
				{.caller = *steering::parse_ipv4_endpoint(route + ":443"), .route = caller}, last_port);
			packet[flags_offset] = syn_flag;
			send(callers.get(), {.ip = balancer.ip, .port = caller_port}, packet);
		}

		/// Records the opening packets that reach an upstream, and accepts them.
		void read_upstream(const instance& it)
		{
			runtime::receive_batch batch{64, 2'048};
			const auto n = batch.receive(it.app.get());
			for (std::size_t i = 0; i < n; ++i)
			{
				const auto packet = platform::decode_packet(batch.payload(i));
				const auto found = packet && packet->syn ? flows.find(packet->source.port) : flows.end();
				if (found == flows.end())
				{
					continue;
				}
				if (found->second.run_by.empty())
				{
					found->second.run_by = it.service;
					found->second.run_in = it.zone;
					found->second.run_at = it.name;
					found->second.run_time = runtime::read_clock();
				}
				auto answer = platform::encode_reset({.caller = packet->source, .route = packet->destination}, 1);
				answer[flags_offset] = syn_flag | ack_flag;
				send(it.app.get(), {.ip = it.ip, .port = outbound_port}, answer);
			}
		}

		void read_callers()
		{
			runtime::receive_batch batch{64, 2'048};
			const auto n = batch.receive(callers.get());
			for (std::size_t i = 0; i < n; ++i)
			{
				const auto packet = platform::decode_packet(batch.payload(i));
				const auto found = packet ? flows.find(packet->destination.port) : flows.end();
				if (found != flows.end() && packet->rst)
				{
					found->second.reset = true;
				}
			}
		}

		static void send(int fd, const steering::ipv4_endpoint& to, std::span<const std::byte> packet)
		{
			runtime::send_batch batch{fd, 1};
			batch.add(steering::to_endpoint(to), packet);
			batch.flush();
		}

		static constexpr std::size_t flags_offset = 12;
		static constexpr std::byte syn_flag{2};
		static constexpr std::byte ack_flag{1};

		std::filesystem::path folder;
		runtime::file_descriptor callers;
		std::uint16_t last_port = 20'000;
	};
}
