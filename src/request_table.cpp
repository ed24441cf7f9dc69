#include "nutmegturn/request_table.hpp"

#include <xxhash.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace nutmegturn
{
	coap_token make_coap_token(std::span<const std::byte> bytes) noexcept
	{
		coap_token token;
		token.size = static_cast<std::uint8_t>(std::min(bytes.size(), token.bytes.size()));
		std::copy_n(bytes.begin(), token.size, token.bytes.begin());
		return token;
	}

	std::size_t detail::request_hash::operator()(const request_identity& id) const noexcept
	{
		auto hash = XXH3_64bits_withSeed(id.client.ip.bytes.data(), id.client.ip.bytes.size(),
										 id.content ^ to_number(id.service));
		hash = XXH3_64bits_withSeed(id.scope.data(), id.scope.size(), hash + id.client.port);
		return XXH3_64bits_withSeed(id.token.bytes.data(), id.token.size, hash);
	}

	std::size_t request_table::size() const noexcept
	{
		return entries_.size();
	}

	request_entry* request_table::find(const request_identity& id) noexcept
	{
		const auto it = entries_.find(id);
		return it == entries_.end() ? nullptr : &it->second;
	}

	std::vector<const request_entry*> request_table::entries() const
	{
		std::vector<const request_entry*> all;
		all.reserve(entries_.size());
		for (const auto& [id, entry] : entries_)
		{
			all.push_back(&entry);
		}
		return all;
	}

	request_entry* request_table::insert(const request_identity& id)
	{
		if (entries_.size() >= bound_)
		{
			// A response that is still being retransmitted must not be evicted.
			if (evictable_.empty() || evictable_.front()->response_id)
			{
				return nullptr;
			}
			erase(*evictable_.front());
			evictable_.pop_front();
		}
		auto& entry = entries_[id];
		entry.identity = id;
		return &entry;
	}

	void request_table::retain(request_entry& entry, monotonic_time now)
	{
		entry.expires = now + outcome_retention;
		const bool answered = entry.status == request_status::answered;
		(entry.idempotent && answered ? evictable_ : retained_).push_back(&entry);
	}

	void request_table::keep_response(request_entry& entry, coap_bytes response)
	{
		response_bytes_ -= entry.response.size();
		entry.response.clear();
		entry.response_lost = response_bytes_ + response.size() > max_kept_response_bytes;
		if (!entry.response_lost)
		{
			response_bytes_ += response.size();
			entry.response = std::move(response);
		}
	}

	void request_table::expire(monotonic_time now)
	{
		for (auto* order : {&retained_, &evictable_})
		{
			while (!order->empty() && order->front()->expires <= now)
			{
				erase(*order->front());
				order->pop_front();
			}
		}
	}

	bool request_table::bind_token(request_entry& entry)
	{
		if (find_by_token(entry.flow, entry.token) != nullptr)
		{
			return false;
		}
		flows_[entry.flow].tokens.push_back(&entry);
		return true;
	}

	void request_table::release_token(const request_entry& entry)
	{
		const auto it = flows_.find(entry.flow);
		if (it == flows_.end())
		{
			return;
		}
		std::erase(it->second.tokens, &entry);
		if (it->second.tokens.empty() && it->second.responses.empty())
		{
			flows_.erase(it);
		}
	}

	request_entry* request_table::find_by_token(flow_slot flow, const coap_token& token) noexcept
	{
		const auto it = flows_.find(flow);
		if (it == flows_.end())
		{
			return nullptr;
		}
		const auto& tokens = it->second.tokens;
		const auto found =
			std::find_if(tokens.begin(), tokens.end(), [&](const auto* entry) { return entry->token == token; });
		return found == tokens.end() ? nullptr : *found;
	}

	bool request_table::note_response_id(flow_slot flow, std::uint16_t message_id, monotonic_time now)
	{
		// In practice, a flow has fewer separate responses under retransmission at a time.
		constexpr std::size_t max_response_ids = 256;
		auto& responses = flows_[flow].responses;
		while (!responses.empty() && (responses.front().expires <= now || responses.size() >= max_response_ids))
		{
			responses.pop_front();
		}
		if (std::any_of(responses.begin(), responses.end(),
						[&](const auto& it) { return it.message_id == message_id; }))
		{
			return false;
		}
		responses.push_back({message_id, now + outcome_retention});
		return true;
	}

	void request_table::release_flow(flow_slot flow)
	{
		flows_.erase(flow);
	}

	void request_table::bind_delegation(request_entry& entry, std::uint64_t sequence)
	{
		release_delegation(entry);
		entry.sequence = sequence;
		delegations_[sequence] = &entry;
	}

	void request_table::release_delegation(request_entry& entry)
	{
		if (entry.sequence != 0)
		{
			delegations_.erase(entry.sequence);
			entry.sequence = 0;
		}
	}

	request_entry* request_table::find_delegation(std::uint64_t sequence) noexcept
	{
		const auto it = delegations_.find(sequence);
		return it == delegations_.end() ? nullptr : it->second;
	}

	void request_table::erase(request_entry& entry)
	{
		response_bytes_ -= entry.response.size();
		release_token(entry);
		release_delegation(entry);
		// Copies the key, since erase() must not receive a reference into the node that it destroys.
		const auto id = entry.identity;
		entries_.erase(id);
	}
}
