#include "nutmegturn/handover.hpp"

#include <algorithm>
#include <unordered_map>
#include <utility>

namespace nutmegturn
{
	namespace
	{
		using std::chrono::milliseconds;

		/// Encoded sizes of a flow, of an outcome without response, and of a chunk without either, rounded up.
		constexpr std::size_t flow_bytes = 64;
		constexpr std::size_t outcome_bytes = 160;
		constexpr std::size_t chunk_bytes = 160;

		std::size_t size_of(const handover_chunk& chunk) noexcept
		{
			auto n = chunk_bytes + chunk.flows.size() * flow_bytes + chunk.outcomes.size() * outcome_bytes;
			for (const auto& it : chunk.outcomes)
			{
				n += it.response.size();
			}
			return n;
		}

		/// Returns the next `n` candidates after the own upstream by id that are part of the candidate chains.
		std::vector<const candidate*> next_in_id_order(const service_view& service, upstream_id own, std::size_t n)
		{
			std::vector<const candidate*> found;
			const auto& all = service.candidates;
			const auto from = std::ranges::upper_bound(all, own, {}, &candidate::id) - all.begin();
			for (std::size_t i = 0; i < all.size() && found.size() < n; ++i)
			{
				const auto& it = all[(static_cast<std::size_t>(from) + i) % all.size()];
				if (it.id != own && is_in_chain(it.state))
				{
					found.push_back(&it);
				}
			}
			return found;
		}

		/// Adds a chunk.
		/// \returns	Whether it is consistent with the others and new.
		bool add_chunk(handover_copy& copy, handover_chunk&& chunk)
		{
			if (chunk.chunk >= chunk.chunks || chunk.chunks > max_handover_chunks)
			{
				return false;
			}
			if (copy.chunks.empty())
			{
				copy.chunks.resize(chunk.chunks);
			}
			if (copy.chunks.size() != chunk.chunks || copy.chunks[chunk.chunk])
			{
				return false;
			}
			++copy.received;
			auto& slot = copy.chunks[chunk.chunk];
			slot = std::move(chunk);
			return true;
		}

		const handover_chunk* first_chunk(const handover_copy& copy) noexcept
		{
			const auto it = std::ranges::find_if(copy.chunks, [](const auto& chunk) { return chunk.has_value(); });
			return it == copy.chunks.end() ? nullptr : &**it;
		}

		/// Splits a hand-over into chunks.
		struct chunk_writer
		{
			handover_chunk head; ///< Fields common to all chunks.
			std::vector<handover_chunk> chunks;
			std::size_t used = 0;

			handover_chunk& chunk_with_room(std::size_t n)
			{
				if (chunks.empty() || used + n > handover_chunk_bytes)
				{
					chunks.push_back(head);
					used = chunk_bytes;
				}
				used += n;
				return chunks.back();
			}
		};

		void discard(handover_store& store, std::vector<stored_handover>::iterator it)
		{
			store.bytes -= it->bytes;
			store.handovers.erase(it);
		}

		std::vector<stored_handover>::iterator find_stored(handover_store& store, upstream_id upstream)
		{
			return std::ranges::find_if(store.handovers, [&](const stored_handover& it)
										{ return first_chunk(it.copy)->upstream == upstream; });
		}

		/// Returns whether `own` holds the flow or knows a holder other than `holder`.
		bool has_other_holder(const agent_state& own, const flow_key& key, std::uint64_t hash, upstream_id holder)
		{
			const auto* known = own.redirects.find(hash);
			return own.flows.find(key, hash).has_value() ||
				   (known != nullptr && known->confirmed() && known->holder != holder);
		}

		struct key_hash
		{
			std::size_t operator()(const flow_key& key) const noexcept
			{
				return flow_hash(key);
			}
		};

		void restore_flows(const std::vector<const handover_copy*>& copies, agent_state& state, milliseconds elapsed,
						   monotonic_time now, handover_result& result)
		{
			// A backup leaves out flows that have another holder by now, so only flows in all copies are restored.
			std::unordered_map<flow_key, std::size_t, key_hash> copies_with_flow;
			if (state.zone_out)
			{
				return;
			}
			for (const auto* copy : copies)
			{
				for (const auto& chunk : copy->chunks)
				{
					for (const auto& it : chunk->flows)
					{
						++copies_with_flow[it.key];
					}
				}
			}
			for (const auto& chunk : copies.front()->chunks)
			{
				for (const auto& it : chunk->flows)
				{
					const auto hash = flow_hash(it.key);
					const bool elsewhere = copies_with_flow[it.key] < copies.size() ||
										   has_other_holder(state, it.key, hash, state.settings.upstream);
					const auto slot = elsewhere ? std::nullopt : state.flows.insert(it.key, hash);
					if (!slot)
					{
						++result.skipped;
						continue;
					}
					// The last use lies before `view_changed_at`, so that another holder that announces the flow takes
					// precedence until the flow receives a packet.
					state.flows.at(*slot).last_active = now - it.idle - elapsed - milliseconds{1};
					state.redirects.erase(hash);
					result.flows.push_back({*slot, it.local_port});
				}
			}
		}

		/// \returns	Whether the outcomes were imported.
		bool restore_outcomes(const handover_copy& copy, request_state& requests, monotonic_time now)
		{
			const auto& head = *copy.chunks.front();
			const auto& own = requests.config;
			request_handover handover{own.service,
									  {own.issuer.agent, head.process_incarnation, own.issuer.upstream, head.token_key},
									  head.exported_at,
									  head.expected,
									  {}};
			for (const auto& chunk : copy.chunks)
			{
				handover.outcomes.insert(handover.outcomes.end(), chunk->outcomes.begin(), chunk->outcomes.end());
			}
			return requests_import(requests, handover, now) == handover_refusal::none;
		}
	}

	std::vector<const candidate*> choose_handover_backups(const service_view& service, upstream_id own)
	{
		return next_in_id_order(service, own, handover_backup_count);
	}

	std::vector<handover_chunk> export_handover(agent_state& state, request_state* requests,
												const fencing_issuer& issuer,
												std::span<const std::uint16_t> local_ports, std::uint8_t backups,
												monotonic_time now)
	{
		chunk_writer writer;
		writer.head.upstream = state.settings.upstream;
		writer.head.process_incarnation = issuer.process_incarnation;
		writer.head.backups = backups;
		writer.head.exported_at = now;
		writer.head.token_key = issuer.key;
		state.handover = handover_phase::exported;
		if (requests != nullptr)
		{
			request_handover outcomes;
			writer.head.with_requests = requests_export(*requests, now, outcomes) == handover_refusal::none;
			writer.head.expected = outcomes.expected;
			requests->suspended = true;
			for (auto& it : outcomes.outcomes)
			{
				if (it.response.size() > max_handover_response_bytes)
				{
					it.response.clear();
					it.response_lost = true;
				}
				const auto n = outcome_bytes + it.response.size();
				writer.chunk_with_room(n).outcomes.push_back(std::move(it));
			}
		}
		for (std::size_t i = 0; i < state.flows.positions() && i < local_ports.size(); ++i)
		{
			const auto& entry = state.flows.at(flow_slot{static_cast<std::uint32_t>(i)});
			if (entry.used)
			{
				const auto idle = std::chrono::floor<milliseconds>(now - entry.last_active);
				writer.chunk_with_room(flow_bytes).flows.push_back({entry.key, local_ports[i], idle});
			}
		}
		writer.chunk_with_room(0);
		for (std::size_t i = 0; i < writer.chunks.size(); ++i)
		{
			writer.chunks[i].chunk = static_cast<std::uint32_t>(i);
			writer.chunks[i].chunks = static_cast<std::uint32_t>(writer.chunks.size());
		}
		return std::move(writer.chunks);
	}

	void handover_on_store(handover_store& store, handover_chunk chunk, monotonic_time now)
	{
		handover_expire(store, now);
		auto it = find_stored(store, chunk.upstream);
		if (it != store.handovers.end() && first_chunk(it->copy)->process_incarnation != chunk.process_incarnation)
		{
			discard(store, it);
			it = store.handovers.end();
		}
		const auto n = size_of(chunk);
		if (store.bytes + n > max_stored_handover_bytes ||
			(it == store.handovers.end() && store.handovers.size() >= max_stored_handovers))
		{
			++store.rejected;
			if (it != store.handovers.end())
			{
				discard(store, it);
			}
			return;
		}
		stored_handover fresh;
		auto& stored = it == store.handovers.end() ? fresh : *it;
		if (!add_chunk(stored.copy, std::move(chunk)))
		{
			++store.invalid;
			return;
		}
		stored.bytes += n;
		store.bytes += n;
		stored.expires = now + handover_lifetime;
		if (&stored == &fresh)
		{
			store.handovers.push_back(std::move(fresh));
		}
	}

	std::vector<handover_chunk> handover_on_fetch(handover_store& store, const agent_state& own, upstream_id upstream,
												  incarnation successor, monotonic_time now)
	{
		handover_expire(store, now);
		const auto it = find_stored(store, upstream);
		const bool available = it != store.handovers.end() && it->copy.complete();
		if (!available || (it->successor != incarnation{} && it->successor != successor))
		{
			store.denied += available ? 1 : 0;
			handover_chunk no_handover;
			no_handover.upstream = upstream;
			return {no_handover};
		}
		store.fetched += it->successor == incarnation{} ? 1 : 0;
		it->successor = successor;
		std::vector<handover_chunk> answer;
		for (const auto& chunk : it->copy.chunks)
		{
			std::erase_if(answer.emplace_back(*chunk).flows, [&](const handover_flow& flow)
						  { return has_other_holder(own, flow.key, flow_hash(flow.key), upstream); });
		}
		return answer;
	}

	void handover_expire(handover_store& store, monotonic_time now)
	{
		for (std::size_t i = store.handovers.size(); i > 0; --i)
		{
			const auto it = store.handovers.begin() + static_cast<std::ptrdiff_t>(i - 1);
			if (it->expires <= now)
			{
				store.expired += it->successor == incarnation{} ? 1 : 0;
				discard(store, it);
			}
		}
	}

	std::vector<const candidate*> handover_sources(const service_view& service, upstream_id own)
	{
		return next_in_id_order(service, own, max_handover_sources);
	}

	handover_import begin_handover(agent_state& state, std::span<const upstream_id> peers, monotonic_time now)
	{
		state.handover = handover_phase::importing;
		handover_import import;
		import.deadline = now + handover_wait;
		for (const auto peer : peers)
		{
			import.answers.emplace_back().peer = peer;
		}
		return import;
	}

	void handover_on_chunk(handover_import& import, upstream_id peer, handover_chunk chunk)
	{
		const auto it = std::ranges::find(import.answers, peer, &handover_answer::peer);
		if (it == import.answers.end() || it->done)
		{
			return;
		}
		const auto* first = first_chunk(it->copy);
		if (first != nullptr && first->process_incarnation != chunk.process_incarnation)
		{
			it->copy = {};
		}
		it->done = chunk.chunks == 0;
		if (!it->done)
		{
			add_chunk(it->copy, std::move(chunk));
			it->done = it->copy.complete();
		}
	}

	bool handover_ready(const handover_import& import, monotonic_time now) noexcept
	{
		return now >= import.deadline || std::ranges::all_of(import.answers, &handover_answer::done);
	}

	handover_result finish_handover(handover_import& import, agent_state& state, request_state* requests,
									monotonic_time now)
	{
		handover_result result;
		const handover_chunk* newest = nullptr;
		for (const auto& it : import.answers)
		{
			const auto* first = it.copy.complete() ? first_chunk(it.copy) : nullptr;
			if (first != nullptr && (newest == nullptr || first->exported_at > newest->exported_at))
			{
				newest = first;
			}
		}
		state.handover = handover_phase::none;
		state.view_changed_at = now;
		state.announce_now = true;
		if (newest == nullptr || newest->upstream != state.settings.upstream)
		{
			return result;
		}
		result.found = true;
		std::vector<const handover_copy*> copies;
		for (const auto& it : import.answers)
		{
			if (it.copy.complete() && first_chunk(it.copy)->process_incarnation == newest->process_incarnation)
			{
				copies.push_back(&it.copy);
			}
		}
		// The clock restarts with the machine; times of before and after a restart are not comparable.
		const bool same_clock =
			newest->exported_at <= now && now - newest->exported_at <= handover_lifetime + handover_wait;
		const auto elapsed = same_clock ? std::chrono::floor<milliseconds>(now - newest->exported_at) : milliseconds{0};
		restore_flows(copies, state, elapsed, now, result);
		if (requests != nullptr && newest->with_requests)
		{
			result.outcomes = restore_outcomes(*copies.front(), *requests, now);
		}
		import.answers.clear();
		return result;
	}
}
