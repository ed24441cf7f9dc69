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
	/// Number of valid versions kept per key at or below `complete_through`; the version in force is kept beyond it.
	/// Processes that received more than this, all refused, may differ in which refused ones they can take up again.
	inline constexpr std::size_t max_versions_per_key = 8;

	/// Received version with the outcome of parsing it.
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
		std::string detail; ///< Field and expected value, or both sides of a conflict.
	};

	/// Versions of one record and what was decided on them.
	struct stored_record
	{
		std::map<revision, stored_version> versions;
		std::optional<revision> in_force;
		std::optional<record_refusal> refusal;
	};

	/// All record versions that a process has received and still needs, and the deployment that results from them.
	///
	/// The decision is a function of the set of versions alone, so the order of arrival has no influence. The newest
	/// valid version of each key is its candidate. Of two versions in conflict, the one with the lower (revision, key)
	/// stays; the other is refused, and the next older valid version of its key becomes the candidate. A deletion
	/// hides all older versions. Upstreams whose service or zone is not in force are left out of the deployment
	/// until it is.
	struct config_store
	{
		std::map<std::string, stored_record, std::less<>> records;
		revision newest{};           ///< Highest revision seen.
		revision complete_through{}; ///< No unseen version up to here is still current.
		std::uint64_t ignored = 0;   ///< Versions ignored because they are superseded.
		/// Keys of the versions that use a name or an endpoint, by its hash; one entry for each version. Records that
		/// share none, directly or through others, are decided on separately.
		std::unordered_multimap<std::uint64_t, std::shared_ptr<const std::string>> claim_index;
		deployment current;
		std::vector<std::string>
			unresolved; ///< Sorted names of accepted upstreams whose service or zone is not in force.
	};

	/// Consequences of received versions.
	struct store_changes
	{
		std::vector<audit_event> events;
		bool deployment_changed = false; ///< Other records are in force than before.
		std::uint64_t ignored = 0;       ///< Versions ignored because they are superseded.
	};

	/// Merges versions, decides again and updates the deployment.
	/// \param store	Store to update.
	/// \param versions	In any order; versions that the store already has are harmless.
	/// \param complete_through	Revision through which the store is complete after this call: that of a full answer of
	///								the configuration service, or of a watch answer that continues where the store was
	///								complete. 0 when the versions prove nothing.
	/// \returns	Audit events in key order. A version at or below the earlier `complete_through` is ignored unless
	///				the store has its key and a newer version of it.
	store_changes config_store_apply(config_store& store, std::span<const record_version> versions,
									 revision complete_through);

	/// Merges a full answer of the configuration service: keys that it lacks were deleted, and their deletion has
	/// expired there. A full answer older than the store's `complete_through` deletes nothing.
	/// \param store	Store to update.
	/// \param versions	All records of the answer.
	/// \param rev	Revision of the answer.
	/// \returns	As `config_store_apply`.
	store_changes config_store_apply_full(config_store& store, std::span<const record_version> versions, revision rev);

	/// Forgets what is no longer needed: deletions, and all but one predecessor of versions in force, up to a revision.
	/// \param store	Store to reduce.
	/// \param through	Newest revision known 24 h ago; nothing above `complete_through` is forgotten.
	void config_store_prune(config_store& store, revision through);

	/// Returns the records in force.
	[[nodiscard]] const deployment& config_store_deployment(const config_store& store) noexcept;

	/// Returns the versions to send to a peer: those kept for each key, refused ones included, ordered by revision and
	/// key.
	/// \param store	Store to read.
	/// \param after	Only newer versions are returned; 0 for all.
	[[nodiscard]] std::vector<record_version> config_store_changes_since(const config_store& store, revision after);

	/// Returns the highest revision seen, for comparison with peers. A puller asks for what is newer than
	/// `complete_through`, since versions between the two may be missing.
	[[nodiscard]] revision config_store_revision(const config_store& store) noexcept;

	/// Returns the version of a record that is in force.
	/// \returns	Null when there is none.
	[[nodiscard]] const record* record_in_force(const stored_record& entry) noexcept;
}
