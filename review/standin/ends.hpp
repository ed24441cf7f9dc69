#pragma once

#include "loop.hpp"

#include <deque>
#include <memory>
#include <random>
#include <utility>

/// The two ends of a flow, as PROTOCOL.md describes them: requesters and targets. Each request and each response fits
/// into one packet.
namespace review
{
	inline constexpr milliseconds first_retransmission{200};
	inline constexpr milliseconds longest_retransmission{1'600};
	inline constexpr int target_retransmissions = 8;
	inline constexpr std::uint32_t reset_window = 76'800;

	/// Identifies a flow by its requester's end and its route.
	struct flow_key
	{
		address requester;
		address route;

		friend auto operator<=>(const flow_key&, const flow_key&) = default;
	};

	inline std::string to_text(const flow_key& it)
	{
		return to_text(it.requester) + ">" + to_text(it.route);
	}

	/// Value of a header field of an HTTP message, or an empty text.
	inline std::string header_of(const std::string& message, const std::string& name)
	{
		const auto at = message.find("\r\n" + name + ": ");
		if (at == std::string::npos)
		{
			return {};
		}
		const auto from = at + name.size() + 4;
		return message.substr(from, message.find("\r\n", from) - from);
	}

	/// Returns whether a text holds a whole HTTP message with a `Content-Length`.
	inline bool is_whole(const std::string& text)
	{
		const auto end = text.find("\r\n\r\n");
		if (end == std::string::npos)
		{
			return false;
		}
		const auto length = header_of(text, "Content-Length");
		return text.size() >= end + 4 + (length.empty() ? 0 : std::stoul(length));
	}

	/// A target: holds flows, runs requests and bounces what it does not hold.
	class target
	{
	public:
		struct events
		{
			std::function<void(const flow_key&)> on_syn; ///< It has accepted an opening packet.
			std::function<void(const flow_key&)> on_open;
			std::function<void(const flow_key&, const std::string& id)> on_run;
			std::function<void(const flow_key&, const std::string& what)> on_forged;
		};

		target(loop& events_loop, const address& app, const address& outbound, events handlers, unsigned seed)
			: loop_{events_loop}, app_{app}, outbound_{outbound}, handlers_{std::move(handlers)}, random_{seed}
		{
		}

		~target()
		{
			stop();
		}

		target(const target&) = delete;
		target& operator=(const target&) = delete;

		milliseconds work{20};

		/// Requests that it works on at the same time; further ones wait.
		std::size_t slots = 5;

		/// Closes each flow after its next response.
		bool draining = false;

		void start()
		{
			fd_ = bound_socket(SOCK_DGRAM, app_);
			loop_.watch(fd_, [this] { read(); });
			flows_.clear();
		}

		/// Ends the target: its port is closed and its flows are gone.
		void stop()
		{
			if (fd_ >= 0)
			{
				loop_.unwatch(fd_);
				::close(fd_);
				fd_ = -1;
			}
			flows_.clear();
			queue_.clear();
			at_work_ = 0;
			++run_;
		}

		/// Stands still with its machine: reads and sends nothing.
		void freeze()
		{
			loop_.unwatch(fd_);
			frozen_ = true;
		}

		void wake()
		{
			frozen_ = false;
			loop_.watch(fd_, [this] { read(); });
		}

		[[nodiscard]] bool running() const
		{
			return fd_ >= 0;
		}

		[[nodiscard]] bool holds(const flow_key& key) const
		{
			const auto found = flows_.find(key);
			return found != flows_.end() && found->second.stage == flow_stage::open;
		}

		[[nodiscard]] std::size_t open_flows() const
		{
			std::size_t n = 0;
			for (const auto& [key, it] : flows_)
			{
				n += it.stage == flow_stage::open ? 1 : 0;
			}
			return n;
		}

	private:
		enum class flow_stage
		{
			half_open,
			open,
			ended
		};

		struct flow
		{
			flow_stage stage = flow_stage::half_open;
			std::uint32_t next_sent = 0;
			std::uint32_t next_received = 0;
			std::string request;
			std::map<std::uint32_t, packet> unacknowledged;
		};

		void send(packet p)
		{
			p.sum = sum_of(p);
			if (fd_ >= 0 && !frozen_)
			{
				send_datagram(fd_, outbound_, encode(p));
			}
		}

		packet make(const flow_key& key, const flow& it, std::uint8_t flags)
		{
			packet p;
			p.seq = it.next_sent;
			p.ack = it.next_received;
			p.flags = flags;
			p.src = key.route;
			p.dst = key.requester;
			return p;
		}

		/// Sends a packet that takes sequence numbers, and retransmits it until it is acknowledged.
		void send_reliably(const flow_key& key, flow& it, packet p, std::uint32_t length)
		{
			p.seq = it.next_sent;
			it.next_sent += length;
			it.unacknowledged[it.next_sent] = p;
			send(p);
			retransmit_later(key, it.next_sent, first_retransmission, 0);
		}

		void retransmit_later(const flow_key& key, std::uint32_t end, milliseconds delay, int n)
		{
			loop_.after(delay,
						[this, key, end, delay, n, run = run_]
						{
							const auto found = flows_.find(key);
							if (run != run_ || found == flows_.end() || !found->second.unacknowledged.contains(end))
							{
								return;
							}
							if (n >= target_retransmissions)
							{
								flows_.erase(found);
								return;
							}
							auto p = found->second.unacknowledged[end];
							p.ack = found->second.next_received;
							send(p);
							retransmit_later(key, end, std::min(delay * 2, longest_retransmission), n + 1);
						});
		}

		void bounce(packet p)
		{
			p.flags |= flag_bounced;
			send_datagram(fd_, outbound_, encode(p));
		}

		void read()
		{
			for (const auto& bytes : receive_datagrams(fd_))
			{
				const auto p = decode(bytes);
				if (!p || p->sum != sum_of(*p) || p->has(flag_bounced) || (p->has(flag_syn) && p->has(flag_ack)))
				{
					handlers_.on_forged(p ? flow_key{p->src, p->dst} : flow_key{}, "altered or forged packet");
					continue;
				}
				handle(*p);
			}
		}

		void handle(const packet& p)
		{
			const flow_key key{.requester = p.src, .route = p.dst};
			const auto found = flows_.find(key);
			if (p.has(flag_syn))
			{
				handle_syn(key, p);
				return;
			}
			if (found == flows_.end())
			{
				bounce(p);
				return;
			}
			auto& it = found->second;
			if (p.has(flag_rst))
			{
				flows_.erase(found);
				return;
			}
			if (it.stage == flow_stage::ended)
			{
				if (p.has(flag_fin))
				{
					send(make(key, it, flag_ack));
				}
				else if (!p.data.empty())
				{
					send(make(key, it, flag_rst));
				}
				return;
			}
			if (it.stage == flow_stage::half_open)
			{
				if (p.ack != it.next_sent)
				{
					bounce(p);
					return;
				}
				it.stage = flow_stage::open;
				handlers_.on_open(key);
			}
			std::erase_if(it.unacknowledged,
						  [&p](const auto& sent) { return static_cast<std::int32_t>(p.ack - sent.first) >= 0; });
			if (p.data.empty() && !p.has(flag_fin))
			{
				return;
			}
			if (p.seq == it.next_received)
			{
				it.next_received += static_cast<std::uint32_t>(p.data.size()) + (p.has(flag_fin) ? 1 : 0);
				it.request += p.data;
				if (p.has(flag_fin))
				{
					auto fin = make(key, it, flag_fin | flag_ack);
					send_reliably(key, it, fin, 1);
					it.stage = flow_stage::ended;
					return;
				}
			}
			send(make(key, it, flag_ack));
			if (is_whole(it.request))
			{
				run(key, std::exchange(it.request, {}));
			}
		}

		void handle_syn(const flow_key& key, const packet& p)
		{
			const auto found = flows_.find(key);
			if (found != flows_.end())
			{
				return; // A copy; the answer is retransmitted.
			}
			auto& it = flows_[key];
			it.next_sent = static_cast<std::uint32_t>(random_());
			it.next_received = p.seq + 1;
			handlers_.on_syn(key);
			send_reliably(key, it, make(key, it, flag_syn | flag_ack), 1);
		}

		void run(const flow_key& key, const std::string& request)
		{
			const auto id = header_of(request, "Nutmegturn-Request-Id");
			if (at_work_ >= slots)
			{
				queue_.emplace_back(key, request);
				return;
			}
			++at_work_;
			handlers_.on_run(key, id);
			loop_.after(work,
						[this, key, id, run = run_]
						{
							if (run != run_)
							{
								return;
							}
							finish(key, id);
							--at_work_;
							if (!queue_.empty())
							{
								const auto next = queue_.front();
								queue_.pop_front();
								this->run(next.first, next.second);
							}
						});
		}

		void finish(const flow_key& key, const std::string& id)
		{
			const auto found = flows_.find(key);
			if (found == flows_.end() || found->second.stage != flow_stage::open)
			{
				return;
			}
			const std::string body = "result of " + id;
			auto p = make(key, found->second, flag_ack);
			p.data = "HTTP/1.1 200 OK\r\nNutmegturn-Response-Signature: " + id +
					 "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
			const auto size = static_cast<std::uint32_t>(p.data.size());
			send_reliably(key, found->second, p, size);
			if (draining)
			{
				send_reliably(key, found->second, make(key, found->second, flag_fin | flag_ack), 1);
				found->second.stage = flow_stage::ended;
			}
		}

		loop& loop_;
		address app_;
		address outbound_;
		events handlers_;
		std::mt19937 random_;
		int fd_ = -1;
		int run_ = 0;
		bool frozen_ = false;
		std::size_t at_work_ = 0;
		std::deque<std::pair<flow_key, std::string>> queue_;
		std::map<flow_key, flow> flows_;
	};

	/// A requester with one address and any number of flows.
	class requester
	{
	public:
		enum class state
		{
			opening,
			open,
			failed, ///< Not opened: a reset or no answer.
			reset,  ///< A valid reset on the open flow.
			closed  ///< The target closed the flow.
		};

		struct events
		{
			std::function<void(const flow_key&, state)> on_state;
			std::function<void(const flow_key&, const std::string& id, const std::string& response)> on_answer;
			std::function<void(const flow_key&, const std::string& id)> on_timeout;
			std::function<void(const flow_key&, const std::string& what)> on_forged;
			/// An RST with no data and sum 0 arrived. `valid`: its sequence number is one that the pages allow.
			std::function<void(const flow_key&, bool open, bool valid)> on_system_reset;
		};

		/// \param route	Returns the address of the balancer that the fabric chooses for a flow's packet.
		requester(loop& events_loop, const address& local, std::function<address(const flow_key&)> route,
				  events handlers, unsigned seed)
			: loop_{events_loop}, local_{local}, route_{std::move(route)}, handlers_{std::move(handlers)}, random_{seed}
		{
			fd_ = bound_socket(SOCK_DGRAM, local_);
			loop_.watch(fd_, [this] { read(); });
		}

		flow_key open(const address& route, std::uint16_t port)
		{
			const flow_key key{.requester = {.ip = local_.ip, .port = port}, .route = route};
			auto& it = flows_[key];
			it = {};
			it.next_sent = static_cast<std::uint32_t>(random_());
			send_syn(key, 0);
			for (const auto& [copy, delay] : {std::pair{1, 200}, std::pair{2, 600}})
			{
				loop_.after(milliseconds{delay},
							[this, key, copy]
							{
								if (flows_.at(key).stage == state::opening)
								{
									send_syn(key, static_cast<std::uint32_t>(copy));
								}
							});
			}
			loop_.after(milliseconds{1'400},
						[this, key]
						{
							if (flows_.at(key).stage == state::opening)
							{
								set_state(key, state::failed);
							}
						});
			return key;
		}

		[[nodiscard]] state state_of(const flow_key& key) const
		{
			return flows_.at(key).stage;
		}

		/// Sends a request on a flow. It is sent as soon as the flow is open.
		void request(const flow_key& key, const std::string& id, const std::string& method, milliseconds time_limit)
		{
			auto& it = flows_.at(key);
			const std::string body = method == "POST" ? "declaration " + id : "";
			const auto text = method + " /work HTTP/1.1\r\nHost: review\r\nNutmegturn-Request-Id: " + id +
							  "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
			it.waiting[id] = true;
			it.order.push_back(id);
			it.unsent.push_back(text);
			if (it.stage == state::open)
			{
				send_requests(key);
			}
			loop_.after(time_limit,
						[this, key, id]
						{
							auto& flow = flows_.at(key);
							if (flow.waiting.erase(id) > 0)
							{
								handlers_.on_timeout(key, id);
								flow.unacknowledged.clear();
								flow.given_up = true;
							}
						});
		}

	private:
		struct flow
		{
			state stage = state::opening;
			std::uint32_t next_sent = 0;
			std::uint32_t next_received = 0;
			std::string response;
			std::vector<std::string> unsent;
			std::vector<std::string> order;
			std::map<std::string, bool> waiting;
			std::map<std::uint32_t, packet> unacknowledged;
			bool given_up = false;
		};

		void set_state(const flow_key& key, state what)
		{
			flows_.at(key).stage = what;
			handlers_.on_state(key, what);
		}

		void send(const flow_key& key, packet p)
		{
			p.src = key.requester;
			p.dst = key.route;
			p.sum = sum_of(p);
			send_datagram(fd_, route_(key), encode(p));
		}

		void send_syn(const flow_key& key, std::uint32_t copy)
		{
			packet p;
			p.seq = flows_.at(key).next_sent;
			p.ack = copy;
			p.flags = flag_syn;
			send(key, p);
		}

		void send_ack(const flow_key& key)
		{
			packet p;
			p.seq = flows_.at(key).next_sent;
			p.ack = flows_.at(key).next_received;
			p.flags = flag_ack;
			send(key, p);
		}

		void send_requests(const flow_key& key)
		{
			auto& it = flows_.at(key);
			for (const auto& text : std::exchange(it.unsent, {}))
			{
				packet p;
				p.seq = it.next_sent;
				p.ack = it.next_received;
				p.flags = flag_ack;
				p.data = text;
				it.next_sent += static_cast<std::uint32_t>(text.size());
				it.unacknowledged[it.next_sent] = p;
				send(key, p);
				retransmit_later(key, it.next_sent, first_retransmission);
			}
		}

		void retransmit_later(const flow_key& key, std::uint32_t end, milliseconds delay)
		{
			loop_.after(delay,
						[this, key, end, delay]
						{
							auto& it = flows_.at(key);
							if (it.stage != state::open || !it.unacknowledged.contains(end))
							{
								return;
							}
							auto p = it.unacknowledged[end];
							p.ack = it.next_received;
							send(key, p);
							retransmit_later(key, end, std::min(delay * 2, longest_retransmission));
						});
		}

		void read()
		{
			for (const auto& bytes : receive_datagrams(fd_))
			{
				const auto p = decode(bytes);
				const flow_key key = p ? flow_key{.requester = p->dst, .route = p->src} : flow_key{};
				const auto found = flows_.find(key);
				if (!p || found == flows_.end())
				{
					handlers_.on_forged(key, "packet of no flow of this requester");
					continue;
				}
				if (p->flags == flag_rst && p->sum == 0 && p->data.empty())
				{
					handle_system_reset(key, *p);
					continue;
				}
				if (p->sum != sum_of(*p))
				{
					handlers_.on_forged(key, "altered packet");
					continue;
				}
				handle(key, *p);
			}
		}

		void handle_system_reset(const flow_key& key, const packet& p)
		{
			auto& it = flows_.at(key);
			const bool open = it.stage == state::open;
			const auto distance = static_cast<std::int32_t>(p.seq - it.next_received);
			const bool valid = !open || std::abs(static_cast<std::int64_t>(distance)) <= reset_window;
			handlers_.on_system_reset(key, open, valid);
			if (open && valid)
			{
				set_state(key, state::reset);
			}
			else if (it.stage == state::opening)
			{
				set_state(key, state::failed);
			}
		}

		void handle(const flow_key& key, const packet& p)
		{
			auto& it = flows_.at(key);
			if (it.stage == state::opening && p.has(flag_syn) && p.has(flag_ack))
			{
				it.next_sent += 1;
				it.next_received = p.seq + 1;
				set_state(key, state::open);
				send_ack(key);
				send_requests(key);
				return;
			}
			if (it.stage != state::open || p.has(flag_syn))
			{
				return;
			}
			if (p.has(flag_rst))
			{
				set_state(key, state::closed);
				return;
			}
			std::erase_if(it.unacknowledged,
						  [&p](const auto& sent) { return static_cast<std::int32_t>(p.ack - sent.first) >= 0; });
			if (p.data.empty() && !p.has(flag_fin))
			{
				return;
			}
			if (p.seq == it.next_received)
			{
				it.next_received += static_cast<std::uint32_t>(p.data.size()) + (p.has(flag_fin) ? 1 : 0);
				it.response += p.data;
			}
			send_ack(key);
			if (is_whole(it.response) && !it.order.empty())
			{
				const auto id = it.order.front();
				it.order.erase(it.order.begin());
				it.waiting.erase(id);
				handlers_.on_answer(key, id, std::exchange(it.response, {}));
			}
			if (p.has(flag_fin))
			{
				set_state(key, state::closed);
			}
		}

		loop& loop_;
		address local_;
		std::function<address(const flow_key&)> route_;
		events handlers_;
		std::mt19937 random_;
		int fd_ = -1;
		std::map<flow_key, flow> flows_;
	};
}
