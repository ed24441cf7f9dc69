#pragma once

#include "loop.hpp"

#include <algorithm>
#include <memory>
#include <set>

/// Stand-in for the platform's metadata store: `kv-range`, `kv-watch` and `kv-key` of PROTOCOL.md. Each process of the
/// system has a port of its own, so that the record can name the reader; all ports serve the same items.
namespace review
{
	class store
	{
	public:
		struct item
		{
			std::string key;
			std::string value;
			std::uint64_t revision = 0;
			std::uint64_t created = 0;
			bool removed = false;
		};

		/// An answer that is about to be sent.
		struct answer
		{
			std::string reader;
			std::string target;
			std::string body;
		};

		explicit store(loop& events) : loop_{events} {}

		/// Decides whether an answer is lost. Its channel then returns nothing further.
		std::function<bool(const answer&)> lose;

		/// Called for each answer.
		std::function<void(const answer&, bool lost)> on_answer;

		/// Largest number of items on a page of a listing.
		std::size_t page_size = 500;

		/// Cuts all watches that wait.
		void cut_watches()
		{
			for (const auto& open : std::vector<std::shared_ptr<channel>>(channels_.begin(), channels_.end()))
			{
				if (open->watching)
				{
					close(open);
				}
			}
		}

		/// Discards the history; watches from before get 410.
		void discard_history()
		{
			history_.clear();
			oldest_ = revision_;
		}

		void listen(const address& local, const std::string& reader)
		{
			const int fd = bound_socket(SOCK_STREAM, local);
			loop_.watch(fd, [this, fd, reader] { accept(fd, reader); });
		}

		std::uint64_t put(const std::string& key, const std::string& value)
		{
			auto& it = items_[key];
			const bool fresh = it.revision == 0;
			it = {.key = key,
				  .value = value,
				  .revision = ++revision_,
				  .created = fresh ? revision_ : it.created,
				  .removed = false};
			add_event(it);
			return revision_;
		}

		std::uint64_t remove(const std::string& key)
		{
			if (items_.erase(key) > 0)
			{
				++revision_;
				add_event({.key = key, .value = {}, .revision = revision_, .created = 0, .removed = true});
			}
			return revision_;
		}

	private:
		struct channel
		{
			int fd = -1;
			std::string reader;
			std::string received;
			bool silent = false;
			bool watching = false;
			std::string target;
			std::string prefix;
			std::uint64_t after = 0;
			std::uint64_t number = 0;
		};

		void add_event(const item& it)
		{
			history_.push_back(it);
			for (const auto& open : std::vector<std::shared_ptr<channel>>(channels_.begin(), channels_.end()))
			{
				if (open->watching)
				{
					answer_watch(open, false);
				}
			}
		}

		void accept(int listener, const std::string& reader)
		{
			const int fd = ::accept4(listener, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
			if (fd < 0)
			{
				return;
			}
			const auto open = std::make_shared<channel>();
			open->fd = fd;
			open->reader = reader;
			channels_.insert(open);
			loop_.watch(fd, [this, open] { read(open); });
		}

		void close(const std::shared_ptr<channel>& open)
		{
			loop_.unwatch(open->fd);
			::close(open->fd);
			open->watching = false;
			open->silent = true;
			channels_.erase(open);
		}

		void read(const std::shared_ptr<channel>& open)
		{
			char buf[8192];
			const auto n = ::recv(open->fd, buf, sizeof buf, MSG_DONTWAIT);
			if (n == 0 || (n < 0 && errno != EAGAIN))
			{
				close(open);
				return;
			}
			open->received.append(buf, n > 0 ? static_cast<std::size_t>(n) : 0);
			const auto end = open->received.find("\r\n\r\n");
			if (end == std::string::npos || open->silent)
			{
				return;
			}
			const auto line = open->received.substr(0, open->received.find("\r\n"));
			open->received.erase(0, end + 4);
			const auto target = line.substr(4, line.rfind(' ') - 4);
			// An answer of the store takes 4 ms.
			loop_.after(milliseconds{4}, [this, open, target] { handle(open, target); });
		}

		static std::string query(const std::string& target, const std::string& name)
		{
			const auto at =
				target.find_first_of("?&") == std::string::npos ? std::string::npos : target.find(name + "=");
			if (at == std::string::npos)
			{
				return {};
			}
			const auto from = at + name.size() + 1;
			const auto raw = target.substr(from, target.find('&', from) - from);
			std::string out;
			for (std::size_t i = 0; i < raw.size(); ++i)
			{
				if (raw[i] == '%' && i + 2 < raw.size())
				{
					out += static_cast<char>(std::stoi(raw.substr(i + 1, 2), nullptr, 16));
					i += 2;
					continue;
				}
				out += raw[i];
			}
			return out;
		}

		static std::uint64_t number(const std::string& text)
		{
			return text.empty() ? 0 : std::stoull(text);
		}

		static std::string base64(const std::string& in)
		{
			static constexpr char digits[] = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
			std::string out;
			for (std::size_t i = 0; i < in.size(); i += 3)
			{
				const auto byte = [&](std::size_t at)
				{ return at < in.size() ? static_cast<unsigned char>(in[at]) : 0U; };
				const std::uint32_t bits = (byte(i) << 16U) | (byte(i + 1) << 8U) | byte(i + 2);
				out += digits[(bits >> 18U) & 63U];
				out += digits[(bits >> 12U) & 63U];
				out += i + 1 < in.size() ? digits[(bits >> 6U) & 63U] : '=';
				out += i + 2 < in.size() ? digits[bits & 63U] : '=';
			}
			return out;
		}

		static std::string json(const item& it)
		{
			if (it.removed)
			{
				return R"({"key":")" + it.key + R"(","revision":)" + std::to_string(it.revision) +
					   R"(,"removed":true})";
			}
			return R"({"key":")" + it.key + R"(","value":")" + base64(it.value) + R"(","revision":)" +
				   std::to_string(it.revision) + R"(,"created":)" + std::to_string(it.created) + R"(,"lease":0})";
		}

		void handle(const std::shared_ptr<channel>& open, const std::string& target)
		{
			open->target = target;
			open->prefix = query(target, "prefix");
			if (target.starts_with("/kv-range"))
			{
				const auto after = query(target, "after");
				std::string list;
				for (const auto& [key, it] : items_)
				{
					if (key.starts_with(open->prefix) && key > after)
					{
						list += (list.empty() ? "" : ",") + json(it);
					}
				}
				reply(open,
					  R"({"items":[)" + list + R"(],"has_more":false,"as_of":)" + std::to_string(revision_) + "}");
				return;
			}
			if (target.starts_with("/kv-watch"))
			{
				open->after = number(query(target, "after"));
				if (open->after < oldest_)
				{
					reply(open, "{}", 410);
					return;
				}
				open->watching = true;
				const auto call = ++open->number;
				loop_.after(milliseconds{static_cast<int>(number(query(target, "wait_ms")))},
							[this, open, call]
							{
								if (open->watching && open->number == call)
								{
									answer_watch(open, true);
								}
							});
				answer_watch(open, false);
				return;
			}
			reply(open, "", 404);
		}

		/// Answers a watch if there are events, or if its time is over.
		void answer_watch(const std::shared_ptr<channel>& open, bool over)
		{
			std::string list;
			for (const auto& it : history_)
			{
				if (it.revision > open->after && it.key.starts_with(open->prefix))
				{
					list += (list.empty() ? "" : ",") + json(it);
				}
			}
			if (list.empty() && !over)
			{
				return;
			}
			open->watching = false;
			reply(open, R"({"events":[)" + list + R"(],"as_of":)" + std::to_string(revision_) + "}");
		}

		void reply(const std::shared_ptr<channel>& open, const std::string& body, int status = 200)
		{
			if (open->silent)
			{
				return;
			}
			const answer made{.reader = open->reader, .target = open->target, .body = body};
			const bool lost = lose && lose(made);
			if (on_answer)
			{
				on_answer(made, lost);
			}
			if (lost)
			{
				open->silent = true;
				return;
			}
			const auto bytes = "HTTP/1.1 " + std::to_string(status) + (status == 200 ? " OK" : " Other") +
							   "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
							   "\r\n\r\n" + body;
			[[maybe_unused]] const auto n = ::send(open->fd, bytes.data(), bytes.size(), MSG_NOSIGNAL);
		}

		loop& loop_;
		std::map<std::string, item> items_;
		std::vector<item> history_;
		std::uint64_t revision_ = 0;
		std::uint64_t oldest_ = 0;
		std::set<std::shared_ptr<channel>> channels_;
	};
}
