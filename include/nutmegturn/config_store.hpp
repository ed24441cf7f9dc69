#pragma once

#include "nutmegturn/action.hpp"
#include "nutmegturn/deployment.hpp"
#include "nutmegturn/error.hpp"
#include "nutmegturn/record.hpp"
#include "nutmegturn/record_version.hpp"

#include <cstddef>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace nutmegturn
{
	/// Number of valid versions kept per key at or below `complete_through`; the version in force is kept in addition.
	/// When more versions of a key than this have been refused, processes may have kept different ones, and so differ
	/// in which refused versions can still come into force.
	inline constexpr std::size_t max_versions_per_key = 8;

	/// Received version with its parse result.
	struct stored_version
	{
		std::optional<std::string> value;     ///< Absent when the record was deleted.
		std::shared_ptr<const record> parsed; ///< Null when the record was deleted or refused by the parser.
		std::optional<parse_error> error;     ///< Why the parser refused the value.
	};

	/// Why the newest refused version of a record is not in force.
	struct record_refusal
	{
		revision rev{};
		reason why = reason::none;
		std::string detail; ///< Field and expected value, or the two conflicting records.
	};

	/// Versions of one record and the result of conflict resolution.
	struct stored_record
	{
		std::map<revision, stored_version> versions;
		std::optional<revision> in_force;
		std::optional<record_refusal> refusal;
	};

	/// Record versions that a process has received and still needs, and the deployment that results from them.
	///
	/// Conflict resolution depends on the set of versions only, not on the order of arrival. The newest valid version
	/// of each key is its candidate. Of two conflicting candidates, the one with the lower (revision, key) is accepted;
	/// the other is refused, and the next older valid version of its key becomes the candidate. A deletion hides all
	/// older versions. Upstreams whose service or zone is not in force are omitted from the deployment until it is.
	struct config_store
	{
		std::map<std::string, stored_record, std::less<>> records;
		revision newest{};           ///< Highest revision seen.
		revision complete_through{}; ///< Every version up to this revision that is still current has been received.
		std::uint64_t ignored = 0;   ///< Versions ignored because they are superseded.
		/// Maps the hash of each claimed name or endpoint to the keys of the records that claim it, with one entry per
		/// version. Records that share no claim, directly or transitively, cannot conflict and are resolved separately.
		std::unordered_multimap<std::uint64_t, std::shared_ptr<const std::string>> claim_index;
		deployment current;
		/// Sorted names of accepted upstreams whose service or zone is not in force.
		std::vector<std::string> unresolved;
	};

	/// Result of applying versions.
	struct store_changes
	{
		std::vector<audit_event> events;
		bool deployment_changed = false; ///< The set of versions in force changed.
		std::uint64_t ignored = 0;       ///< Versions ignored because they are superseded.
	};

	/// Merges versions, resolves conflicts and updates the deployment.
	/// \param store	Store to update.
	/// \param versions	In any order; versions that the store already has have no effect.
	/// \param complete_through	Revision through which the store is complete after this call: that of a full response of
	///								the configuration service, or of a watch response that starts at the revision
	///								through which the store was complete. 0 when completeness is unknown.
	/// \returns	Audit events in key order. A version at or below the earlier `complete_through` is ignored unless
	///				the store has its key and a newer version of it.
	store_changes config_store_apply(config_store& store, std::span<const record_version> versions,
									 revision complete_through);

	/// Merges a full response of the configuration service: keys that it lacks were deleted, and the service no longer
	/// keeps their deletions. A full response older than the store's `complete_through` deletes nothing.
	/// \param store	Store to update.
	/// \param versions	All records of the response.
	/// \param rev	Revision of the response.
	/// \returns	As `config_store_apply`.
	store_changes config_store_apply_full(config_store& store, std::span<const record_version> versions, revision rev);

	/// Removes versions that are no longer needed up to a revision: deletions, and all but one predecessor of versions
	/// in force.
	/// \param store	Store to prune.
	/// \param through	Newest revision known 24 h ago; nothing above `complete_through` is removed.
	void config_store_prune(config_store& store, revision through);

	/// Returns the records in force.
	[[nodiscard]] const deployment& config_store_deployment(const config_store& store) noexcept;

	/// Returns the versions to send to a peer: all kept versions, including refused ones, ordered by revision and key.
	/// \param store	Store to read.
	/// \param after	Only newer versions are returned; 0 for all.
	[[nodiscard]] std::vector<record_version> config_store_changes_since(const config_store& store, revision after);

	/// Returns the highest revision seen, for comparison with peers. Pulls request versions newer than
	/// `complete_through` instead, since versions between the two may be missing.
	[[nodiscard]] revision config_store_revision(const config_store& store) noexcept;

	/// Returns the record version that is in force.
	/// \returns	Null when no version is in force.
	[[nodiscard]] const record* record_in_force(const stored_record& entry) noexcept;
}
