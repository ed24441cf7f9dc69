#pragma once

#include "nutmegturn/agent.hpp"
#include "nutmegturn/fencing_token.hpp"
#include "nutmegturn/flow_key.hpp"
#include "nutmegturn/ids.hpp"
#include "nutmegturn/request_handover.hpp"
#include "nutmegturn/requests.hpp"
#include "nutmegturn/time.hpp"

#include <array>
#include <chrono>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <span>
#include <vector>

namespace nutmegturn
{
	/// Time for which a peer stores a hand-over.
	inline constexpr std::chrono::seconds handover_lifetime{60};

	/// Time for which a new process waits for the answers of its peers.
	inline constexpr std::chrono::seconds handover_wait{1};

	/// Number of peers to which a stopping agent sends its hand-over.
	inline constexpr std::size_t handover_backup_count = 2;

	/// Largest number of peers from which a new process fetches its hand-over.
	inline constexpr std::size_t max_handover_sources = 8;

	/// Largest size of one chunk in bytes, as for other chunked control messages.
	inline constexpr std::size_t handover_chunk_bytes = 16'384;

	/// Responses larger than this are not handed over; repeats of their requests get "outcome unknown".
	inline constexpr std::size_t max_handover_response_bytes = 8'192;

	/// Largest number of chunks of one hand-over: 64 MB.
	inline constexpr std::uint32_t max_handover_chunks = 4'096;

	/// Largest number of hand-overs that one agent stores.
	inline constexpr std::size_t max_stored_handovers = 16;

	/// Largest sum of bytes of the hand-overs that one agent stores.
	inline constexpr std::size_t max_stored_handover_bytes = std::size_t{64} << 20U;

	/// One flow of a stopping agent.
	struct handover_flow
	{
		flow_key key;
		std::uint16_t local_port = 0; ///< Local port of the socket towards the upstream.
		std::chrono::milliseconds idle{};
	};

	/// Part of a hand-over. A chunk with `chunks` = 0 is the answer of a peer that has no hand-over to return.
	struct handover_chunk
	{
		upstream_id upstream{};
		incarnation process_incarnation{}; ///< Incarnation of the process that stopped.
		std::uint32_t chunk = 0;
		std::uint32_t chunks = 0;
		std::uint8_t backups = 0;     ///< Number of peers that store this hand-over.
		bool with_requests = false;   ///< Whether the hand-over includes the outcomes of requests.
		monotonic_time exported_at{}; ///< Time on the clock of the instance, which outlives its processes.
		std::uint64_t expected = 0;   ///< Number of outcomes in all chunks.
		std::array<std::byte, 32> token_key{};
		std::vector<handover_flow> flows;
		std::vector<request_outcome> outcomes;
	};

	/// A hand-over whose chunks arrive in any order.
	struct handover_copy
	{
		std::vector<std::optional<handover_chunk>> chunks;
		std::size_t received = 0;

		/// Returns whether all chunks are present.
		[[nodiscard]] bool complete() const noexcept
		{
			return received > 0 && received == chunks.size();
		}
	};

	/// \name Stopping agent
	/// @{

	/// Returns the peers that store a hand-over: the next upstreams after the own one by id that are part of the
	/// candidate chains. The next process on the instance finds them among `handover_sources`.
	[[nodiscard]] std::vector<const candidate*> choose_handover_backups(const service_view& service, upstream_id own);

	/// Exports the flows and outcomes of an upstream. After the export the agent drops all packets and accepts no
	/// requests, because its successor would not know of anything admitted or refused later. Outcomes are exported only
	/// when the upstream is draining and every request has one; otherwise the successor answers repeats with "outcome
	/// unknown".
	/// \param requests		Requests of the upstream, or null when its service has none.
	/// \param issuer		Fencing token issuer of this process.
	/// \param local_ports	Local port of each flow slot.
	/// \param backups		Number of peers that the chunks are sent to.
	[[nodiscard]] std::vector<handover_chunk> export_handover(agent_state& state, request_state* requests,
															  const fencing_issuer& issuer,
															  std::span<const std::uint16_t> local_ports,
															  std::uint8_t backups, monotonic_time now);
	/// @}

	/// \name Peers that store hand-overs
	/// @{

	/// Hand-over that is stored for the next process of a peer's instance.
	struct stored_handover
	{
		handover_copy copy;
		std::size_t bytes = 0;
		monotonic_time expires;
		incarnation successor{}; ///< Process that fetched it; 0 while there is none.
	};

	/// Hand-overs that an agent stores for its peers.
	struct handover_store
	{
		std::vector<stored_handover> handovers;
		std::size_t bytes = 0;
		std::uint64_t fetched = 0;  ///< Hand-overs that a successor fetched.
		std::uint64_t denied = 0;   ///< Fetches by a second successor.
		std::uint64_t rejected = 0; ///< Chunks rejected because the store is full; their hand-over is discarded.
		std::uint64_t expired = 0;  ///< Hand-overs that nobody fetched.
		std::uint64_t invalid = 0;  ///< Chunks that contradict the others of their hand-over.
	};

	/// Stores a chunk from a stopping agent. A repeated chunk changes nothing; a chunk of another incarnation replaces
	/// the upstream's earlier hand-over.
	void handover_on_store(handover_store& store, handover_chunk chunk, monotonic_time now);

	/// Answers a successor. Only the first successor that fetches a complete hand-over receives it, and it may fetch it
	/// repeatedly. Flows that `own` holds, or for which it knows another holder, are left out.
	/// \param successor	Incarnation of the successor.
	/// \returns		All chunks, or one with `chunks` = 0.
	[[nodiscard]] std::vector<handover_chunk> handover_on_fetch(handover_store& store, const agent_state& own,
																upstream_id upstream, incarnation successor,
																monotonic_time now);

	/// Removes expired hand-overs.
	void handover_expire(handover_store& store, monotonic_time now);
	/// @}

	/// \name Next process on the instance
	/// @{

	/// Answer of one peer as received so far.
	struct handover_answer
	{
		upstream_id peer{};
		bool done = false; ///< The peer has no hand-over, or all chunks have arrived.
		handover_copy copy;
	};

	/// Import in progress: a new process waits for the hand-over of the previous one.
	struct handover_import
	{
		monotonic_time deadline;
		std::vector<handover_answer> answers;
	};

	/// Flow that was restored from a hand-over.
	struct restored_flow
	{
		flow_slot slot{};
		std::uint16_t local_port = 0;
	};

	/// Result of an import.
	struct handover_result
	{
		std::vector<restored_flow> flows;
		std::size_t skipped = 0; ///< Flows with another holder, or beyond the capacity of the flow table.
		bool found = false;      ///< Whether any peer returned a complete hand-over.
		bool outcomes = false;   ///< Whether the outcomes of the previous process were imported.
	};

	/// Returns the peers from which a new process fetches its hand-over.
	[[nodiscard]] std::vector<const candidate*> handover_sources(const service_view& service, upstream_id own);

	/// Starts the import; the agent drops all packets until `finish_handover`.
	[[nodiscard]] handover_import begin_handover(agent_state& state, std::span<const upstream_id> peers,
												 monotonic_time now);

	/// Adds a chunk of a peer's answer.
	void handover_on_chunk(handover_import& import, upstream_id peer, handover_chunk chunk);

	/// Returns whether every peer has answered or the wait has timed out.
	[[nodiscard]] bool handover_ready(const handover_import& import, monotonic_time now) noexcept;

	/// Imports the newest complete hand-over and lets the agent forward packets. A copy with missing chunks is not used
	/// at all. Tokens of the previous process never start a request in this one, so the outcomes of any complete copy
	/// may be used even if another process received one too; see `requests_import`.
	/// \param requests	Requests of the upstream, which must be empty, or null.
	[[nodiscard]] handover_result finish_handover(handover_import& import, agent_state& state, request_state* requests,
												  monotonic_time now);
	/// @}
}
