#pragma once

#include "nutmegturn/steering/catalog.hpp"

#include "node/node_log.hpp"

#include <cstddef>
#include <string>

namespace nutmegturn::node
{
	/// Log lines about the records of one group of the metadata store and their effect on the catalog.
	class record_log
	{
	public:
		/// The log and the catalog have to live longer than this.
		record_log(node_log& log, const steering::catalog& known, steering::record_group group) noexcept
			: log_{log}, known_{known}, group_{group}
		{
		}

		/// Logs a record that was applied, or one that was ignored because it is older than the known one. After a
		/// configuration, what in it limits or excludes services is logged as well.
		void log_effect(const steering::store_record& record, steering::record_effect effect);

		/// Logs a record that a listing lacks.
		/// \param listed	Revision of the listing.
		void log_missing(const std::string& key, steering::record_effect effect,
						 const steering::store_revision& listed);

	private:
		void log_ignored(const steering::store_record& record) const;
		void log_service_limits();

		/// Logs how many entries have a service that the configuration does not name, when that number has changed.
		void log_unknown_services();

		/// Logs that flows of services are rejected because of the length of their names.
		void log_long_names();

		/// Logs that routes have the default class because a field of their class is invalid.
		void log_invalid_classes(const steering::configuration& config);

		node_log& log_;
		const steering::catalog& known_;
		steering::record_group group_;
		std::size_t unknown_services_logged_ = 0; ///< Number of entries in the last such line.
	};
}
