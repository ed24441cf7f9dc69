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
	/// Response of the configuration service.
	struct config_response
	{
		revision rev{};
		std::vector<record_version> versions;
		bool full = false;          ///< Contains all records rather than only changes.
		std::size_t unreadable = 0; ///< Records without a readable key or revision, which are left out.
	};

	/// Parses a response of the configuration service. Records are parsed one by one, so that an odd one of another
	/// writer, for example one nested beyond what the JSON library parses, does not hide the others.
	/// \returns	The response, or an error that describes the invalid field.
	[[nodiscard]] result<config_response> parse_config_response(const std::string& source, const QByteArray& body);

	/// Parses a response of the instance list. Entries without a name or an address are left out.
	[[nodiscard]] result<std::vector<listed_instance>> parse_instance_list(const std::string& source,
																		   const QByteArray& body);

	/// Client of the configuration service and the instance list. At most one request to each is in progress at a time.
	class config_client
	{
	public:
		/// Timeout of a request, in addition to the wait time requested from the service.
		static constexpr std::chrono::milliseconds timeout{2'000};

		/// Creates a client.
		/// \param services	Base URLs; after a failed request, the next one is used.
		/// \param list		Optional URL of the instance list.
		config_client(std::vector<http_url> services, std::optional<http_url> list);

		/// Reads all records, or watches for changes after a revision. Does nothing while a read is in progress
		/// or if no service is configured.
		/// \param after	Last known revision; 0 reads all records.
		/// \param wait		Longest time for which the service may hold a watch.
		/// \param done		Called once with the response or an error message.
		void read(revision after, std::chrono::milliseconds wait,
				  std::function<void(result<config_response, std::string>)> done);

		/// Reads the instance list.
		void read_instances(std::function<void(result<std::vector<listed_instance>, std::string>)> done);

		/// Returns whether a read is in progress.
		[[nodiscard]] bool reading() const noexcept
		{
			return reading_;
		}

	private:
		std::vector<http_url> services_;
		std::optional<http_url> instance_list_;
		std::size_t next_service_ = 0;
		bool reading_ = false;
		bool reading_instances_ = false;
		http_client client_;
	};
}
