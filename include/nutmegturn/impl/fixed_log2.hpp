#pragma once

#include <array>
#include <bit>
#include <cstddef>
#include <cstdint>

namespace nutmegturn::detail
{
	/// Fractional bits of the fixed-point logarithms.
	inline constexpr unsigned log2_fraction_bits = 32;

	/// Number of segments between 1 and 2 over which the logarithm is interpolated linearly. 1,024 keep the absolute
	/// error below 2e-7.
	inline constexpr std::size_t log2_segments = 1024;

	/// Computes log2(1 + step / log2_segments) bit by bit, by repeated squaring of a 2.62 fixed-point number.
	[[nodiscard]] constexpr std::uint64_t log2_of_step(std::size_t step) noexcept
	{
		std::uint64_t mantissa = (std::uint64_t{1} << 31U) + (std::uint64_t{step} << 21U);
		std::uint64_t bits = 0;
		for (unsigned i = 0; i < log2_fraction_bits; ++i)
		{
			mantissa = (mantissa * mantissa) >> 31U;
			bits <<= 1U;
			if ((mantissa >> 32U) != 0)
			{
				bits |= 1U;
				mantissa >>= 1U;
			}
		}
		return bits;
	}

	inline constexpr std::array<std::uint64_t, log2_segments + 1> log2_table = []
	{
		std::array<std::uint64_t, log2_segments + 1> table{};
		for (std::size_t i = 0; i < log2_segments; ++i)
		{
			table[i] = log2_of_step(i);
		}
		table[log2_segments] = std::uint64_t{1} << log2_fraction_bits;
		return table;
	}();

	/// Returns -log2(bits / 2^64) with 32 fractional bits. Integer arithmetic only, so that every process, compiler
	/// and processor gets the same value.
	/// \param bits	Uniform random bits; 0 is treated as 1.
	[[nodiscard]] constexpr std::uint64_t negative_log2(std::uint64_t bits) noexcept
	{
		bits |= static_cast<std::uint64_t>(bits == 0);
		const auto leading = static_cast<unsigned>(std::countl_zero(bits));
		const std::uint64_t normalised = bits << leading;
		const auto segment = static_cast<std::size_t>((normalised >> 53U) & 0x3ffU);
		const std::uint64_t position = (normalised >> 21U) & 0xffffffffU;
		const std::uint64_t low = log2_table[segment];
		const std::uint64_t fraction = low + (((log2_table[segment + 1] - low) * position) >> 32U);
		return (std::uint64_t{leading + 1} << log2_fraction_bits) - fraction;
	}

	/// Mixes 64 bits (finaliser of MurmurHash3).
	[[nodiscard]] constexpr std::uint64_t mix_bits(std::uint64_t bits) noexcept
	{
		bits = (bits ^ (bits >> 33U)) * 0xff51afd7ed558ccdU;
		bits = (bits ^ (bits >> 33U)) * 0xc4ceb9fe1a85ec53U;
		return bits ^ (bits >> 33U);
	}
}
