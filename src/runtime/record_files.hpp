#pragma once

#include "nutmegturn/error.hpp"
#include "nutmegturn/record_version.hpp"
#include "nutmegturn/settings.hpp"

#include <string>
#include <utility>
#include <vector>

namespace nutmegturn::runtime
{
	/// Records and settings loaded from files.
	struct record_files
	{
		std::vector<record_version> records;                          ///< Unparsed records.
		std::vector<std::pair<std::string, settings>> settings_files; ///< File names with their settings.
		std::vector<parse_error> errors;                              ///< Unreadable files and invalid settings.
		revision rev{1}; ///< Highest revision of a configuration service response; 1 without one.
	};

	/// Reads files and, recursively, the `.json` files of directories. A file with the key `role` contains settings,
	/// and a file with the key `records` contains a response of the configuration service. Any other file is a single
	/// record with the file name without extension as key and with revision 1.
	[[nodiscard]] record_files read_record_files(const std::vector<std::string>& paths);
}
