#pragma once

#include "loop.hpp"

#include <list>

namespace review
{
	inline std::string base64(std::string_view in)
	{
		constexpr std::string_view letters = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
		std::string out;
		for (std::size_t i = 0; i < in.size(); i += 3)
		{
			std::uint32_t group = 0;
			const auto n = std::min<std::size_t>(3, in.size() - i);
			for (std::size_t k = 0; k < 3; ++k)
			{
				group = group << 8U | (k < n ? static_cast<unsigned char>(in[i + k]) : 0U);
			}
			for (std::size_t k = 0; k < 4; ++k)
			{
				out += k <= n ? letters[(group >> (18 - 6 * k)) & 63U] : '=';
			}
		}
		return out;
	}

	/// The platform's metadata store: linearizable, loses nothing, keeps its whole history.
	class store
	{
	public:
		static constexpr std::size_t page_items = 500;
		static constexpr std::size_t page_bytes = 1'000'000;

		store(event_loop& loop, const endpoint& local) : loop_{loop}, listener_{listen_tcp(local)}
		{
			loop_.watch(listener_, [this] { accept(); });
		}

		/// Writes an item; it is acknowledged when this returns.
		void put(const std::string& key, const std::string& value)
		{
			auto& it = items_[key];
			it.revision = ++revision_;
			it.created = it.created == 0 ? revision_ : it.created;
			it.value = value;
			record(key, encode_item(key, it));
		}

		/// Removes an item; that is acknowledged when this returns.
		void remove(const std::string& key)
		{
			if (items_.erase(key) > 0)
			{
				++revision_;
				record(key,
					   "{\"key\":\"" + key + "\",\"revision\":" + std::to_string(revision_) + ",\"removed\":true}");
			}
		}

		[[nodiscard]] std::string value_of(const std::string& key) const
		{
			const auto found = items_.find(key);
			return found == items_.end() ? std::string{} : found->second.value;
		}

	private:
		struct item
		{
			std::string value;
			std::uint64_t revision = 0;
			std::uint64_t created = 0;
		};

		struct event
		{
			std::uint64_t revision = 0;
			std::string key;
			std::string encoded;
		};

		struct connection
		{
			int fd = -1;
			std::string received;
			bool watching = false;
			std::uint64_t call = 0;
			std::string prefix;
			std::uint64_t after = 0;
		};

		[[nodiscard]] static std::string encode_item(const std::string& key, const item& it)
		{
			return "{\"key\":\"" + key + "\",\"value\":\"" + base64(it.value) +
				   "\",\"revision\":" + std::to_string(it.revision) + ",\"created\":" + std::to_string(it.created) +
				   ",\"lease\":0}";
		}

		void record(const std::string& key, const std::string& encoded)
		{
			events_.push_back({revision_, key, encoded});
			for (auto& it : connections_)
			{
				answer_watch(it, false);
			}
		}

		void accept()
		{
			const int fd = ::accept4(listener_, nullptr, nullptr, SOCK_NONBLOCK | SOCK_CLOEXEC);
			if (fd >= 0)
			{
				const auto made = connections_.insert(connections_.end(), connection{fd, {}, false, 0, {}, 0});
				loop_.watch(fd, [this, made] { read(made); });
			}
		}

		void read(std::list<connection>::iterator client)
		{
			char buf[4'096];
			const auto n = ::recv(client->fd, buf, sizeof buf, MSG_DONTWAIT);
			if (n <= 0)
			{
				loop_.unwatch(client->fd);
				::close(client->fd);
				connections_.erase(client);
				return;
			}
			client->received.append(buf, static_cast<std::size_t>(n));
			const auto end = client->received.find("\r\n\r\n");
			if (end != std::string::npos)
			{
				const auto from = client->received.find(' ') + 1;
				const auto target = client->received.substr(from, client->received.find(' ', from) - from);
				client->received.erase(0, end + 4);
				handle(*client, target);
			}
		}

		[[nodiscard]] static std::string field(const std::string& target, const std::string& name)
		{
			for (const char before : {'?', '&'})
			{
				const auto at = target.find(before + name + "=");
				if (at != std::string::npos)
				{
					const auto from = at + name.size() + 2;
					return target.substr(from, target.find('&', from) - from);
				}
			}
			return {};
		}

		void handle(connection& client, const std::string& target)
		{
			client.prefix = field(target, "prefix");
			++client.call;
			if (target.starts_with("/kv-range"))
			{
				list(client, field(target, "after"));
				return;
			}
			if (target.starts_with("/kv-key"))
			{
				const auto found = items_.find(field(target, "key"));
				found == items_.end() ? reply(client, "404 Not Found", "{}")
									  : reply(client, "200 OK", encode_item(found->first, found->second));
				return;
			}
			client.after = std::stoull("0" + field(target, "after"));
			client.watching = true;
			answer_watch(client, false);
			loop_.after(ms{std::stol("0" + field(target, "wait_ms"))},
						[this, fd = client.fd, call = client.call] { end_watch(fd, call); });
		}

		void list(const connection& client, const std::string& after)
		{
			std::string found;
			std::size_t n = 0;
			bool more = false;
			for (auto it = items_.upper_bound(after); it != items_.end(); ++it)
			{
				if (!it->first.starts_with(client.prefix))
				{
					continue;
				}
				if (n == page_items || found.size() >= page_bytes)
				{
					more = true;
					break;
				}
				found += (n++ == 0 ? "" : ",") + encode_item(it->first, it->second);
			}
			reply(client, "200 OK",
				  "{\"items\":[" + found + "],\"has_more\":" + (more ? "true" : "false") +
					  ",\"as_of\":" + std::to_string(revision_) + "}");
		}

		void end_watch(int fd, std::uint64_t call)
		{
			for (auto& it : connections_)
			{
				if (it.fd == fd && it.call == call)
				{
					answer_watch(it, true);
				}
			}
		}

		void answer_watch(connection& client, bool over)
		{
			if (!client.watching)
			{
				return;
			}
			std::string found;
			for (const auto& it : events_)
			{
				if (it.revision > client.after && it.key.starts_with(client.prefix))
				{
					found += (found.empty() ? "" : ",") + it.encoded;
				}
			}
			if (over || !found.empty())
			{
				client.watching = false;
				reply(client, "200 OK", "{\"events\":[" + found + "],\"as_of\":" + std::to_string(revision_) + "}");
			}
		}

		static void reply(const connection& client, const std::string& status, const std::string& body)
		{
			const auto text = "HTTP/1.1 " + status +
							  "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) +
							  "\r\n\r\n" + body;
			std::size_t sent = 0;
			while (sent < text.size())
			{
				const auto n = ::send(client.fd, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
				if (n < 0 && errno != EAGAIN)
				{
					return;
				}
				sent += n > 0 ? static_cast<std::size_t>(n) : 0;
			}
		}

		event_loop& loop_;
		int listener_;
		std::list<connection> connections_;
		std::map<std::string, item> items_;
		std::vector<event> events_;
		std::uint64_t revision_ = 0;
	};
}
