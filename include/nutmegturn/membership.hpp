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
	/// Times and bounds of membership. The defaults detect a dead member within 3 s: 0.4 s until one of its two ring
	/// predecessors probes it, 0.5 s for the direct and indirect probe, 1.5 s of suspicion, and the ticks between.
	struct membership_settings
	{
		std::chrono::milliseconds ring_probe_period{400};   ///< Between probes of the next two members in id order.
		std::chrono::milliseconds probe_period{1'000};      ///< Between probes of a random member.
		std::chrono::milliseconds direct_timeout{300};      ///< Then others are asked to probe.
		std::chrono::milliseconds indirect_timeout{500};    ///< From the first probe; then the member is suspect.
		std::chrono::milliseconds suspicion_timeout{1'500}; ///< Then it is dead.
		std::chrono::milliseconds pause_limit{2'000};       ///< Longer time between two ticks: this process was paused.
		std::chrono::milliseconds pause_grace{2'000};       ///< After a pause nobody is suspected for this long.
		std::chrono::minutes dead_retention{60};            ///< Dead members are probed at a slow rate for this long.
		std::size_t indirect_probes = 3;                    ///< Members asked to probe.
		std::size_t max_piggybacked_updates = 8;            ///< Updates on one message.
		std::size_t fan_out = 4;                            ///< Random members told at once of a change.
		std::vector<endpoint> seeds;                        ///< Control endpoints to start from.
	};

	/// Entry of the operator's instance list, which is a hint and lags.
	struct listed_instance
	{
		std::string name;
		endpoint control;
		bool leaving = false;
	};

	/// Change in what is known of a member.
	struct member_change
	{
		member_id id{};
		std::optional<member_liveness> before; ///< Absent when the member is new.
		member_liveness after = member_liveness::alive;
		bool restarted = false; ///< It has another incarnation than before.
	};

	/// What membership asks of its host program.
	struct membership_output
	{
		std::vector<control_send> sends;
		std::vector<member_change> changes;
	};

	/// Member with what probing needs.
	struct tracked_member
	{
		member info;
		monotonic_time liveness_since{}; ///< When the liveness last changed here; bounds suspicion and forgetting.
		bool listed_leaving = false;     ///< The instance list says `leaving`.
	};

	/// Probe that has no answer yet.
	struct pending_probe
	{
		std::uint64_t nonce = 0;
		member_id target{};
		monotonic_time started{};
		bool indirect_sent = false;
		std::optional<endpoint> requester; ///< The probe is on behalf of another member, which gets the answer.
		std::uint64_t requester_nonce = 0;
	};

	/// Update that still rides on messages.
	struct queued_update
	{
		member_id id{};
		std::uint32_t sends_left = 0;
		bool urgent = false; ///< Not yet told to `fan_out` members.
	};

	/// Membership of one process. Updates of a member are ordered by (sequence, incarnation, liveness), so all
	/// processes that have received the same updates agree. Only the member itself raises its sequence number: when it
	/// hears that it is suspect or dead, or that another incarnation of it is current, it announces a higher one. A
	/// restarted member replaces its earlier life this way, and delayed updates of that life are ignored.
	struct membership_state
	{
		membership_settings settings;
		member self;
		std::map<member_id, tracked_member> members; ///< Without this process.
		std::vector<member_id> ids;                  ///< Keys of `members`, for random choice.
		std::vector<member_id> dead;                 ///< Candidates for the slow probes.
		std::vector<member_id> suspects;
		std::map<member_id, endpoint> candidates; ///< Only on the instance list; probed before they count.
		std::vector<pending_probe> pending_probes;
		std::vector<queued_update> update_queue;
		std::optional<monotonic_time> last_tick;
		monotonic_time next_ring_probe{};
		monotonic_time next_random_probe{};
		monotonic_time next_slow_probe{};
		monotonic_time next_sync{};
		monotonic_time last_flush{};
		monotonic_time suspicion_resumes_at{}; ///< No suspicion before; set after a pause.
		std::chrono::milliseconds sync_interval{100};
		std::uint64_t sync_cursor = 0; ///< Next page of members to ask for.
		bool synced = false;           ///< All members of a peer that is itself synced have been received once.
		std::optional<monotonic_time> sync_deadline; ///< Counts as synced from then on, since in a new fleet nobody is.
	};

	/// Returns the state of a process that knows nobody yet.
	/// \param self	This process with its incarnation; its sequence starts at 0.
	[[nodiscard]] membership_state make_membership(member self, membership_settings settings = {});

	/// Handles a message: its piggybacked updates, probes, acknowledgements and member pages.
	/// \param source	Control endpoint that it came from; answers go there.
	void membership_on_message(membership_state& state, const endpoint& source, const wire::control_envelope& envelope,
							   monotonic_time now, random_source& rng, membership_output& out);

	/// Sends probes and lets those without answers expire. To be called every 100 ms.
	void membership_on_tick(membership_state& state, monotonic_time now, random_source& rng, membership_output& out);

	/// Takes over a new instance list. It never makes a member alive or dead: members only listed are probed first.
	void membership_on_instance_list(membership_state& state, std::span<const listed_instance> list,
									 membership_output& out);

	/// Announces a change of this process at once.
	/// \param liveness	`alive` or `leaving`.
	/// \param upstreams	States of its upstreams.
	void membership_set_self(membership_state& state, member_liveness liveness, std::vector<upstream_report> upstreams,
							 monotonic_time now, random_source& rng, membership_output& out);

	/// Returns an envelope from this process with updates on it, for messages of other modules.
	[[nodiscard]] wire::control_envelope membership_envelope(membership_state& state);

	/// Returns the members, this process included, with `leaving` where the instance list says so.
	[[nodiscard]] member_view make_member_view(const membership_state& state);
}
