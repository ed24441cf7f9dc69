#pragma once

#include "nutmegturn/endpoint.hpp"
#include "nutmegturn/error.hpp"
#include "nutmegturn/naming.hpp"

#include <QJsonArray>
#include <QJsonObject>

#include <cstddef>
#include <cstdint>
#include <functional>
#include <optional>
#include <span>
#include <string>
#include <string_view>
#include <vector>

namespace nutmegturn::impl
{
	/// Source of a document and the first error found in it; later errors are ignored.
	struct json_context
	{
		std::string source;
		std::optional<parse_error> error;

		/// Sets the error unless one is already set.
		void set_error(std::string path, std::string value, std::string expected);
	};

	/// Returns a value as compact JSON text, truncated to 200 bytes.
	[[nodiscard]] std::string json_text(const QJsonValue& value);

	/// Parses a document whose top level is an object. Duplicate keys in any object are rejected.
	/// \param context	Receives the error.
	/// \param text	UTF-8 text.
	/// \param max_size	Maximum size in bytes.
	/// \returns	The object; empty when the context has an error.
	[[nodiscard]] QJsonObject parse_json_object(json_context& context, std::string_view text, std::size_t max_size);

	/// Returns the canonical form of a name in any naming scheme.
	/// \param context	Receives the error.
	/// \param path		Field that contains the name.
	/// \param text		Name.
	/// \param kind		Expected kind of the name.
	/// \returns	The name; empty when the context has an error.
	[[nodiscard]] std::string canonical_name(json_context& context, const std::string& path, const std::string& text,
											 name_kind kind);

	/// Reads the fields of one object and rejects those that the caller has not queried.
	class object_reader
	{
	public:
		/// Creates a reader.
		/// \param context	Receives the error; must outlive the reader.
		/// \param object	Object to read.
		/// \param path	Path of the object; empty for the top level.
		object_reader(json_context& context, QJsonObject object, std::string path = {});

		/// Returns the full path of a field.
		[[nodiscard]] std::string path_of(std::string_view key) const;

		/// Returns whether the field is present, and marks it as known.
		[[nodiscard]] bool has(std::string_view key);

		/// Returns the field, or nothing when it is absent; marks it as known.
		/// \param key	Name of the field.
		/// \param expected	Description of valid values of a required field, for error messages; empty when the field is
		///					optional.
		[[nodiscard]] std::optional<QJsonValue> find(std::string_view key, std::string_view expected = {});

		/// \name Typed fields
		/// A field without a fallback is required. After an error, the result is meaningless.
		/// @{

		/// Reads a string.
		[[nodiscard]] std::string text(std::string_view key, const std::optional<std::string>& fallback = std::nullopt);

		/// Reads an integer from `least` to `most`.
		[[nodiscard]] std::uint32_t number(std::string_view key, std::uint32_t least, std::uint32_t most,
										   std::optional<std::uint32_t> fallback = std::nullopt);

		/// Reads a boolean.
		[[nodiscard]] bool boolean(std::string_view key, std::optional<bool> fallback = std::nullopt);

		/// Reads one of several strings.
		/// \returns	Index of the string in `words`.
		[[nodiscard]] std::size_t choice(std::string_view key, std::span<const std::string_view> words,
										 std::optional<std::size_t> fallback = std::nullopt);

		/// Reads an endpoint of the form `IP:port`.
		[[nodiscard]] endpoint ip_port(std::string_view key);

		/// Calls a function for each element of an array, until an error is set.
		/// \param key	Name of the field.
		/// \param required	Whether the field must be present and the array not empty.
		/// \param visit	Called with each element and its path.
		void for_each(std::string_view key, bool required,
					  const std::function<void(const QJsonValue&, const std::string&)>& visit);
		/// @}

		/// Rejects the fields that have not been queried.
		void reject_unknown_fields();

	private:
		json_context* context_;
		QJsonObject object_;
		std::string path_;
		std::vector<std::string> known_keys_;
	};

	/// Reads an endpoint of the form `IP:port` from a value.
	[[nodiscard]] endpoint read_endpoint(json_context& context, const QJsonValue& value, const std::string& path);
}
