#pragma once

#include "nutmegturn/membership.hpp"
#include "nutmegturn/record_version.hpp"
#include "nutmegturn/settings.hpp"

#include "runtime/http.hpp"

#include <QByteArray>

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace nutmegturn::runtime
{
	/// Answer of the configuration service.
	struct config_response
	{
		revision rev{};
		std::vector<record_version> versions;
		bool full = false; ///< All records rather than what changed.
	};

	/// Parses an answer of the configuration service.
	/// \returns	The answer, or what is wrong with it.
	[[nodiscard]] result<config_response> parse_config_response(const std::string& source, const QByteArray& body);

	/// Parses an answer of the instance list.
	[[nodiscard]] result<std::vector<listed_instance>> parse_instance_list(const std::string& source,
																		   const QByteArray& body);

	/// Reads the configuration service and the instance list. At most one read of each is open at a time.
	class config_client
	{
	public:
		/// Bound on a read beside the wait that the service was asked for.
		static constexpr std::chrono::milliseconds timeout{2'000};

		/// Creates a client.
		/// \param services	Base URLs; after a failed read the next one is used.
		/// \param list		URL of the instance list, if any.
		config_client(std::vector<http_url> services, std::optional<http_url> list);

		/// Reads all records, or watches for what is newer than a revision.
		/// \param after	0 reads all records.
		/// \param wait		Longest time that the service may hold a watch.
		/// \param done		Called once with the answer or the reason of the failure.
		void read(revision after, std::chrono::milliseconds wait,
				  std::function<void(result<config_response, std::string>)> done);

		/// Reads the instance list.
		void read_instances(std::function<void(result<std::vector<listed_instance>, std::string>)> done);

		/// Returns whether a read is open.
		[[nodiscard]] bool reading() const noexcept
		{
			return reading_;
		}

	private:
		std::vector<http_url> services_;
		std::optional<http_url> list_;
		std::size_t next_service_ = 0;
		bool reading_ = false;
		bool reading_list_ = false;
		http_client reader_;
	};
}
