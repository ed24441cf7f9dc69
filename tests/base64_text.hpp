#pragma once

#include <sodium.h>

#include <string>
#include <string_view>

namespace nutmegturn
{
	/// Returns the standard base64 form of a text, with padding.
	[[nodiscard]] inline std::string base64(std::string_view text)
	{
		std::string encoded(sodium_base64_encoded_len(text.size(), sodium_base64_VARIANT_ORIGINAL), '\0');
		sodium_bin2base64(encoded.data(), encoded.size(), reinterpret_cast<const unsigned char*>(text.data()),
						  text.size(), sodium_base64_VARIANT_ORIGINAL);
		encoded.resize(encoded.find('\0'));
		return encoded;
	}
}
