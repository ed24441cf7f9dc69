#pragma once

/// Stand-ins of the platform around real `nutmegturn-node` processes on loopback: metadata store, router, callers and
/// upstreams. One thread and one `poll` loop; no libraries.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdint>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <deque>
#include <fstream>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <random>
#include <set>
#include <sstream>
#include <string>
#include <vector>

namespace review
{
	using clock = std::chrono::steady_clock;
	using time_point = clock::time_point;
	using std::chrono::milliseconds;

	/// Exit codes of a case.
	enum exit_code
	{
		held = 0,
		broken = 1,
		not_run = 2
	};

	/// Ends a case that could not run.
	struct cannot_run
	{
		std::string why;
	};

	/// Writes `record.txt`, with milliseconds since the start of the case.
	class record
	{
	public:
		explicit record(const std::string& path) : out_{std::fopen(path.c_str(), "w")}, start_{clock::now()} {}

		~record()
		{
			if (out_ != nullptr)
			{
				std::fclose(out_);
			}
		}

		record(const record&) = delete;
		record& operator=(const record&) = delete;
		record(record&&) = delete;
		record& operator=(record&&) = delete;

		__attribute__((format(printf, 2, 3))) void line(const char* format, ...)
		{
			if (out_ == nullptr)
			{
				return;
			}
			std::fprintf(out_, "%9.1f  ", ms_of(clock::now()));
			va_list arguments;
			va_start(arguments, format);
			std::vfprintf(out_, format, arguments);
			va_end(arguments);
			std::fputc('\n', out_);
			std::fflush(out_);
		}

		[[nodiscard]] double ms_of(time_point time) const
		{
			return std::chrono::duration<double, std::milli>(time - start_).count();
		}

	private:
		std::FILE* out_;
		time_point start_;
	};

	/// `poll` loop with timers.
	class event_loop
	{
	public:
		void watch(int fd, std::function<void()> ready)
		{
			callbacks_[fd] = std::move(ready);
		}

		void unwatch(int fd)
		{
			callbacks_.erase(fd);
		}

		void call_at(time_point time, std::function<void()> callback)
		{
			timers_.emplace(time, std::move(callback));
		}

		void call_after(milliseconds delay, std::function<void()> callback)
		{
			call_at(clock::now() + delay, std::move(callback));
		}

		void run_for(milliseconds time)
		{
			const auto end = clock::now() + time;
			run_until(end, [] { return false; });
		}

		/// Runs until a condition holds or the time is over.
		/// \returns	Whether the condition holds.
		bool run_until(time_point end, const std::function<bool()>& condition)
		{
			while (!condition())
			{
				if (clock::now() >= end)
				{
					return false;
				}
				iterate(end);
			}
			return true;
		}

	private:
		void iterate(time_point end)
		{
			std::vector<pollfd> fds;
			for (const auto& [fd, callback] : callbacks_)
			{
				fds.push_back({.fd = fd, .events = POLLIN, .revents = 0});
			}
			const auto next = timers_.empty() ? end : std::min(end, timers_.begin()->first);
			const auto wait = std::chrono::ceil<milliseconds>(next - clock::now()).count();
			::poll(fds.data(), fds.size(), static_cast<int>(std::clamp<std::int64_t>(wait, 0, 100)));
			for (const auto& it : fds)
			{
				const auto found = callbacks_.find(it.fd);
				if (it.revents != 0 && found != callbacks_.end())
				{
					const auto callback = found->second;
					callback();
				}
			}
			while (!timers_.empty() && timers_.begin()->first <= clock::now())
			{
				const auto callback = std::move(timers_.begin()->second);
				timers_.erase(timers_.begin());
				callback();
			}
		}

		std::map<int, std::function<void()>> callbacks_;
		std::multimap<time_point, std::function<void()>> timers_;
	};

	/// IPv4 address and port in host byte order.
	struct address
	{
		std::uint32_t ip = 0;
		std::uint16_t port = 0;

		auto operator<=>(const address&) const = default;
	};

	[[nodiscard]] inline std::string ip_text(std::uint32_t ip)
	{
		std::array<char, 32> text{};
		std::snprintf(text.data(), text.size(), "%u.%u.%u.%u", ip >> 24, (ip >> 16) & 255, (ip >> 8) & 255, ip & 255);
		return text.data();
	}

	[[nodiscard]] inline std::string to_text(const address& at)
	{
		return ip_text(at.ip) + ":" + std::to_string(at.port);
	}

	[[nodiscard]] inline sockaddr_in to_sockaddr(const address& at)
	{
		sockaddr_in out{};
		out.sin_family = AF_INET;
		out.sin_addr.s_addr = htonl(at.ip);
		out.sin_port = htons(at.port);
		return out;
	}

	[[nodiscard]] inline int open_socket(int type, const address& at)
	{
		const int fd = ::socket(AF_INET, type | SOCK_NONBLOCK | SOCK_CLOEXEC, 0);
		const int on = 1;
		if (type == SOCK_STREAM)
		{
			::setsockopt(fd, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
		}
		else
		{
			const int size = 4 << 20;
			::setsockopt(fd, SOL_SOCKET, SO_RCVBUF, &size, sizeof size);
		}
		const auto to = to_sockaddr(at);
		if (fd < 0 || ::bind(fd, reinterpret_cast<const sockaddr*>(&to), sizeof to) != 0 ||
			(type == SOCK_STREAM && ::listen(fd, 64) != 0))
		{
			throw cannot_run{"socket at " + to_text(at) + ": " + std::strerror(errno)};
		}
		return fd;
	}

	[[nodiscard]] inline std::string base64(const std::string& bytes)
	{
		static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
		std::string out;
		for (std::size_t i = 0; i < bytes.size(); i += 3)
		{
			std::uint32_t group = 0;
			for (std::size_t j = 0; j < 3; ++j)
			{
				group = group << 8 | (i + j < bytes.size() ? static_cast<unsigned char>(bytes[i + j]) : 0U);
			}
			for (std::size_t j = 0; j < 4; ++j)
			{
				out += i + j <= bytes.size() ? digits[(group >> (18 - 6 * j)) & 63] : '=';
			}
		}
		return out;
	}

	/// The platform's metadata store. Each process reaches it at a port of its own, so that its calls can be told
	/// apart. Open connections can go silent for good while new ones work.
	class metadata_store
	{
	public:
		/// Time that an answer takes, as the sheets of the installations state it.
		static constexpr milliseconds answer_time{4};

		explicit metadata_store(event_loop& loop) : loop_{loop} {}

		/// Called for each call, with the reader and the target.
		std::function<void(const std::string& reader, const std::string& target)> on_call;

		void listen(const address& at, const std::string& reader)
		{
			const int fd = open_socket(SOCK_STREAM, at);
			loop_.watch(fd, [this, fd, reader] { accept(fd, reader); });
		}

		/// Writes an item; it is acknowledged when this returns.
		void put(const std::string& key, const std::string& value)
		{
			++revision_;
			const auto found = items_.find(key);
			const auto created = found == items_.end() ? revision_ : found->second.created;
			const auto encoded = "{\"key\":\"" + key + "\",\"value\":\"" + base64(value) +
								 "\",\"revision\":" + std::to_string(revision_) +
								 ",\"created\":" + std::to_string(created) + ",\"lease\":0}";
			items_[key] = {.encoded = encoded, .created = created};
			add_event(key, encoded);
		}

		/// Removes an item.
		void remove(const std::string& key)
		{
			if (items_.erase(key) == 0)
			{
				return;
			}
			++revision_;
			add_event(key, "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision_) + ",\"removed\":true}");
		}

		/// Lets all open connections go silent: they are never answered and never closed.
		std::size_t silence_open_connections()
		{
			std::size_t n = 0;
			for (auto& it : connections_)
			{
				n += it.silent ? 0 : 1;
				it.silent = true;
			}
			return n;
		}

	private:
		struct item
		{
			std::string encoded;
			std::uint64_t created = 0;
		};

		struct event
		{
			std::string key;
			std::uint64_t revision = 0;
			std::string encoded;
		};

		struct connection
		{
			std::uint64_t id = 0;
			int fd = -1;
			std::string reader;
			std::string received;
			bool silent = false;
			bool watching = false;
			std::uint64_t call = 0;
			std::string prefix;
			std::uint64_t after = 0;
		};

		void accept(int listener, const std::string& reader)
		{
			const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
			if (fd < 0)
			{
				return;
			}
			const int on = 1;
			::setsockopt(fd, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
			connections_.emplace_back();
			connections_.back().id = ++connections_made_;
			connections_.back().fd = fd;
			connections_.back().reader = reader;
			const auto at = std::prev(connections_.end());
			loop_.watch(fd, [this, at] { read(at); });
		}

		void read(std::list<connection>::iterator at)
		{
			std::array<char, 8'192> buf{};
			const auto n = ::recv(at->fd, buf.data(), buf.size(), MSG_DONTWAIT);
			if (n < 0 && (errno == EAGAIN || errno == EINTR))
			{
				return;
			}
			if (n <= 0)
			{
				loop_.unwatch(at->fd);
				::close(at->fd);
				connections_.erase(at);
				return;
			}
			at->received.append(buf.data(), static_cast<std::size_t>(n));
			const auto end = at->received.find("\r\n\r\n");
			if (at->silent || end == std::string::npos)
			{
				return;
			}
			const auto line = at->received.substr(0, at->received.find("\r\n"));
			at->received.erase(0, end + 4);
			const auto target = line.substr(4, line.rfind(' ') - 4);
			// The store takes its time for an answer, in which the connection may be closed.
			loop_.call_after(answer_time,
							 [this, id = at->id, target]
							 {
								 const auto found = std::ranges::find(connections_, id, &connection::id);
								 if (found != connections_.end() && !found->silent)
								 {
									 handle(*found, target);
								 }
							 });
		}

		[[nodiscard]] static std::string field(const std::string& target, const std::string& name)
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
			return text.empty() ? 0 : std::strtoull(text.c_str(), nullptr, 10);
		}

		void handle(connection& client, const std::string& target)
		{
			if (on_call)
			{
				on_call(client.reader, target);
			}
			client.prefix = field(target, "prefix");
			++client.call;
			if (target.rfind("/kv-range", 0) == 0)
			{
				const auto after = field(target, "after");
				std::string list;
				for (const auto& [key, it] : items_)
				{
					if (key.rfind(client.prefix, 0) == 0 && key > after)
					{
						list += (list.empty() ? "" : ",") + it.encoded;
					}
				}
				send(client,
					 "{\"items\":[" + list + "],\"has_more\":false,\"as_of\":" + std::to_string(revision_) + "}");
				return;
			}
			client.after = number(field(target, "after"));
			client.watching = true;
			answer_watch(client, false);
			if (client.watching)
			{
				loop_.call_after(milliseconds{number(field(target, "wait_ms"))},
								 [this, fd = client.fd, call = client.call] { end_watch(fd, call); });
			}
		}

		void end_watch(int fd, std::uint64_t call)
		{
			for (auto& it : connections_)
			{
				if (it.fd == fd && it.call == call && it.watching)
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

		void answer_watch(connection& client, bool over)
		{
			std::string list;
			for (const auto& it : events_)
			{
				if (it.revision > client.after && it.key.rfind(client.prefix, 0) == 0)
				{
					list += (list.empty() ? "" : ",") + it.encoded;
				}
			}
			if (over || !list.empty())
			{
				client.watching = false;
				send(client, "{\"events\":[" + list + "],\"as_of\":" + std::to_string(revision_) + "}");
			}
		}

		static void send(const connection& client, const std::string& body)
		{
			if (client.silent)
			{
				return;
			}
			const auto text =
				"HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
				"\r\n\r\n" + body;
			static_cast<void>(::send(client.fd, text.data(), text.size(), MSG_NOSIGNAL));
		}

		event_loop& loop_;
		std::list<connection> connections_;
		std::map<std::string, item> items_;
		std::vector<event> events_;
		std::uint64_t revision_ = 0;
		std::uint64_t connections_made_ = 0;
	};

	/// \name Packets of flows
	/// @{
	inline constexpr std::uint8_t flag_ack = 1;
	inline constexpr std::uint8_t flag_syn = 2;
	inline constexpr std::uint8_t flag_fin = 8;
	inline constexpr std::uint8_t flag_rst = 16;
	inline constexpr std::uint8_t flag_bounced = 128;
	inline constexpr std::size_t header_size = 31;

	struct packet
	{
		std::uint32_t seq = 0;
		std::uint32_t ack = 0;
		std::uint32_t sum = 0;
		std::uint8_t flags = 0;
		address src;
		address dst;
		std::string data{};
	};

	template <typename T>
	void put_field(std::string& out, std::size_t offset, T value)
	{
		std::memcpy(&out[offset], &value, sizeof value);
	}

	template <typename T>
	[[nodiscard]] T get_field(const std::string& in, std::size_t offset)
	{
		T value{};
		std::memcpy(&value, &in[offset], sizeof value);
		return value;
	}

	/// Sum with a key that the system does not know. Resets of the system have the sum 0.
	[[nodiscard]] inline std::uint32_t sum_of(const packet& it)
	{
		std::uint32_t hash = 0x9e3779b9;
		const auto mix = [&hash](std::uint32_t value) { hash = (hash ^ value) * 16'777'619U + 0x1234567U; };
		for (const auto value : {it.seq, it.ack, std::uint32_t{it.flags} & ~std::uint32_t{flag_bounced}, it.src.ip,
								 std::uint32_t{it.src.port}, it.dst.ip, std::uint32_t{it.dst.port}})
		{
			mix(value);
		}
		for (const unsigned char c : it.data)
		{
			mix(c);
		}
		return hash == 0 ? 1 : hash;
	}

	/// Encodes a packet; the hosts of the bench and of this stand-in are little-endian.
	[[nodiscard]] inline std::string encode(packet it)
	{
		it.sum = sum_of(it);
		std::string out(header_size, '\0');
		put_field(out, 0, it.seq);
		put_field(out, 4, it.ack);
		put_field(out, 8, it.sum);
		put_field(out, 12, it.flags);
		put_field(out, 17, static_cast<std::uint16_t>(it.data.size()));
		put_field(out, 19, it.src.ip);
		put_field(out, 23, it.src.port);
		put_field(out, 25, it.dst.port);
		put_field(out, 27, it.dst.ip);
		return out + it.data;
	}

	[[nodiscard]] inline bool decode(const std::string& in, packet& out)
	{
		if (in.size() < header_size || in.size() != header_size + get_field<std::uint16_t>(in, 17))
		{
			return false;
		}
		out.seq = get_field<std::uint32_t>(in, 0);
		out.ack = get_field<std::uint32_t>(in, 4);
		out.sum = get_field<std::uint32_t>(in, 8);
		out.flags = get_field<std::uint8_t>(in, 12);
		out.src = {get_field<std::uint32_t>(in, 19), get_field<std::uint16_t>(in, 23)};
		out.dst = {get_field<std::uint32_t>(in, 27), get_field<std::uint16_t>(in, 25)};
		out.data = in.substr(header_size);
		return true;
	}
	/// @}

	/// Ports of all instances.
	struct port_plan
	{
		std::uint16_t datagram = 0;
		std::uint16_t ready = 0;
		std::uint16_t outbound = 0;
		std::uint16_t app = 0;
		std::uint16_t first_internal = 0;
		std::uint16_t store = 0;
	};

	struct instance
	{
		std::string name;
		std::string role; ///< `balancer` or `agent`
		std::string zone;
		std::string service; ///< Of the upstream beside an agent.
		std::uint32_t ip = 0;
		std::uint16_t store_port = 0;
		pid_t process = 0;
		int app = -1;
		bool upstream_runs = false;
		std::string id; ///< Of the upstream's current run.
		std::string state = "ready";
		std::uint64_t sequence = 0;
		std::uint64_t born = 0;
		std::map<std::pair<address, address>, std::uint32_t>
			open; ///< Flows by caller and route, with their next `seq`.
		std::map<std::pair<address, address>, std::uint32_t> expected; ///< Next `seq` of the caller.
	};

	/// A request of a caller, which opens a flow of its own.
	struct request
	{
		std::string id;
		std::string balancer; ///< Name of the balancer that got the opening packet.
		std::string route;
		address route_address;
		address caller;
		time_point sent;
		time_point ended;
		std::uint32_t isn = 0;
		std::uint32_t last_ack = 0;
		bool opened = false;
		bool served = false;
		bool reset = false;   ///< The system reset the flow, by a packet with the sum 0.
		std::string ran_at;   ///< Upstream that ran it.
		std::string taken_by; ///< Upstream that took the opening packet.
		time_point taken;
		bool opening_only = false; ///< Tests which configuration is in force.
	};

	/// Processes and their surroundings.
	class deployment
	{
	public:
		explicit deployment(const std::string& record_path) : log{record_path}, store{loop}
		{
			std::random_device device;
			random.seed(device());
			const auto choose = [this](unsigned from, unsigned to)
			{ return from + static_cast<unsigned>(random() % (to - from)); };
			net = 127U << 24 | choose(2, 250) << 16 | choose(1, 250) << 8;
			const auto base = static_cast<std::uint16_t>(choose(12, 29) * 1'000);
			ports = {.datagram = base,
					 .ready = static_cast<std::uint16_t>(base + 1),
					 .outbound = static_cast<std::uint16_t>(base + 2),
					 .app = static_cast<std::uint16_t>(base + 3),
					 .first_internal = static_cast<std::uint16_t>(base + 10),
					 .store = static_cast<std::uint16_t>(base + 100)};
			std::string pattern = "/tmp/nutmegturn-review-XXXXXX";
			if (::mkdtemp(pattern.data()) == nullptr)
			{
				throw cannot_run{"no temporary folder"};
			}
			folder = pattern;
			caller_ip = net + 200;
			callers = open_socket(SOCK_DGRAM, {caller_ip, ports.datagram});
			loop.watch(callers, [this] { read_callers(); });
		}

		~deployment()
		{
			for (auto& it : instances)
			{
				stop(it);
			}
			if (std::getenv("KEEP") == nullptr)
			{
				for (const auto& it : instances)
				{
					::unlink((folder + "/" + it.name + ".toml").c_str());
					::unlink((folder + "/" + it.name + ".log").c_str());
				}
				::rmdir(folder.c_str());
			}
		}

		deployment(const deployment&) = delete;
		deployment& operator=(const deployment&) = delete;
		deployment(deployment&&) = delete;
		deployment& operator=(deployment&&) = delete;

		instance& add(const std::string& name, const std::string& role, const std::string& zone,
					  const std::string& service = {})
		{
			instance made;
			made.name = name;
			made.role = role;
			made.zone = zone;
			made.service = service;
			made.ip = net + 10 + static_cast<std::uint32_t>(instances.size());
			made.store_port = static_cast<std::uint16_t>(ports.store + instances.size());
			instances.push_back(std::move(made));
			auto& it = instances.back();
			store.listen({net + 1, it.store_port}, it.name);
			write_settings(it, true);
			return it;
		}

		/// Starts the upstream beside an agent as a new run and registers it.
		void start_upstream(instance& it)
		{
			it.app = open_socket(SOCK_DGRAM, {it.ip, ports.app});
			it.upstream_runs = true;
			it.id = "i-" + std::to_string(random() % 0xffffffffU);
			it.sequence = 0;
			it.born = static_cast<std::uint64_t>(
				std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count());
			loop.watch(it.app, [this, &it] { read_upstream(it); });
			publish(it);
			log.line("upstream %s of %s starts at %s", it.id.c_str(), it.service.c_str(),
					 to_text({it.ip, ports.app}).c_str());
		}

		[[nodiscard]] std::string entry_of(const instance& it, const std::string& service) const
		{
			return "{\"service\":\"" + service + "\",\"address\":\"" + to_text({it.ip, ports.app}) + "\",\"zone\":\"" +
				   it.zone + "\",\"version\":\"v1\",\"max_concurrency\":5,\"state\":\"" + it.state +
				   "\",\"cold_remaining_ms\":0,\"sequence\":" + std::to_string(it.sequence) +
				   ",\"born\":" + std::to_string(it.born) + "}";
		}

		void publish(instance& it)
		{
			++it.sequence;
			store.put("servers/" + it.id, entry_of(it, it.service));
		}

		/// Publishes a configuration.
		/// \param routes	Service by host of the route; the port of all routes is 443.
		void configure(int version, const std::map<std::string, std::string>& routes)
		{
			std::string list;
			std::set<std::string> services;
			for (const auto& [host, service] : routes)
			{
				list += std::string{list.empty() ? "" : ","} + "{\"name\":\"r-" + host + "\",\"host\":\"" + host +
						"\",\"prefix\":\"/443/\",\"type\":\"idempotent\",\"timeout_ms\":1500,\"aim_ms\":150," +
						"\"priority\":2,\"service\":\"" + service + "\",\"max_attempts\":2}";
				services.insert(service);
			}
			std::string described;
			for (const auto& it : services)
			{
				described += std::string{described.empty() ? "" : ","} + "{\"name\":\"" + it +
							 "\",\"health_check_path\":\"/healthz\",\"max_connections\":2000,\"protocol\":\"h1\"," +
							 "\"tls\":false,\"cold_start_s\":2.0,\"cold_per_s\":0.0}";
			}
			store.put("op/config", "{\"version\":" + std::to_string(version) + ",\"routes\":[" + list +
									   "],\"services\":[" + described +
									   "],\"limits\":{\"max_header_bytes\":16384,\"max_body_bytes\":262144," +
									   "\"header_timeout_ms\":3000,\"idle_timeout_ms\":15000}}");
			log.line("configuration %d written and acknowledged", version);
		}

		/// Starts the process of an instance, as the deploy file says.
		void start(instance& it)
		{
			const auto settings = "NUTMEGTURN_CONFIG=" + folder + "/" + it.name + ".toml";
			const auto output = folder + "/" + it.name + ".log";
			const auto program = std::string{"target/nutmegturn-node"};
			it.process = ::fork();
			if (it.process == 0)
			{
				// The process ends with this program, however that ends.
				::prctl(PR_SET_PDEATHSIG, SIGKILL);
				const int out = ::open(output.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
				::dup2(out, STDOUT_FILENO);
				::dup2(out, STDERR_FILENO);
				std::array<char*, 3> words{const_cast<char*>(program.c_str()), const_cast<char*>(it.role.c_str()),
										   nullptr};
				std::array<char*, 2> environment{const_cast<char*>(settings.c_str()), nullptr};
				::execve(program.c_str(), words.data(), environment.data());
				::_exit(127);
			}
			log.line("process %s starts", it.name.c_str());
		}

		static void stop(instance& it)
		{
			if (it.process > 0)
			{
				::kill(it.process, SIGKILL);
				::waitpid(it.process, nullptr, 0);
				it.process = 0;
			}
		}

		/// Starts processes that have ended by themselves again, and counts the ends of each.
		void restart_ended(std::map<std::string, int>& ends)
		{
			for (auto& it : instances)
			{
				int status = 0;
				if (it.process > 0 && ::waitpid(it.process, &status, WNOHANG) == it.process)
				{
					log.line("process %s ended by itself, status %d", it.name.c_str(),
							 WIFEXITED(status) ? WEXITSTATUS(status) : 128 + WTERMSIG(status));
					++ends[it.name];
					it.process = 0;
					start(it);
				}
			}
		}

		/// Returns whether all processes still run.
		[[nodiscard]] bool all_run() const
		{
			return std::ranges::all_of(instances, [](const auto& it)
									   { return it.process > 0 && ::waitpid(it.process, nullptr, WNOHANG) == 0; });
		}

		/// Sends an opening packet to a balancer, as the router does.
		/// \param opening_only	Whether the flow only tests which configuration is in force.
		request& open_flow(const instance& balancer, const std::string& route_host, bool opening_only)
		{
			auto made = std::make_unique<request>();
			made->id = "q" + std::to_string(++requests_made);
			made->balancer = balancer.name;
			made->route = route_host;
			made->route_address = {ip_of(route_host), 443};
			made->caller = {caller_ip, ++last_port};
			made->sent = clock::now();
			made->isn = static_cast<std::uint32_t>(random());
			made->opening_only = opening_only;
			auto& it = *made;
			requests[it.caller.port] = std::move(made);
			send_opening(it, balancer.ip, 0);
			loop.call_after(milliseconds{200}, [this, &it, ip = balancer.ip] { send_opening(it, ip, 1); });
			loop.call_after(milliseconds{600}, [this, &it, ip = balancer.ip] { send_opening(it, ip, 2); });
			return it;
		}

		/// Opens flows until a request is served through each balancer.
		void wait_until_served(const std::string& route_host, milliseconds longest)
		{
			const auto served = [this]
			{
				return std::ranges::all_of(instances,
										   [this](const auto& it)
										   {
											   return it.role != "balancer" ||
													  std::ranges::any_of(requests,
																		  [&it](const auto& entry) {
																			  return entry.second->served &&
																					 entry.second->balancer == it.name;
																		  });
										   });
			};
			const auto end = clock::now() + longest;
			while (clock::now() < end && !served())
			{
				for (const auto& it : instances)
				{
					if (it.role == "balancer")
					{
						open_flow(it, route_host, false);
					}
				}
				loop.run_until(clock::now() + milliseconds{200}, served);
			}
			if (!served())
			{
				throw cannot_run{"no request was served through each balancer at the start"};
			}
		}

		event_loop loop;
		record log;
		metadata_store store;
		std::list<instance> instances;
		std::map<std::uint16_t, std::unique_ptr<request>> requests; ///< By the caller's port.
		std::mt19937_64 random;
		std::uint32_t net = 0;
		port_plan ports;
		bool names_empty = false; ///< Whether the settings hold an empty `node_name`.

		[[nodiscard]] static std::uint32_t ip_of(const std::string& text)
		{
			in_addr parsed{};
			::inet_pton(AF_INET, text.c_str(), &parsed);
			return ntohl(parsed.s_addr);
		}

		/// Writes the settings file of an instance, in the platform's format.
		void write_settings(const instance& it, bool first_start) const
		{
			const auto ip = ip_text(it.ip);
			std::ofstream out{folder + "/" + it.name + ".toml"};
			const bool agent = it.role == "agent";
			out << "node_name = \"" << (names_empty ? "" : it.name) << "\"\nrole = \"" << it.role
				<< "\"\nmachine_class = \"" << (agent ? "side" : "edge") << "\"\nserves = [\""
				<< (agent ? "side" : "edge") << "\"]\nip = \"" << ip << "\"\nzone = \"" << it.zone
				<< "\"\nregion = \"r\"\ninternal_port_range = [" << ports.first_internal << ","
				<< ports.first_internal + 15 << "]\nseeds = []\nbootstrap = " << (first_start ? "true" : "false")
				<< "\nin_failure_budget = false\ndiscovery = \"platform\"\nentry = \"announce\"\nheartbeat_ms = 1200\n"
				<< "policies = [\"base\",\"drain\",\"config\",\"cost\",\"recover\",\"flows\",\"places\",\"platform\"]\n"
				<< "hash = \"mod\"\ndeployment_mode = \"agent\"\n";
			if (agent)
			{
				out << "app = \"" << ip << ":" << ports.app << "\"\nservice = \"" << it.service << "\"\n";
			}
			out << "[zones]\n"
				<< it.zone << " = \"r\"\n[listen_addrs]\ndatagram_addr = \"" << ip << ":" << ports.datagram
				<< "\"\nready = \"" << ip << ":" << ports.ready << "\"\n";
			if (agent)
			{
				out << "outbound = \"" << ip << ":" << ports.outbound << "\"\n";
			}
			out << "[limits]\ncpu_share = 0.15\ncpu_cores = 1\nmemory_mb = 128\nmax_fds = 4096\nlink_mbps = 1000.0\n"
				<< "disk_mb = 0\n[fault_tolerance]\nmachines = 2\nzones = 1\nregions = 0\n[bounds]\nseed_lag_s = 3\n"
				<< "reuse_after_s = 2\nstability_window_ms = 4000\nack_ms = 5000\ncatch_up_s = 4\ndrain_ms = 3000\n"
				<< "grace_s = 6\nloss_slack_ms = 200\nconfig_apply_ms = 3000\ndowngrade_slack_ms = 250\n"
				<< "max_skew_ms = 12000\ncold_overage = 1.5\ncold_slack = 5\nevacuate_ms = 5000\nrecovery_s = 12\n"
				<< "reorder_window_ms = 2000\nmax_flow_s = 60\n[platform]\naddress = \""
				<< to_text({net + 1, it.store_port})
				<< "\"\ndeployment_mode = \"read\"\nwrites_per_s = 400\nreads_per_s = 2000\nhistory_s = 20\n"
				<< "value_bytes = 1048576\nmin_ttl_ms = 1000\n";
		}

	private:
		[[nodiscard]] static std::string receive(int fd)
		{
			std::array<char, 2'048> buf{};
			const auto n = ::recv(fd, buf.data(), buf.size(), MSG_DONTWAIT);
			return n > 0 ? std::string{buf.data(), static_cast<std::size_t>(n)} : std::string{};
		}

		static void send(int fd, const address& at, const std::string& bytes)
		{
			const auto to = to_sockaddr(at);
			::sendto(fd, bytes.data(), bytes.size(), MSG_DONTWAIT, reinterpret_cast<const sockaddr*>(&to), sizeof to);
		}

		void send_opening(request& it, std::uint32_t balancer, std::uint32_t copy)
		{
			if (it.opened || it.reset)
			{
				return;
			}
			send(callers, {balancer, ports.datagram},
				 encode({.seq = it.isn, .ack = copy, .flags = flag_syn, .src = it.caller, .dst = it.route_address}));
		}

		void read_callers()
		{
			for (auto bytes = receive(callers); !bytes.empty(); bytes = receive(callers))
			{
				packet it;
				const auto found = decode(bytes, it) ? requests.find(it.dst.port) : requests.end();
				if (found != requests.end() && it.src == found->second->route_address)
				{
					handle_answer(*found->second, it);
				}
			}
		}

		[[nodiscard]] const instance& balancer_of(const request& it) const
		{
			return *std::ranges::find(instances, it.balancer, &instance::name);
		}

		void handle_answer(request& it, const packet& answer)
		{
			if ((answer.flags & flag_rst) != 0)
			{
				if (answer.sum == 0 && !it.reset && !it.served)
				{
					it.reset = true;
					it.ended = clock::now();
					log.line("%s to %s through %s: reset by the system, %s", it.id.c_str(), it.route.c_str(),
							 it.balancer.c_str(), it.opened ? "open" : "not open");
				}
				return;
			}
			if (it.reset)
			{
				return;
			}
			if ((answer.flags & flag_syn) != 0 && !it.opened)
			{
				it.opened = true;
				it.last_ack = answer.seq + 1;
				if (it.opening_only)
				{
					it.ended = clock::now();
					send(callers, {balancer_of(it).ip, ports.datagram},
						 encode({.seq = it.isn + 1,
								 .ack = it.last_ack,
								 .flags = flag_ack | flag_fin,
								 .src = it.caller,
								 .dst = it.route_address}));
					return;
				}
				send_request(it, 0);
				return;
			}
			if (!answer.data.empty() && !it.served)
			{
				it.served = answer.data.find("Request-Id: " + it.id + "\r\n") != std::string::npos;
				it.ended = clock::now();
				it.last_ack = answer.seq + static_cast<std::uint32_t>(answer.data.size());
				send(callers, {balancer_of(it).ip, ports.datagram},
					 encode({.seq = it.isn + 1 + static_cast<std::uint32_t>(request_text(it).size()),
							 .ack = it.last_ack,
							 .flags = flag_ack | flag_fin,
							 .src = it.caller,
							 .dst = it.route_address}));
			}
		}

		[[nodiscard]] static std::string request_text(const request& it)
		{
			return "GET / HTTP/1.1\r\nHost: " + it.route + "\r\nNutmegturn-Request-Id: " + it.id + "\r\n\r\n";
		}

		/// Sends the request and retransmits it as the pages say, for as long as the time limit lasts.
		void send_request(request& it, unsigned copy)
		{
			constexpr milliseconds time_limit{1'500};
			if (it.served || it.reset || clock::now() - it.sent > time_limit)
			{
				return;
			}
			send(callers, {balancer_of(it).ip, ports.datagram},
				 encode({.seq = it.isn + 1,
						 .ack = it.last_ack,
						 .flags = flag_ack,
						 .src = it.caller,
						 .dst = it.route_address,
						 .data = request_text(it)}));
			loop.call_after(milliseconds{200U << std::min(copy, 3U)},
							[this, &it, copy] { send_request(it, copy + 1); });
		}

		void read_upstream(instance& at)
		{
			for (auto bytes = receive(at.app); !bytes.empty(); bytes = receive(at.app))
			{
				packet it;
				if (decode(bytes, it))
				{
					handle_at_upstream(at, it, bytes);
				}
			}
		}

		void reply(const instance& at, const packet& it)
		{
			send(at.app, {at.ip, ports.outbound}, encode(it));
		}

		void handle_at_upstream(instance& at, const packet& it, std::string bytes)
		{
			const std::pair key{it.src, it.dst};
			const auto found = requests.find(it.src.port);
			if ((it.flags & flag_syn) != 0)
			{
				if (found != requests.end() && found->second->taken_by.empty())
				{
					found->second->taken_by = at.name;
					found->second->taken = clock::now();
				}
				if (!at.open.contains(key))
				{
					at.open[key] = static_cast<std::uint32_t>(random());
					at.expected[key] = it.seq + 1;
				}
				reply(at, {.seq = at.open[key],
						   .ack = it.seq + 1,
						   .flags = flag_syn | flag_ack,
						   .src = it.dst,
						   .dst = it.src});
				return;
			}
			if (!at.open.contains(key))
			{
				if ((it.flags & flag_rst) == 0)
				{
					bytes[12] = static_cast<char>(static_cast<std::uint8_t>(bytes[12]) | flag_bounced);
					send(at.app, {at.ip, ports.outbound}, bytes);
				}
				return;
			}
			if ((it.flags & flag_rst) != 0)
			{
				at.open.erase(key);
				return;
			}
			if ((it.flags & flag_fin) != 0)
			{
				reply(at,
					  {.seq = it.ack, .ack = it.seq + 1, .flags = flag_ack | flag_fin, .src = it.dst, .dst = it.src});
				at.open.erase(key);
				return;
			}
			if (it.data.empty() || found == requests.end() || it.seq != at.expected[key])
			{
				return;
			}
			at.expected[key] = it.seq + static_cast<std::uint32_t>(it.data.size());
			run(at, it, *found->second);
		}

		/// Runs a request; its answer fits one packet.
		void run(instance& at, const packet& it, request& asked)
		{
			constexpr milliseconds work{20};
			asked.ran_at = at.name;
			loop.call_after(work,
							[this, &at, it, &asked]
							{
								const auto text = "HTTP/1.1 200 OK\r\nRequest-Id: " + asked.id + "\r\n\r\n";
								reply(at, {.seq = it.ack,
										   .ack = it.seq + static_cast<std::uint32_t>(it.data.size()),
										   .flags = flag_ack,
										   .src = it.dst,
										   .dst = it.src,
										   .data = text});
							});
		}

		std::string folder;
		std::uint32_t caller_ip = 0;
		int callers = -1;
		std::uint16_t last_port = 30'000;
		std::uint64_t requests_made = 0;
	};

	/// Returns whether the disruption is to take place; `TROUBLE=0` leaves it out.
	[[nodiscard]] inline bool with_trouble()
	{
		const char* value = std::getenv("TROUBLE");
		return value == nullptr || std::string{value} != "0";
	}
}
