#pragma once

#include "nutmegturn/control_send.hpp"
#include "nutmegturn/member.hpp"
#include "nutmegturn/random.hpp"
#include "nutmegturn/time.hpp"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <span>
#include <string>
#include <vector>

namespace nutmegturn
{
	/// Timeouts and limits of the membership protocol. The defaults detect a failed member within 3 s: 0.4 s until one
	/// of its two ring predecessors probes it, 0.5 s for the direct and indirect probes, 1.5 s of suspicion, and the
	/// delay of the ticks in between.
	struct membership_settings
	{
		/// Between probes of the next two members in id order.
		std::chrono::milliseconds ring_probe_period{400};
		/// Between probes of a random member, and between low-rate probes.
		std::chrono::milliseconds probe_period{1'000};
		std::chrono::milliseconds direct_timeout{300};   ///< After this, other members are asked to probe the target.
		std::chrono::milliseconds indirect_timeout{500}; ///< Since the first probe; after this, the member is suspect.
		std::chrono::milliseconds suspicion_timeout{1'500}; ///< After this, a suspect member is dead.
		/// A longer gap between ticks means that this process was paused.
		std::chrono::milliseconds pause_limit{2'000};
		std::chrono::milliseconds pause_grace{2'000}; ///< No member becomes suspect for this long after a pause.
		std::chrono::minutes dead_retention{60};      ///< Dead members are kept and probed at a low rate for this long.
		std::size_t indirect_probes = 3;              ///< Members asked to probe an unresponsive one.
		std::size_t max_piggybacked_updates = 8;      ///< Per message.
		std::size_t fan_out = 4;                      ///< Random members that receive an urgent update directly.
		std::vector<endpoint> seeds;                  ///< Control endpoints contacted at the start.
	};

	/// Entry of the operator's instance list. The list may be out of date and serves as a hint only.
	struct listed_instance
	{
		std::string name;
		endpoint control;
		bool leaving = false;
	};

	/// Change of a member as this process sees it.
	struct member_change
	{
		member_id id{};
		std::optional<member_liveness> before; ///< Absent for a new member.
		member_liveness after = member_liveness::alive;
		bool restarted = false; ///< The incarnation differs from the earlier one.
	};

	/// Messages to send and changes to report after a call.
	struct membership_output
	{
		std::vector<control_send> sends;
		std::vector<member_change> changes;
	};

	/// Member with its local probing state.
	struct tracked_member
	{
		member info;
		/// Last change of the liveness here; starts the suspicion and retention timeouts.
		monotonic_time liveness_since{};
		bool listed_leaving = false; ///< The instance list marks the member as leaving.
	};

	/// Probe that has not been acknowledged yet.
	struct pending_probe
	{
		std::uint64_t nonce = 0;
		member_id target{};
		monotonic_time started{};
		bool indirect_sent = false;
		/// Set for an indirect probe: the member that asked for it and receives the result.
		std::optional<endpoint> requester;
		std::uint64_t requester_nonce = 0;
	};

	/// Update that is still to be piggybacked on outgoing messages.
	struct queued_update
	{
		member_id id{};
		std::uint32_t sends_left = 0;
		bool urgent = false; ///< Not yet sent to `fan_out` random members.
	};

	/// State of the membership protocol in one process. Updates of a member are ordered by (sequence, incarnation,
	/// liveness), so all processes that have received the same updates agree. Only the member itself raises its
	/// sequence number: when it receives an update that marks it suspect or dead, or that carries another incarnation
	/// of it, it announces a higher number. A restarted member replaces its earlier incarnation this way, and delayed
	/// updates of that incarnation are ignored.
	struct membership_state
	{
		membership_settings settings;
		member self;
		std::map<member_id, tracked_member> members; ///< Does not contain this process.
		std::vector<member_id> ids;                  ///< Keys of `members`, for random selection.
		std::vector<member_id> dead;                 ///< Dead members, which are probed at a low rate.
		std::vector<member_id> suspects;
		/// Instances on the instance list only; they are probed before they become members.
		std::map<member_id, endpoint> candidates;
		std::vector<pending_probe> pending_probes;
		std::vector<queued_update> update_queue;
		std::optional<monotonic_time> last_tick;
		monotonic_time next_ring_probe{};
		monotonic_time next_random_probe{};
		monotonic_time next_slow_probe{};
		monotonic_time next_sync{};
		monotonic_time last_flush{};
		monotonic_time suspicion_resumes_at{}; ///< No member becomes suspect before; set after a pause.
		std::chrono::milliseconds sync_interval{100};
		std::uint64_t sync_cursor = 0; ///< Id after which the next page of members starts.
		bool synced = false;           ///< The complete member list of a synced peer has been received.
		/// From then on this process counts as synced, since a new fleet has no synced peer.
		std::optional<monotonic_time> sync_deadline;
	};

	/// Returns the initial state, which contains no other members.
	/// \param self	This process with its incarnation; its sequence starts at 0.
	[[nodiscard]] membership_state make_membership(member self, membership_settings settings = {});

	/// Handles a message: its piggybacked updates, probes, acknowledgements, member pulls and member pages.
	/// \param source	Control endpoint of the sender; replies go there.
	void membership_on_message(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
							   monotonic_time now, random_source& rng, membership_output& out);

	/// Sends due probes and times out unanswered ones. To be called every 100 ms.
	void membership_on_tick(membership_state& state, monotonic_time now, random_source& rng, membership_output& out);

	/// Replaces the instance list. The list never makes a member alive or dead: an instance that is only listed
	/// becomes a member once it answers a probe.
	void membership_on_instance_list(membership_state& state, std::span<const listed_instance> list,
									 membership_output& out);

	/// Announces a change of this process without waiting for the next tick.
	/// \param liveness	`alive` or `leaving`.
	/// \param upstreams	States of the upstreams of this process.
	void membership_set_self(membership_state& state, member_liveness liveness, std::vector<upstream_report> upstreams,
							 monotonic_time now, random_source& rng, membership_output& out);

	/// Returns an envelope of this process with piggybacked updates, to which other modules add their message.
	[[nodiscard]] wire::control_envelope membership_envelope(membership_state& state);

	/// Returns all members, this process included. Alive members that the instance list marks as leaving are `leaving`.
	[[nodiscard]] member_view make_member_view(const membership_state& state);
}
